// Submission and placement of tasks, orders to executors, and their listings.
#include "executorgroup.h"

#include "dispatchconstants.h"

#include <base/log.h>
#include <base/softassert.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Dispatch {

using Base::LogLevel;
using Wire::TaskReportState;

/// Queued tasks considered in each placement; limits its cost when thousands are queued.
static constexpr std::size_t MAX_PLACEMENT_SCAN = 256;

ExecutorGroup::ExecutorGroup(GroupId group, FencingToken token, Base::Timers &timers,
                             ExecutorPort &port, const ExecutorLosses &losses,
                             GroupListener &listener, const DispatchOptions &options)
    : ExecutorGroup(std::move(group), token, timers, port, losses, listener, options,
                    makeTaskBudget(options.memory))
{}

ExecutorGroup::ExecutorGroup(GroupId group, FencingToken token, Base::Timers &timers,
                             ExecutorPort &port, const ExecutorLosses &losses,
                             GroupListener &listener, const DispatchOptions &options,
                             std::shared_ptr<MemoryBudget> memory)
    : m_group(std::move(group))
    , m_token(token)
    , m_timers(timers)
    , m_port(port)
    , m_losses(losses)
    , m_listener(listener)
    , m_options(options)
    , m_memory(std::move(memory))
    , m_orders(options.orders, timers, *this)
    , m_runTimes(makeRunTimes(options.runTimes))
    , m_claimed(timers.now())
    , m_queueOrder(makeQueueOrder(options.queueOrder))
    , m_placement(makePlacement(options.placement,
                                {[this](const TaskId &id) { return mayStart(id); },
                                 [this](const BatchInfo &batch) { return runTimeAt(batch, 1); },
                                 [this] { loadChanged(); }}))
    , m_lastTick(timers.now())
    , m_contestedUntil(timers.now() + Constants::CONTESTED_MS)
{}

ExecutorGroup::~ExecutorGroup()
{
    *m_isAlive = false;
}

ExecutorState *ExecutorGroup::findExecutor(const ExecutorId &id)
{
    const auto it = m_executors.find(id);
    return it == m_executors.end() ? nullptr : &it->second;
}

/// After a pause of this process another daemon may own the group; tick() checks that first.
bool ExecutorGroup::mayRepeatOrders() const
{
    return !m_isFenced && m_timers.now() - m_lastTick <= Constants::PAUSE_MS;
}

void ExecutorGroup::fence(const ExecutorId &executor)
{
    if (std::exchange(m_isFenced, true))
        return;
    m_listener.groupFenced(m_group, executor, m_wasAccepted);
}

std::size_t ExecutorGroup::runCount() const
{
    std::size_t n = 0;
    for (const auto &[id, executor] : m_executors)
        n += executor.runs().size();
    return n;
}

void ExecutorGroup::setExecutors(const std::vector<ExecutorInfo> &executors,
                                 Base::TimePoint changed)
{
    m_listChanged = changed;
    for (auto &[id, executor] : m_executors)
        executor.isRegistered = false;
    for (const ExecutorInfo &it : executors) {
        ExecutorState *known = findExecutor(it.id);
        if (!known) {
            known = &m_executors.emplace(it.id, ExecutorState(it)).first->second;
            Base::log(LogLevel::Info, "executorAdded",
                      {{"executor", it.id}, {"address", it.address}, {"lifetime", it.lifetime}});
            known->appeared = m_timers.now();
            known->toleratedMisses = m_orders.toleratedMisses();
            if (m_hasExecutors)
                executorAppeared(*known);
        } else {
            if (it.lifetime > known->lifetime() && it.lifetime > known->endedLifetime())
                executorRestarted(*known, it.lifetime);
            known->setInfo(it);
            checkRegistration(*known);
        }
        known->isRegistered = true;
        if (!known->hasListing && !known->isImmediateHoldPending)
            hold(*known, true);
    }
    m_hasExecutors = true;
    m_mayBeUnservable = true;
    removeUnregistered();
    ++m_loadVersion;
    placeQueued();
}

/// Logs from when to when an executor is not used for lack of the registration of its lifetime.
void ExecutorGroup::checkRegistration(ExecutorState &executor)
{
    const Base::TimePoint now = m_timers.now();
    if (executor.isInfoCurrent()) {
        const auto since = std::exchange(executor.awaitsRegistrationSince, std::nullopt);
        if (since) {
            Base::log(LogLevel::Info, "registrationRead",
                      {{"executor", executor.info().id},
                       {"lifetime", executor.lifetime()},
                       {"waited", now - *since}});
        }
    } else if (executor.hasListing && !executor.awaitsRegistrationSince) {
        executor.awaitsRegistrationSince = now;
        Base::log(LogLevel::Info, "registrationAwaited",
                  {{"executor", executor.info().id},
                   {"lifetime", executor.lifetime()},
                   {"registered", executor.info().lifetime}});
    }
}

/// Removes the executors that are not registered any more and whose runs have all ended.
void ExecutorGroup::removeUnregistered()
{
    std::erase_if(m_executors, [](const auto &it) {
        if (it.second.isRegistered || !it.second.runs().empty())
            return false;
        Base::log(LogLevel::Info, "executorRemoved", {{"executor", it.first}});
        return true;
    });
}

void ExecutorGroup::submit(const Base::DaemonId &from, const Wire::TaskBatch &message)
{
    flushReports();
    // Delayed on an earlier connection; its tasks have been claimed or cancelled since.
    if (message.sequence < m_firstSequences[from])
        return;
    m_batchesSeen[from] = std::max(m_batchesSeen[from], message.sequence);
    auto batch = std::make_shared<BatchInfo>();
    batch->memory = memoryFor(message);
    if (!batch->memory) {
        refuseBatch(from, message);
        return;
    }
    batch->message = message;
    batch->message.tasks.clear();
    batch->message.tasks.shrink_to_fit();
    batch->shape = {message.cpuMillis, message.memoryMb, message.gpus};
    const Base::TimePoint now = m_timers.now();
    batch->estimate = std::chrono::milliseconds(std::max<std::uint64_t>(1, message.estimateMs));
    batch->accepted = now - std::chrono::milliseconds(message.ageMs);
    batch->objective = now + std::chrono::milliseconds(message.objectiveMs);
    batch->deadline = now + std::chrono::milliseconds(message.deadlineMs);
    for (const Wire::BatchTask &it : message.tasks)
        submitTask(from, batch, it);
    m_mayBeUnservable |= !isServable(*batch);
    loadChanged();
    placeQueued();
    if (message.returnsUnplaced)
        returnUnplaced(*batch, message.tasks);
}

/// Empty if there is none left for the batch. Tasks that may have been started and those that are
/// here already can't be refused.
MemoryBudget::Share ExecutorGroup::memoryFor(const Wire::TaskBatch &message)
{
    const std::size_t bytes = sizeof(BatchInfo) + message.payload.size()
                              + message.requiredLabel.size() + message.rack.size()
                              + message.tasks.size() * Constants::QUEUED_TASK_BYTES;
    const bool isNew =
        std::none_of(message.tasks.begin(), message.tasks.end(), [&](const Wire::BatchTask &it) {
            return it.mayHaveStarted
                   || m_tasks.contains(
                       {JobId(message.job), message.occurrence, message.step, it.index});
        });
    return isNew ? m_memory->tryTake(bytes) : m_memory->take(bytes);
}

void ExecutorGroup::refuseBatch(const Base::DaemonId &from, const Wire::TaskBatch &message)
{
    m_counters.refusedForMemory += message.tasks.size();
    Base::log(LogLevel::Warning, "taskMemoryExhausted",
              {{"group", m_group},
               {"job", message.job},
               {"tasks", message.tasks.size()},
               {"heldBytes", m_memory->usedBytes()}});
    for (const Wire::BatchTask &it : message.tasks) {
        report(from, {JobId(message.job), message.occurrence, message.step, it.index},
               RunNumber(it.minRun), TaskReportState::Refused, {});
    }
}

