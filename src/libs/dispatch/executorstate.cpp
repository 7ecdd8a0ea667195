// Clock, lease, free resources and health of one executor.
#include "executorstate.h"

#include "dispatchconstants.h"

#include <algorithm>
#include <utility>

namespace Dispatch {

/// Ends that are kept to judge an executor: a few for each run that fits on it.
static constexpr std::size_t MAX_RECENT_ENDS = 6;

ExecutorState::ExecutorState(ExecutorInfo info)
    : m_info(std::move(info))
    , m_lifetime(m_info.lifetime)
{}

bool ExecutorState::isInfoCurrent() const
{
    // A registration without a lifetime can't be told from that of another one.
    if (m_info.lifetime.value() == 0)
        return true;
    // If no listing has stated the recorded lifetime, any registration but an ended one may be its.
    return m_lifetime.value() == 0 ? m_info.lifetime > m_endedLifetime
                                   : m_info.lifetime == m_lifetime;
}

void ExecutorState::beginLifetime(Lifetime lifetime)
{
    // Until the registration is renewed, it names the lifetime that has ended.
    m_endedLifetime = std::max({m_endedLifetime, m_lifetime, m_info.lifetime});
    m_lifetime = lifetime;
    m_hasEnded = lifetime.value() == 0;
    m_clock.reset();
    seenUpTo = EndSequence();
    hasListing = false;
    hasUnacknowledgedEnds = false;
    isDisconnected = false;
    awaitsRegistrationSince.reset();
    m_speed = {};
    m_consecutiveFailures = 0;
    m_unusableUntil = {};
    m_recentEnds.clear();
}

void ExecutorState::updateClock(ExecutorTime clock, Lifetime lifetime, Base::TimePoint now)
{
    // The clock of another lifetime, whose readings may be higher.
    if (lifetime != m_lifetime)
        return;
    // An answer that arrives out of order has an earlier reading.
    if (m_clock && *m_clock > clock)
        return;
    m_clock = clock;
    m_clockUpdated = now;
}

bool ExecutorState::mayExtendLease() const
{
    return std::none_of(m_runs.begin(), m_runs.end(), [](const auto &it) {
        const Run &run = it.second;
        return (!run.isClaimed || run.isCancelled) && !run.isStopAccepted;
    });
}

std::optional<ExecutorTime> ExecutorState::nextLeaseEnd(Base::TimePoint now,
                                                        Base::Duration length) const
{
    if (!m_clock)
        return std::nullopt;
    const auto passed = std::chrono::duration_cast<Base::Duration>(
        (now - m_clockUpdated) * (1 - Constants::SLOW_CLOCK_SHARE));
    return *m_clock + std::chrono::duration_cast<ExecutorTime>(passed + length);
}

Base::Duration ExecutorState::clockAge(Base::TimePoint now) const
{
    return m_clock ? now - m_clockUpdated : Base::Duration(0);
}

bool ExecutorState::isClockReadingOld(Base::TimePoint now) const
{
    return clockAge(now) >= Constants::CLOCK_REFRESH_MS;
}

void ExecutorState::leaseSent(Base::TimePoint now)
{
    m_leaseEnd = now + Constants::LEASE_MS + Constants::LEASE_SLACK_MS;
}

Run *ExecutorState::find(const TaskId &task)
{
    const auto it = m_runs.find(task);
    return it == m_runs.end() ? nullptr : &it->second;
}

Resources ExecutorState::freeResources() const
{
    if (!hasListing || isReserved || !mayExtendLease())
        return {};
    Resources used;
    for (const auto &[task, run] : m_runs) {
        if (!run.isClaimed || run.isAlone)
            return {};
        used += run.shape;
    }
    return m_info.capacity.minus(used);
}

bool ExecutorState::hasOpenStart() const
{
    return std::any_of(m_runs.begin(), m_runs.end(), [](const auto &it) {
        const Run &run = it.second;
        return run.state == RunState::Unresolved
               || (run.state == RunState::Stopping && !run.isConfirmed);
    });
}

std::uint32_t ExecutorState::runsOfStep(const TaskId &task) const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_runs.begin(), m_runs.end(), [&task](const auto &it) {
            return it.first.job == task.job && it.first.occurrence == task.occurrence
                   && it.first.step == task.step;
        }));
}

void ExecutorState::runSucceeded(Base::Duration runTime, double estimateLogMs)
{
    m_consecutiveFailures = 0;
    m_speed.add(runTime, estimateLogMs);
}

bool ExecutorState::runFailed(const JobId &job, Base::TimePoint now)
{
    if (std::exchange(m_lastFailedJob, job) == job)
        return false;
    if (++m_consecutiveFailures < Constants::EJECT_FAILURES)
        return false;
    // After the ejection, a single failure ejects again; a single success resets the count.
    m_consecutiveFailures = Constants::EJECT_FAILURES - 1;
    m_unusableUntil = now + Constants::EJECT_MS;
    return true;
}

void ExecutorState::addEnd(const EndedPace &end)
{
    if (m_recentEnds.size() >= MAX_RECENT_ENDS)
        m_recentEnds.erase(m_recentEnds.begin());
    m_recentEnds.push_back(end);
}

void ExecutorState::holdSent(bool isImmediate, std::uint64_t number, Base::TimePoint now)
{
    (isImmediate ? isImmediateHoldPending : isWaitingHoldPending) = true;
    (isImmediate ? lastImmediateHold : lastWaitingHold) = number;
    if (isImmediate)
        immediateHoldSent = now;
}

void ExecutorState::holdEnded(bool isImmediate, std::uint64_t number)
{
    // An executor whose holds are not repeated early has one of each kind in flight, but for those
    // that follow the time-out of a start.
    const bool isLast = number == (isImmediate ? lastImmediateHold : lastWaitingHold);
    if (isLast || toleratedMisses == 0)
        (isImmediate ? isImmediateHoldPending : isWaitingHoldPending) = false;
}

void ExecutorState::answerMissed(Base::TimePoint now, bool isConclusive)
{
    ++missedAnswers;
    if (isConclusive)
        missedAnswers = std::max(missedAnswers, toleratedMisses + 1);
    if (!silentSince)
        silentSince = now;
}

void ExecutorState::backOff(Base::TimePoint until)
{
    m_unusableUntil = std::max(m_unusableUntil, until);
}

bool ExecutorState::isInService(Base::TimePoint now) const
{
    return hasListing && isRegistered && isInfoCurrent() && !m_info.isFromPreviousOwner
           && !isSilent() && !unconfirmedSince && now >= m_unusableUntil;
}

bool ExecutorState::isUsable(Base::TimePoint now) const
{
    return !m_info.draining && isInService(now);
}

} // namespace Dispatch
