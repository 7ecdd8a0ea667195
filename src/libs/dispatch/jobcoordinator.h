// Jobs that this daemon has received and answers when they have ended.
#pragma once

#include "groupdirectory.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace Dispatch {

enum class JobOutcome {
    Completed, ///< Every task has ended as done.
    Failed,    ///< A task failed as often as the queue allows.
    Rejected,  ///< No task was ever started, and none will be.
    TimedOut,  ///< Tasks were started, and there is no result in time.
};

struct JobResult
{
    JobOutcome outcome = JobOutcome::Completed;
    std::string reason;           // for logs and the caller, if not completed
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

    /// Returns false if the owner is not known or not connected; then nothing was sent.
    virtual bool sendToOwner(const GroupId &group, const Wire::Message &message) = 0;
    /// Whether sendToOwner() would send.
    virtual bool isOwnerReachable(const GroupId &group) const = 0;
};

struct JobCounters
{
    std::uint64_t accepted = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t rejected = 0;
    std::uint64_t timedOut = 0;
    std::uint64_t cancelled = 0;
};

/// Follows each job from its acceptance to its answer. A task is at one group at a time, and goes
/// to another one only after the first has stated that it has no run of it.
class JobCoordinator
{
public:
    using Callback = std::function<void(const JobResult &)>;

    JobCoordinator(Base::Timers &timers, GroupDirectory &directory, GroupSender &sender);
    ~JobCoordinator();

    /// Calls \a callback once with the result, possibly before this function returns. A job that
    /// can't be served is rejected at once.
    void submit(JobRequest request, Callback callback);
    /// Nobody waits for the job any more; its callback is not called.
    void cancel(const JobId &job);
    bool contains(const JobId &job) const { return m_jobs.contains(job); }

    void reportsReceived(const Wire::TaskReports &reports);
    /// The group has another owner, or messages to or from its owner may have been lost: states
    /// again which tasks are at the group, so that the owner reports on each of them.
    void claimTasks(const GroupId &group);
    void tick();

    /// From now on jobs are rejected that would not end before \a end, by twice their estimate.
    void setClosing(Base::TimePoint end) { m_closing = end; }
    /// Gives all jobs up, so that their callers get an answer before the process ends.
    void endAll();

    std::size_t jobCount() const { return m_jobs.size(); }
    const JobCounters &counters() const { return m_counters; }

private:
    enum class TaskState { Waiting, AtGroup, Done };

    struct Task
    {
        TaskState state = TaskState::Waiting;
        GroupId group;                  // if AtGroup
        std::uint64_t sentSequence = 0; // of the last batch that named it, while AtGroup
        std::uint64_t minRun = 1;
        std::uint32_t failures = 0;
        std::string executor;    // where its run was reported; empty after a claim
        bool needsClaim = false; // AtGroup, and the owner has yet to be asked about it
    };

    struct Job
    {
        JobRequest request;
        Callback callback;
        Base::TimePoint accepted;
        Base::TimePoint objective;
        Base::TimePoint deadline;
        std::vector<std::vector<Task>> steps;
        std::vector<std::uint32_t> remaining; // by step: tasks that are not done
    };

    using JobMap = std::map<JobId, Job>;

    bool isReady(const Job &job, std::size_t step) const;
    void placeWaiting(const JobId &id, Job &job);
    void placeStep(const JobId &id, Job &job, std::size_t step);
    bool placeTasks(const JobId &id, Job &job, std::size_t step);
    bool sendBatch(const JobId &id, Job &job, std::size_t step, const GroupId &group,
                   const std::vector<std::uint32_t> &indices, bool mayHaveStarted);
    void reportReceived(const Wire::TaskReports &reports, JobMap::iterator it,
                        const Wire::TaskReport &report);
    void sendClaims(const JobId &id, Job &job);
    void stopTasks(const JobId &id, const Job &job);
    void finish(JobMap::iterator it, JobResult result);
    static PlacementRequest placementFor(const Job &job, std::size_t step, std::uint32_t count);

    Base::Timers &m_timers;
    GroupDirectory &m_directory;
    GroupSender &m_sender;
    JobMap m_jobs;
    std::map<GroupId, std::uint64_t> m_sequences; // last batch sent to each group
    std::optional<Base::TimePoint> m_closing;
    JobCounters m_counters;
};

} // namespace Dispatch
