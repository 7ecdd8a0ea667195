// Task execution: queueing, starting, results, stops.
#include "coordinator.h"

#include "jobsconstants.h"

#include <base/log.h>
#include <base/softassert.h>

#include <algorithm>
#include <utility>

namespace Jobs {

using Base::FailureCode;
using Scheduling::TaskHandle;
using Scheduling::TaskResult;

bool Coordinator::upstreamFences(const Base::UpstreamId &id) const
{
    const auto it = m_manifest->upstreams.find(id);
    return it != m_manifest->upstreams.end() && it->second.fencing;
}

void Coordinator::enqueueTask(JobRecord &record, std::size_t index)
{
    TaskEntry &task = record.tasks[index];
    EP_ASSERT(task.phase == TaskPhase::Waiting, return);
    // A delayed requeue may run after the record was resumed, which queued all waiting tasks.
    if (m_handles.contains(task.handle))
        return;
    const TaskHandle handle(++m_lastHandle);
    task.handle = handle;
    m_handles.emplace(handle, TaskReference{record.id, index, record.epoch, {}});
    Scheduling::TaskDescription description;
    description.handle = handle;
    description.team = record.id.team;
    description.kind = record.kind;
    description.single = record.isSingle;
    description.deadline = record.deadline;
    description.excluded = task.excluded;
    m_context.scheduler.enqueue(std::move(description));
}

void Coordinator::requeueLater(const Base::RequestId &id, std::size_t index, Base::Epoch epoch,
                               Base::Duration delay)
{
    m_context.timers.schedule(delay, [this, id, index, epoch] {
        JobRecord *record = findActive(id, epoch);
        if (record && record->phase == RecordPhase::Running
            && record->tasks[index].phase == TaskPhase::Waiting)
            enqueueTask(*record, index);
    });
}

void Coordinator::startTask(TaskHandle handle, const Base::UpstreamId &upstream)
{
    const auto reference = m_handles.find(handle);
    EP_ASSERT(reference != m_handles.end(), return);
    const auto refuse = [&](Base::Duration delay) {
        const TaskReference task = reference->second;
        m_handles.erase(reference);
        requeueLater(task.request, task.index, task.epoch, delay);
        // Deferred, since the scheduler is still in the call that starts the task.
        m_context.timers.schedule(Base::Duration(0), [this, handle] {
            m_context.scheduler.taskFinished(handle, TaskResult::Refused, Base::Duration(0));
        });
    };
    JobRecord *record = findActive(reference->second.request, reference->second.epoch);
    if (!record || record->phase != RecordPhase::Running) {
        refuse(Constants::LEASE_RETRY_MS);
        return;
    }
    // The last check before the order is sent: the process may have been paused since any earlier
    // check.
    if (!record->isLocal()
        && m_context.authority.leasedEpoch(record->shard.index) != record->epoch) {
        refuse(Constants::LEASE_RETRY_MS);
        return;
    }
    const std::size_t index = reference->second.index;
    TaskEntry &task = record->tasks[index];
    EP_ASSERT(task.phase == TaskPhase::Waiting, refuse(Constants::LEASE_RETRY_MS); return);
    const Base::TimePoint now = m_context.timers.now();
    reference->second.startedAt = now;
    task.phase = TaskPhase::Started;
    task.upstream = upstream;
    task.startedAt = now;
    ++record->startedCount;
    ++record->attempts;
    m_context.observer.taskStarted(*record, index, upstream);

    StartOrder order;
    order.task = taskName(record->id, index);
    order.kind = record->kind;
    order.payload = record->payloads[index];
    order.timeout = record->deadline - now + Constants::RESOLVE_MARGIN_MS;
    if (!record->isLocal()) {
        order.shard = shardName(record->shard);
        order.epoch = record->epoch;
    }
    m_runner.run(upstream, std::move(order), upstreamFences(upstream),
                 record->deadline + Constants::RESOLVE_MARGIN_MS,
                 [this, alive = m_isAlive, handle](const TaskEnd &end) {
                     if (*alive)
                         taskEnded(handle, end);
                 });
}

static TaskResult schedulerResult(TaskEndKind kind)
{
    switch (kind) {
    case TaskEndKind::Succeeded:
        return TaskResult::Succeeded;
    case TaskEndKind::Failed:
        return TaskResult::Failed;
    case TaskEndKind::Stopped:
        return TaskResult::Cancelled;
    case TaskEndKind::NotStarted:
    case TaskEndKind::StaleEpoch:
        return TaskResult::Refused;
    case TaskEndKind::Lost:
        return TaskResult::Lost;
    }
    return TaskResult::Lost;
}

void Coordinator::taskEnded(TaskHandle handle, const TaskEnd &end)
{
    const auto it = m_handles.find(handle);
    EP_ASSERT(it != m_handles.end(), return);
    const TaskReference task = it->second;
    m_handles.erase(it);
    m_stops.taskEnded(taskName(task.request, task.index));
    JobRecord *record = findActive(task.request, task.epoch);
    if (record && record->isUndecided())
        applyTaskEnd(*record, task.index, end);
    m_context.scheduler.taskFinished(handle, schedulerResult(end.kind),
                                     m_context.timers.now() - task.startedAt);
}

/// None if the request can continue after a task end of this kind.
static FailureCode failureOf(TaskEndKind kind)
{
    switch (kind) {
    case TaskEndKind::Failed:
    case TaskEndKind::Stopped:
        return FailureCode::TaskFailed;
    case TaskEndKind::Lost:
        return FailureCode::WorkerLost;
    default:
        return FailureCode::None;
    }
}

void Coordinator::applyTaskEnd(JobRecord &record, std::size_t index, const TaskEnd &end)
{
    EP_ASSERT(record.tasks[index].phase == TaskPhase::Started, return);
    if (record.phase == RecordPhase::Suspended && failureOf(end.kind) != FailureCode::None) {
        // The failure can only be decided when the lease is held again.
        record.suspendedFailure = failureOf(end.kind);
        return;
    }
    switch (end.kind) {
    case TaskEndKind::Succeeded:
        m_context.observer.taskEnded(record, index, FailureCode::None);
        taskSucceeded(record, index, end.result);
        return;
    case TaskEndKind::NotStarted:
        taskNotStarted(record, index, end);
        return;
    case TaskEndKind::StaleEpoch:
        taskNotStarted(record, index, end);
        m_context.authority.ownershipRefused(record.shard.index, record.epoch.next());
        return;
    case TaskEndKind::Failed:
        m_context.observer.taskEnded(record, index, FailureCode::TaskFailed);
        if (!retryRepeatable(record, index))
            decideFailure(record, FailureCode::TaskFailed, "a task reported an error");
        return;
    case TaskEndKind::Stopped:
        m_context.observer.taskEnded(record, index, FailureCode::Cancelled);
        decideFailure(record, FailureCode::TaskFailed, "the platform stopped a task");
        return;
    case TaskEndKind::Lost:
        m_context.observer.taskEnded(record, index, FailureCode::WorkerLost);
        if (!retryRepeatable(record, index))
            decideFailure(record, FailureCode::WorkerLost, "the outcome of a task is unknown");
        return;
    }
}

void Coordinator::taskSucceeded(JobRecord &record, std::size_t index, const std::string &result)
{
    TaskEntry &task = record.tasks[index];
    task.phase = TaskPhase::Finished;
    task.result = result;
    ++record.finishedCount;
    if (record.isRepeatable)
        m_retryBudget.taskSucceeded();
    finishIfComplete(record);
}

void Coordinator::taskNotStarted(JobRecord &record, std::size_t index, const TaskEnd &end)
{
    TaskEntry &task = record.tasks[index];
    task.phase = TaskPhase::Waiting;
    --record.startedCount;
    ++task.refusals;
    if (end.isRevoked)
        task.excluded.push_back(task.upstream);
    const Base::Duration delay = std::min<Base::Duration>(
        Constants::REQUEUE_MAX_MS, task.refusals * Constants::REQUEUE_STEP_MS);
    requeueLater(record.id, index, record.epoch, delay);
}

bool Coordinator::retryRepeatable(JobRecord &record, std::size_t index)
{
    if (!record.isRepeatable || record.attempts >= Constants::MAX_REPEATABLE_ATTEMPTS)
        return false;
    const Base::TimePoint now = m_context.timers.now();
    if (now >= record.deadline || !m_retryBudget.tryRetry(now))
        return false;
    TaskEntry &task = record.tasks[index];
    task.phase = TaskPhase::Waiting;
    --record.startedCount;
    // The task may have run, so a later failure must not be reported as notRun.
    record.isStartUncertain = true;
    task.excluded.push_back(task.upstream);
    requeueLater(record.id, index, record.epoch, Base::Duration(0));
    return true;
}

void Coordinator::withdrawWaitingTasks(JobRecord &record)
{
    for (const TaskEntry &task : record.tasks) {
        if (task.phase == TaskPhase::Waiting && m_handles.contains(task.handle)
            && m_context.scheduler.withdraw(task.handle))
            m_handles.erase(task.handle);
    }
}

void Coordinator::stopTasks(JobRecord &record)
{
    withdrawWaitingTasks(record);
    for (std::size_t i = 0; i < record.tasks.size(); ++i) {
        const TaskEntry &task = record.tasks[i];
        if (task.phase == TaskPhase::Started)
            m_stops.stop(taskName(record.id, i), task.upstream);
    }
}

} // namespace Jobs
