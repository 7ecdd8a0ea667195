// Reservations, backfilling, and the choice among executors of different speed.
#include "lookaheadplacement.h"

#include "dispatchconstants.h"

#include <base/log.h>

#include <algorithm>

namespace Dispatch {

using Base::LogLevel;

/// Speeds that differ by a smaller factor count as equal; then the fuller executor is chosen.
static constexpr double SPEED_TOLERANCE = 1.1;
/// Estimates are off by a factor of e^0.4 at one standard deviation.
static constexpr double RUN_TIME_MARGIN = 1.5;
/// Margin of a run on an executor that leaves: estimates and run times are both off by e^0.4, and
/// this is two standard deviations of their product. A lost run costs more than an idle place.
static constexpr double LEAVING_MARGIN = 3;
/// The group is contended while less than this share of its capacity would be left free.
static constexpr double FREE_SHARE = 0.125;
/// At most this fraction (1/n) of the executors is reserved, but one in a small group.
static constexpr std::size_t RESERVED_RATIO = 4;
/// A task is moved to another executor if it is expected to start earlier there by this much.
/// Less is within the error of the expected ends, and each move costs a load report.
static constexpr std::chrono::milliseconds REPLAN_GAIN_MS{20};
/// A task that has been bypassed for longer gets a reservation beside which nothing is started that
/// could delay it. The objective of the shortest tasks under hard load leaves them 90 ms.
static constexpr std::chrono::milliseconds MAX_BYPASS_MS{100};
/// Waiting tasks whose bypasses are recorded: more than can be reserved for in the largest group.
static constexpr std::size_t MAX_TRACKED_TASKS = 16;
/// Refused shapes that are remembered in a pass; the jobs of a deployment have few shapes.
static constexpr std::size_t MAX_REFUSALS = 16;

static Base::Duration scaled(Base::Duration duration, double factor)
{
    return std::chrono::duration_cast<Base::Duration>(duration * factor);
}

/// Orders to an executor that drains are carried out up to a lease later, so its last start is
/// stated with that margin.
static bool mayGetTasks(const ExecutorState &executor, Base::TimePoint now)
{
    if (!executor.info().draining)
        return executor.isUsable(now);
    const ExecutorInfo &info = executor.info();
    return executor.isInService(now) && info.leavesAt && info.lastStart && now < *info.lastStart;
}

LookAheadPlacement::LookAheadPlacement(PlacementContext context)
    : m_context(context)
    , m_emptyExecutors(std::move(context))
{}

void LookAheadPlacement::beginPass(const PlacementPass &pass)
{
    m_executors = &pass.executors;
    m_now = pass.now;
    m_refusals.clear();
    m_waiting.clear();
    m_views.clear();
    m_emptyExecutors.check(pass.executors, pass.now);
    std::uint64_t room = 0;
    std::uint64_t capacity = 0;
    m_maxSpeed = 0;
    for (auto &[id, executor] : pass.executors) {
        if (!mayGetTasks(executor, m_now))
            continue;
        m_views.push_back({&executor, RoomOutlook(executor, m_now)});
        room += m_views.back().outlook.room().cpuMillis;
        capacity += executor.info().capacity.cpuMillis;
        m_maxSpeed = std::max(m_maxSpeed, executor.speed());
    }
    if (m_views.empty())
        m_maxSpeed = 1;
    const double kept = FREE_SHARE * static_cast<double>(capacity);
    m_isContended = static_cast<double>(pass.waitingCpuMillis) + kept > static_cast<double>(room);
    const auto gone = [this](const Reservation &it) {
        return !m_context.mayStart(it.task) || !viewOf(it.executor);
    };
    if (std::erase_if(m_reservations, gone) > 0)
        m_context.loadChanged();
    for (Reservation &it : m_reservations)
        it.isVisited = false;
}

LookAheadPlacement::View *LookAheadPlacement::viewOf(const ExecutorId &executor)
{
    const auto it = std::find_if(m_views.begin(), m_views.end(), [&](const View &view) {
        return view.executor->info().id == executor;
    });
    return it == m_views.end() ? nullptr : &*it;
}

LookAheadPlacement::Reservation *LookAheadPlacement::reservationOf(const TaskId &task)
{
    const auto it = std::find_if(m_reservations.begin(), m_reservations.end(),
                                 [&](const Reservation &entry) { return entry.task == task; });
    return it == m_reservations.end() ? nullptr : &*it;
}

const LookAheadPlacement::Reservation *
LookAheadPlacement::reservationOn(const ExecutorId &executor) const
{
    const auto it =
        std::find_if(m_reservations.begin(), m_reservations.end(),
                     [&](const Reservation &entry) { return entry.executor == executor; });
    return it == m_reservations.end() ? nullptr : &*it;
}

ExecutorState *LookAheadPlacement::choose(const WaitingTask &task)
{
    if (task.isSuspect) {
        ExecutorState *executor = m_emptyExecutors.choose(*m_executors, task, m_now);
        for (View &it : m_views) {
            if (it.executor == executor || it.executor->isReserved)
                it.outlook.setAlone();
        }
        return executor;
    }
    // The executor that is reserved for this task was none for those that were refused.
    const bool isRefusedToo = !reservationOf(task.id) && isRefused(task);
    const Base::Duration expected =
        isRefusedToo ? Base::Duration(0) : m_context.runTime(task.batch);
    View *view = isRefusedToo ? nullptr : bestView(task, expected);
    if (!view) {
        noteWaiting(task);
        return nullptr;
    }
    const double speed = speedFor(*view->executor, task.batch.message);
    view->outlook.add(task.batch.shape, m_now + scaled(expected, 1 / speed));
    noteStart(task);
    logBypass(task);
    release(task.id);
    return view->executor;
}

bool LookAheadPlacement::isRefused(const WaitingTask &task) const
{
    return std::any_of(m_refusals.begin(), m_refusals.end(), [&](const Refusal &it) {
        return it.service == task.batch.message.service && it.shape.fits(task.batch.shape)
               && (it.expected.count() == 0 || it.expected <= m_context.runTime(task.batch));
    });
}

/// Not for tasks with requirements of their own, which may be the reason.
void LookAheadPlacement::addRefusal(const WaitingTask &task, Base::Duration expected)
{
    const Wire::TaskBatch &message = task.batch.message;
    const bool isPlain =
        message.requiredLabel.empty() && message.rack.empty() && message.maxPerExecutor == 0;
    if (!isPlain || m_refusals.size() >= MAX_REFUSALS)
        return;
    const bool isRoomForIt = std::any_of(m_views.begin(), m_views.end(), [&](const View &it) {
        return isOfferedBy(*it.executor, task.batch) && task.batch.shape.fits(it.outlook.room());
    });
    m_refusals.push_back(
        {message.service, task.batch.shape, isRoomForIt ? expected : Base::Duration(0)});
}

/// Whether the task may start there now, for \a runTime as expected.
bool LookAheadPlacement::mayUse(const View &view, const WaitingTask &task,
                                Base::Duration runTime) const
{
    const Resources &shape = task.batch.shape;
    if (!shape.fits(view.outlook.room()))
        return false;
    const ExecutorInfo &info = view.executor->info();
    if (info.leavesAt && m_now + scaled(runTime, LEAVING_MARGIN) > *info.leavesAt)
        return false;
    const Reservation *reservation = reservationOn(info.id);
    if (!reservation || reservation->task == task.id)
        return true;
    // A reserved task that comes later in the queue gives way, unless it has done so for too long.
    if (!reservation->isVisited && !reservation->isOverdue)
        return true;
    if (shape.fits(view.outlook.roomAt(reservation->start).minus(reservation->shape)))
        return true;
    return !reservation->isOverdue
           && m_now + scaled(runTime, RUN_TIME_MARGIN) <= reservation->start;
}

/// The objective, or the end of the time in which a late result is of use if that can't be met.
Base::TimePoint LookAheadPlacement::neededBy(const WaitingTask &task, Base::Duration expected) const
{
    const BatchInfo &batch = task.batch;
    if (m_now + scaled(expected, 1 / m_maxSpeed) <= batch.objective)
        return batch.objective;
    return std::min(batch.deadline,
                    batch.accepted
                        + scaled(batch.objective - batch.accepted, Constants::LATE_FACTOR));
}

/// Without contention the fastest; otherwise the slowest on which the task is still in time. Among
/// those of about the same speed the one with the least room left.
LookAheadPlacement::View *LookAheadPlacement::bestView(const WaitingTask &task,
                                                       Base::Duration expected)
{
    struct Candidate
    {
        View *view = nullptr;
        double speed = 0;
        bool isInTime = false;
    };
    std::vector<Candidate> candidates;
    const Base::TimePoint needed = neededBy(task, expected);
    double fastest = 0;
    double slowestInTime = 0; // 0: none
    for (View &it : m_views) {
        if (!isOfferedBy(*it.executor, task.batch) || isStepLimitReached(*it.executor, task))
            continue;
        const double speed = speedFor(*it.executor, task.batch.message);
        const Base::Duration runTime = scaled(expected, 1 / speed);
        if (!mayUse(it, task, runTime))
            continue;
        const bool isInTime = m_now + scaled(runTime, RUN_TIME_MARGIN) <= needed;
        candidates.push_back({&it, speed, isInTime});
        fastest = std::max(fastest, speed);
        if (isInTime && (slowestInTime == 0 || speed < slowestInTime))
            slowestInTime = speed;
    }
    const bool isSlowSufficient = m_isContended && slowestInTime > 0;
    View *best = nullptr;
    for (const Candidate &it : candidates) {
        const bool isOfSpeed = isSlowSufficient
                                   ? it.isInTime && it.speed <= slowestInTime * SPEED_TOLERANCE
                                   : it.speed * SPEED_TOLERANCE >= fastest;
        if (isOfSpeed
            && (!best || it.view->outlook.room().cpuMillis < best->outlook.room().cpuMillis))
            best = it.view;
    }
    if (candidates.empty())
        addRefusal(task, expected);
    return best;
}

/// Earlier tasks of the same service that wait have been bypassed.
void LookAheadPlacement::noteStart(const WaitingTask &task)
{
    for (Bypassed &it : m_waiting) {
        if (it.since || it.service != task.batch.message.service)
            continue;
        it.since = m_now;
        ++m_counters.bypassed;
    }
}

/// Tells of a task that is started at last.
void LookAheadPlacement::logBypass(const WaitingTask &task) const
{
    const auto since = m_bypassedSince.find(task.id);
    if (since == m_bypassedSince.end() || m_now - since->second < MAX_BYPASS_MS)
        return;
    Base::log(LogLevel::Info, "bypassedTaskStarted",
              {{"task", toString(task.id)},
               {"cpu", task.batch.shape.cpuMillis},
               {"bypassed", m_now - since->second}});
}

void LookAheadPlacement::noteWaiting(const WaitingTask &task)
{
    if (m_waiting.size() >= MAX_TRACKED_TASKS && !reservationOf(task.id))
        return;
    const auto known = m_bypassedSince.find(task.id);
    std::optional<Base::TimePoint> since;
    if (known != m_bypassedSince.end()) {
        since = known->second;
        m_counters.longestBypass = std::max(m_counters.longestBypass, m_now - *since);
    }
    m_waiting.push_back({task.id, task.batch.message.service, since});
    plan(task, since && m_now - *since >= MAX_BYPASS_MS);
}

std::size_t LookAheadPlacement::reservationLimit() const
{
    const std::size_t limit = std::max<std::size_t>(1, m_views.size() / RESERVED_RATIO);
    return limit - std::min<std::size_t>(limit, m_emptyExecutors.isReserving() ? 1 : 0);
}

/// Reserves the executor on which the task will fit earliest, or keeps the one that it has.
void LookAheadPlacement::plan(const WaitingTask &task, bool isOverdue)
{
    Reservation *own = reservationOf(task.id);
    // Checked first: comparing all tracked tasks with all executors took most of a pass.
    const bool isFull = m_reservations.size() >= reservationLimit();
    if (!own && isFull && (!isOverdue || newestReplaceable() == m_reservations.rend()))
        return;
    const View *best = nullptr;
    Base::TimePoint bestStart;
    std::optional<Base::TimePoint> ownStart;
    for (const View &it : m_views) {
        const ExecutorInfo &info = it.executor->info();
        const Reservation *other = reservationOn(info.id);
        if ((other && other != own) || !isOfferedBy(*it.executor, task.batch)
            || isStepLimitReached(*it.executor, task)) {
            continue;
        }
        const auto start = it.outlook.fitsFrom(task.batch.shape);
        if (!start || (info.leavesAt || info.draining))
            continue;
        if (other)
            ownStart = start;
        if (!best || *start < bestStart) {
            best = &it;
            bestStart = *start;
        }
    }
    if (own && (!best || !ownStart || *ownStart > bestStart + REPLAN_GAIN_MS)) {
        release(task.id);
        own = nullptr;
    }
    if (!own) {
        const bool isPossible =
            m_reservations.size() < reservationLimit() || (isOverdue && makeRoomForOverdue());
        if (!best || !isPossible)
            return;
        m_reservations.push_back({task.id, best->executor->info().id, task.batch.shape, {}, {}});
        own = &m_reservations.back();
        ownStart = bestStart;
        ++m_counters.reservations;
        m_context.loadChanged();
        Base::log(LogLevel::Debug, "executorReserved",
                  {{"task", toString(task.id)},
                   {"executor", own->executor},
                   {"cpu", task.batch.shape.cpuMillis},
                   {"startIn", bestStart - m_now},
                   {"overdue", isOverdue ? 1 : 0}});
    }
    own->start = *ownStart;
    own->spare = viewOf(own->executor)->outlook.roomAt(own->start).minus(own->shape);
    own->isVisited = true;
    own->isOverdue = isOverdue;
}

/// The newest reservation of a task that is not overdue.
std::vector<LookAheadPlacement::Reservation>::reverse_iterator
LookAheadPlacement::newestReplaceable()
{
    return std::find_if(m_reservations.rbegin(), m_reservations.rend(),
                        [](const Reservation &entry) { return !entry.isOverdue; });
}

/// Releases a reservation for a task that is overdue.
bool LookAheadPlacement::makeRoomForOverdue()
{
    const auto it = newestReplaceable();
    if (it == m_reservations.rend())
        return false;
    m_reservations.erase(std::next(it).base());
    m_context.loadChanged();
    return true;
}

void LookAheadPlacement::release(const TaskId &task)
{
    if (std::erase_if(m_reservations, [&](const Reservation &it) { return it.task == task; }) == 0)
        return;
    m_refusals.clear(); // its executor may have been the reason
    m_context.loadChanged();
}

void LookAheadPlacement::endPass()
{
    m_bypassedSince.clear();
    for (const Bypassed &it : m_waiting) {
        if (it.since)
            m_bypassedSince.emplace(it.task, *it.since);
    }
    // Of tasks that are not among the first any more.
    if (std::erase_if(m_reservations, [](const Reservation &it) { return !it.isVisited; }) > 0)
        m_context.loadChanged();
}

Resources LookAheadPlacement::reportedRoom(const ExecutorState &executor) const
{
    const Resources room = executor.freeResources();
    const Reservation *reservation = reservationOn(executor.info().id);
    // The task may have been removed since the last pass.
    if (!reservation || !m_context.mayStart(reservation->task))
        return room;
    const Resources &spare = reservation->spare;
    return {std::min(room.cpuMillis, spare.cpuMillis), std::min(room.memoryMb, spare.memoryMb),
            std::min(room.gpus, spare.gpus)};
}

} // namespace Dispatch
