// Which executors were lost while they ran a task. A task may crash each executor that starts it,
// so the record decides whether the task is started again, and whether beside other tasks. All
// daemons hold the same record: each sends what it adds to the others, and all of it to a daemon
// that connects. The record thus outlives owners of groups and coordinators of jobs.
#pragma once

#include "dispatchtypes.h"

#include <wire/messages.h>

#include <map>
#include <vector>

namespace Dispatch {

/// Why an executor counts as lost with its runs.
enum class LossGrounds {
    NoAnswer,      ///< The leases of its runs expired without an answer, on open connections.
    Disconnected,  ///< The same, after it had closed, reset or refused a connection.
    OtherLifetime, ///< Another lifetime of it is known.
    NotFound,      ///< A new owner did not find it when the leases of its runs had expired.
};
const char *toString(LossGrounds grounds);

/// The loss of one lifetime of an executor.
struct ExecutorLoss
{
    ExecutorId executor;
    Lifetime lifetime; // 0 if unknown
    LossGrounds grounds = LossGrounds::NoAnswer;
    Base::Duration silence{0}; // since the first missed answer
    std::vector<TaskId> tasks; // of which it had runs
};

class ExecutorLosses
{
public:
    explicit ExecutorLosses(Base::Timers &timers);

    /// Records that a lifetime of an executor ended with runs of \a tasks, and returns the message
    /// that tells other daemons.
    Wire::LostRuns add(const ExecutorId &executor, Lifetime lifetime,
                       const std::vector<TaskId> &tasks);
    /// Adds what another daemon has recorded. Entries that are known change nothing.
    void merge(const Wire::LostRuns &message);
    /// The whole record, in messages of limited size.
    std::vector<Wire::LostRuns> messages() const;

    /// Number of lifetimes of executors that were lost under the task.
    std::size_t count(const TaskId &task) const;
    /// The task may have crashed an executor.
    bool isSuspect(const TaskId &task) const { return count(task) > 0; }
    /// The task must not be started any more.
    bool isGivenUp(const TaskId &task) const;
    bool hasGivenUpTask(const JobId &job) const;
    std::size_t taskCount() const { return m_losses.size(); }
    /// Number of tasks under which this lifetime of the executor is recorded as lost.
    std::size_t tasksLostWith(const ExecutorId &executor, Lifetime lifetime) const;
    /// The executors lost under the task, for logs.
    std::string describe(const TaskId &task) const;

    /// Removes entries older than the retention.
    void tick();

private:
    using ExecutorLifetime = std::pair<ExecutorId, Lifetime>;

    void insert(const TaskId &task, const ExecutorLifetime &executor, Base::TimePoint time);
    Wire::LostRun entryOf(const TaskId &task, const ExecutorLifetime &executor,
                          Base::TimePoint time) const;

    Base::Timers &m_timers;
    // The time is that of the loss, on the clock of this daemon.
    std::map<TaskId, std::map<ExecutorLifetime, Base::TimePoint>> m_losses;
    Base::TimePoint m_lastPrune;
};

} // namespace Dispatch
