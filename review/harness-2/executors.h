// Stand-ins for the platform's executors, as PROTOCOL.md describes them, and the checks of what
// they are told.
#pragma once

#include "record.h"
#include "store.h"

#include <deque>

namespace Review {

struct Step
{
    std::uint32_t count = 1;
    std::uint32_t cpuMillis = 6800;
    std::uint32_t memoryMb = 64;
    std::uint32_t estimateMs = 200;
    std::uint32_t runMs = 200; // on an executor of normal speed
    std::string requirement;   // label; empty: none
    std::uint32_t maxPerExecutor = 0;
    std::vector<std::uint32_t> after; // earlier steps
};

struct Job
{
    std::string id;
    std::string queue = "alarm";
    std::vector<Step> steps;
    std::uint32_t deadlineMs = 8000;
    Clock::time_point cancelled; // when its cancelling was acknowledged; epoch if it was not

    std::string spec() const { return "spec of " + id; }
    bool isCancelled() const { return cancelled != Clock::time_point(); }
};

struct ExecutorKind
{
    std::string label;
    std::uint32_t cpuMillis = 16000;
    std::uint32_t memoryMb = 65536;
};

class Executors
{
public:
    Executors(asio::io_context &io, Store &store, Record &record);

    std::size_t add(const std::string &zone, const std::string &rack, const ExecutorKind &kind);
    std::size_t count() const { return m_executors.size(); }
    void addJob(const Job &job) { m_jobs.try_emplace(job.id, job); }
    Job &job(const std::string &id) { return m_jobs.at(id); }

    /// Its process ends: connections are closed, new ones refused, and all runs are gone.
    void crash(std::size_t executor);
    /// Starts again under its id, at its address, as an executor of \a kind, and registers at once.
    void restart(std::size_t executor, const ExecutorKind &kind);
    /// Its heartbeats reach the store no more, or do so again.
    void setStoreReachable(std::size_t executor, bool isReachable);
    std::uint32_t usedCpu(std::size_t executor) const;
    /// Run times are multiplied by this.
    void setSlowness(std::size_t executor, double x) { m_executors[executor]->slowness = x; }
    std::size_t runCountOf(const std::string &job) const;
    std::size_t startCount() const { return m_starts; }

private:
    struct Run
    {
        std::string job;
        std::uint32_t step = 0;
        std::uint64_t number = 0;
        std::uint32_t cpuMillis = 0;
        std::uint32_t memoryMb = 0;
        std::uint64_t id = 0;
        bool isStopping = false;
    };
    struct End
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
    };
    struct Executor
    {
        std::string id;
        std::string zone;
        std::string rack;
        ExecutorKind kind;
        bool isUp = false;
        bool isStoreReachable = true;
        double slowness = 1;
        std::uint64_t born = 0;
        std::uint64_t sequence = 0;
        Clock::time_point started; // its clock begins at 0
        std::uint64_t token = 0;
        std::int64_t leaseEnd = 0; // on its clock
        std::map<std::string, Run> runs;
        std::map<std::string, std::uint64_t> refusedUpTo;
        std::deque<End> ended;
        std::uint64_t lastEnd = 0;
        std::map<std::uint64_t, Respond> holds; // that wait for an end
        std::unique_ptr<HttpServer> server;
    };

    void begin(std::size_t index);
    void registerNow(std::size_t index);
    void scheduleHeartbeat(std::size_t index, Milliseconds pause);
    void after(std::size_t index, Milliseconds delay, std::function<void(Executor &)> action);
    std::int64_t clockOf(const Executor &it) const;
    void handle(std::size_t index, const Request &request, const Respond &respond);
    Response start(std::size_t index, const nlohmann::json &body);
    Response stop(std::size_t index, const nlohmann::json &body);
    void hold(std::size_t index, const nlohmann::json &body, const Respond &respond);
    Response list(const Executor &it) const;
    Response answer(const Executor &it, int status, const char *reason = "") const;
    void extendLease(std::size_t index, const nlohmann::json &body);
    void endRun(std::size_t index, const std::string &task, const std::string &how);
    void checkStart(const Executor &it, const std::string &task, const Run &run);

    asio::io_context &m_io;
    Store &m_store;
    Record &m_record;
    std::map<std::string, Job> m_jobs;
    std::vector<std::unique_ptr<Executor>> m_executors;
    std::uint64_t m_lastId = 0;
    std::size_t m_starts = 0;
};

} // namespace Review
