// Expected ends of runs, and the resources that become free with them.
#include "roomoutlook.h"

#include "dispatchconstants.h"

#include <algorithm>

namespace Dispatch {

/// A stopped run has ended, and its end is listed, within about this time.
static constexpr std::chrono::milliseconds STOP_MS{50};
/// Assumed length of a run that was found in a listing, of which no estimate is recorded: about the
/// mean of the tasks that deployments under hard load run.
static constexpr std::chrono::milliseconds FOUND_RUN_MS{200};
/// An overdue run is expected to take this share of its expected time longer. Run times are
/// lognormal with a deviation of 0.4, whose median excess over the median is about a quarter.
static constexpr double OVERDUE_SHARE = 0.25;
static constexpr std::chrono::milliseconds MIN_OVERDUE_MS{10};

static Base::TimePoint expectedEnd(const Run &run, Base::TimePoint now)
{
    if (run.state == RunState::Stopping)
        return now + STOP_MS;
    const Base::Duration expected =
        run.expected.count() > 0 ? run.expected : Base::Duration(FOUND_RUN_MS);
    const Base::TimePoint end = run.since + expected;
    if (end > now)
        return end;
    const auto excess = std::chrono::duration_cast<Base::Duration>(expected * OVERDUE_SHARE);
    return now + std::max<Base::Duration>(excess, MIN_OVERDUE_MS);
}

RoomOutlook::RoomOutlook(const ExecutorState &executor, Base::TimePoint now)
    : m_now(now)
    , m_capacity(executor.info().capacity)
    , m_isHeldUp(!executor.mayExtendLease())
    , m_isPlannable(executor.hasListing && !executor.isReserved)
{
    for (const auto &[task, run] : executor.runs()) {
        m_isPlannable &= run.isClaimed;
        add(run.isAlone ? m_capacity : run.shape, expectedEnd(run, now));
    }
    m_room = executor.freeResources();
}

void RoomOutlook::add(const Resources &shape, Base::TimePoint end)
{
    const auto at = std::upper_bound(
        m_runs.begin(), m_runs.end(), end,
        [](Base::TimePoint time, const Occupied &entry) { return time < entry.until; });
    m_runs.insert(at, {end, shape});
    m_room = m_room.minus(shape);
}

Resources RoomOutlook::roomAt(Base::TimePoint time) const
{
    Resources used;
    for (const Occupied &it : m_runs) {
        if (it.until > time)
            used += it.shape;
    }
    return m_capacity.minus(used);
}

std::optional<Base::TimePoint> RoomOutlook::fitsFrom(const Resources &shape) const
{
    if (!m_isPlannable || !shape.fits(m_capacity))
        return std::nullopt;
    const Base::TimePoint earliest = m_isHeldUp ? m_now + STOP_MS : m_now;
    if (shape.fits(roomAt(earliest)))
        return earliest;
    for (const Occupied &it : m_runs) {
        if (it.until > earliest && shape.fits(roomAt(it.until)))
            return it.until;
    }
    return std::nullopt;
}

} // namespace Dispatch