/// Coordinators place by load reports that are older than many tasks are long, so several may
/// choose the same free executor. The tasks of all but the first would wait here while other groups
/// have free resources.
void ExecutorGroup::returnUnplaced(const BatchInfo &batch,
                                   const std::vector<Wire::BatchTask> &tasks)
{
    for (const Wire::BatchTask &it : tasks) {
        const TaskId id{JobId(batch.message.job), batch.message.occurrence, batch.message.step,
                        it.index};
        const auto task = m_tasks.find(id);
        if (task != m_tasks.end() && task->second.state == TaskState::Queued)
            finishTask(id, RunNumber(), TaskReportState::Returned, {});
    }
}

/// Whether a registered executor could run the tasks if nothing else ran there.
bool ExecutorGroup::isServable(const BatchInfo &batch) const
{
    return std::any_of(m_executors.begin(), m_executors.end(), [&batch](const auto &it) {
        const ExecutorState &executor = it.second;
        if (!executor.isRegistered || executor.info().service.value() != batch.message.service)
            return false;
        return !executor.isInfoCurrent()
               || (isOfferedBy(executor, batch) && batch.shape.fits(executor.info().capacity));
    });
}

/// Returns the queued tasks that no executor of the group can run: they would count as work ahead
/// of others, while another group may have an executor for them. Called once a tick at most, so
/// that a coordinator with another list of executors does not send them again with each message.
void ExecutorGroup::returnUnservable()
{
    if (!m_hasExecutors || !std::exchange(m_mayBeUnservable, false) || m_queue.isEmpty())
        return;
    std::map<const BatchInfo *, bool> servable;
    std::vector<std::pair<TaskId, RunNumber>> unservable;
    for (const auto &[id, task] : m_tasks) {
        if (task.state != TaskState::Queued)
            continue;
        const auto [it, isNew] = servable.emplace(task.batch.get(), true);
        if (isNew)
            it->second = isServable(*task.batch);
        if (!it->second)
            unservable.emplace_back(id, RunNumber(task.nextRun - 1));
    }
    if (unservable.empty())
        return;
    Base::log(LogLevel::Info, "tasksWithoutExecutor",
              {{"group", m_group}, {"tasks", unservable.size()}});
    for (const auto &[id, run] : unservable)
        finishTask(id, run, TaskReportState::Returned, {});
}

void ExecutorGroup::submitTask(const Base::DaemonId &from,
                               const std::shared_ptr<const BatchInfo> &batch,
                               const Wire::BatchTask &entry)
{
    const TaskId id{JobId(batch->message.job), batch->message.occurrence, batch->message.step,
                    entry.index};
    if (attachTask(from, batch, id, entry.minRun) || reportKnownEnd(from, id, entry))
        return;
    // The runs of a job that was submitted before may be recorded as lost under their numbers.
    const std::uint64_t nextRun =
        m_ended.nextRun(id, std::max(entry.minRun, m_losses.highestRun(id).value() + 1));
    Task task;
    task.coordinator = from;
    task.batch = batch;
    task.lastSent = m_timers.now();
    task.nextRun = nextRun;
    task.isRepeated = nextRun > 1;
    if (claimFoundRun(id, task))
        return;
    Task &added = m_tasks.emplace(id, std::move(task)).first->second;
    const Lifetime lifetime(entry.lifetime);
    if (entry.mayHaveStarted && !isCertainlyNotRunning(ExecutorId(entry.executor), lifetime)) {
        added.state = TaskState::AwaitingListing;
        added.executor = ExecutorId(entry.executor);
        added.lifetime = lifetime;
        added.run = RunNumber(entry.run);
        m_awaitingListing.insert(id);
        return;
    }
    if (entry.mayHaveStarted)
        claimedRunGone(id, ExecutorId(entry.executor), lifetime, RunNumber(entry.run));
    enqueue(id, added);
}

/// Answers a submission with the end of the run if that is known.
bool ExecutorGroup::reportKnownEnd(const Base::DaemonId &from, const TaskId &id,
                                   const Wire::BatchTask &entry)
{
    const EndedRun *end = m_ended.answerTo(id, entry);
    if (end)
        report(from, id, end->run, reportStateOf(end->end), {});
    return end != nullptr;
}

bool ExecutorGroup::attachTask(const Base::DaemonId &from,
                               const std::shared_ptr<const BatchInfo> &batch, const TaskId &id,
                               std::uint64_t minRun)
{
    const auto it = m_tasks.find(id);
    if (it == m_tasks.end())
        return false;
    Task &task = it->second;
    if (task.coordinator != from) {
        Base::log(LogLevel::Info, "taskReattached",
                  {{"task", toString(id)}, {"from", task.coordinator}, {"to", from}});
        task.coordinator = from;
    }
    task.batch = batch;
    task.lastSent = m_timers.now();
    task.nextRun = std::max(task.nextRun, minRun);
    if (task.state != TaskState::OnExecutor)
        return true;
    ExecutorState *executor = findExecutor(task.executor);
    EP_ASSERT(executor, return true);
    const auto run = executor->runs().find(id);
    EP_ASSERT(run != executor->runs().end(), return true);
    if (run->second.state == RunState::Running)
        report(from, id, run->second.number, TaskReportState::Started, task.executor);
    // If the run is being stopped, the task is started again after its end.
    task.isCancelled = false;
    run->second.isCancelled = false;
    run->second.deadline = batch->deadline;
    return true;
}

bool ExecutorGroup::claimFoundRun(const TaskId &id, const Task &task)
{
    for (auto &[executorId, executor] : m_executors) {
        Run *run = executor.find(id);
        if (!run)
            continue;
        EP_ASSERT(!run->isClaimed, return false);
        run->isClaimed = true;
        run->isAlone = m_losses.isSuspect(id);
        run->shape = task.batch->shape;
        run->deadline = task.batch->deadline;
        Task &added = m_tasks.emplace(id, task).first->second;
        added.state = TaskState::OnExecutor;
        added.executor = executorId;
        added.nextRun = std::max(added.nextRun, run->number.value() + 1);
        report(task.coordinator, id, run->number, TaskReportState::Started, executorId);
        // The lease was not extended before.
        if (!executor.isImmediateHoldPending)
            hold(executor, true);
        return true;
    }
    return false;
}

void ExecutorGroup::enqueue(const TaskId &id, Task &task)
{
    task.state = TaskState::Queued;
    task.executor = {};
    task.queuedAt = m_timers.now();
    const BatchInfo &batch = *task.batch;
    if (m_options.admission == AdmissionPolicy::Forecast)
        m_forecaster.taskSeen(ServiceId(batch.message.service), batch.message.priority,
                              batch.shape);
    TaskQueue::Entry entry{id,
                           ServiceId(batch.message.service),
                           batch.message.priority,
                           batch.objective,
                           batch.shape,
                           batch.estimate};
    m_queueOrder->prepare(entry, batch, task.nextRun > 1);
    m_queue.add(entry, task.queuedAt);
    loadChanged();
}

/// Whether the task is queued and need not wait for the proof of a loss.
bool ExecutorGroup::mayStart(const TaskId &id) const
{
    const auto it = m_tasks.find(id);
    return it != m_tasks.end() && it->second.state == TaskState::Queued
           && m_losses.startDelay(id).count() == 0;
}

/// Drops tasks whose job can't end any more before its caller stops waiting. Their coordinators end
/// the jobs.
void ExecutorGroup::dropExpired()
{
    const std::vector<TaskId> expired = m_queue.expired(m_timers.now(), MAX_PLACEMENT_SCAN);
    if (expired.empty())
        return;
    Base::log(LogLevel::Info, "tasksExpired", {{"group", m_group}, {"tasks", expired.size()}});
    m_counters.expired += expired.size();
    for (const TaskId &it : expired) {
        const auto task = m_tasks.find(it);
        EP_ASSERT(task != m_tasks.end(), continue);
        finishTask(it, RunNumber(task->second.nextRun - 1), TaskReportState::Expired, {});
    }
}

