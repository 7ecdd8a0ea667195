// Controls the executors of one group. Only the owner of a group starts and stops tasks there and
// lists them, under one fencing token. Tasks of all daemons are queued here until an executor has
// enough free resources.
#pragma once

#include "batchinfo.h"
#include "dispatchoptions.h"
#include "endedruns.h"
#include "executorlosses.h"
#include "executorport.h"
#include "executorstate.h"
#include "memorybudget.h"
#include "placement.h"
#include "queueorder.h"
#include "runlog.h"
#include "runtimes.h"
#include "taskqueue.h"
#include "unansweredorders.h"
#include "waitforecaster.h"

#include <wire/messages.h>

#include <memory>
#include <set>
#include <vector>

namespace Dispatch {

class GroupListener
{
public:
    virtual ~GroupListener() = default;

    /// \a reports are for the daemon \a coordinator, which holds the job.
    virtual void tasksReported(const Base::DaemonId &coordinator,
                               const Wire::TaskReports &reports) = 0;
    /// \a executor has seen a higher token, so the group must not be used any more. \a wasAccepted:
    /// an earlier order under the group's token was accepted.
    virtual void groupFenced(const GroupId &group, const ExecutorId &executor,
                             bool wasAccepted) = 0;
    /// An executor counts as lost; one of the tasks that it ran may have crashed it.
    virtual void executorLost(const ExecutorLoss &loss) = 0;
    /// An executor has answered in this lifetime.
    virtual void executorAnswered(const ExecutorId &executor, Lifetime lifetime) = 0;
    /// This lifetime of an executor is known to have ended.
    virtual void executorEnded(const ExecutorId &executor, Lifetime lifetime) = 0;
    /// This daemon and its peers that do not count as lost.
    virtual std::set<Base::DaemonId> liveDaemons() const = 0;
};

/// Counters of one group since its claim.
struct GroupCounters
{
    std::uint64_t starts = 0;
    std::uint64_t done = 0;
    std::uint64_t failed = 0;
    std::uint64_t lost = 0;
    std::uint64_t lostWithExecutor = 0; // part of lost
    std::uint64_t unresolvedStarts = 0;
    std::uint64_t stragglers = 0;
    std::uint64_t stragglersByExecutor = 0; // part of stragglers
    std::uint64_t stragglersByLength = 0;   // part of stragglers
    std::uint64_t expired = 0; // tasks dropped since their job could not end in time any more
    std::uint64_t refusedForMemory = 0; // tasks
};

/// Exists from the claim of a group to its loss. A run number is used only once for a task, and a
/// task has at most one run in the records of a group's executors.
class ExecutorGroup : private OrderSender
{
public:
    ExecutorGroup(GroupId group, FencingToken token, Base::Timers &timers, ExecutorPort &port,
                  const ExecutorLosses &losses, GroupListener &listener,
                  const DispatchOptions &options = {});
    /// \a memory is shared by all groups of a daemon.
    ExecutorGroup(GroupId group, FencingToken token, Base::Timers &timers, ExecutorPort &port,
                  const ExecutorLosses &losses, GroupListener &listener,
                  const DispatchOptions &options, std::shared_ptr<MemoryBudget> memory);
    ~ExecutorGroup() override;

    const GroupId &id() const { return m_group; }
    FencingToken token() const { return m_token; }
    Base::TimePoint claimed() const { return m_claimed; }

    /// Sets the registered executors of the group. Runs on executors that are missing from the list
    /// are tracked to their end, and nothing new starts there. \a changed is when the set last
    /// changed.
    void setExecutors(const std::vector<ExecutorInfo> &executors, Base::TimePoint changed);
    /// The list contains all executors that had registered at \a time.
    void setListCompleteAsOf(Base::TimePoint time) { m_listCompleteAsOf = time; }

    void submit(const Base::DaemonId &from, const Wire::TaskBatch &message);
    void stopJob(const Base::DaemonId &from, const JobId &job);
    /// Stops the job for all its coordinators, since its caller has cancelled it. Returns whether
    /// there were any tasks.
    bool stopCancelledJob(const JobId &job);
    /// \a coordinator has claimed all tasks that it still needs in the batches from
    /// \a firstSequence on: stops its other ones, whose stop may have been lost with a connection.
    void claimsEnded(const Base::DaemonId &coordinator, std::uint64_t firstSequence);
    /// Stops and drops all tasks of \a daemon without a report: it has failed or is disconnected,
    /// and its callers submit their jobs again elsewhere. If it is still running, it claims its
    /// tasks again.
    void coordinatorLost(const Base::DaemonId &daemon);

    /// Another daemon may claim the group without this one hearing of it: until \a until, the
    /// executors are checked for whether they still accept the token.
    void setContested(Base::TimePoint until) { m_contestedUntil = until; }

