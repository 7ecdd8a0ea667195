// Acceptance, placement, tracking and completion of jobs.
#include "jobcoordinator.h"

#include "dispatchconstants.h"

#include <base/hash.h>
#include <base/log.h>
#include <base/softassert.h>

#include <algorithm>
#include <set>
#include <utility>

namespace Dispatch {

using Base::LogLevel;
using Wire::TaskReportState;

/// Consecutive attempts to place a step, each without the groups found to be unreachable.
static constexpr int MAX_PLACEMENT_ROUNDS = 4;

JobCoordinator::JobCoordinator(Base::Timers &timers, GroupDirectory &directory,
                               const ExecutorLosses &losses, GroupSender &sender,
                               const DispatchOptions &options)
    : m_timers(timers)
    , m_directory(directory)
    , m_losses(losses)
    , m_sender(sender)
    , m_options(options)
    , m_memory(makeJobBudget(options.memory))
{}

JobCoordinator::~JobCoordinator() = default;

/// Length of the critical path through the steps, from the estimated run times.
static Base::Duration longestChain(const JobSpec &spec)
{
    std::vector<Base::Duration> ends(spec.steps.size(), Base::Duration(0));
    Base::Duration longest{0};
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        Base::Duration begin{0};
        for (const std::uint32_t it : spec.steps[i].after)
            begin = std::max(begin, ends[it]);
        ends[i] = begin + spec.steps[i].estimate;
        longest = std::max(longest, ends[i]);
    }
    return longest;
}

static Base::Duration scaled(Base::Duration duration, double factor)
{
    return std::chrono::duration_cast<Base::Duration>(duration * factor);
}

/// Estimate of what the job takes here until it ends. A request of some bytes can have thousands of
/// tasks.
std::size_t JobCoordinator::memoryOf(const JobRequest &request)
{
    std::size_t bytes =
        sizeof(Job) + Constants::COORDINATED_JOB_BYTES + request.spec.payload.size();
    for (const StepSpec &it : request.spec.steps) {
        bytes += sizeof(StepSpec) + sizeof(std::vector<Task>) + sizeof(std::uint32_t);
        bytes += it.after.size() * sizeof(std::uint32_t);
        bytes += it.requiredLabel.size() + it.preferredRack.size();
        bytes += it.count * (sizeof(Task) + Constants::COORDINATED_TASK_BYTES);
    }
    return bytes;
}

void JobCoordinator::reject(const JobRequest &request, const char *reason,
                            Base::Duration retryAfter, const Callback &callback)
{
    ++m_counters.rejected;
    Base::log(LogLevel::Info, "jobRejected",
              {{"job", request.spec.id},
               {"queue", request.policy.queue},
               {"reason", reason},
               {"retryAfter", retryAfter}});
    callback({JobOutcome::Rejected, reason, retryAfter});
}

