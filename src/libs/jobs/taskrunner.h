// Runs one task on one upstream and finds out what became of it.
#pragma once

#include "workerport.h"

#include <functional>

namespace Jobs {

enum class TaskEndKind {
    Succeeded,
    Failed,     ///< It ran and reported an error.
    Stopped,    ///< It was stopped on request.
    NotStarted, ///< It certainly was not and will not be started by this upstream's order.
    StaleEpoch, ///< Not started, because the shard has a newer owner.
    Lost,       ///< It may have started; its fate can't be established.
};

struct TaskEnd
{
    TaskEndKind kind = TaskEndKind::Lost;
    std::string result; // JSON
    /// The upstream was not reached or refused in a way that says nothing about other tasks.
    bool isUpstreamBusy = false;
    /// The upstream will never accept this task again.
    bool isRevoked = false;
};

/// Sends starts and resolves those of unknown fate: it revokes the task, so that the worker either
/// promises not to start it or reports it, and then awaits it.
class TaskRunner
{
public:
    using Callback = std::function<void(const TaskEnd &)>;

    TaskRunner(Base::Timers &timers, WorkerPort &workers);

    /// \a canRevoke: the upstream supports revoke. \a giveUpAt: when to report a silent worker's
    /// task as lost.
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