    /// The group has another owner: no more orders are sent.
    void retire() { m_isFenced = true; }

    /// The load to report, without batchesSeen, which differs by recipient.
    Wire::GroupLoad load() const;
    /// Sequence of the last batch from \a coordinator, 0 if there was none.
    std::uint64_t batchesSeen(const Base::DaemonId &coordinator) const;
    /// Incremented with each change of the load.
    std::uint64_t loadVersion() const { return m_loadVersion; }

    /// Starts from the run times that a previous owner has published.
    void restoreRunTimes(const std::vector<Wire::RunTimeProfile> &profiles)
    {
        m_runTimes->restore(profiles);
    }

    /// Renews leases, retries unanswered holds and stops, and stops stragglers; called every
    /// TICK_MS.
    void tick();

    const GroupCounters &counters() const { return m_counters; }
    QueueOrderCounters queueOrderCounters() const { return m_queueOrder->counters(); }
    PlacementCounters placementCounters() const { return m_placement->counters(); }
    const OverdueCounters &overdueCounters() const { return m_orders.counters(); }
    std::size_t queuedCount() const { return m_queue.size(); }
    std::size_t runCount() const;

private:
    enum class TaskState { AwaitingListing, Queued, OnExecutor };

    struct Task
    {
        Base::DaemonId coordinator;
        std::shared_ptr<const BatchInfo> batch;
        std::uint64_t nextRun = 1;
        TaskState state = TaskState::Queued;
        ExecutorId executor; // if OnExecutor; if AwaitingListing, where a previous owner started it
        Lifetime lifetime;   // of that executor, if AwaitingListing; 0 if unknown
        RunNumber run;       // there, if AwaitingListing; 0 if unknown
        bool isCancelled = false;
        bool isDropped = false;  // cancelled, and to be removed without a report
        bool isRepeated = false; // an earlier run may have been started, by any owner
        Base::TimePoint queuedAt;
        Base::TimePoint lastSent; // by its coordinator
    };

    ExecutorState *findExecutor(const ExecutorId &id) override;
    bool mayRepeatOrders() const override;
    void removeUnregistered();
    void checkRegistration(ExecutorState &executor);
    MemoryBudget::Share memoryFor(const Wire::TaskBatch &message);
    void refuseBatch(const Base::DaemonId &from, const Wire::TaskBatch &message);
    bool isServable(const BatchInfo &batch) const;
    void returnUnservable();
    void submitTask(const Base::DaemonId &from, const std::shared_ptr<const BatchInfo> &batch,
                    const Wire::BatchTask &entry);
    bool reportKnownEnd(const Base::DaemonId &from, const TaskId &id, const Wire::BatchTask &entry);
    void cancelTask(const TaskId &id, Task &task);
    void cancelTasks(const std::vector<TaskId> &ids);
    void checkClaims();
    bool isStopDue(const Run &run) const;
    bool claimFoundRun(const TaskId &id, const Task &task);
    bool attachTask(const Base::DaemonId &from, const std::shared_ptr<const BatchInfo> &batch,
                    const TaskId &id, std::uint64_t minRun);
    void enqueue(const TaskId &id, Task &task);
    bool mayStart(const TaskId &id) const;
    void dropExpired();
    void placeQueued();
    bool mayBeOrphaned(const Task &task) const;
    void returnUnplaced(const BatchInfo &batch, const std::vector<Wire::BatchTask> &tasks);
    void start(ExecutorState &executor, const TaskId &id, Task &task);
    void startAnswered(const ExecutorId &executorId, Lifetime lifetime, const TaskId &id,
                       RunNumber run, const OrderResult &result);
    void orderRefused(ExecutorState &executor, const TaskId &id, RunNumber run);
    void requeue(const TaskId &id, bool mayHaveStarted);
    void stopRun(ExecutorState &executor, const TaskId &id, Run &run, int repeats = 0) override;
    void stopAnswered(const ExecutorId &executorId, Lifetime lifetime, const TaskId &id,
                      RunNumber run, const OrderResult &result);
    void hold(ExecutorState &executor, bool isImmediate, int repeats = 0) override;
    void holdAnswered(const ExecutorId &executorId, bool isImmediate, std::uint64_t sequence,
                      Lifetime lifetime, Base::TimePoint sent, const HoldResult &result);
    void startNotCarriedOut(ExecutorState &executor, const TaskId &id);
    void returnRetried();
    bool isContested() const { return m_timers.now() < m_contestedUntil; }
    void executorAppeared(ExecutorState &executor);
    bool requestConfirmation();
    void checkUnconfirmed();
    void tokenConfirmed(const ExecutorState &executor, Base::TimePoint sent);
    void listingReceived(ExecutorState &executor, std::uint64_t sequence, const HoldResult &result);
    void endReceived(ExecutorState &executor, const ListedEnd &end);
    void runGone(ExecutorState &executor, const TaskId &id, RunLoss cause);
    void runsGone(ExecutorState &executor, const std::vector<TaskId> &tasks, RunLoss cause);
    void reportLoss(const ExecutorState &executor, Lifetime lifetime,
                    const std::vector<TaskId> &tasks, RunLoss cause);
    void runsOfEndedLifetimeGone(ExecutorState &executor, Lifetime next);
    void executorRestarted(ExecutorState &executor, Lifetime lifetime);
    void updateEstimates(ExecutorState &executor, const TaskId &id, const Run &run, RunEnd end);
    void finishTask(const TaskId &id, RunNumber run, Wire::TaskReportState state,
                    const ExecutorId &executor);
    void report(const Base::DaemonId &coordinator, const TaskId &id, RunNumber run,
                Wire::TaskReportState state, const ExecutorId &executor);
    void flushReports();
    void pollExecutor(ExecutorState &executor);
    StragglerCause stragglerCause(const ExecutorState &executor, const TaskId &id,
                                  const Run &run) const;
    void stopStraggler(ExecutorState &executor, const TaskId &id, Run &run, StragglerCause cause);
    void checkRuns(ExecutorState &executor);
    bool isTokenCheckDue(const ExecutorState &executor) const;
    void fence(const ExecutorId &executor);
    bool isPreviousOwnerLeaseExpired() const;
    bool isCertainlyNotRunning(const ExecutorId &executor, Lifetime lifetime) const;
    bool isExecutorListStable() const;
    void releaseAwaitingListing();
    void claimedRunGone(const TaskId &id, const ExecutorId &executor, Lifetime lifetime,
                        RunNumber run);
    static RunKind kindOf(const BatchInfo &batch);
    double estimateLogMs(const BatchInfo &batch) const;
    Base::Duration runTimeAt(const BatchInfo &batch, double speed) const;
    void loadChanged() { ++m_loadVersion; }
    const std::vector<Wire::WaitForecast> &forecasts() const;