void JobCoordinator::submit(JobRequest request, Callback callback)
{
    const JobId id = request.spec.id;
    const Base::TimePoint now = m_timers.now();
    const Base::Duration chain = longestChain(request.spec);
    const QueuePolicy &policy = request.policy;
    const Base::Duration objective = scaled(chain, policy.stretch) + policy.targetCompletion;
    const auto wait = m_directory.expectedWait(policy.service, policy.priority);
    const Base::Duration usefulTime =
        std::min(scaled(objective, Constants::LATE_FACTOR), request.timeLeft);
    if (m_shutdownDeadline && now + chain * 2 > *m_shutdownDeadline) {
        ++m_counters.rejected;
        Base::log(LogLevel::Info, "jobRejected",
                  {{"job", id},
                   {"queue", policy.queue},
                   {"reason", "draining"},
                   {"chain", chain},
                   {"timeLeft", *m_shutdownDeadline - now}});
        callback({JobOutcome::Rejected, "draining", std::chrono::seconds(1)});
        return;
    }
    const Base::Duration startDelay = m_losses.startDelay(id);
    // Not a rejection: a task has been started, and may be at work for another coordinator.
    if (startDelay.count() > 0 && startDelay + chain > usefulTime) {
        ++m_counters.timedOut;
        Base::log(LogLevel::Info, "jobNotStartedAgain",
                  {{"job", id},
                   {"queue", policy.queue},
                   {"reason", "executorsLost"},
                   {"startDelay", startDelay},
                   {"useful", usefulTime}});
        callback({JobOutcome::TimedOut, "executorsLost", {}});
        return;
    }
    if (wait && !isServable(request)) {
        ++m_counters.rejectedNoExecutor;
        reject(request, "noSuitableExecutor", Constants::NO_EXECUTOR_RETRY_S, callback);
        return;
    }
    // Estimates can be off by half or more, so a job is not rejected for its estimate alone while
    // there is no queue.
    const bool isQueueTooLong = !isForecasting() && wait && wait->count() > 0
                                && *wait + chain > usefulTime
                                && *wait > scaled(usefulTime, Constants::NEGLIGIBLE_WAIT_SHARE);
    if (!wait || isQueueTooLong) {
        ++m_counters.rejected;
        const char *reason = wait ? "overloaded" : "noExecutors";
        Base::log(LogLevel::Info, "jobRejected",
                  {{"job", id},
                   {"queue", policy.queue},
                   {"reason", reason},
                   {"expectedWait", wait ? *wait : Base::Duration(0)},
                   {"chain", chain},
                   {"useful", usefulTime}});
        callback({JobOutcome::Rejected, reason, wait ? *wait : Base::Duration(0)});
        return;
    }
    Base::Duration expectedWait = *wait;
    if (isForecasting()) {
        const auto rejection =
            rejectionByForecast(profileOf(request, usefulTime), policy, &expectedWait);
        if (rejection) {
            callback(*rejection);
            return;
        }
    }
    MemoryBudget::Share memory = m_memory->tryTake(memoryOf(request));
    if (!memory) {
        ++m_counters.rejectedNoMemory;
        Base::log(LogLevel::Warning, "jobMemoryExhausted",
                  {{"job", id},
                   {"bytes", memoryOf(request)},
                   {"heldBytes", m_memory->usedBytes()},
                   {"jobs", m_jobs.size()}});
        reject(request, "noMemory", Constants::MEMORY_RETRY_S, callback);
        return;
    }
    Job job;
    job.memory = std::move(memory);
    job.expectedWait = expectedWait;
    job.callback = std::move(callback);
    job.accepted = now;
    job.objective = now + objective;
    job.usefulUntil = now + usefulTime;
    job.latestStart =
        now + std::max(usefulTime - chain, scaled(usefulTime, Constants::NEGLIGIBLE_WAIT_SHARE));
    job.deadline = now + request.timeLeft;
    for (const StepSpec &it : request.spec.steps) {
        job.steps.emplace_back(it.count);
        job.remaining.push_back(it.count);
    }
    job.request = std::move(request);
    ++m_counters.accepted;
    const auto it = m_jobs.emplace(id, std::move(job)).first;
    std::uint32_t tasks = 0;
    for (const StepSpec &step : it->second.request.spec.steps)
        tasks += step.count;
    Base::log(LogLevel::Info, "jobAccepted",
              {{"job", id},
               {"queue", it->second.request.policy.queue},
               {"tasks", tasks},
               {"chain", chain},
               {"objective", objective},
               {"timeLeft", it->second.request.timeLeft},
               {"expectedWait", expectedWait}});
    placeWaiting(id, it->second);
}

/// Whether there is a known executor for each step.
bool JobCoordinator::isServable(const JobRequest &request) const
{
    PlacementRequest placement;
    placement.service = request.policy.service;
    return std::all_of(request.spec.steps.begin(), request.spec.steps.end(),
                       [&](const StepSpec &it) {
                           placement.shape = it.shape;
                           placement.requiredLabel = it.requiredLabel;
                           return m_directory.hasCapableExecutor(placement);
                       });
}

/// After a change of the executors, takes back the jobs that none of them can run any more.
void JobCoordinator::withdrawUnservable()
{
    if (std::exchange(m_checkedExecutors, m_directory.executorsVersion())
        == m_directory.executorsVersion()) {
        return;
    }
    std::vector<JobId> unservable;
    for (const auto &[id, job] : m_jobs) {
        if (!job.mayHaveStarted && !job.isWithdrawn && !isServable(job.request))
            unservable.push_back(id);
    }
    for (const JobId &it : unservable) {
        const auto job = m_jobs.find(it);
        EP_ASSERT(job != m_jobs.end(), continue);
        withdraw(job, "noSuitableExecutor", Constants::NO_EXECUTOR_RETRY_S);
    }
}

