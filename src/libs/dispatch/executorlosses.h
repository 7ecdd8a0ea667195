// Which executors were lost while they ran a task. A task may crash each executor that starts it,
// so the record decides whether the task is started again, when, and whether beside other tasks.
// All daemons hold the same record: each sends what it adds to the others, and all of it to a
// daemon that connects. The record thus outlives owners of groups and coordinators of jobs.
#pragma once

#include "dispatchtypes.h"

#include <wire/messages.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Dispatch {

/// Why an executor counts as lost with its runs.
enum class LossGrounds {
    NoAnswer,      ///< The leases of its runs expired without an answer, on open connections.
    Disconnected,  ///< The same, after it had closed, reset or refused a connection.
    OtherLifetime, ///< Another lifetime of it is known.
    NotFound,      ///< A new owner did not find it when the leases of its runs had expired.
    Draining,      ///< It had announced that it leaves.
};
const char *toString(LossGrounds grounds);

struct LostTask
{
    TaskId id;
    RunNumber run;           // 0 if unknown
    bool hadStarted = false; // the executor had confirmed the start
};

/// The loss of one lifetime of an executor.
struct ExecutorLoss
{
    ExecutorId executor;
    Lifetime lifetime; // 0 if unknown
    LossGrounds grounds = LossGrounds::NoAnswer;
    Base::Duration silence{0}; // since the first missed answer
    std::string address;       // empty if unknown
    ServiceId service;
    Base::DaemonId reporter;     // that concluded it
    std::vector<LostTask> tasks; // of which it had runs
};

/// A loss is evidence against its tasks if the executor has probably crashed. It is proven, for the
/// tasks that had started, once the lifetime is known to have ended, and removed if the executor
/// answers again in the same lifetime. An executor that is only silent may as well be unreachable:
/// its loss is never proven, since the run may have ended with its lease before the executor did.
class ExecutorLosses
{
public:
    using Message = std::optional<Wire::LostRuns>;

    explicit ExecutorLosses(Base::Timers &timers);

    /// Records the loss. Returns the message that tells other daemons; none if the executor had
    /// announced that it leaves.
    Message add(const ExecutorLoss &loss);
    /// The executor has answered in this lifetime. Returns a message if a loss was removed.
    Message answered(const ExecutorId &executor, Lifetime lifetime);
    /// This lifetime of the executor is known to have ended. Returns a message if that proves a
    /// loss.
    Message ended(const ExecutorId &executor, Lifetime lifetime);
    /// Remembers those that have announced that they leave, and looks for proof in the registered
    /// executors: a later lifetime, or, once its registration is gone, a later executor of the same
    /// service at the same address.
    void setExecutors(const std::vector<ExecutorInfo> &executors);
    /// Adds what another daemon has recorded. Entries that are known change nothing.
    void merge(const Wire::LostRuns &message);
    /// The whole record, in messages of limited size.
    std::vector<Wire::LostRuns> messages() const;

    /// The highest number of a run that was lost with its executor; 0 if there is none.
    RunNumber highestRun(const TaskId &task) const;
    /// Number of lifetimes of executors that were lost under the task.
    std::size_t count(const TaskId &task) const;
    /// The task may have crashed an executor, and has to run alone.
    bool isSuspect(const TaskId &task) const;
    /// The task must not be started any more.
    bool isGivenUp(const TaskId &task) const;
    /// Time until the task may be started. After several losses it waits for the proof, and longer
    /// after each further one; a task that is given up waits until the losses are forgotten.
    Base::Duration startDelay(const TaskId &task) const;
    /// The longest delay of a task of the job.
    Base::Duration startDelay(const JobId &job) const;
    std::size_t taskCount() const { return m_losses.size(); }
    /// Losses that were removed since the executor answered again.
    std::uint64_t removedCount() const { return m_removedCount; }
    /// The runs of the task that were lost with their executors, for logs.
    std::string describe(const TaskId &task) const;

    /// Removes entries older than the retention.
    void tick();

private:
    using ExecutorLifetime = std::pair<ExecutorId, Lifetime>;
    using State = Wire::LostExecutorState;

    struct LostExecutor
    {
        State state = State::Unproven;
        Base::TimePoint time; // of the loss, or of the last change of the state
        std::string address;  // empty if unknown
        ServiceId service;
        std::set<TaskId> tasks; // those in m_losses
    };

    struct Loss
    {
        Base::TimePoint time; // on the clock of this daemon
        Wire::LostRunEvidence evidence = Wire::LostRunEvidence::Silence;
        RunNumber run; // 0 if unknown
        LossGrounds grounds = LossGrounds::NoAnswer;
        Base::DaemonId reporter;
    };
    using Losses = std::map<ExecutorLifetime, Loss>;

    static bool isSameRunKnown(const Losses &losses, const ExecutorLifetime &executor,
                               const Loss &loss);
    bool insert(const TaskId &task, const ExecutorLifetime &executor, const Loss &loss);
    bool remove(const ExecutorLifetime &executor, Base::TimePoint answered);
    bool prove(const ExecutorLifetime &executor, const char *proof);
    void removeTask(const TaskId &task);
    bool hasEnded(const ExecutorLifetime &executor) const;
    bool isProven(const Losses::value_type &loss) const;
    Wire::LostRun entryOf(const TaskId &task, const ExecutorLifetime &executor,
                          const Loss &loss) const;
    Wire::LostRuns stateMessage(const ExecutorLifetime &executor) const;
    std::uint64_t ageMs(Base::TimePoint time) const;
    Base::TimePoint timeAt(std::uint64_t age) const;

    Base::Timers &m_timers;
    std::map<TaskId, Losses> m_losses;
    // Those in m_losses, and those removed from it, of whose loss a late message may still tell.
    std::map<ExecutorLifetime, LostExecutor> m_executors;
    // Lifetimes that were registered as draining, and when last. Their ends are no crashes, also if
    // the owner that records the loss never saw that.
    std::map<ExecutorLifetime, Base::TimePoint> m_drained;
    std::uint64_t m_removedCount = 0;
    Base::TimePoint m_lastPrune;
};

} // namespace Dispatch