    const GroupId m_group;
    const FencingToken m_token;
    Base::Timers &m_timers;
    ExecutorPort &m_port;
    const ExecutorLosses &m_losses;
    GroupListener &m_listener;
    const DispatchOptions m_options;
    const std::shared_ptr<MemoryBudget> m_memory;
    UnansweredOrders m_orders;
    const std::unique_ptr<RunTimes> m_runTimes;
    const Base::TimePoint m_claimed;
    // Set to false by the destructor: answers to orders that arrive later are ignored.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    bool m_isFenced = false;    // no more orders are sent
    bool m_wasAccepted = false; // some executor has accepted the token

    ExecutorMap m_executors;
    Base::TimePoint m_listChanged; // when an executor was last added or removed
    Base::TimePoint m_listCompleteAsOf = Base::TimePoint::max();
    std::map<TaskId, Task> m_tasks; // Queued ones are in m_queue, OnExecutor ones in m_executors
    TaskQueue m_queue;
    const std::unique_ptr<QueueOrder> m_queueOrder;
    const std::unique_ptr<Placement> m_placement;
    std::set<TaskId> m_awaitingListing;
    EndedRuns m_ended;
    std::vector<TaskId> m_retried; // queued since the last placement, as their start never happened
    std::map<Base::DaemonId, std::uint64_t> m_batchesSeen;
    // By coordinator: earlier batches are superseded by its claims.
    std::map<Base::DaemonId, std::uint64_t> m_firstSequences;
    std::set<Base::DaemonId> m_claimants; // have claimed all their tasks since the group's claim
    bool m_areClaimsComplete = false;     // no coordinator needs a run that is not claimed
    std::map<std::pair<Base::DaemonId, JobId>, Wire::TaskReports> m_reports; // not sent yet
    WaitForecaster m_forecaster;
    // Cache of forecasts(); the forecasts depend on the time as well as on the load.
    mutable std::vector<Wire::WaitForecast> m_forecasts;
    mutable Base::TimePoint m_forecastTime;
    std::uint64_t m_lastHold = 0; // number of the hold sent last
    std::uint64_t m_loadVersion = 1;
    Base::TimePoint m_lastTick;
    Base::TimePoint m_contestedUntil;
    Base::TimePoint m_resumed; // end of the last pause of this process
    bool m_isFlushScheduled = false;
    bool m_mayBeUnservable = false; // some queued task, since the executors or the queue changed
    bool m_hasExecutors = false;    // setExecutors() has been called
    GroupCounters m_counters;
};

} // namespace Dispatch
