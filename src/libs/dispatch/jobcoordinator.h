// Coordinates the jobs that were submitted to this daemon.
#pragma once

#include "executorlosses.h"
#include "groupdirectory.h"
#include "memorybudget.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace Dispatch {

enum class JobOutcome {
    Completed, ///< All tasks are done.
    Failed,    ///< A task used up the attempts that its queue allows, or crashes its executors.
    Rejected,  ///< No task was started, and none will be.
    TimedOut,  ///< There was no result in time; tasks may have been started.
    Cancelled, ///< By its caller; its tasks are stopped.
};

struct JobResult
{
    JobOutcome outcome = JobOutcome::Completed;
    std::string reason;           // if not completed; for logs and the caller
    Base::Duration retryAfter{0}; // if rejected; 0 if unknown
};

struct JobRequest
{
    JobSpec spec;
    QueuePolicy policy;
    Base::Duration timeLeft{0}; // until the caller stops waiting
};

/// Sends messages to the owner of a group, which may be this daemon.
class GroupSender
{
public:
    virtual ~GroupSender() = default;

    /// Returns false, without sending, if the owner is unknown or not connected.
    virtual bool sendToOwner(const GroupId &group, const Wire::Message &message) = 0;
    /// Whether sendToOwner() would send.
    virtual bool isOwnerReachable(const GroupId &group) const = 0;
    /// Tells the owner that the batches from \a firstSequence on contain all tasks that are still
    /// needed. Returns false, without sending, if the owner is unknown or not connected.
    virtual bool sendClaimsEnd(const GroupId &group, std::uint64_t firstSequence) = 0;
};

struct JobCounters
{
    std::uint64_t accepted = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t rejected = 0;
    std::uint64_t timedOut = 0;
    std::uint64_t cancelled = 0;
    // Parts of rejected; with AdmissionPolicy::Forecast only.
    std::uint64_t rejectedNoChance = 0;
    std::uint64_t rejectedInProportion = 0;
    std::uint64_t withdrawnNoChance = 0; // ended as rejected or timed out
    // Parts of rejected.
    std::uint64_t rejectedNoMemory = 0;
    std::uint64_t rejectedNoExecutor = 0; // none known that can run it
};

/// Tracks each job from its acceptance to its result. A task is assigned to one group at a time,
/// and is reassigned only after that group has reported that it has no run of the task.
class JobCoordinator
{
public:
    using Callback = std::function<void(const JobResult &)>;

    JobCoordinator(Base::Timers &timers, GroupDirectory &directory, const ExecutorLosses &losses,
                   GroupSender &sender, const DispatchOptions &options = {});
    ~JobCoordinator();

    /// Calls \a callback once with the result, possibly before this function returns. A job that
    /// cannot be served is rejected at once.
    void submit(JobRequest request, Callback callback);
    /// Stops the job, whose caller no longer waits for it; its callback is not called.
    void cancel(const JobId &job);
    /// Stops the job, whose caller has cancelled it, and ends it as cancelled. Returns false if
    /// this daemon does not have it.
    bool cancelForCaller(const JobId &job);
    bool contains(const JobId &job) const { return m_jobs.contains(job); }

    void reportsReceived(const Wire::TaskReports &reports);
    /// Sends the tasks that are at \a group to its owner again, so that the owner reports on each
    /// of them and stops all others of this daemon. Needed if the owner has changed, or messages to
    /// or from it may have been lost. Repeated by tick() if not everything could be sent.
    void claimTasks(const GroupId &group);
    void tick();

    /// Makes submit() reject jobs that would not end before \a deadline, assuming that they take
    /// twice their estimate.
    void setShutdownDeadline(Base::TimePoint deadline) { m_shutdownDeadline = deadline; }
    /// Ends all jobs as timed out, so that their callers get an answer before the process exits.
    void abortAll();

    std::size_t jobCount() const { return m_jobs.size(); }
    /// Memory for the jobs in progress, as estimated.
    std::size_t jobBytes() const { return m_memory->usedBytes(); }
    const JobCounters &counters() const { return m_counters; }
    /// Means over groups and priorities of the learned errors of the forecast waits, and of their
    /// absolute values; positive if tasks wait longer than forecast.
    Base::Duration forecastError() const;
    Base::Duration absoluteForecastError() const;

private:
    enum class TaskState { Waiting, AtGroup, Done };
    enum class BatchKind {
        Queued,    ///< New tasks, which wait at the group if they cannot start at once.
        Immediate, ///< New tasks that are returned if they cannot start at once.
        Claim,     ///< Tasks that an owner of the group may have started.
    };

    /// Wait of a task that was forecast when it was placed.
    struct ForecastWait
    {
        Base::TimePoint since;
        Base::Duration forecast{0};
        bool isQueued = false; // false: it was expected to start at once
    };