void ExecutorGroup::placeQueued()
{
    if (m_isFenced || m_queue.isEmpty())
        return;
    // After a pause of this process another daemon may own the group; tick() checks that first.
    if (m_timers.now() - m_lastTick > Constants::PAUSE_MS)
        return;
    dropExpired();
    const Base::TimePoint now = m_timers.now();
    const auto isWaiting = [this](const TaskId &task) {
        return m_losses.startDelay(task).count() > 0 && !m_losses.isGivenUp(task);
    };
    const std::vector<const TaskQueue::Entry *> waiting =
        m_queueOrder->head(m_queue, MAX_PLACEMENT_SCAN, isWaiting, now);
    std::uint64_t waitingCpuMillis = 0;
    for (const TaskQueue::Entry *it : waiting)
        waitingCpuMillis += it->shape.cpuMillis;
    m_placement->beginPass({m_executors, now, waitingCpuMillis});
    for (const TaskQueue::Entry *it : waiting) {
        const auto task = m_tasks.find(it->task);
        EP_ASSERT(task != m_tasks.end(), continue);
        if (m_losses.isGivenUp(it->task)) {
            finishTask(TaskId(it->task), RunNumber(task->second.nextRun - 1),
                       TaskReportState::GivenUp, {});
            continue;
        }
        if (mayBeOrphaned(task->second))
            continue;
        ExecutorState *executor =
            m_placement->choose({task->first, *task->second.batch, m_losses.isSuspect(it->task)});
        if (!executor)
            continue;
        const TaskQueue::Entry entry = *it;
        m_queue.remove(task->first);
        m_queueOrder->started(m_queue, entry, now);
        start(*executor, task->first, task->second);
        if (m_isFenced)
            return;
    }
    m_placement->endPass();
}

/// After a pause of this process, the loss of a coordinator during the pause is noticed late. Its
/// callers may have submitted their jobs again to other daemons meanwhile.
bool ExecutorGroup::mayBeOrphaned(const Task &task) const
{
    return task.lastSent < m_resumed && m_timers.now() - m_resumed < Constants::ORPHAN_DETECTION_MS;
}

RunKind ExecutorGroup::kindOf(const BatchInfo &batch)
{
    return {ServiceId(batch.message.service), batch.message.priority};
}

double ExecutorGroup::estimateLogMs(const BatchInfo &batch) const
{
    return std::log(std::chrono::duration<double, std::milli>(batch.estimate).count())
           + m_runTimes->bias(kindOf(batch));
}

/// Expected run time on an executor of this speed.
Base::Duration ExecutorGroup::runTimeAt(const BatchInfo &batch, double speed) const
{
    const double expectedMs = std::exp(estimateLogMs(batch)) / speed;
    return std::chrono::microseconds(static_cast<std::int64_t>(expectedMs * 1000));
}

void ExecutorGroup::start(ExecutorState &executor, const TaskId &id, Task &task)
{
    const Base::TimePoint now = m_timers.now();
    const RunNumber number(task.nextRun++);
    task.state = TaskState::OnExecutor;
    task.executor = executor.info().id;
    Run run;
    run.number = number;
    run.lifetime = executor.lifetime();
    run.shape = task.batch->shape;
    run.isAlone = m_losses.isSuspect(id);
    run.since = now;
    run.sent = now;
    run.deadline = task.batch->deadline;
    run.isRepeated = task.isRepeated;
    run.expected = runTimeAt(*task.batch, executor.speed());
    run.visibleFrom = UINT64_MAX;
    executor.runs().emplace(id, run);
    ++m_counters.starts;
    StartOrder order;
    order.task = id;
    order.run = number;
    order.payload = task.batch->message.payload;
    order.leaseEnd = executor.nextLeaseEnd(now, Constants::LEASE_MS);
    order.token = m_token;
    order.lifetime = executor.lifetime();
    executor.leaseSent(now);
    Base::log(LogLevel::Debug, "startSent",
              {{"task", toString(id)},
               {"run", number},
               {"executor", executor.info().id},
               {"lifetime", executor.lifetime()},
               {"leaseEnd", order.leaseEnd.value_or(ExecutorTime(0)).count()},
               {"clockAge", executor.clockAge(now)},
               {"token", m_token},
               {"waited", now - task.queuedAt}});
    m_orders.sent({OrderKind::Start, executor.info().id, id, number, 0, now, Base::Duration(0), 0});
    m_port.startTask(executor.info(), order,
                     [this, alive = m_isAlive, executorId = executor.info().id,
                      lifetime = executor.lifetime(), id, number](const OrderResult &result) {
                         if (*alive)
                             startAnswered(executorId, lifetime, id, number, result);
                     });
}

/// \a lifetime is that to which the order was sent.
void ExecutorGroup::startAnswered(const ExecutorId &executorId, Lifetime lifetime, const TaskId &id,
                                  RunNumber number, const OrderResult &result)
{
    ExecutorState *executor = findExecutor(executorId);
    if (!executor)
        return;
    const Base::TimePoint now = m_timers.now();
    if (result.clock)
        executor->updateClock(*result.clock, lifetime, now);
    Run *run = executor->find(id);
    if (!run || run->number != number)
        return; // its end was listed before the answer arrived
    m_orders.startAnswered(*run, result.outcome);
    if (result.outcome == OrderOutcome::Accepted) {
        Base::log(LogLevel::Debug, "startAccepted",
                  {{"task", toString(id)},
                   {"run", number},
                   {"executor", executorId},
                   {"clock", result.clock.value_or(ExecutorTime(0)).count()}});
        run->visibleFrom = m_lastHold + 1;
        run->isConfirmed = true;
        if (run->state == RunState::Starting || run->state == RunState::Unresolved) {
            run->state = RunState::Running;
            run->since = now;
        }
        const auto task = m_tasks.find(id);
        if (task != m_tasks.end()) {
            report(task->second.coordinator, id, number, TaskReportState::Started, executorId);
            if (task->second.isCancelled && run->state == RunState::Running)
                stopRun(*executor, id, *run);
        }
        if (!executor->isWaitingHoldPending)
            hold(*executor, false);
        flushReports();
        return;
    }
    if (result.outcome == OrderOutcome::Unknown) {
        ++m_counters.unresolvedStarts;
        Base::log(LogLevel::Warning, "startUnresolved",
                  {{"task", toString(id)},
                   {"run", number},
                   {"executor", executorId},
                   {"lifetime", lifetime},
                   {"leaseLeft", executor->leaseEnd() - now}});
        if (m_orders.isLookedFor(*run))
            return;
        if (run->state == RunState::Starting)
            run->state = RunState::Unresolved;
        run->visibleFrom = m_lastHold + 1;
        hold(*executor, true);
        return;
    }
    Base::log(LogLevel::Info, "startRefused",
              {{"task", toString(id)},
               {"run", number},
               {"executor", executorId},
               {"outcome", static_cast<int>(result.outcome)},
               {"reason", static_cast<int>(result.refusal)}});
    executor->runs().erase(id);
    loadChanged();
    if (result.refusal == RefusalReason::Fenced) {
        fence(executorId);
        return;
    }
    if (result.outcome == OrderOutcome::OtherLifetime && lifetime == executor->lifetime())
        executorRestarted(*executor, result.lifetime);
    if (result.outcome == OrderOutcome::NotSent) {
        executor->answerMissed(now, true);
        executor->nextTry = now;
    }
    if (result.outcome == OrderOutcome::Unhealthy || result.refusal == RefusalReason::NoResources)
        executor->backOff(now + Constants::BACK_OFF_MS);
    if (result.refusal == RefusalReason::Other) {
        orderRefused(*executor, id, number);
        return;
    }
    const auto task = m_tasks.find(id);
    if (result.refusal == RefusalReason::OldRun && task != m_tasks.end())
        task->second.nextRun += Constants::RUN_NUMBER_STEP;
    requeue(id, false);
    placeQueued();
}

