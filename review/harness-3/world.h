// Stand-ins of the platform and of its executors, as PROTOCOL.md describes them, and the processes
// under test. Each process can see the store, the executors and the others through relays.
#pragma once

#include "net.h"

#include <cstdio>
#include <sys/types.h>

namespace Review {

/// Writes record.txt, with times in ms since the start.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    void note(const std::string &text);
    double now() const;

private:
    std::FILE *m_file;
    Clock::time_point m_start;
};

std::string base64(const std::string &bytes);

/// The store: rows, versions, feeds. Loses nothing.
class Store
{
public:
    using View = std::function<std::string(std::size_t reader, const std::string &table,
                                           const std::string &key, const std::string &value)>;

    Store(asio::io_context &io, Record &record);
    void setView(View view) { m_view = std::move(view); }
    /// A port for reader number \a reader.
    void listen(std::size_t reader, std::uint16_t port);
    std::uint64_t put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);
    /// Transactions of others, in tables that the system does not use.
    void othersWrite(std::uint64_t transactions) { m_version += transactions; }
    std::uint64_t version() const { return m_version; }
    /// Called with the table and key before each write of the system.
    std::function<void(const std::string &, const std::string &)> beforeWrite;
    /// The version of a row; 0 if there is none.
    std::uint64_t versionOf(const std::string &table, const std::string &key) const;

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool isRemoved = false;
    };
    struct Feed
    {
        std::size_t reader = 0;
        std::string table;
        std::uint64_t after = 0;
        Respond respond;
    };
    using Key = std::pair<std::string, std::string>;

    void handle(std::size_t reader, const Message &message, const Respond &respond);
    json describe(std::size_t reader, const Key &key, const Row &row) const;
    std::string page(json rows) const;
    bool answerFeed(const Feed &feed, bool isLast);
    void changed(const std::string &table);

    asio::io_context &m_io;
    Record &m_record;
    View m_view;
    std::vector<std::unique_ptr<HttpServer>> m_servers;
    std::map<Key, Row> m_rows;
    std::map<std::uint64_t, Feed> m_feeds;
    std::uint64_t m_version = 1000;
    std::uint64_t m_lastFeed = 0;
};

struct RunRecord
{
    std::string task;
    std::uint64_t run = 0;
    std::string executor;
    double begin = 0;
    double end = 0; // 0: still running
    std::string how;
    std::string starter; // the machine that sent the order
};

class World;

/// One executor. How long a task works is looked up in World::workMs() by its job.
class Executor
{
public:
    struct Options
    {
        std::string id;
        std::string service = "svc";
        std::string zone = "z1";
        std::string kind = "a";
        std::string rack = "r1-1";
        std::uint32_t cpu = 16000;
        std::uint32_t memMb = 65536;
    };

    Executor(World &world, Options options);

    const Options &options() const { return m_options; }
    std::uint16_t port() const { return m_port; }
    void setCpu(std::uint32_t cpu);
    /// From its next start on.
    void setKind(const std::string &kind) { m_options.kind = kind; }
    /// The process dies; everything that it knew is gone. It starts again under its id.
    void crash(Ms downtime);
    bool isUp() const { return m_isUp; }
    std::size_t runCount() const { return m_runs.size(); }
    std::uint32_t usedCpu() const;
    void sayDraining();
    /// Decides for each order (path, body) whether it is left unanswered and carried out late.
    std::function<std::optional<Ms>(const std::string &, const json &)> lateness;

private:
    friend class World;
    struct Run
    {
        std::uint64_t number = 0;
        std::uint32_t cpu = 0;
        std::uint64_t id = 0;
        bool isStopping = false;
        std::size_t record = 0;
    };
    struct End
    {
        std::uint64_t sequence = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
    };

