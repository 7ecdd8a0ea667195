// Stand-ins for the platform's executors: tokens, leases, run numbers, listings, registration, and
// lifetimes. Starts and ends are reported to the ledger; the limits of an executor are checked
// here.
#pragma once

#include "../support/faultrelay.h"
#include "ledger.h"
#include "store.h"

#include <random>

namespace Soak {

using TestSupport::FaultRelay;
using TestSupport::Lift;
using TestSupport::LinkFault;

constexpr Milliseconds HOLD_MAX_MS{1000};
constexpr Milliseconds EXECUTOR_DRAIN_MS{2000};

class Executors
{
public:
    Executors(asio::io_context &io, Base::Timers &timers, Store &store, Ledger &ledger,
              Journal &journal, std::uint64_t seed);

    /// Adds an executor that listens on \a port, and a relay to it for each of \a relayPorts.
    void add(const std::string &service, const std::string &zone, std::uint16_t port,
             const std::vector<std::uint16_t> &relayPorts);

    FaultRelay &relay(std::size_t executor, std::size_t daemon);
    /// Index of the executor that has this id.
    static std::size_t indexOf(const std::string &id);
    std::uint16_t relayPort(std::size_t executor, std::size_t daemon) const;

    /// \a links tells how its host then treats connections: Refused, or Silent without power.
    void crash(std::size_t executor, LinkFault links, Milliseconds downtime);
    /// Announces that it drains, leaves after \a drain, and is back in a new lifetime after
    /// \a downtime.
    void drain(std::size_t executor, Milliseconds drain, Milliseconds downtime);
    /// Refuses orders with \a status; 0 ends that.
    void setRefusal(std::size_t executor, int status) { m_executors[executor]->refusal = status; }
    /// Run times on it are divided by \a speed.
    void setSpeed(std::size_t executor, double speed) { m_executors[executor]->speed = speed; }
    bool isIdle(std::size_t executor) const { return m_executors[executor]->runs.empty(); }
    /// The time of day on its host is off by \a offset when it starts the next time.
    void setTimeOfDay(std::size_t executor, Milliseconds offset)
    {
        m_executors[executor]->timeOffset = offset;
    }
    /// From its next start on, its first registration comes \a delay after the start.
    void delayRegistration(std::size_t executor, Milliseconds delay)
    {
        m_executors[executor]->registrationDelay = delay;
    }
    /// Orders are carried out \a delay after their arrival, and are not answered; 0 ends that.
    void setOrderDelay(std::size_t executor, Milliseconds delay)
    {
        m_executors[executor]->orderDelay = delay;
    }
    /// Its heartbeats do not reach the store, until each cut has ended.
    void cutFromStore(std::size_t executor, bool isCut)
    {
        m_executors[executor]->storeCuts += isCut ? 1 : -1;
    }

    /// An executor that runs a task with at least \a left of its run time to go, if there is one,
    /// and the task.
    bool findLongRun(Milliseconds left, std::size_t &executor, TaskName &task);
    /// The executor that runs \a task, if any does.
    bool find(const TaskName &task, std::size_t &executor) const;
    std::size_t runCount() const;

private:
    struct Run
    {
        TaskName task;
        std::uint64_t number = 0;
        std::uint64_t id = 0;
        std::uint32_t cpuMillis = 0;
        std::uint32_t memoryMb = 0;
        Base::TimePoint due;
        bool isStopping = false;
    };
    struct End
    {
        std::uint64_t sequence = 0;
        std::string task;
        std::uint64_t run = 0;
        RunOutcome outcome = RunOutcome::Done;
    };
    struct Executor
    {
        ExecutorLife life;
        std::string service;
        std::string zone;
        std::string kind; // another one in each lifetime
        std::uint16_t port = 0;
        bool guardsRoom = false;
        bool isUp = false;
        bool isDraining = false;
        int refusal = 0;
        int storeCuts = 0;
        double speed = 1;
        Milliseconds timeOffset{0};
        Milliseconds registrationDelay{0};
        Milliseconds orderDelay{0};
        std::uint64_t sequence = 0;
        Base::TimePoint heard; // last heartbeat that reached the store
        // The executor's clock: it starts at offsetMs and may be slow.
        Base::TimePoint started;
        double rate = 1;
        std::int64_t offsetMs = 0;
        std::uint64_t token = 0;
        std::int64_t leaseEnd = 0;       // on its clock
        std::map<std::string, Run> runs; // by task name
        std::map<std::string, std::uint64_t> refusedUpTo;
        std::deque<End> ended; // not forgotten yet
        std::uint64_t lastEnd = 0;
        std::map<std::uint64_t, Http::Respond> holds;    // that wait for an end
        std::vector<std::unique_ptr<FaultRelay>> relays; // by daemon
        std::unique_ptr<Http::Server> server;
    };

    std::uint64_t random(std::uint64_t max) { return m_random() % max; }
    std::int64_t clockOf(const Executor &executor) const;
    void begin(std::size_t index);
    /// The next one follows after \a pause.
    void heartbeat(std::size_t index, const ExecutorLife &life, Milliseconds pause);
    void checkRegistrations();
    void stopAt(Executor &executor, bool isCrash);
    void handle(std::size_t index, const Http::Request &request, const Http::Respond &respond);
    void carryOut(std::size_t index, const Http::Request &request, const Http::Respond &respond);
    Http::Response start(std::size_t index, const nlohmann::json &body);
    Http::Response stop(std::size_t index, const nlohmann::json &body);
    void hold(std::size_t index, const nlohmann::json &body, const Http::Respond &respond);
    Http::Response list(const Executor &executor) const;
    Http::Response answer(const Executor &executor, int status, const char *reason = "") const;
    void schedule(std::size_t index, Milliseconds delay, std::function<void(Executor &)> action);
    void scheduleEnd(std::size_t index, const JobPlan &plan, const Run &run);
    void extendLease(std::size_t index, const nlohmann::json &body);
    void endRun(std::size_t index, const std::string &task, RunOutcome outcome);

    asio::io_context &m_io;
    Base::Timers &m_timers;
    Store &m_store;
    Ledger &m_ledger;
    Journal &m_journal;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<Executor>> m_executors;
    std::uint64_t m_lastBorn = 0;
    std::uint64_t m_lastId = 0; // of runs and waiting holds
};

} // namespace Soak