/// Handles a start that was refused for a reason other than the state of the executor. The
/// coordinator limits the number of such starts. The executor is only ejected if it refuses those
/// of several jobs.
void ExecutorGroup::orderRefused(ExecutorState &executor, const TaskId &id, RunNumber run)
{
    ++m_counters.failed;
    if (executor.runFailed(id.job, m_timers.now()))
        Base::log(LogLevel::Warning, "executorEjected", {{"executor", executor.info().id}});
    const auto task = m_tasks.find(id);
    if (task == m_tasks.end())
        return;
    const bool isCancelled = task->second.isCancelled;
    // A task that was dropped and claimed again has a coordinator that waits for the report.
    task->second.isDropped &= isCancelled;
    finishTask(id, run, isCancelled ? TaskReportState::Lost : TaskReportState::Refused,
               executor.info().id);
    placeQueued();
    flushReports();
}

/// Handles a task that no longer has a run. \a mayHaveStarted: the run may have been started, so
/// the coordinator decides whether to start another one.
void ExecutorGroup::requeue(const TaskId &id, bool mayHaveStarted)
{
    const auto it = m_tasks.find(id);
    if (it == m_tasks.end())
        return;
    Task &task = it->second;
    // A task that was dropped and claimed again continues here: its end has not been reported.
    const bool isClaimedAgain = task.isDropped && !task.isCancelled;
    if ((mayHaveStarted && !isClaimedAgain) || task.isCancelled) {
        finishTask(id, RunNumber(task.nextRun - 1), TaskReportState::Lost, task.executor);
        return;
    }
    task.isDropped = false;
    enqueue(id, task);
}

void ExecutorGroup::stopRun(ExecutorState &executor, const TaskId &id, Run &run, int repeats)
{
    const Base::TimePoint now = m_timers.now();
    run.state = RunState::Stopping;
    run.isStopAccepted = false;
    run.stopSent = now;
    const ExecutorId executorId = executor.info().id;
    m_orders.sent(
        {OrderKind::Stop, executorId, id, run.number, 0, now, Base::Duration(0), repeats});
    m_port.stopTask(executor.info(), {id, run.number, m_token, executor.lifetime()},
                    [this, alive = m_isAlive, executorId, lifetime = executor.lifetime(), id,
                     number = run.number](const OrderResult &result) {
                        if (*alive)
                            stopAnswered(executorId, lifetime, id, number, result);
                    });
}

/// \a lifetime is that to which the order was sent.
void ExecutorGroup::stopAnswered(const ExecutorId &executorId, Lifetime lifetime, const TaskId &id,
                                 RunNumber number, const OrderResult &result)
{
    ExecutorState *executor = findExecutor(executorId);
    Run *run = executor ? executor->find(id) : nullptr;
    if (!run || run->number != number)
        return;
    if (result.clock)
        executor->updateClock(*result.clock, lifetime, m_timers.now());
    if (result.outcome == OrderOutcome::Accepted && lifetime == executor->lifetime()) {
        run->isStopAccepted = true;
        // From now on, a listing without the run proves that it has ended or never started.
        run->visibleFrom = m_lastHold + 1;
        if (m_orders.isProofNeeded(*run))
            hold(*executor, true);
        else if (!executor->isWaitingHoldPending)
            hold(*executor, false);
        return;
    }
    if (result.refusal == RefusalReason::Fenced) {
        fence(executorId);
    } else if (result.outcome == OrderOutcome::OtherLifetime && lifetime == executor->lifetime()) {
        executorRestarted(*executor, result.lifetime);
    }
    // Otherwise the stop is repeated by checkRuns().
}

void ExecutorGroup::hold(ExecutorState &executor, bool isImmediate, int repeats)
{
    if (m_isFenced)
        return;
    const Base::TimePoint now = m_timers.now();
    HoldOrder order;
    order.token = m_token;
    order.seenUpTo = executor.seenUpTo;
    // An executor that does not answer gets no new lease, so that its runs certainly end in time.
    if (!executor.runs().empty() && executor.missedAnswers == 0) {
        const bool isExtended = executor.mayExtendLease();
        if (isExtended)
            order.leaseEnd = executor.nextLeaseEnd(now, Constants::LEASE_MS);
        // Also if the order has none: a lease of the previous owner may be in force.
        if (isExtended || now > executor.leaseEnd())
            executor.leaseSent(now);
        if (!isImmediate)
            order.wait = m_orders.holdWait(executor);
    }
    executor.hasUnacknowledgedEnds = false;
    const std::uint64_t sequence = ++m_lastHold;
    executor.holdSent(isImmediate, sequence, now);
    m_orders.sent({isImmediate ? OrderKind::ImmediateHold : OrderKind::WaitingHold,
                   executor.info().id,
                   {},
                   {},
                   sequence,
                   now,
                   order.wait,
                   repeats});
    m_port.hold(executor.info(), order,
                [this, alive = m_isAlive, executorId = executor.info().id, isImmediate, sequence,
                 lifetime = executor.lifetime(), now](const HoldResult &result) {
                    if (*alive)
                        holdAnswered(executorId, isImmediate, sequence, lifetime, now, result);
                });
}

void ExecutorGroup::holdAnswered(const ExecutorId &executorId, bool isImmediate,
                                 std::uint64_t sequence, Lifetime lifetime, Base::TimePoint sent,
                                 const HoldResult &result)
{
    ExecutorState *executor = findExecutor(executorId);
    if (!executor)
        return;
    executor->holdEnded(isImmediate, sequence);
    const Base::TimePoint now = m_timers.now();
    if (lifetime != executor->lifetime())
        return; // sent to an earlier lifetime; tick() sends a hold to the new one
    switch (result.order.outcome) {
    case OrderOutcome::Accepted:
        break;
    case OrderOutcome::Refused:
        if (result.order.refusal == RefusalReason::Fenced) {
            fence(executorId);
            return;
        }
        [[fallthrough]];
    case OrderOutcome::Unhealthy:
    case OrderOutcome::NotSent:
    case OrderOutcome::Unconfirmed:
    case OrderOutcome::Unknown:
        if (m_orders.holdMissed(*executor, sequence, result.order))
            loadChanged();
        else
            pollExecutor(*executor);
        return;
    case OrderOutcome::OtherLifetime:
        executorRestarted(*executor, result.lifetime);
        return;
    }
    executor->lastAnsweredHold = std::max(executor->lastAnsweredHold, sequence);
    if (executor->isSilent() && executor->hasListing) {
        Base::log(LogLevel::Info, "executorBack",
                  {{"executor", executorId},
                   {"lifetime", result.lifetime},
                   {"silence",
                    executor->silentSince ? now - *executor->silentSince : Base::Duration(0)}});
    }
    executor->missedAnswers = 0;
    executor->isDisconnected = false;
    executor->silentSince.reset();
    executor->lastAnswer = now;
    if (result.lifetime.value() > 0 && executor->lifetime().value() > 0
        && result.lifetime != executor->lifetime()) {
        executorRestarted(*executor, result.lifetime);
        return;
    }
    m_wasAccepted = true;
    tokenConfirmed(*executor, sent);
    if (executor->lifetime().value() == 0)
        executor->setLifetime(result.lifetime);
    m_listener.executorAnswered(executorId, executor->lifetime());
    if (result.order.clock)
        executor->updateClock(*result.order.clock, executor->lifetime(), now);
    listingReceived(*executor, sequence, result);
    releaseAwaitingListing();
    placeQueued();
    returnRetried();
    flushReports();
    pollExecutor(*executor);
}

/// The executor has accepted the stop of a run that it had not started, and lists neither the run
/// nor its end: it refuses the start if that arrives later.
void ExecutorGroup::startNotCarriedOut(ExecutorState &executor, const TaskId &id)
{
    const Run run = *executor.find(id);
    m_orders.startNotCarriedOut(executor, id, run);
    m_ended.gone(id, {run.number, RunEnd::LeaseExpired, m_timers.now(), executor.info().id,
                      run.lifetime, false});
    executor.runs().erase(id);
    loadChanged();
    requeue(id, false);
    m_retried.push_back(id);
}