/// The widest step stands for all: its tasks start at the same time, and the last of them decides.
JobProfile JobCoordinator::profileOf(const JobRequest &request, Base::Duration usefulTime)
{
    const QueuePolicy &policy = request.policy;
    JobProfile profile;
    profile.job = request.spec.id;
    profile.service = policy.service;
    profile.priority = policy.priority;
    profile.chain = longestChain(request.spec);
    profile.objective = scaled(profile.chain, policy.stretch) + policy.targetCompletion;
    profile.useful = usefulTime;
    profile.tasks = 0;
    for (const StepSpec &it : request.spec.steps) {
        profile.work +=
            it.count * it.shape.cpuMillis * std::chrono::duration<double>(it.estimate).count();
        if (it.count > profile.tasks) {
            profile.tasks = it.count;
            profile.shape = it.shape;
        }
    }
    return profile;
}

PlacementRequest JobCoordinator::waitRequestFor(const JobProfile &profile) const
{
    PlacementRequest request;
    request.service = profile.service;
    request.priority = profile.priority;
    request.shape = profile.shape;
    request.estimate = profile.chain;
    request.count = profile.tasks;
    request.time = m_timers.now();
    request.seed = Base::stableHash(profile.job.value());
    return request;
}

/// The result if the job is to be rejected. Sets \a expectedWait to the wait of its last task.
std::optional<JobResult> JobCoordinator::rejectionByForecast(const JobProfile &profile,
                                                             const QueuePolicy &policy,
                                                             Base::Duration *expectedWait)
{
    const WaitEstimate estimate =
        m_directory.estimateWait(waitRequestFor(profile)).value_or(WaitEstimate());
    *expectedWait = estimate.wait;
    const Admission admission = m_admission.decide(profile, estimate, m_timers.now());
    if (admission == Admission::Admitted)
        return std::nullopt;
    const bool isInProportion = admission == Admission::Proportion;
    ++m_counters.rejected;
    ++(isInProportion ? m_counters.rejectedInProportion : m_counters.rejectedNoChance);
    const JobResult result{JobOutcome::Rejected, "overloaded",
                           m_admission.retryAfter(profile, estimate)};
    Base::log(LogLevel::Info, "jobRejected",
              {{"job", profile.job},
               {"queue", policy.queue},
               {"reason", result.reason},
               {"cause", isInProportion ? "proportion" : "noChance"},
               {"expectedWait", estimate.wait},
               {"deviation", estimate.deviation},
               {"tasks", profile.tasks},
               {"chain", profile.chain},
               {"useful", profile.useful},
               {"retryAfter", result.retryAfter}});
    return result;
}

/// Learns the error of the wait that was forecast for \a task, whose start has been reported if
/// \a isStarted, and has not been until now otherwise.
void JobCoordinator::recordWait(const Job &job, const Task &task, bool isStarted)
{
    if (!task.forecastWait)
        return;
    const ForecastWait &wait = *task.forecastWait;
    const Base::TimePoint now = m_timers.now();
    const ForecastErrors::Key key{task.group, job.request.policy.priority, wait.isQueued};
    if (isStarted)
        m_directory.errors().add(key, wait.forecast, now - wait.since, now);
    else
        m_directory.errors().addWaiting(key, wait.forecast, now - wait.since, now);
}

/// Whether a job of which nothing has started can't be of use any more. Decided again once in
/// PRESSURE_INTERVAL_MS, as load reports change.
bool JobCoordinator::isHopeless(const JobId &id, Job &job)
{
    const Base::TimePoint now = m_timers.now();
    if (!isForecasting() || now - job.lastDecision < Constants::PRESSURE_INTERVAL_MS)
        return false;
    job.lastDecision = now;
    const JobProfile profile = profileOf(job.request, job.usefulUntil - job.accepted);
    const PlacementRequest request = waitRequestFor(profile);
    std::set<GroupId> groups;
    WaitEstimate longest;
    for (const auto &step : job.steps) {
        for (const Task &it : step) {
            if (it.state != TaskState::AtGroup || !groups.insert(it.group).second)
                continue;
            recordWait(job, it, false);
            const WaitEstimate estimate = m_directory.estimateWaitIn(it.group, request);
            if (estimate.wait > longest.wait)
                longest = estimate;
        }
    }
    const Base::Duration elapsed = now - job.accepted;
    if (!JobAdmission::isHopeless(profile, longest, job.expectedWait, elapsed))
        return false;
    ++m_counters.withdrawnNoChance;
    Base::log(LogLevel::Info, "jobWithoutChance",
              {{"job", id},
               {"queue", job.request.policy.queue},
               {"elapsed", elapsed},
               {"expectedWait", longest.wait},
               {"expectedBefore", job.expectedWait}});
    return true;
}

