// Dispatch loop, state for admission and accounting of tasks.
#include "queuescheduler.h"

#include "admissioncontrol.h"
#include "schedulingconstants.h"

#include <base/failure.h>
#include <base/softassert.h>

#include <algorithm>
#include <cmath>

namespace Scheduling {

/// Maximum number of task groups that exclude upstreams. Beyond it exclusions are ignored, since
/// each group adds to the cost of a decision.
static constexpr std::size_t MAX_GROUPS_WITH_EXCLUSIONS = 64;
/// Time constant of the average of the arriving load.
static constexpr double LOAD_PERIOD_MS = 2000;
/// Tasks that the policy deferred although a slot was free are reconsidered after this time at the
/// latest.
static constexpr std::chrono::milliseconds DEFERRED_RETRY_MS{10};

static double toMs(Base::Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

QueueScheduler::QueueScheduler(Base::Timers &timers, TaskStarter &starter,
                               std::unique_ptr<PlacementPolicy> policy,
                               const SchedulerOptions &options)
    : m_timers(timers)
    , m_starter(starter)
    , m_policy(std::move(policy))
    , m_options(options)
    , m_queue(options.maxQueuedTasks * 2)
{}

QueueScheduler::~QueueScheduler()
{
    if (m_wakeUp != Base::TimePoint::max())
        m_timers.cancel(m_wakeUpTimer);
}

TeamIndex QueueScheduler::teamIndex(const Base::TeamId &id)
{
    const auto [it, inserted] = m_teamIndex.emplace(id, TeamIndex(m_teams.size()));
    if (inserted)
        m_teams.push_back({false, 0});
    return it->second;
}

void QueueScheduler::setManifest(const Manifest::Manifest &manifest)
{
    for (TeamData &it : m_teams)
        it.declared = false;
    for (const auto &[id, team] : manifest.teams) {
        const TeamIndex index = teamIndex(id);
        at(m_teams, index) = {true, team.maxQueuedTasks};
        m_queue.setWeight(index, team.weight);
    }
    for (std::size_t i = 0; i < m_kinds.size(); ++i) {
        m_kinds[i].declared = false;
        m_poolKinds[i].upstreamGroups.clear();
    }
    for (const auto &[id, kind] : manifest.kinds) {
        const auto [it, inserted] = m_kindIndex.emplace(id, KindIndex(m_kinds.size()));
        if (inserted) {
            m_kinds.push_back({RunTimeEstimate(kind.declaredRunTime), true, !kind.job, {}, {}, {}});
            m_poolKinds.emplace_back();
        }
        at(m_kinds, it->second).declared = true;
        at(m_kinds, it->second).single = !kind.job;
        at(m_poolKinds, it->second) = {id, kind.resources, kind.upstreamGroups};
    }
    m_pool.setUpstreams(manifest.upstreams, m_poolKinds);
    dispatch();
}

void QueueScheduler::setAvailability(
    const std::map<Base::UpstreamId, UpstreamAvailability> &availability)
{
    m_pool.setAvailability(availability);
    dispatch();
}

double QueueScheduler::load(const KindData &kind, TaskClass taskClass) const
{
    const double age = toMs(m_timers.now() - kind.loadTime);
    return kind.load[static_cast<std::size_t>(taskClass)] * std::exp(-age / LOAD_PERIOD_MS);
}

void QueueScheduler::addLoad(KindData &kind, TaskClass taskClass)
{
    for (const TaskClass it : {TaskClass::Single, TaskClass::Job})
        kind.load[static_cast<std::size_t>(it)] = load(kind, it);
    kind.loadTime = m_timers.now();
    kind.load[static_cast<std::size_t>(taskClass)] += toMs(kind.estimate.mean()) / LOAD_PERIOD_MS;
}

AdmissionState QueueScheduler::admissionState(const AdmissionRequest &request, KindIndex kind,
                                              TeamIndex team) const
{
    const Base::TimePoint now = m_timers.now();
    const KindData &data = at(m_kinds, kind);
    const TaskClass taskClass = data.single ? TaskClass::Single : TaskClass::Job;
    AdmissionState state;
    state.declaredUpstreams = m_pool.declaredCount(kind);
    state.listedUpstreams = m_pool.listedCount(kind);
    state.capacity = m_pool.capacity(kind);
    state.slowestSpeed = m_pool.slowestSpeed(kind);
    if (m_pool.usableSlots(kind) > 0)
        state.meanSpeed = state.capacity / m_pool.usableSlots(kind);
    state.meanWorkMs = toMs(data.estimate.optimisticMean(now));
    state.upperWorkMs = toMs(data.estimate.optimisticUpper(now));
    std::size_t queuedInClass = 0;
    double workInClass = 0;
    for (std::size_t i = 0; i < m_kinds.size(); ++i) {
        if (!m_pool.overlap(kind, KindIndex(i)))
            continue;
        const KindData &it = m_kinds[i];
        const double work = toMs(it.estimate.optimisticMean(now));
        const std::size_t n = it.queued[static_cast<std::size_t>(taskClass)];
        queuedInClass += n;
        workInClass += static_cast<double>(n) * work;
        if (taskClass == TaskClass::Job) {
            const std::size_t before = it.queued[static_cast<std::size_t>(TaskClass::Single)];
            state.queuedWorkMs += static_cast<double>(before) * work;
        }
        state.singleLoad += load(it, TaskClass::Single);
        state.classLoad += load(it, taskClass);
    }
    state.queuedWorkMs += workInClass;
    if (queuedInClass > 0) {
        state.teamWorkMs = workInClass / static_cast<double>(queuedInClass)
                           * static_cast<double>(m_queue.size(taskClass, team));
    }
    const double weight = m_queue.weight(team);
    const double others =
        m_queue.activeWeight(taskClass) - (m_queue.isActive(taskClass, team) ? weight : 0);
    state.teamShare = weight / (weight + std::max(0.0, others));
    state.queued = m_queue.size();
    state.maxQueued = m_options.maxQueuedTasks;
    state.teamQueued = m_queue.size(team);
    state.teamMaxQueued = at(m_teams, team).maxQueuedTasks;
    state.single = data.single;
    EP_ASSERT(request.taskCount > 0, return state);
    return state;
}

Admission QueueScheduler::admit(const AdmissionRequest &request) const
{
    const auto kind = m_kindIndex.find(request.kind);
    if (kind == m_kindIndex.end() || !at(m_kinds, kind->second).declared) {
        return {Base::makeFailure(Base::FailureCode::UnknownKind,
                                  "the manifest in force does not declare the kind"),
                {},
                {}};
    }
    const auto team = m_teamIndex.find(request.team);
    if (team == m_teamIndex.end() || !at(m_teams, team->second).declared) {
        return {Base::makeFailure(Base::FailureCode::UnknownTeam,
                                  "the manifest in force does not declare the team"),
                {},
                {}};
    }
    return decideAdmission(request, admissionState(request, kind->second, team->second),
                           m_timers.now());
}

TaskGroupIndex QueueScheduler::groupIndex(KindIndex kind,
                                          const std::vector<Base::UpstreamId> &excluded)
{
    std::vector<UpstreamIndex> upstreams;
    for (const Base::UpstreamId &it : excluded) {
        if (const UpstreamIndex *index = m_pool.find(it))
            upstreams.push_back(*index);
    }
    std::sort(upstreams.begin(), upstreams.end());
    upstreams.erase(std::unique(upstreams.begin(), upstreams.end()), upstreams.end());
    // A task that all upstreams refused may be placed on any of them again.
    const bool tooMany = m_groupIndex.size() >= MAX_GROUPS_WITH_EXCLUSIONS + m_kinds.size();
    if (tooMany || upstreams.size() >= m_pool.listedCount(kind))
        upstreams.clear();
    const auto it = m_groupIndex.find({kind, upstreams});
    if (it != m_groupIndex.end())
        return it->second;
    TaskGroupIndex index(m_groups.size());
    if (m_unusedGroups.empty()) {
        m_groups.emplace_back();
        m_blocked.push_back(false);
    } else {
        index = m_unusedGroups.back();
        m_unusedGroups.pop_back();
    }
    at(m_groups, index) = {kind, upstreams, 0};
    m_groupIndex.emplace(std::pair(kind, std::move(upstreams)), index);
    return index;
}

void QueueScheduler::releaseGroup(TaskGroupIndex index)
{
    TaskGroup &group = at(m_groups, index);
    if (--group.queued > 0 || group.excluded.empty())
        return;
    m_groupIndex.erase({group.kind, group.excluded});
    m_unusedGroups.push_back(index);
}

void QueueScheduler::enqueue(TaskDescription task)
{
    const auto kind = m_kindIndex.find(task.kind);
    EP_ASSERT(kind != m_kindIndex.end(), return );
    EP_ASSERT(!m_started.contains(task.handle), return );
    EP_ASSERT(!m_queue.find(task.handle), return );
    const TaskClass taskClass = task.single ? TaskClass::Single : TaskClass::Job;
    const TaskGroupIndex group = groupIndex(kind->second, task.excluded);
    ++at(m_groups, group).queued;
    KindData &data = at(m_kinds, kind->second);
    ++data.queued[static_cast<std::size_t>(taskClass)];
    const QueuedTask queuedTask{task.handle, taskClass, teamIndex(task.team), group, task.deadline};
    const bool pushed = m_queue.push(queuedTask);
    if (!pushed)
        removeFromCounts(queuedTask);
    EP_ASSERT(pushed, return );
    addLoad(data, taskClass);
    dispatch();
}

void QueueScheduler::removeFromCounts(const QueuedTask &task)
{
    KindData &kind = at(m_kinds, at(m_groups, task.group).kind);
    --kind.queued[static_cast<std::size_t>(task.taskClass)];
    releaseGroup(task.group);
}

bool QueueScheduler::withdraw(TaskHandle task)
{
    const QueuedTask *found = m_queue.find(task);
    if (!found)
        return false;
    const QueuedTask queuedTask = *found;
    m_queue.withdraw(task);
    removeFromCounts(queuedTask);
    return true;
}

void QueueScheduler::taskFinished(TaskHandle task, TaskResult result, Base::Duration runTime)
{
    const auto it = m_started.find(task);
    EP_ASSERT(it != m_started.end(), return );
    const StartedTask started = it->second;
    m_started.erase(it);
    KindData &kind = at(m_kinds, started.kind);
    if (result == TaskResult::Succeeded) {
        const double speed = m_pool.upstream(started.upstream).speed.speed();
        kind.estimate.add(runTime, speed, m_timers.now());
    }
    m_pool.taskFinished(started.upstream, started.resources, result, runTime,
                        kind.estimate.logMean(), m_timers.now());
    dispatch();
}

PlacementQuery QueueScheduler::placementQuery(const QueuedTask &task) const
{
    const TaskGroup &group = at(m_groups, task.group);
    PlacementQuery query;
    query.kind = group.kind;
    query.excluded = &group.excluded;
    query.workMs = toMs(at(m_kinds, group.kind).estimate.mean());
    query.queued = m_queue.size(TaskClass::Single);
    if (task.taskClass == TaskClass::Job)
        query.queued += m_queue.size(TaskClass::Job);
    for (std::size_t i = 0; i < m_kinds.size(); ++i) {
        if (!m_pool.overlap(group.kind, KindIndex(i)))
            continue;
        // Job tasks do not delay single requests, which can therefore wait for fast slots.
        query.arrivingLoad += load(m_kinds[i], TaskClass::Single);
        if (task.taskClass == TaskClass::Job)
            query.arrivingLoad += load(m_kinds[i], TaskClass::Job);
    }
    query.now = m_timers.now();
    return query;
}

void QueueScheduler::dispatch()
{
    // startTask() may call taskFinished() or enqueue().
    if (m_dispatching) {
        m_dispatchAgain = true;
        return;
    }
    m_dispatching = true;
    do {
        m_dispatchAgain = false;
        m_hasDeferredTasks = false;
        m_pool.updateProbes(m_timers.now());
        dispatchClass(TaskClass::Single);
        dispatchClass(TaskClass::Job);
    } while (m_dispatchAgain);
    m_dispatching = false;
    if (m_queue.size() == 0)
        return;
    // A probe can be overdue while the upstream still runs earlier tasks. The retry period then
    // bounds the rate of wake-ups.
    const Base::TimePoint retry = m_timers.now() + DEFERRED_RETRY_MS;
    const Base::TimePoint probe = m_pool.nextProbe();
    if (m_hasDeferredTasks)
        scheduleWakeUp(retry);
    else if (probe != Base::TimePoint::max())
        scheduleWakeUp(std::max(probe, retry));
}

void QueueScheduler::dispatchClass(TaskClass taskClass)
{
    std::fill(m_blocked.begin(), m_blocked.end(), false);
    const auto canStart = [this](TaskGroupIndex group) {
        return !at(m_blocked, group) && m_pool.hasFree(at(m_groups, group).kind);
    };
    while (const std::optional<QueuedTask> task = m_queue.next(taskClass, canStart)) {
        const std::optional<UpstreamIndex> upstream =
            m_policy->choose(m_pool, placementQuery(*task));
        if (upstream) {
            start(*task, *upstream);
        } else {
            at(m_blocked, task->group) = true;
            m_hasDeferredTasks = true;
        }
    }
}

void QueueScheduler::start(const QueuedTask &task, UpstreamIndex upstream)
{
    const KindIndex kind = at(m_groups, task.group).kind;
    m_queue.start(task.handle, at(m_kinds, kind).estimate.mean());
    removeFromCounts(task);
    const Manifest::Resources resources = m_pool.resources(kind);
    m_pool.taskStarted(upstream, resources, m_timers.now());
    m_started.emplace(task.handle, StartedTask{kind, upstream, resources});
    const Base::UpstreamId id = m_pool.upstream(upstream).id;
    m_starter.startTask(task.handle, id);
}

void QueueScheduler::scheduleWakeUp(Base::TimePoint when)
{
    if (m_wakeUp <= when)
        return;
    if (m_wakeUp != Base::TimePoint::max())
        m_timers.cancel(m_wakeUpTimer);
    m_wakeUp = when;
    m_wakeUpTimer = m_timers.schedule(when - m_timers.now(), [this] {
        m_wakeUp = Base::TimePoint::max();
        dispatch();
    });
}

} // namespace Scheduling