/// Returns the tasks whose start was not carried out and that do not fit here at present.
void ExecutorGroup::returnRetried()
{
    const std::vector<TaskId> retried = std::exchange(m_retried, {});
    if (m_isFenced)
        return;
    for (const TaskId &it : retried) {
        const auto task = m_tasks.find(it);
        if (task != m_tasks.end() && task->second.state == TaskState::Queued)
            finishTask(it, RunNumber(task->second.nextRun - 1), TaskReportState::Returned, {});
    }
}

/// An executor that has just started accepts any token. While another daemon may have claimed the
/// group, tasks that wait here may run there already, on executors that refuse this owner's token.
void ExecutorGroup::executorAppeared(ExecutorState &executor)
{
    executor.unconfirmedSince.reset();
    if (!isContested())
        return;
    executor.unconfirmedSince = m_timers.now();
    checkUnconfirmed();
}

/// Asks some executors that would know of another owner. Returns false if there are none.
bool ExecutorGroup::requestConfirmation()
{
    std::size_t asked = 0;
    for (auto &[id, executor] : m_executors) {
        if (!executor.hasListing || executor.unconfirmedSince || executor.missedAnswers > 0)
            continue;
        if (!executor.isImmediateHoldPending)
            hold(executor, true);
        if (++asked == Constants::CONFIRMING_EXECUTORS)
            break;
    }
    return asked > 0;
}

/// Executors that appeared are used without a confirmation if no executor can give it.
void ExecutorGroup::checkUnconfirmed()
{
    if (isContested() && requestConfirmation())
        return;
    for (auto &[id, executor] : m_executors)
        executor.unconfirmedSince.reset();
    loadChanged();
}

/// \a executor has accepted the token in an order that was sent at \a sent.
void ExecutorGroup::tokenConfirmed(const ExecutorState &executor, Base::TimePoint sent)
{
    if (executor.unconfirmedSince || !executor.hasListing)
        return;
    for (auto &[id, other] : m_executors) {
        if (!other.unconfirmedSince || *other.unconfirmedSince > sent)
            continue;
        other.unconfirmedSince.reset();
        loadChanged();
    }
}

void ExecutorGroup::listingReceived(ExecutorState &executor, std::uint64_t sequence,
                                    const HoldResult &result)
{
    const Base::TimePoint now = m_timers.now();
    for (const ListedEnd &it : result.ended) {
        if (it.sequence <= executor.seenUpTo)
            continue;
        endReceived(executor, it);
        executor.seenUpTo = it.sequence;
        executor.hasUnacknowledgedEnds = true;
    }
    std::set<TaskId> listed;
    for (const ListedRun &it : result.running) {
        listed.insert(it.task);
        Run *run = executor.find(it.task);
        if (run && run->number == it.run) {
            run->isListed = true;
            run->lifetime = executor.lifetime();
            // Listings in transit may have been made before the run started.
            if (!std::exchange(run->isConfirmed, true))
                run->visibleFrom = m_lastHold + 1;
            m_orders.startListed(*run);
            if (run->state == RunState::Starting || run->state == RunState::Unresolved) {
                const auto task = m_tasks.find(it.task);
                run->state = RunState::Running;
                if (task != m_tasks.end())
                    report(task->second.coordinator, it.task, run->number, TaskReportState::Started,
                           executor.info().id);
                if (task != m_tasks.end() && task->second.isCancelled)
                    stopRun(executor, it.task, *run);
            }
            continue;
        }
        // A listing may be out of date: the run's end may have been listed since.
        if (run || m_ended.hasEnded(it.task, it.run, executor.info().id, executor.lifetime()))
            continue;
        if (executor.hasListing && sequence != m_lastHold)
            continue;
        Base::log(LogLevel::Info, "runFound",
                  {{"task", toString(it.task)}, {"run", it.run}, {"executor", executor.info().id}});
        Run found;
        found.number = it.run;
        found.lifetime = executor.lifetime();
        found.isListed = true;
        found.state = RunState::Running;
        found.since = now;
        found.isClaimed = false;
        found.isConfirmed = true;
        found.visibleFrom = m_lastHold + 1;
        const auto task = m_tasks.find(it.task);
        if (task != m_tasks.end() && task->second.state != TaskState::OnExecutor) {
            found.isClaimed = true;
            found.isAlone = m_losses.isSuspect(it.task);
            found.shape = task->second.batch->shape;
            found.deadline = task->second.batch->deadline;
            m_queue.remove(it.task);
            m_awaitingListing.erase(it.task);
            task->second.state = TaskState::OnExecutor;
            task->second.executor = executor.info().id;
            task->second.nextRun = std::max(task->second.nextRun, it.run.value() + 1);
            report(task->second.coordinator, it.task, it.run, TaskReportState::Started,
                   executor.info().id);
        }
        executor.runs().emplace(it.task, found);
    }
    std::vector<TaskId> gone;
    std::vector<TaskId> lost; // with an earlier lifetime
    std::vector<TaskId> notStarted;
    std::vector<TaskId> neverStarted;
    for (const auto &[task, run] : executor.runs()) {
        if (listed.contains(task) || sequence < run.visibleFrom)
            continue;
        const bool isOfEarlier = run.lifetime.value() > 0 && run.lifetime != executor.lifetime();
        if (m_orders.isNeverStarted(executor, run, result))
            neverStarted.push_back(task);
        else if (run.isConfirmed || run.isStopAccepted)
            (isOfEarlier ? lost : gone).push_back(task);
        else if (run.state == RunState::Unresolved)
            notStarted.push_back(task);
    }
    for (const TaskId &it : gone)
        runGone(executor, it, RunLoss::NotListed);
    runsGone(executor, lost, RunLoss::ExecutorRestarted);
    for (const TaskId &it : neverStarted)
        startNotCarriedOut(executor, it);
    for (const TaskId &it : notStarted) {
        // The start may still be carried out. After a stop the executor refuses it.
        Run *run = executor.find(it);
        stopRun(executor, it, *run);
    }
    if (!executor.hasListing) {
        executor.hasListing = true;
        Base::log(LogLevel::Info, "executorListed",
                  {{"executor", executor.info().id},
                   {"lifetime", executor.lifetime()},
                   {"runs", executor.runs().size()}});
        checkRegistration(executor);
        loadChanged();
    }
}

void ExecutorGroup::endReceived(ExecutorState &executor, const ListedEnd &end)
{
    m_ended.listed(end.task, {end.run, end.end, m_timers.now(), executor.info().id,
                              executor.lifetime(), false});
    Base::log(LogLevel::Debug, "endListed",
              {{"task", toString(end.task)},
               {"run", end.run},
               {"end", static_cast<int>(end.end)},
               {"executor", executor.info().id}});
    Run *run = executor.find(end.task);
    if (!run || run->number != end.run)
        return;
    m_orders.startListed(*run);
    const Run copy = *run;
    executor.runs().erase(end.task);
    loadChanged();
    if (!copy.isClaimed)
        return;
    updateEstimates(executor, end.task, copy, end.end);
    // A task that was dropped and claimed again has a coordinator that waits for the report.
    const auto task = m_tasks.find(end.task);
    if (task != m_tasks.end())
        task->second.isDropped &= task->second.isCancelled;
    switch (end.end) {
    case RunEnd::Done:
        ++m_counters.done;
        break;
    case RunEnd::Failed:
        ++m_counters.failed;
        break;
    case RunEnd::Stopped:
    case RunEnd::LeaseExpired:
    case RunEnd::GangMemberEnded:
    case RunEnd::GangIncomplete:
        ++m_counters.lost;
        logRunGone(end.task, copy, executor, toString(end.end), m_timers.now());
        requeue(end.task, true);
        return;
    }
    finishTask(end.task, end.run, reportStateOf(end.end), executor.info().id);
}