    struct Task
    {
        TaskState state = TaskState::Waiting;
        GroupId group;                  // if AtGroup
        std::uint64_t sentSequence = 0; // of the last batch that included it, while AtGroup
        std::uint64_t minRun = 1;
        std::uint32_t failures = 0;
        std::uint32_t refusals = 0; // starts that an executor refused for their order
        std::uint32_t returns = 0;  // by groups that could not start it at once
        std::string executor; // on which its run was reported to have started; empty after a claim
        std::uint64_t lifetime = 0; // of that executor
        std::uint64_t run = 0;      // that was reported as started there
        bool needsClaim = false;    // AtGroup, and the claim has not been sent to the owner yet
        /// From its first placement until its start is reported; with AdmissionPolicy::Forecast
        /// only.
        std::optional<ForecastWait> forecastWait;
    };

    struct Job
    {
        JobRequest request;
        Callback callback;
        Base::TimePoint accepted;
        Base::TimePoint objective;
        Base::TimePoint usefulUntil; // a later result is of no use to the caller
        Base::TimePoint latestStart; // after which the result would come too late to be of use
        Base::TimePoint deadline;
        bool mayHaveStarted = false; // some task, at some group
        bool isWithdrawn = false;    // its tasks are being taken back from the groups
        std::string withdrawalReason;
        Base::Duration minRetryAfter{0}; // if it is rejected by its withdrawal
        Base::Duration expectedWait{0};  // on its arrival; with AdmissionPolicy::Forecast only
        Base::TimePoint lastDecision;    // on whether it is of use; likewise
        MemoryBudget::Share memory;
        std::vector<std::vector<Task>> steps;
        std::vector<std::uint32_t> remaining; // by step: number of tasks that are not done
    };

    using JobMap = std::map<JobId, Job>;

    bool isForecasting() const { return m_options.admission == AdmissionPolicy::Forecast; }
    static std::size_t memoryOf(const JobRequest &request);
    void reject(const JobRequest &request, const char *reason, Base::Duration retryAfter,
                const Callback &callback);
    bool isServable(const JobRequest &request) const;
    void withdrawUnservable();
    static JobProfile profileOf(const JobRequest &request, Base::Duration usefulTime);
    PlacementRequest waitRequestFor(const JobProfile &profile) const;
    std::optional<JobResult> rejectionByForecast(const JobProfile &profile,
                                                 const QueuePolicy &policy,
                                                 Base::Duration *expectedWait);
    void recordWait(const Job &job, const Task &task, bool isStarted);
    bool isHopeless(const JobId &id, Job &job);
    void updatePressure();
    bool isReady(const Job &job, std::size_t step) const;
    void placeWaiting(const JobId &id, Job &job);
    void placeStep(const JobId &id, Job &job, std::size_t step);
    bool placeTasks(const JobId &id, Job &job, std::size_t step);
    static void countTasks(const Job &job, Wire::TaskBatch &batch);
    bool sendBatch(const JobId &id, Job &job, std::size_t step, const GroupId &group,
                   const std::vector<std::uint32_t> &indices, BatchKind kind);
    void reportReceived(const Wire::TaskReports &reports, JobMap::iterator it,
                        const Wire::TaskReport &report);
    void taskLost(JobMap::iterator it, const Wire::TaskReport &report);
    void giveUp(JobMap::iterator it, const TaskId &task);
    void withdrawRefused(JobMap::iterator it, const Wire::TaskReport &report);
    void sendClaims(const JobId &id, Job &job);
    bool areClaimsSent(const GroupId &group) const;
    void withdraw(JobMap::iterator it, const char *reason,
                  Base::Duration minRetryAfter = Base::Duration(0));
    void finishWithdrawn(JobMap::iterator it);
    void stopTasks(const JobId &id, const Job &job);
    void finish(JobMap::iterator it, JobResult result);
    PlacementRequest placementFor(const Job &job, std::size_t step, std::uint32_t count) const;

    Base::Timers &m_timers;
    GroupDirectory &m_directory;
    const ExecutorLosses &m_losses;
    GroupSender &m_sender;
    const DispatchOptions m_options;
    JobAdmission m_admission;
    const std::shared_ptr<MemoryBudget> m_memory; // for m_jobs
    JobMap m_jobs;
    std::map<GroupId, std::uint64_t> m_sequences; // last batch sent to each group
    // Groups whose owner may have tasks that are not needed any more, or lack a claim.
    std::set<GroupId> m_unreconciled;
    std::optional<Base::TimePoint> m_shutdownDeadline;
    std::uint64_t m_checkedExecutors = 0; // version of the list for which m_jobs are servable
    JobCounters m_counters;
};

} // namespace Dispatch
