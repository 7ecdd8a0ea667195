// Orders the executors of one group: the only daemon that starts, stops and looks at them, under
// one fencing token. Tasks of all daemons wait here until an executor has room.
#pragma once

#include "executorledger.h"
#include "executorport.h"
#include "taskqueue.h"

#include <wire/messages.h>

#include <memory>
#include <set>
#include <vector>

namespace Dispatch {

class GroupListener
{
public:
    virtual ~GroupListener() = default;

    /// Reports for the daemon \a coordinator, which holds the job.
    virtual void tasksReported(const Base::DaemonId &coordinator,
                               const Wire::TaskReports &reports) = 0;
    /// An executor has seen a higher token. The group must not be used any more. \a wasAccepted: an
    /// earlier order under the group's token was accepted.
    virtual void groupFenced(const GroupId &group, bool wasAccepted) = 0;
};

/// Counts of one group since its claim.
struct GroupCounters
{
    std::uint64_t starts = 0;
    std::uint64_t done = 0;
    std::uint64_t failed = 0;
    std::uint64_t lost = 0;
    std::uint64_t unresolvedStarts = 0;
    std::uint64_t stragglers = 0;
};

/// Exists from the claim of a group to its loss. A run number, once used for a task, is never used
/// for it again, and a task has at most one run in the ledgers of a group.
class ExecutorGroup
{
public:
    ExecutorGroup(GroupId group, FencingToken token, Base::Timers &timers, ExecutorPort &port,
                  GroupListener &listener);
    ~ExecutorGroup();

    const GroupId &id() const { return m_group; }
    FencingToken token() const { return m_token; }
    Base::TimePoint claimed() const { return m_claimed; }

    /// The registered executors of the group. Runs on executors that are missing are followed to
    /// their end, and nothing new starts there.
    /// \a changed is when the set last changed.
    void setExecutors(const std::vector<ExecutorInfo> &executors, Base::TimePoint changed);

    void submit(const Base::DaemonId &from, const Wire::TaskBatch &batch);
    void stopJob(const Base::DaemonId &from, const JobId &job);
    /// Stops and drops all tasks of \a daemon without a report: it is lost, or has lost touch, and
    /// its callers send their jobs again elsewhere. If it is still there, it claims its tasks
    /// again.
    void coordinatorLost(const Base::DaemonId &daemon);

    /// Another daemon may claim the group without this one hearing of it: asks the executors until
    /// \a until whether the token still holds.
    void setContested(Base::TimePoint until) { m_contestedUntil = until; }

    /// The group has another owner: sends no order any more.
    void retire() { m_isFenced = true; }

    /// Without batchesSeen, which differs by recipient.
    Wire::GroupLoad load() const;
    /// Sequence of the last batch from \a coordinator, 0 if there was none.
    std::uint64_t batchesSeen(const Base::DaemonId &coordinator) const;
    /// Rises with each change of the load.
    std::uint64_t loadVersion() const { return m_loadVersion; }

    /// Renews leases, follows unanswered orders and stops stragglers; called every TICK_MS.
    void tick();

    const GroupCounters &counters() const { return m_counters; }
    std::size_t queuedCount() const { return m_queue.size(); }
    std::size_t runCount() const;

private:
    enum class TaskState { AwaitingLook, Queued, OnExecutor };

    /// What a coordinator said about all tasks of a batch, with times of this daemon's clock.
    struct Order
    {
        Wire::TaskBatch batch; // without the list of tasks
        Resources shape;
        Base::Duration estimate{0};
        Base::TimePoint objective;
        Base::TimePoint deadline;
    };

    struct Task
    {
        Base::DaemonId coordinator;
        std::shared_ptr<const Order> order;
        std::uint64_t nextRun = 1;
        TaskState state = TaskState::Queued;
        ExecutorId executor; // if OnExecutor; if AwaitingLook, where an earlier owner started it
        bool isCancelled = false;
        bool isDropped = false; // cancelled, and to be forgotten without a report
        Base::TimePoint queuedAt;
    };

    struct EndedTask
    {
        RunNumber run;
        RunEnd end = RunEnd::Done;
        Base::TimePoint time;
        ExecutorId executor;
        bool isReported = false; // to a coordinator, which may then have started it elsewhere
    };