void ExecutorGroup::updateEstimates(ExecutorState &executor, const TaskId &id, const Run &run,
                                    RunEnd end)
{
    const auto it = m_tasks.find(id);
    if (it == m_tasks.end() || run.expected.count() == 0)
        return;
    const Base::TimePoint now = m_timers.now();
    if (end == RunEnd::Failed) {
        if (executor.runFailed(id.job, now))
            Base::log(LogLevel::Warning, "executorEjected", {{"executor", executor.info().id}});
        return;
    }
    if (end != RunEnd::Done || !run.isStartKnown)
        return;
    const Base::Duration runTime = now - run.since;
    const BatchInfo &batch = *it->second.batch;
    const double runLogMs =
        std::log(std::max(std::chrono::duration<double, std::milli>(runTime).count(), 0.1));
    const double residual = runLogMs + std::log(executor.speed()) - estimateLogMs(batch);
    const bool isHealthy = !isExecutorAtFault(executor, id.job, run.since + run.expected, now);
    executor.runSucceeded(runTime, estimateLogMs(batch));
    executor.addEnd({id.job, std::chrono::duration<double>(runTime) / run.expected, now});
    m_runTimes->runEnded(kindOf(batch), residual, isHealthy);
}

void ExecutorGroup::runGone(ExecutorState &executor, const TaskId &id, RunLoss cause)
{
    const Run *run = executor.find(id);
    if (!run)
        return;
    const bool wasClaimed = run->isClaimed;
    logRunGone(id, *run, executor, toString(cause), m_timers.now());
    m_ended.gone(id, {run->number, RunEnd::LeaseExpired, m_timers.now(), executor.info().id,
                      run->lifetime, false});
    executor.runs().erase(id);
    loadChanged();
    ++m_counters.lost;
    if (wasClaimed)
        requeue(id, true);
}

void ExecutorGroup::runsGone(ExecutorState &executor, const std::vector<TaskId> &tasks,
                             RunLoss cause)
{
    if (cause == RunLoss::ExecutorSilent || cause == RunLoss::ExecutorRestarted) {
        std::map<Lifetime, std::vector<TaskId>> byLifetime;
        for (const TaskId &it : tasks)
            byLifetime[executor.find(it)->lifetime].push_back(it);
        // Before the reports, so that coordinators know of the loss when they decide on the task.
        for (const auto &[lifetime, lost] : byLifetime)
            reportLoss(executor, lifetime, lost, cause);
    }
    for (const TaskId &it : tasks)
        runGone(executor, it, cause);
}

void ExecutorGroup::reportLoss(const ExecutorState &executor, Lifetime lifetime,
                               const std::vector<TaskId> &tasks, RunLoss cause)
{
    m_counters.lostWithExecutor += tasks.size();
    ExecutorLoss loss;
    loss.executor = executor.info().id;
    loss.lifetime = lifetime;
    // Another lifetime may have registered another address, which would prove the wrong loss.
    const Lifetime registered = executor.info().lifetime;
    if (lifetime.value() == 0 || registered.value() == 0 || lifetime == registered) {
        loss.address = executor.info().address;
        loss.service = executor.info().service;
    }
    for (const TaskId &it : tasks) {
        const Run &run = executor.runs().at(it);
        loss.tasks.push_back({it, run.number, run.isConfirmed});
    }
    if (executor.silentSince)
        loss.silence = m_timers.now() - *executor.silentSince;
    if (executor.info().draining)
        loss.grounds = LossGrounds::Draining;
    else if (cause == RunLoss::ExecutorRestarted)
        loss.grounds = LossGrounds::OtherLifetime;
    else if (executor.isDisconnected)
        loss.grounds = LossGrounds::Disconnected;
    m_listener.executorLost(loss);
}

/// A start that no listing of the ended lifetime contains may have been accepted by the \a next
/// one, if the executor does not state its lifetime in listings. The first listing of that one
/// shows it. If an executor of another id answers (\a next is 0), that holds for unanswered starts
/// only.
void ExecutorGroup::runsOfEndedLifetimeGone(ExecutorState &executor, Lifetime next)
{
    std::vector<TaskId> lost;
    for (auto &[task, run] : executor.runs()) {
        const bool isUnanswered = run.state == RunState::Starting || run.isOverdue;
        if (run.isListed || (next.value() == 0 && !isUnanswered)) {
            lost.push_back(task);
            continue;
        }
        run.isStopAccepted = false;
        if (run.state != RunState::Starting)
            run.visibleFrom = m_lastHold + 1;
    }
    runsGone(executor, lost, RunLoss::ExecutorRestarted);
}

/// \a lifetime is that of the executor now; 0 if only the end of the previous one is known.
void ExecutorGroup::executorRestarted(ExecutorState &executor, Lifetime lifetime)
{
    if (lifetime.value() == 0 && executor.hasEnded()) {
        executor.nextTry = m_timers.now() + Constants::ENDED_EXECUTOR_RETRY_MS;
        return;
    }
    Base::log(LogLevel::Warning, "executorRestarted",
              {{"executor", executor.info().id},
               {"runs", executor.runs().size()},
               {"lifetime", lifetime},
               {"before", executor.lifetime()}});
    runsOfEndedLifetimeGone(executor, lifetime);
    m_listener.executorEnded(executor.info().id, executor.lifetime());
    executor.beginLifetime(lifetime);
    if (!executor.hasEnded())
        executor.appeared = m_timers.now();
    executorAppeared(executor);
    loadChanged();
    executor.nextTry = m_timers.now();
    flushReports();
}

void ExecutorGroup::cancelTask(const TaskId &id, Task &task)
{
    task.isCancelled = true;
    if (task.state != TaskState::OnExecutor) {
        finishTask(id, RunNumber(), TaskReportState::Returned, {});
        return;
    }
    ExecutorState *executor = findExecutor(task.executor);
    EP_ASSERT(executor, return);
    Run *run = executor->find(id);
    EP_ASSERT(run, return);
    run->isCancelled = true;
    // Also if the start is not answered yet: a start that arrives after its stop is refused.
    if (run->state != RunState::Stopping)
        stopRun(*executor, id, *run);
}

void ExecutorGroup::stopJob(const Base::DaemonId &from, const JobId &job)
{
    std::vector<TaskId> ids;
    for (auto it = m_tasks.lower_bound({job, 0, 0, 0}); it != m_tasks.end() && it->first.job == job;
         ++it) {
        if (it->second.coordinator == from)
            ids.push_back(it->first);
    }
    cancelTasks(ids);
}

bool ExecutorGroup::stopCancelledJob(const JobId &job)
{
    std::vector<TaskId> ids;
    for (auto it = m_tasks.lower_bound({job, 0, 0, 0}); it != m_tasks.end() && it->first.job == job;
         ++it) {
        if (!it->second.isCancelled)
            ids.push_back(it->first);
    }
    if (!ids.empty())
        cancelTasks(ids);
    return !ids.empty();
}

void ExecutorGroup::cancelTasks(const std::vector<TaskId> &ids)
{
    for (const TaskId &it : ids)
        cancelTask(it, m_tasks.at(it));
    placeQueued();
    flushReports();
}

void ExecutorGroup::claimsEnded(const Base::DaemonId &coordinator, std::uint64_t firstSequence)
{
    std::uint64_t &known = m_firstSequences[coordinator];
    known = std::max(known, firstSequence);
    m_claimants.insert(coordinator);
    checkClaims();
    std::vector<TaskId> ids;
    for (const auto &[id, task] : m_tasks) {
        if (task.coordinator == coordinator && !task.isCancelled
            && task.batch->message.sequence < firstSequence) {
            ids.push_back(id);
        }
    }
    if (ids.empty())
        return;
    Base::log(LogLevel::Info, "unclaimedTasksStopped",
              {{"group", m_group}, {"coordinator", coordinator}, {"tasks", ids.size()}});
    cancelTasks(ids);
}