void JobCoordinator::updatePressure()
{
    if (!isForecasting())
        return;
    m_admission.updatePressure(
        [this](const JobProfile &it) { return m_directory.estimateWait(waitRequestFor(it)); },
        m_timers.now());
}

Base::Duration JobCoordinator::forecastError() const
{
    return m_directory.errors().meanOffset(m_timers.now());
}

Base::Duration JobCoordinator::absoluteForecastError() const
{
    return m_directory.errors().meanAbsoluteOffset(m_timers.now());
}

bool JobCoordinator::isReady(const Job &job, std::size_t step) const
{
    if (job.isWithdrawn)
        return false;
    const std::vector<std::uint32_t> &after = job.request.spec.steps[step].after;
    return std::all_of(after.begin(), after.end(),
                       [&job](std::uint32_t it) { return job.remaining[it] == 0; });
}

PlacementRequest JobCoordinator::placementFor(const Job &job, std::size_t step,
                                              std::uint32_t count) const
{
    const StepSpec &spec = job.request.spec.steps[step];
    PlacementRequest request;
    request.service = job.request.policy.service;
    request.priority = job.request.policy.priority;
    request.shape = spec.shape;
    request.estimate = spec.estimate;
    request.requiredLabel = spec.requiredLabel;
    request.preferredRack = spec.preferredRack;
    request.count = count;
    if (isForecasting()) {
        request.time = m_timers.now();
        request.seed = Base::stableHash(job.request.spec.id.value(), step);
    }
    return request;
}

void JobCoordinator::placeWaiting(const JobId &id, Job &job)
{
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
        if (job.remaining[i] > 0 && isReady(job, i))
            placeStep(id, job, i);
    }
}

/// A group is a candidate until its owner turns out to be unreachable. Tasks placed there are then
/// placed again at once, in other groups.
void JobCoordinator::placeStep(const JobId &id, Job &job, std::size_t step)
{
    for (int i = 0; i < MAX_PLACEMENT_ROUNDS && !placeTasks(id, job, step); ++i) {
    }
}

/// Returns false if a group turned out to be unreachable, so that some tasks are still unplaced.
bool JobCoordinator::placeTasks(const JobId &id, Job &job, std::size_t step)
{
    std::vector<std::uint32_t> waiting;
    for (std::uint32_t i = 0; i < job.steps[step].size(); ++i) {
        if (job.steps[step][i].state == TaskState::Waiting)
            waiting.push_back(i);
    }
    if (waiting.empty())
        return true;
    const auto shares =
        m_directory.place(placementFor(job, step, static_cast<std::uint32_t>(waiting.size())));
    bool areAllReachable = true;
    std::size_t next = 0;
    for (const PlacementShare &it : shares) {
        if (!m_sender.isOwnerReachable(it.group)) {
            areAllReachable = false;
            m_directory.forgetLoad(it.group);
            continue;
        }
        const std::vector<std::uint32_t> indices(waiting.begin() + static_cast<long>(next),
                                                 waiting.begin()
                                                     + static_cast<long>(next + it.count));
        next += it.count;
        // A task that keeps being returned waits in a group after all, as does one that needs an
        // empty executor, of which the load does not tell.
        const auto step32 = static_cast<std::uint32_t>(step);
        const bool isReturnable =
            it.startable == it.count
            && std::all_of(indices.begin(), indices.end(), [&](std::uint32_t index) {
                   return job.steps[step][index].returns < Constants::MAX_RETURNS
                          && !m_losses.isSuspect({id, 0, step32, index});
               });
        for (const std::uint32_t index : indices) {
            Task &task = job.steps[step][index];
            if (isForecasting() && !task.forecastWait)
                task.forecastWait = {m_timers.now(), it.forecast, it.startable < it.count};
        }
        sendBatch(id, job, step, it.group, indices,
                  isReturnable ? BatchKind::Immediate : BatchKind::Queued);
    }
    return areAllReachable;
}

/// States the progress of the job: its tasks that are neither done nor reported as started, and
/// all.
void JobCoordinator::countTasks(const Job &job, Wire::TaskBatch &batch)
{
    for (const auto &step : job.steps) {
        batch.totalTasks += static_cast<std::uint32_t>(step.size());
        batch.openTasks +=
            static_cast<std::uint32_t>(std::count_if(step.begin(), step.end(), [](const Task &it) {
                return it.state == TaskState::Waiting
                       || (it.state == TaskState::AtGroup && it.executor.empty());
            }));
    }
}

