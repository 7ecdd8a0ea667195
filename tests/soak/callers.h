// Callers: they send jobs over connections that they keep, send them again after a broken
// connection, and check that each request is answered once and whole.
#pragma once

#include "daemons.h"
#include "ledger.h"

#include <random>

namespace Soak {

constexpr Milliseconds CALLER_DEADLINE_MS{8000};

class Callers
{
public:
    Callers(asio::io_context &io, Base::Timers &timers, Daemons &daemons, Ledger &ledger,
            Journal &journal, std::uint64_t seed);
    ~Callers();

    /// Sends jobs from \a callers callers until stop().
    void start(std::size_t callers, Milliseconds meanPause);
    void stop() { m_isStopped = true; }
    /// Number of requests without an answer, and of jobs to be sent again.
    std::size_t openCount() const { return m_open; }
    /// Whether jobs are also sent to the queue that is not always there.
    void setHasExtraQueue(bool hasExtraQueue) { m_hasExtraQueue = hasExtraQueue; }
    /// Whether jobs have one step of few short tasks, two of which fit on an executor.
    void setHasShortJobs(bool hasShortJobs) { m_hasShortJobs = hasShortJobs; }

    /// Sends a small job to a daemon over a new connection.
    void probe(std::size_t daemon, std::function<void(bool isCompleted)> done);

private:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;
    struct Caller
    {
        ConnectionPtr connection;
        std::size_t requestsLeft = 0; // on this connection
    };

    std::uint64_t random(std::uint64_t max) { return m_random() % max; }
    JobPlan makeJob();
    JobPlan makeShortJob();
    void requireKind(JobPlan &plan) const;
    void scheduleNext(std::size_t caller);
    void send(std::size_t caller, const JobPlan &plan, int attemptsLeft);
    void attemptEnded(std::size_t caller, const JobPlan &plan, int attemptsLeft, int status);
    std::size_t chooseDaemon();
    ConnectionPtr open(std::size_t daemon);
    void request(const ConnectionPtr &connection, const JobPlan &plan,
                 std::function<void(int status, const std::string &state)> done);
    void read(const ConnectionPtr &connection);
    void received(const ConnectionPtr &connection);
    void broken(const ConnectionPtr &connection);
    void checkBroken(const ConnectionPtr &connection, const std::string &what);

    asio::io_context &m_io;
    Base::Timers &m_timers;
    Daemons &m_daemons;
    Ledger &m_ledger;
    Journal &m_journal;
    std::mt19937_64 m_random;
    std::vector<Caller> m_callers;
    Milliseconds m_meanPause{100};
    std::size_t m_open = 0;
    bool m_isStopped = false;
    bool m_hasExtraQueue = false;
    bool m_hasShortJobs = false;
    std::uint64_t m_jobCount = 0;
};

} // namespace Soak