void ExecutorGroup::coordinatorLost(const Base::DaemonId &daemon)
{
    std::vector<TaskId> ids;
    for (const auto &[id, task] : m_tasks) {
        if (task.coordinator == daemon)
            ids.push_back(id);
    }
    if (!ids.empty())
        Base::log(LogLevel::Warning, "coordinatorLost",
                  {{"daemon", daemon}, {"tasks", ids.size()}});
    flushReports();
    for (const TaskId &it : ids) {
        Task &task = m_tasks.at(it);
        task.isDropped = true;
        cancelTask(it, task);
    }
    m_batchesSeen.erase(daemon);
    m_firstSequences.erase(daemon);
    placeQueued();
    flushReports();
}

void ExecutorGroup::finishTask(const TaskId &id, RunNumber run, TaskReportState state,
                               const ExecutorId &executor)
{
    const auto it = m_tasks.find(id);
    if (it == m_tasks.end())
        return;
    m_queue.remove(id);
    m_awaitingListing.erase(id);
    if (!it->second.isDropped || state == TaskReportState::Done) {
        report(it->second.coordinator, id, run, state, executor);
        m_ended.reported(id, run);
    }
    m_tasks.erase(it);
    loadChanged();
}

void ExecutorGroup::report(const Base::DaemonId &coordinator, const TaskId &id, RunNumber run,
                           TaskReportState state, const ExecutorId &executor)
{
    Wire::TaskReports &reports = m_reports[{coordinator, id.job}];
    reports.group = m_group.value();
    // All reports of one message refer to the same batch: submit() flushes pending reports first.
    reports.batchesSeen = m_batchesSeen[coordinator];
    reports.job = id.job.value();
    const ExecutorState *known = findExecutor(executor);
    reports.reports.push_back({id.occurrence, id.step, id.index, run.value(),
                               static_cast<std::uint8_t>(state), executor.value(),
                               known ? known->lifetime().value() : 0});
    if (m_isFlushScheduled)
        return;
    m_isFlushScheduled = true;
    m_timers.schedule(Base::Duration(0), [this, alive = m_isAlive] {
        if (*alive)
            flushReports();
    });
}

void ExecutorGroup::flushReports()
{
    m_isFlushScheduled = false;
    for (const auto &[key, reports] : std::exchange(m_reports, {}))
        m_listener.tasksReported(key.first, reports);
}

/// Whether all runs that a previous owner started have ended on executors that this one has not
/// listed. The previous owner may not have heard of the claim. It renews leases until it checks its
/// token with an executor that this owner has already sent a hold. An executor that has appeared
/// since knows no token, so the previous owner may have started tasks there meanwhile.
bool ExecutorGroup::isPreviousOwnerLeaseExpired() const
{
    const Base::TimePoint now = m_timers.now();
    const Base::Duration limit = Constants::TOKEN_CHECK_INTERVAL_MS + Constants::ORDER_TIMEOUT_MS
                                 + Constants::LEASE_MS + Constants::LEASE_SLACK_MS;
    return now >= m_claimed + limit
           && std::none_of(m_executors.begin(), m_executors.end(), [&](const auto &it) {
                  return !it.second.hasListing && now < it.second.appeared + limit;
              });
}

/// Whether a task of a previous owner that is in no listing is certainly not running any more. It
/// was last reported on \a executor, in \a lifetime if that is known, or not reported as started if
/// that is empty. An executor that this daemon does not know, because its registration has expired
/// or not yet arrived, may still run the task until the lease of the previous owner expires.
bool ExecutorGroup::isCertainlyNotRunning(const ExecutorId &executor, Lifetime lifetime) const
{
    if (isPreviousOwnerLeaseExpired())
        return true;
    if (!executor.isEmpty()) {
        const auto it = m_executors.find(executor);
        return it != m_executors.end() && it->second.hasListing
               && lifetime <= it->second.lifetime();
    }
    return isExecutorListStable()
           && std::all_of(m_executors.begin(), m_executors.end(),
                          [](const auto &it) { return it.second.hasListing; });
}

/// Whether the previous owner can't have known other executors. While registrations change, as
/// after a network partition, daemons may know different ones; and a daemon that does not reach the
/// store sees no change.
bool ExecutorGroup::isExecutorListStable() const
{
    const Base::TimePoint since = m_timers.now() - Constants::REGISTRATION_SETTLING_MS;
    return m_listChanged < since && m_listCompleteAsOf >= since;
}

/// Handles a run of a previous owner that is in no listing, before its task is started again. It
/// has been lost with its executor if that is not found, or found in a later lifetime.
void ExecutorGroup::claimedRunGone(const TaskId &id, const ExecutorId &executor, Lifetime lifetime,
                                   RunNumber run)
{
    const ExecutorState *state = findExecutor(executor);
    Base::log(LogLevel::Warning, "claimedRunGone",
              {{"task", toString(id)},
               {"run", run},
               {"executor", executor},
               {"lifetime", lifetime},
               {"listedLifetime", state && state->hasListing ? state->lifetime() : Lifetime()},
               {"leaseExpired", isPreviousOwnerLeaseExpired() ? 1 : 0}});
    if (executor.isEmpty())
        return;
    ExecutorLoss loss;
    loss.executor = executor;
    loss.lifetime = lifetime;
    loss.grounds = LossGrounds::NotFound;
    loss.tasks = {{id, run, true}};
    if (state) {
        loss.address = state->info().address;
        loss.service = state->info().service;
        const bool isLater = lifetime.value() > 0 && state->lifetime() > lifetime;
        if (state->hasListing && !isLater)
            return;
        if (state->info().draining)
            loss.grounds = LossGrounds::Draining;
        else if (isLater)
            loss.grounds = LossGrounds::OtherLifetime;
        else if (lifetime.value() == 0)
            loss.lifetime = state->lifetime();
    }
    m_listener.executorLost(loss);
}

void ExecutorGroup::releaseAwaitingListing()
{
    std::vector<TaskId> known;
    for (const TaskId &it : m_awaitingListing) {
        const auto task = m_tasks.find(it);
        EP_ASSERT(task != m_tasks.end(), continue);
        if (isCertainlyNotRunning(task->second.executor, task->second.lifetime))
            known.push_back(it);
    }
    for (const TaskId &it : known) {
        m_awaitingListing.erase(it);
        Task &task = m_tasks.at(it);
        const EndedRun *end = m_ended.resultOf(it, task.nextRun, task.executor, task.lifetime);
        if (end) {
            finishTask(it, end->run, reportStateOf(end->end), {});
            continue;
        }
        task.nextRun = m_ended.nextRun(it, task.nextRun);
        claimedRunGone(it, task.executor, task.lifetime, task.run);
        enqueue(it, task);
    }
}

void ExecutorGroup::pollExecutor(ExecutorState &executor)
{
    const bool isPollNeeded = !executor.runs().empty() || executor.hasUnacknowledgedEnds;
    if (isPollNeeded && !executor.isWaitingHoldPending && executor.missedAnswers == 0)
        hold(executor, false);
}

/// Runs of a previous owner that are not claimed belong to lost coordinators once all live ones
/// have claimed theirs.
void ExecutorGroup::checkClaims()
{
    if (m_areClaimsComplete || m_timers.now() - m_claimed < Constants::MIN_CLAIM_WAIT_MS)
        return;
    const std::set<Base::DaemonId> live = m_listener.liveDaemons();
    if (!std::includes(m_claimants.begin(), m_claimants.end(), live.begin(), live.end()))
        return;
    m_areClaimsComplete = true;
    Base::log(LogLevel::Info, "claimsComplete",
              {{"group", m_group},
               {"token", m_token},
               {"daemons", live.size()},
               {"elapsed", m_timers.now() - m_claimed}});
}