bool JobCoordinator::sendBatch(const JobId &id, Job &job, std::size_t step, const GroupId &group,
                               const std::vector<std::uint32_t> &indices, BatchKind kind)
{
    const bool mayHaveStarted = kind == BatchKind::Claim;
    job.mayHaveStarted |= mayHaveStarted;
    const Base::TimePoint now = m_timers.now();
    // After a pause of this process the caller may have submitted the job to another daemon.
    if (now >= job.deadline)
        return false;
    const auto millisecondsUntil = [now](Base::TimePoint time) {
        return static_cast<std::uint64_t>(
            std::max<std::int64_t>(0, Base::toMilliseconds(time - now)));
    };
    const StepSpec &spec = job.request.spec.steps[step];
    const QueuePolicy &policy = job.request.policy;
    Wire::TaskBatch batch;
    batch.group = group.value();
    batch.sequence = m_sequences[group] + 1;
    batch.job = id.value();
    batch.step = static_cast<std::uint32_t>(step);
    batch.payload = job.request.spec.payload;
    batch.service = policy.service.value();
    batch.priority = policy.priority;
    batch.cpuMillis = spec.shape.cpuMillis;
    batch.memoryMb = spec.shape.memoryMb;
    batch.gpus = spec.shape.gpus;
    batch.estimateMs = static_cast<std::uint64_t>(Base::toMilliseconds(spec.estimate));
    batch.objectiveMs = millisecondsUntil(job.objective);
    batch.deadlineMs = millisecondsUntil(job.deadline);
    batch.ageMs = static_cast<std::uint64_t>(Base::toMilliseconds(now - job.accepted));
    batch.requiredLabel = spec.requiredLabel;
    batch.rack = spec.preferredRack;
    batch.maxPerExecutor = spec.maxPerExecutor;
    batch.returnsUnplaced = kind == BatchKind::Immediate;
    for (const std::uint32_t it : indices) {
        const Task &task = job.steps[step][it];
        const bool isKnown = !task.executor.empty();
        batch.tasks.push_back({it, task.minRun, mayHaveStarted, task.executor, task.lifetime,
                               isKnown ? task.run : 0});
    }
    countTasks(job, batch);
    if (!m_sender.sendToOwner(group, batch))
        return false;
    Base::log(LogLevel::Debug, "batchSent",
              {{"job", id},
               {"step", step},
               {"group", group},
               {"tasks", indices.size()},
               {"first", indices.front()},
               {"claim", mayHaveStarted ? 1 : 0}});
    m_sequences[group] = batch.sequence;
    m_directory.batchSent(group, batch.sequence,
                          placementFor(job, step, static_cast<std::uint32_t>(indices.size())));
    for (const std::uint32_t it : indices) {
        Task &task = job.steps[step][it];
        task.state = TaskState::AtGroup;
        task.group = group;
        task.sentSequence = batch.sequence;
        task.needsClaim = false;
        // The owner may start the task on another executor and be lost before it reports that.
        if (mayHaveStarted)
            task.executor.clear();
    }
    return true;
}

void JobCoordinator::reportsReceived(const Wire::TaskReports &reports)
{
    const JobId id(reports.job);
    const GroupId group(reports.group);
    for (const Wire::TaskReport &it : reports.reports) {
        const auto job = m_jobs.find(id);
        if (job == m_jobs.end()) {
            // The job has already ended, so its tasks at the group are no longer needed.
            if (it.state == static_cast<std::uint8_t>(TaskReportState::Started)) {
                if (!m_sender.sendToOwner(group, Wire::StopJob{reports.group, reports.job}))
                    m_unreconciled.insert(group);
                return;
            }
            continue;
        }
        reportReceived(reports, job, it);
    }
    const auto job = m_jobs.find(id);
    if (job == m_jobs.end())
        return;
    if (job->second.isWithdrawn)
        finishWithdrawn(job);
    else
        placeWaiting(id, job->second);
}

