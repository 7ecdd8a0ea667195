// Starting, revoking and awaiting of tasks.
#include "taskrunner.h"

#include "jobsconstants.h"

#include <utility>

namespace Jobs {

TaskRunner::TaskRunner(Base::Timers &timers, WorkerPort &workers)
    : m_timers(timers)
    , m_workers(workers)
{}

void TaskRunner::run(const Base::UpstreamId &upstream, StartOrder order, bool canRevoke,
                     Base::TimePoint giveUpAt, Callback callback)
{
    const Attempt attempt{upstream, order.task, giveUpAt, std::move(callback)};
    m_workers.start(upstream, order, [this, attempt, canRevoke](const StartReply &reply) {
        startReplied(attempt, canRevoke, reply);
    });
}

void TaskRunner::attach(const Base::UpstreamId &upstream, const TaskName &task,
                        Base::TimePoint giveUpAt, Callback callback)
{
    await({upstream, task, giveUpAt, std::move(callback)});
}

void TaskRunner::startReplied(const Attempt &attempt, bool canRevoke, const StartReply &reply)
{
    TaskEnd end;
    switch (reply.fate) {
    case StartFate::Ended:
        reportReceived(attempt, reply.report);
        return;
    case StartFate::NotSent:
    case StartFate::Refused:
        end.kind = TaskEndKind::NotStarted;
        end.isUpstreamBusy = true;
        attempt.callback(end);
        return;
    case StartFate::StaleEpoch:
        end.kind = TaskEndKind::StaleEpoch;
        attempt.callback(end);
        return;
    case StartFate::Known:
        await(attempt);
        return;
    case StartFate::Unknown:
        if (canRevoke) {
            resolve(attempt);
            return;
        }
        end.kind = TaskEndKind::Lost;
        attempt.callback(end);
        return;
    }
}

void TaskRunner::resolve(const Attempt &attempt)
{
    m_workers.revoke(
        attempt.upstream, {attempt.task},
        [this, attempt](const absl::Status &status, const std::vector<TaskReport> &reports) {
            if (!status.ok() || reports.size() != 1) {
                retryOrGiveUp(attempt, &TaskRunner::resolve);
                return;
            }
            reportReceived(attempt, reports.front());
        });
}

void TaskRunner::await(const Attempt &attempt)
{
    m_workers.awaitTask(
        attempt.upstream, attempt.task, Constants::AWAIT_MS,
        [this, attempt](const absl::Status &status, const std::vector<TaskReport> &reports) {
            if (!status.ok() || reports.size() != 1) {
                retryOrGiveUp(attempt, &TaskRunner::await);
                return;
            }
            reportReceived(attempt, reports.front());
        });
}

void TaskRunner::reportReceived(const Attempt &attempt, const TaskReport &report)
{
    TaskEnd end;
    end.result = report.result;
    switch (report.state) {
    case TaskState::Done:
        end.kind = TaskEndKind::Succeeded;
        break;
    case TaskState::Failed:
        end.kind = TaskEndKind::Failed;
        break;
    case TaskState::Stopped:
        end.kind = TaskEndKind::Stopped;
        break;
    case TaskState::NotStarted:
        end.kind = TaskEndKind::NotStarted;
        end.isRevoked = true;
        break;
    case TaskState::Running:
        retryOrGiveUp(attempt, &TaskRunner::await);
        return;
    case TaskState::Unknown:
        // The worker no longer knows a task that it received, so the task may have run.
        end.kind = TaskEndKind::Lost;
        break;
    }
    attempt.callback(end);
}

void TaskRunner::retryOrGiveUp(const Attempt &attempt, void (TaskRunner::*step)(const Attempt &))
{
    if (m_timers.now() >= attempt.giveUpAt) {
        attempt.callback({});
        return;
    }
    m_timers.schedule(Constants::RESOLVE_RETRY_MS,
                      [this, attempt, step] { (this->*step)(attempt); });
}

} // namespace Jobs