/// Whether a stop has to be sent, for the first time or again.
bool ExecutorGroup::isStopDue(const Run &run) const
{
    const Base::TimePoint now = m_timers.now();
    const bool isRepeatDue = run.state == RunState::Stopping && !run.isStopAccepted
                             && now - run.stopSent > Constants::STOP_RETRY_MS;
    const bool isUnclaimed =
        run.state == RunState::Running && !run.isClaimed
        && (m_areClaimsComplete || now - run.since > Constants::RUN_CLAIM_TIMEOUT_MS);
    return isRepeatDue || isUnclaimed;
}

StragglerCause ExecutorGroup::stragglerCause(const ExecutorState &executor, const TaskId &id,
                                             const Run &run) const
{
    const auto task = m_tasks.find(id);
    if (run.state != RunState::Running || run.expected.count() == 0 || task == m_tasks.end())
        return StragglerCause::None;
    return m_runTimes->check(kindOf(*task->second.batch), id, run, executor, m_timers.now());
}

void ExecutorGroup::stopStraggler(ExecutorState &executor, const TaskId &id, Run &run,
                                  StragglerCause cause)
{
    const Base::TimePoint now = m_timers.now();
    ++m_counters.stragglers;
    m_counters.stragglersByExecutor += cause == StragglerCause::Executor ? 1 : 0;
    m_counters.stragglersByLength += cause == StragglerCause::Longest ? 1 : 0;
    Base::log(LogLevel::Info, "stragglerStopped",
              {{"task", toString(id)},
               {"executor", executor.info().id},
               {"expected", run.expected},
               {"elapsed", now - run.since},
               {"cause", toString(cause)}});
    // A run that is long by itself says nothing of its executor.
    if (cause != StragglerCause::Longest) {
        const auto task = m_tasks.find(id);
        if (task != m_tasks.end())
            executor.runSucceeded(now - run.since, estimateLogMs(*task->second.batch));
        executor.runFailed(id.job, now);
    }
    stopRun(executor, id, run);
}

void ExecutorGroup::checkRuns(ExecutorState &executor)
{
    const Base::TimePoint now = m_timers.now();
    const bool isLeaseExpired = now > executor.leaseEnd();
    std::vector<TaskId> lapsed;
    std::vector<TaskId> expired;
    for (auto &[id, run] : executor.runs()) {
        if (isLeaseExpired && run.state != RunState::Starting)
            lapsed.push_back(id);
        else if (run.isClaimed && !run.isCancelled && now >= run.deadline)
            expired.push_back(id);
        else if (isStopDue(run))
            stopRun(executor, id, run);
        else if (executor.missedAnswers == 0) {
            const StragglerCause cause = stragglerCause(executor, id, run);
            if (cause != StragglerCause::None)
                stopStraggler(executor, id, run, cause);
        }
    }
    // An owner that was paused has not renewed the leases of executors that are well.
    const bool isSilent =
        executor.silentSince && now - *executor.silentSince >= Constants::EXECUTOR_LOST_SILENCE_MS;
    runsGone(executor, lapsed, isSilent ? RunLoss::ExecutorSilent : RunLoss::NotRenewed);
    // The coordinator answers its caller at the deadline, but its stop may be lost.
    for (const TaskId &it : expired) {
        const auto task = m_tasks.find(it);
        EP_ASSERT(task != m_tasks.end(), continue);
        cancelTask(it, task->second);
    }
}

bool ExecutorGroup::isTokenCheckDue(const ExecutorState &executor) const
{
    const Base::TimePoint now = m_timers.now();
    return now < m_contestedUntil && now - executor.lastAnswer >= Constants::TOKEN_CHECK_INTERVAL_MS
           && !executor.isWaitingHoldPending && !executor.isImmediateHoldPending;
}

void ExecutorGroup::tick()
{
    if (m_isFenced)
        return;
    const Base::TimePoint now = m_timers.now();
    m_forecaster.lagObserved(std::max(now - m_lastTick - Constants::TICK_MS, Base::Duration(0)));
    if (now - std::exchange(m_lastTick, now) > Constants::PAUSE_MS) {
        Base::log(LogLevel::Warning, "ownerPaused", {{"group", m_group}, {"token", m_token}});
        m_resumed = now;
        // An executor that restarted in the meantime has lost the higher token of another owner.
        for (auto &[id, executor] : m_executors) {
            executor.hasListing = false;
            // Answers that arrived during the pause have not been read yet.
            if (executor.silentSince)
                executor.silentSince = now;
        }
    }
    checkClaims();
    returnUnservable();
    const bool hasRuns = m_contestedUntil > now && runCount() > 0;
    for (auto &[id, executor] : m_executors) {
        checkRuns(executor);
        if (!executor.hasListing || executor.missedAnswers > 0) {
            if (!executor.isImmediateHoldPending && now >= executor.nextTry)
                hold(executor, true);
        } else {
            pollExecutor(executor);
            const bool isReadingDue = executor.runs().empty() && executor.isClockReadingOld(now)
                                      && !executor.isImmediateHoldPending;
            if (isReadingDue || (hasRuns && isTokenCheckDue(executor)))
                hold(executor, true);
        }
        if (m_isFenced)
            return;
    }
    const bool isUnconfirmed =
        std::any_of(m_executors.begin(), m_executors.end(),
                    [](const auto &it) { return it.second.unconfirmedSince.has_value(); });
    if (isUnconfirmed)
        checkUnconfirmed();
    removeUnregistered();
    m_ended.prune(now);
    releaseAwaitingListing();
    for (const TaskQueue::Entry *it : m_queue.head(MAX_PLACEMENT_SCAN)) {
        const auto task = m_tasks.find(it->task);
        EP_ASSERT(task != m_tasks.end(), continue);
        if (now < task->second.batch->deadline)
            continue;
        // Not reported: the coordinator ends the job by itself, and a report could cross a claim.
        m_queue.remove(task->first);
        m_tasks.erase(task);
        loadChanged();
    }
    placeQueued();
    flushReports();
}

std::uint64_t ExecutorGroup::batchesSeen(const Base::DaemonId &coordinator) const
{
    const auto it = m_batchesSeen.find(coordinator);
    return it == m_batchesSeen.end() ? 0 : it->second;
}

/// 0 if the executor does not leave.
static std::uint32_t leavingMs(const ExecutorInfo &executor, Base::TimePoint now)
{
    if (!executor.leavesAt)
        return 0;
    const std::int64_t left = Base::toMilliseconds(*executor.leavesAt - now);
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(left, 1, UINT32_MAX));
}

const std::vector<Wire::WaitForecast> &ExecutorGroup::forecasts() const
{
    const Base::TimePoint now = m_timers.now();
    if (now - m_forecastTime >= Constants::FORECAST_REUSE_MS) {
        m_forecastTime = now;
        m_forecasts = m_forecaster.forecast(m_executors, m_queue, now);
    }
    return m_forecasts;
}

Wire::GroupLoad ExecutorGroup::load() const
{
    const Base::TimePoint now = m_timers.now();
    Wire::GroupLoad load;
    load.group = m_group.value();
    load.token = m_token.value();
    for (const auto &[id, executor] : m_executors) {
        if (!executor.isUsable(now))
            continue;
        const ExecutorInfo &info = executor.info();
        const Resources room = m_placement->reportedRoom(executor);
        load.executors.push_back({info.service.value(), info.rack, info.kind, room.cpuMillis,
                                  room.memoryMb, room.gpus, info.capacity.cpuMillis,
                                  static_cast<std::uint32_t>(executor.speed() * 100),
                                  leavingMs(info, now)});
    }
    for (const TaskQueue::Load &it : m_queue.load()) {
        load.queues.push_back(
            {it.service.value(), it.priority, static_cast<std::uint64_t>(it.cpuMillisSeconds)});
    }
    load.runTimes = m_runTimes->profiles();
    if (m_options.admission == AdmissionPolicy::Forecast)
        load.forecasts = forecasts();
    return load;
}

} // namespace Dispatch