void JobCoordinator::reportReceived(const Wire::TaskReports &reports, JobMap::iterator it,
                                    const Wire::TaskReport &report)
{
    Job &job = it->second;
    const GroupId group(reports.group);
    if (report.step >= job.steps.size() || report.index >= job.steps[report.step].size())
        return;
    Task &task = job.steps[report.step][report.index];
    if (task.state != TaskState::AtGroup || task.group != group)
        return;
    // A report that was sent before the last batch or claim arrived may be from an earlier owner.
    // The claim is answered by another report.
    if (reports.batchesSeen < task.sentSequence)
        return;
    const auto state = static_cast<TaskReportState>(report.state);
    Base::log(LogLevel::Debug, "taskReport",
              {{"job", it->first},
               {"index", report.index},
               {"group", group},
               {"run", report.run},
               {"state", static_cast<int>(report.state)},
               {"minRun", task.minRun}});
    // A report about an earlier run of a task that has since been sent to the same group again.
    const bool isWithoutRun = state == TaskReportState::Returned
                              || state == TaskReportState::GivenUp
                              || state == TaskReportState::Expired;
    if (!isWithoutRun && report.run < task.minRun)
        return;
    const bool isWithoutStart = state == TaskReportState::Returned
                                || state == TaskReportState::Refused
                                || (state == TaskReportState::Expired && report.run == 0);
    job.mayHaveStarted |= !isWithoutStart;
    switch (state) {
    case TaskReportState::Started:
        recordWait(job, task, true);
        task.forecastWait.reset();
        task.executor = report.executor;
        task.lifetime = report.lifetime;
        task.run = report.run;
        return;
    case TaskReportState::Returned:
        ++task.returns;
        task.state = TaskState::Waiting;
        task.executor.clear();
        // The group may have used run numbers for starts that were not carried out.
        task.minRun = std::max(task.minRun, report.run + 1);
        return;
    case TaskReportState::Lost:
        task.state = TaskState::Waiting;
        task.executor.clear();
        task.minRun = report.run + 1;
        taskLost(it, report);
        return;
    case TaskReportState::GivenUp:
        giveUp(it, {it->first, report.occurrence, report.step, report.index});
        return;
    case TaskReportState::Failed:
        task.state = TaskState::Waiting;
        task.executor.clear();
        task.minRun = report.run + 1;
        ++task.failures;
        Base::log(LogLevel::Info, "taskFailed",
                  {{"job", it->first},
                   {"index", report.index},
                   {"run", report.run},
                   {"executor", report.executor},
                   {"failures", task.failures},
                   {"maxAttempts", job.request.policy.maxAttempts}});
        if (task.failures >= job.request.policy.maxAttempts) {
            finish(it, {JobOutcome::Failed, "taskFailed", {}});
        }
        return;
    case TaskReportState::Refused:
        task.state = TaskState::Waiting;
        task.executor.clear();
        task.minRun = report.run + 1;
        ++task.refusals;
        Base::log(LogLevel::Info, "taskRefused",
                  {{"job", it->first},
                   {"index", report.index},
                   {"executor", report.executor},
                   {"refusals", task.refusals}});
        if (task.refusals >= job.request.policy.maxAttempts && !job.isWithdrawn)
            withdrawRefused(it, report);
        return;
    case TaskReportState::Expired:
        task.state = TaskState::Waiting;
        task.executor.clear();
        if (!job.isWithdrawn && job.mayHaveStarted)
            finish(it, {JobOutcome::TimedOut, "expired", {}});
        else if (!job.isWithdrawn)
            withdraw(it, "expired");
        return;
    case TaskReportState::Done:
        task.state = TaskState::Done;
        --job.remaining[report.step];
        if (std::all_of(job.remaining.begin(), job.remaining.end(),
                        [](std::uint32_t n) { return n == 0; })) {
            finish(it, {JobOutcome::Completed, {}, {}});
        }
        return;
    }
}

/// Ends the job if the task must not or need not be started again: it has lost too many executors,
/// or it may have crashed one and its result would come too late to be of use.
void JobCoordinator::taskLost(JobMap::iterator it, const Wire::TaskReport &report)
{
    const Job &job = it->second;
    const TaskId task{it->first, report.occurrence, report.step, report.index};
    const std::size_t losses = m_losses.count(task);
    Base::log(LogLevel::Info, "taskLost",
              {{"job", it->first},
               {"index", report.index},
               {"run", report.run},
               {"executor", report.executor},
               {"executorsLost", losses}});
    if (m_losses.isGivenUp(task)) {
        giveUp(it, task);
        return;
    }
    const Base::Duration estimate = job.request.spec.steps[report.step].estimate;
    if (losses > 0 && m_timers.now() + m_losses.startDelay(task) + estimate > job.usefulUntil)
        finish(it, {JobOutcome::TimedOut, "executorLost", {}});
}

