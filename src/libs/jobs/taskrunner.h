// Runs tasks on upstreams and determines how they ended.
#pragma once

#include "workerport.h"

#include <functional>

namespace Jobs {

enum class TaskEndKind {
    Succeeded,
    Failed,     ///< The task ran and reported an error.
    Stopped,    ///< The task was stopped on request.
    NotStarted, ///< The upstream has not started the task and never will for this order.
    StaleEpoch, ///< Not started because the shard has a newer owner.
    Lost,       ///< The task may have started; whether and how it ended can't be determined.
};

struct TaskEnd
{
    TaskEndKind kind = TaskEndKind::Lost;
    std::string result; // JSON
    /// The upstream was not reached or refused the start; it may still accept other tasks.
    bool isUpstreamBusy = false;
    /// The upstream will never accept this task again.
    bool isRevoked = false;
};

/// Sends start orders. If it is unknown whether a worker received one, the task is revoked, so that
/// the worker either guarantees never to start it or reports its state; a running task is awaited.
class TaskRunner
{
public:
    using Callback = std::function<void(const TaskEnd &)>;

    TaskRunner(Base::Timers &timers, WorkerPort &workers);

    /// \a canRevoke: the upstream supports revoke. \a giveUpAt: when the task of a worker that
    /// does not answer is reported as lost.
    void run(const Base::UpstreamId &upstream, StartOrder order, bool canRevoke,
             Base::TimePoint giveUpAt, Callback callback);
    /// Waits for a task that the upstream is known to have started.
    void attach(const Base::UpstreamId &upstream, const TaskName &task, Base::TimePoint giveUpAt,
                Callback callback);

private:
    struct Attempt
    {
        Base::UpstreamId upstream;
        TaskName task;
        Base::TimePoint giveUpAt;
        Callback callback;
    };

    void startReplied(const Attempt &attempt, bool canRevoke, const StartReply &reply);
    void resolve(const Attempt &attempt);
    void await(const Attempt &attempt);
    void reportReceived(const Attempt &attempt, const TaskReport &report);
    void retryOrGiveUp(const Attempt &attempt, void (TaskRunner::*step)(const Attempt &));

    Base::Timers &m_timers;
    WorkerPort &m_workers;
};

} // namespace Jobs
