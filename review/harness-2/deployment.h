// A small deployment: the daemons under test as processes, the store, executors and clients.
#pragma once

#include "executors.h"

#include <sys/types.h>

namespace Review {

struct Daemon
{
    std::string name;
    std::string zone;
    std::uint16_t callers = 0;
    std::uint16_t readiness = 0;
    std::uint16_t peers = 0;
    std::uint16_t operators = 0;
    pid_t pid = 0; // 0: not running
    bool isStopped = false;
};

class Deployment
{
public:
    Deployment(Record &caseRecord, std::string program);
    ~Deployment();

    std::size_t addDaemon(const std::string &zone);
    void startDaemon(std::size_t daemon);
    /// SIGKILL ends it at once; SIGSTOP and SIGCONT pause it.
    void signalDaemon(std::size_t daemon, int signal);
    const Daemon &daemon(std::size_t index) const { return m_daemons[index]; }
    /// Processes that have ended without a signal of the case.
    int unexpectedEnds();

    /// Writes the next desired state, without the queue \a dropped if it is given.
    void writeDesiredState(const std::string &dropped = {});

    /// Sends \a job to a daemon, through the port \a relay if it is given; \a done gets the status
    /// and state of the answer.
    std::shared_ptr<Call> submit(std::size_t daemon, const Job &job,
                                 std::function<void(int, const std::string &)> done,
                                 std::uint16_t relay = 0);
    /// Sends \a jobs over one connection; \a done is called for each answer.
    std::shared_ptr<Call> submitPipelined(std::size_t daemon, const std::vector<Job> &jobs,
                                          std::function<void(int, const std::string &)> done);
    std::shared_ptr<Call> cancel(std::size_t daemon, const std::string &job,
                                 std::function<void(int)> done);
    std::string makeJobId();

    void at(Milliseconds delay, std::function<void()> action);
    void runFor(Milliseconds duration);
    bool runUntil(const std::function<bool()> &condition, Milliseconds limit);
    /// Returns false if a daemon does not complete a job within \a limit.
    bool waitForService(Milliseconds limit);

    Record &record;
    asio::io_context io;
    Store store;
    Executors executors;

private:
    std::string encode(const Job &job);
    Call::Done answerHandler(const std::string &what,
                             std::function<void(int, const std::string &)> done);
    void probe(std::size_t daemon, const std::shared_ptr<std::set<std::size_t>> &served);

    const std::string m_program;
    std::string m_folder;
    std::vector<Daemon> m_daemons;
    std::uint64_t m_version = 0;
    std::uint64_t m_jobs = 0;
};

} // namespace Review