/// The executors may have ended for any reason, and a run may have ended before its executor did,
/// so the job does not count as failed: only runs that executors list as failed are attempts.
void JobCoordinator::giveUp(JobMap::iterator it, const TaskId &task)
{
    Base::log(LogLevel::Warning, "taskGivenUp",
              {{"task", toString(task)}, {"executorsLost", m_losses.describe(task)}});
    finish(it, {JobOutcome::TimedOut, "executorsLost", {}});
}

/// Owners report without an executor that they have no memory for a task.
void JobCoordinator::withdrawRefused(JobMap::iterator it, const Wire::TaskReport &report)
{
    if (report.executor.empty())
        withdraw(it, "noMemory", Constants::MEMORY_RETRY_S);
    else
        withdraw(it, "orderRefused");
}

void JobCoordinator::stopTasks(const JobId &id, const Job &job)
{
    std::set<GroupId> groups;
    for (const auto &step : job.steps) {
        for (const Task &it : step) {
            if (it.state == TaskState::AtGroup)
                groups.insert(it.group);
        }
    }
    for (const GroupId &it : groups) {
        if (!m_sender.sendToOwner(it, Wire::StopJob{it.value(), id.value()}))
            m_unreconciled.insert(it);
    }
}

void JobCoordinator::finish(JobMap::iterator it, JobResult result)
{
    const JobId id = it->first;
    const Job job = std::move(it->second);
    m_jobs.erase(it);
    stopTasks(id, job);
    switch (result.outcome) {
    case JobOutcome::Completed:
        ++m_counters.completed;
        break;
    case JobOutcome::Failed:
        ++m_counters.failed;
        break;
    case JobOutcome::Rejected:
        ++m_counters.rejected;
        break;
    case JobOutcome::TimedOut:
        ++m_counters.timedOut;
        break;
    case JobOutcome::Cancelled:
        ++m_counters.cancelled;
        break;
    }
    Base::log(LogLevel::Info, "jobEnded",
              {{"job", id},
               {"queue", job.request.policy.queue},
               {"outcome", static_cast<int>(result.outcome)},
               {"reason", result.reason},
               {"elapsed", m_timers.now() - job.accepted},
               {"objective", job.objective - job.accepted}});
    // Apart from jobEnded, of which most lines are dropped under load.
    const Base::Duration usefulTime = scaled(job.objective - job.accepted, Constants::LATE_FACTOR);
    if (result.outcome == JobOutcome::Completed && m_timers.now() > job.accepted + usefulTime) {
        Base::log(LogLevel::Info, "jobCompletedTooLate",
                  {{"job", id},
                   {"queue", job.request.policy.queue},
                   {"elapsed", m_timers.now() - job.accepted},
                   {"useful", usefulTime}});
    }
    job.callback(result);
}

void JobCoordinator::cancel(const JobId &id)
{
    const auto it = m_jobs.find(id);
    if (it == m_jobs.end())
        return;
    const Job job = std::move(it->second);
    m_jobs.erase(it);
    ++m_counters.cancelled;
    Base::log(LogLevel::Info, "jobAbandoned",
              {{"job", id}, {"elapsed", m_timers.now() - job.accepted}});
    stopTasks(id, job);
}

bool JobCoordinator::cancelForCaller(const JobId &id)
{
    const auto it = m_jobs.find(id);
    if (it == m_jobs.end())
        return false;
    finish(it, {JobOutcome::Cancelled, "cancelled", {}});
    return true;
}

/// Takes a job back that cannot be completed in time, or not at all. Its caller is told so as soon
/// as all groups have confirmed that they have none of its tasks.
void JobCoordinator::withdraw(JobMap::iterator it, const char *reason, Base::Duration minRetryAfter)
{
    Base::log(LogLevel::Info, "jobWithdrawn",
              {{"job", it->first},
               {"queue", it->second.request.policy.queue},
               {"reason", reason},
               {"elapsed", m_timers.now() - it->second.accepted}});
    it->second.isWithdrawn = true;
    it->second.withdrawalReason = reason;
    it->second.minRetryAfter = minRetryAfter;
    stopTasks(it->first, it->second);
    finishWithdrawn(it);
}