    void begin();
    void beat(std::uint64_t life);
    std::int64_t clock() const;
    void handle(const Message &message, const Respond &respond);
    void carryOut(const std::string &path, const json &body, const std::string &expected,
                  const std::string &caller, const Respond &respond);
    void start(const json &body, const std::string &caller, const Respond &respond);
    void stop(const json &body, const Respond &respond);
    void hold(const json &body, const Respond &respond);
    void extend(const json &body);
    void endRun(const std::string &task, const std::string &how);
    std::string list() const;
    std::string answer(const char *reason = "") const;
    void later(Ms delay, std::function<void()> action);

    World &m_world;
    Options m_options;
    std::uint16_t m_port;
    std::unique_ptr<HttpServer> m_server;
    bool m_isUp = false;
    bool m_isDraining = false;
    std::uint64_t m_life = 0;
    std::uint64_t m_born = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_token = 0;
    std::int64_t m_leaseEnd = 0;
    Clock::time_point m_started;
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::uint64_t> m_refusedUpTo;
    std::deque<End> m_ends;
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_lastRun = 0;
    std::map<std::uint64_t, Respond> m_holds;
    std::uint64_t m_lastHold = 0;
};

/// One process of the system.
struct Process
{
    std::string name;
    std::string zone;
    std::uint16_t front = 0;
    std::uint16_t ready = 0;
    std::uint16_t peer = 0;
    std::uint16_t operators = 0;
    std::unique_ptr<Relay> store;
    std::map<std::string, std::unique_ptr<Relay>> toPeers;     // by the peer's name
    std::map<std::string, std::unique_ptr<Relay>> toExecutors; // by the executor's id
    pid_t pid = 0;
    int exitStatus = -1;
};

struct Job
{
    std::string id;
    std::uint32_t count = 1;
    std::uint32_t cpu = 4000;
    std::uint32_t workMs = 500;
    std::uint32_t estimateMs = 500;
    std::string requirements = {}; // label
    std::uint32_t steps = 1;       // one after the other

    std::string body() const;
};

class World
{
public:
    /// The processes run \a program; logs and settings are in \a folder.
    World(Record &record, std::string program, std::string folder);
    ~World();

    Executor &addExecutor(const Executor::Options &options);
    Process &addProcess(const std::string &name, const std::string &zone);
    /// Makes the relays; call it after all have been added.
    void connect();
    void startProcess(Process &process);
    void signal(Process &process, int number);
    bool hasEnded(Process &process);
    /// Waits until all processes answer their readiness probes with 200.
    bool waitReady(Ms limit);
    void runFor(Ms time);
    bool runUntil(const std::function<bool()> &condition, Ms limit);
    void writeConfig(std::uint64_t version, const json &routes);
    json route(const std::string &name, const std::string &service = "svc") const;
    std::string path(const Job &job, const std::string &queue = "q") const
    {
        return "/" + queue + "/" + job.id;
    }
    /// Declares the work of the job's tasks.
    void declare(const Job &job) { m_jobs[job.id] = job; }
    const Job *jobOf(const std::string &task) const;
    Executor *executor(const std::string &id);
    /// RULES.md, In touch: no disruption of the machine in the contactMs before \a time.
    bool isInTouch(const std::string &machine, double time) const;
    void disruptionBegins(const std::string &machine);
    void disruptionEnds(const std::string &machine);
    /// All runs so far of tasks of this job.
    std::vector<RunRecord> runsOf(const std::string &job) const;

    asio::io_context io{1};
    Record &record;
    Store store;
    std::vector<std::unique_ptr<Executor>> executors;
    std::vector<std::unique_ptr<Process>> processes;
    std::vector<RunRecord> runs;
    std::string host = "review.example";
    json settings = json::object();                          // merged into those of the processes
    std::map<std::string, std::vector<double>> terminations; // SIGTERM, by machine
    std::size_t overCapacity = 0; // starts that brought an executor over its capacity
    std::size_t withoutLabel = 0; // starts on an executor without the required label

private:
    std::string viewOf(std::size_t reader, const std::string &table, const std::string &key,
                       const std::string &value) const;

    std::string m_program;
    std::string m_folder;
    std::map<std::string, Job> m_jobs;
    std::map<std::string, std::vector<std::pair<double, double>>> m_disruptions;
};

} // namespace Review
