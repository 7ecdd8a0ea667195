// A small deployment on loopback: daemons as processes, and stand-ins for the platform, the
// executors and the clients.
#pragma once

#include "executor.h"

#include <base/asiotimers.h>
#include <tests/soak/store.h>
#include <tests/support/childprocess.h>

#include <optional>
#include <random>

namespace Review {

struct Job
{
    std::string id; // 16 hexadecimal digits
    std::uint32_t tasks = 1;
    std::uint32_t cpuMillis = 6800;
    Milliseconds runTime{60};
    Milliseconds deadline{10'000};

    std::string spec() const { return fmt::format("job {} {}", id, runTime.count()); }
};

struct ExecutorPlan
{
    std::string zone;
    double speed = 1;
    double clockRate = 1;
};

class Deployment
{
public:
    /// Starts a daemon in each of \a zones. Throws std::runtime_error.
    Deployment(const std::string &folder, std::uint64_t seed, const std::vector<std::string> &zones,
               const std::vector<ExecutorPlan> &executors);
    ~Deployment();

    std::size_t daemonCount() const { return m_daemons.size(); }
    std::size_t executorCount() const { return m_executors.size(); }
    Executor &executor(std::size_t index) { return *m_executors[index]; }
    std::uint64_t random(std::uint64_t max) { return m_random() % max; }

    void runFor(Milliseconds duration);
    /// Waits until each daemon answers a small job. Returns false after \a limit.
    bool awaitService(Milliseconds limit);
    Job makeJob(std::uint32_t tasks, Milliseconds runTime);
    /// A client sends \a job over a new connection. After a broken connection, no answer, 502 or
    /// 504 it sends it again 1.3 s later to any other daemon, four times at most.
    void submit(const Job &job, std::size_t daemon, int attempt = 1);
    std::size_t openCount() const { return m_open; }
    /// Resets about \a share of the connections of daemon \a index with clients and other daemons.
    int resetConnections(std::size_t index, double share);
    /// The daemon that gave the last order to \a executor, if it is running.
    std::optional<std::size_t> giverOf(const Executor &executor);
    /// Kills a daemon, which is started again after \a downtime.
    void kill(std::size_t index, Milliseconds downtime);
    /// Whether all daemons are running.
    bool areDaemonsRunning();

    Record record;
    asio::io_context io{1};
    Base::AsioTimers timers{io};

private:
    struct Daemon
    {
        std::string name;
        std::string zone;
        std::uint16_t peerPort = 0;
        std::uint16_t frontPort = 0;
        std::uint16_t storePort = 0;
        std::unique_ptr<Relay> front;
        std::vector<std::unique_ptr<Relay>> peers; // that lead to this daemon, by their user
        std::unique_ptr<TestSupport::ChildProcess> process;
    };
    struct Request;

    std::string viewOf(std::size_t reader, const std::string &table, const std::string &key,
                       const std::string &value) const;
    std::string filesOf(const Daemon &daemon) const;
    void startDaemon(std::size_t index);
    void read(const std::shared_ptr<Request> &request);
    void ended(const std::shared_ptr<Request> &request, int status, const std::string &state);

    const std::string m_folder;
    std::mt19937_64 m_random;
    Soak::Store m_store;
    std::vector<Daemon> m_daemons;
    std::vector<std::unique_ptr<Executor>> m_executors;
    std::uint64_t m_lastJob = 0;
    std::size_t m_open = 0; // jobs without a final answer
};

} // namespace Review