void JobCoordinator::finishWithdrawn(JobMap::iterator it)
{
    const Job &job = it->second;
    for (const auto &step : job.steps) {
        if (std::any_of(step.begin(), step.end(),
                        [](const Task &task) { return task.state == TaskState::AtGroup; })) {
            return;
        }
    }
    if (job.mayHaveStarted) {
        finish(it, {JobOutcome::TimedOut, job.withdrawalReason, {}});
        return;
    }
    const QueuePolicy &policy = job.request.policy;
    const auto wait = m_directory.expectedWait(policy.service, policy.priority);
    Base::Duration retryAfter = wait.value_or(Base::Duration(0));
    if (isForecasting()) {
        const JobProfile profile = profileOf(job.request, job.usefulUntil - job.accepted);
        retryAfter = m_admission.retryAfter(
            profile, m_directory.estimateWait(waitRequestFor(profile)).value_or(WaitEstimate()));
    }
    finish(it,
           {JobOutcome::Rejected, job.withdrawalReason, std::max(retryAfter, job.minRetryAfter)});
}

void JobCoordinator::claimTasks(const GroupId &group)
{
    const std::uint64_t firstSequence = m_sequences[group] + 1;
    std::vector<JobId> unknown;
    for (auto &[id, job] : m_jobs) {
        bool hasTasksAtGroup = false;
        for (auto &step : job.steps) {
            for (Task &it : step) {
                if (it.state == TaskState::AtGroup && it.group == group)
                    hasTasksAtGroup = it.needsClaim = true;
            }
        }
        // The new owner cannot tell whether the previous one had started a task of the job.
        if (hasTasksAtGroup && job.isWithdrawn)
            unknown.push_back(id);
        else if (hasTasksAtGroup)
            sendClaims(id, job);
    }
    for (const JobId &it : unknown)
        finish(m_jobs.find(it), {JobOutcome::TimedOut, m_jobs.at(it).withdrawalReason, {}});
    if (areClaimsSent(group) && m_sender.sendClaimsEnd(group, firstSequence))
        m_unreconciled.erase(group);
    else
        m_unreconciled.insert(group);
}

bool JobCoordinator::areClaimsSent(const GroupId &group) const
{
    for (const auto &[id, job] : m_jobs) {
        for (const auto &step : job.steps) {
            if (std::any_of(step.begin(), step.end(), [&group](const Task &task) {
                    return task.state == TaskState::AtGroup && task.group == group
                           && task.needsClaim;
                })) {
                return false;
            }
        }
    }
    return true;
}

/// A claim that cannot be sent because the owner is unknown or unreachable is retried by tick().
void JobCoordinator::sendClaims(const JobId &id, Job &job)
{
    for (std::size_t step = 0; step < job.steps.size(); ++step) {
        std::map<GroupId, std::vector<std::uint32_t>> indices;
        for (std::uint32_t i = 0; i < job.steps[step].size(); ++i) {
            const Task &task = job.steps[step][i];
            if (task.state == TaskState::AtGroup && task.needsClaim
                && m_sender.isOwnerReachable(task.group)) {
                indices[task.group].push_back(i);
            }
        }
        for (const auto &[group, list] : indices)
            sendBatch(id, job, step, group, list, BatchKind::Claim);
    }
}

void JobCoordinator::abortAll()
{
    while (!m_jobs.empty())
        finish(m_jobs.begin(), {JobOutcome::TimedOut, "draining", {}});
}

void JobCoordinator::tick()
{
    const Base::TimePoint now = m_timers.now();
    std::vector<JobId> expired;
    std::vector<JobId> useless;
    updatePressure();
    withdrawUnservable();
    for (auto &[id, job] : m_jobs) {
        if (now >= job.deadline) {
            expired.push_back(id);
        } else if (job.isWithdrawn) {
            continue;
        } else if (!job.mayHaveStarted && (now > job.latestStart || isHopeless(id, job))) {
            useless.push_back(id);
        } else {
            sendClaims(id, job);
            placeWaiting(id, job);
        }
    }
    for (const JobId &it : expired) {
        const auto job = m_jobs.find(it);
        EP_ASSERT(job != m_jobs.end(), continue);
        finish(job, {JobOutcome::TimedOut, "deadlineExceeded", {}});
    }
    for (const JobId &it : useless) {
        const auto job = m_jobs.find(it);
        EP_ASSERT(job != m_jobs.end(), continue);
        withdraw(job, "overloaded");
    }
    for (const GroupId &it : std::set<GroupId>(m_unreconciled)) {
        if (m_sender.isOwnerReachable(it))
            claimTasks(it);
    }
}

} // namespace Dispatch