    using LedgerMap = std::map<ExecutorId, ExecutorLedger>;

    ExecutorLedger *ledger(const ExecutorId &id);
    void submitTask(const Base::DaemonId &from, const std::shared_ptr<const Order> &order,
                    const Wire::BatchTask &entry);
    bool reportKnownEnd(const Base::DaemonId &from, const TaskId &id, const Wire::BatchTask &entry);
    void cancelTask(const TaskId &id, Task &task);
    bool claimFoundRun(const TaskId &id, const Task &task);
    bool attachTask(const Base::DaemonId &from, const std::shared_ptr<const Order> &order,
                    const TaskId &id, std::uint64_t minRun);
    void enqueue(const TaskId &id, Task &task);
    void placeQueued();
    ExecutorLedger *chooseExecutor(const TaskId &id, const Order &order);
    void start(ExecutorLedger &executor, const TaskId &id, Task &task);
    void startAnswered(const ExecutorId &executorId, const TaskId &id, RunNumber run,
                       const OrderResult &result);
    void requeue(const TaskId &id, bool isNewRun);
    void stopRun(ExecutorLedger &executor, const TaskId &id, Run &run);
    void stopAnswered(const ExecutorId &executorId, const TaskId &id, RunNumber run,
                      const OrderResult &result);
    void hold(ExecutorLedger &executor, bool isLook);
    void holdAnswered(const ExecutorId &executorId, bool isLook, std::uint64_t sequence,
                      Lifetime lifetime, const HoldResult &result);
    void listingReceived(ExecutorLedger &executor, std::uint64_t sequence,
                         const HoldResult &result);
    void endReceived(ExecutorLedger &executor, const ListedEnd &end);
    void runGone(ExecutorLedger &executor, const TaskId &id);
    void lifetimeEnded(ExecutorLedger &executor, Lifetime lifetime);
    void learnFromEnd(ExecutorLedger &executor, const TaskId &id, const Run &run, RunEnd end);
    void finishTask(const TaskId &id, RunNumber run, Wire::TaskReportState state,
                    const ExecutorId &executor);
    void report(const Base::DaemonId &coordinator, const TaskId &id, RunNumber run,
                Wire::TaskReportState state, const ExecutorId &executor);
    void flushReports();
    void followExecutor(ExecutorLedger &executor);
    void stopStraggler(ExecutorLedger &executor, const TaskId &id, Run &run);
    void checkRuns(ExecutorLedger &executor);
    bool isConfirmationDue(const ExecutorLedger &executor) const;
    void fence();
    bool isLeaseOfEarlierOwnerOver() const;
    bool isFateKnown(const ExecutorId &executor) const;
    bool isListStable() const;
    void releaseAwaitingLook();
    double estimateLogMs(const Order &order) const;
    void changed() { ++m_loadVersion; }

    const GroupId m_group;
    const FencingToken m_token;
    Base::Timers &m_timers;
    ExecutorPort &m_port;
    GroupListener &m_listener;
    const Base::TimePoint m_claimed;
    // Callbacks of orders that are answered after the group is gone must do nothing.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    bool m_isFenced = false;    // no order is sent any more
    bool m_wasAccepted = false; // some executor has accepted the token

    LedgerMap m_ledgers;
    Base::TimePoint m_listChanged;  // when an executor was last added or removed
    std::map<TaskId, Task> m_tasks; // Queued tasks are in m_queue, OnExecutor ones in a ledger
    TaskQueue m_queue;
    std::set<TaskId> m_awaitingLook;
    std::map<TaskId, EndedTask> m_ended;
    Base::TimePoint m_lastPrune; // of m_ended
    std::map<Base::DaemonId, std::uint64_t> m_batchesSeen;
    std::map<std::uint32_t, double> m_estimateBias; // by priority, logarithm
    std::map<std::pair<Base::DaemonId, JobId>, Wire::TaskReports> m_reports; // not sent yet
    std::uint64_t m_lastHold = 0; // numbers holds in the order of sending
    std::uint64_t m_loadVersion = 1;
    Base::TimePoint m_lastTick;
    Base::TimePoint m_contestedUntil;
    bool m_isFlushScheduled = false;
    GroupCounters m_counters;
};

} // namespace Dispatch
