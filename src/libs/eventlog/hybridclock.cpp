// Hybrid logical clock.
#include "hybridclock.h"

#include "eventlogconstants.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

namespace EventLog {

static std::int64_t systemWallMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

HybridClock::HybridClock()
    : HybridClock(systemWallMs)
{}

HybridClock::HybridClock(WallClock wallClock)
    : m_wallClock(std::move(wallClock))
{}

std::uint64_t HybridClock::wallMs() const
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(m_wallClock(), 0));
}

Stamp HybridClock::advance(std::uint64_t wallMs)
{
    if (wallMs > m_last.wallMs)
        m_last = {wallMs, 0};
    else if (m_last.counter == std::numeric_limits<std::uint32_t>::max())
        m_last = {m_last.wallMs + 1, 0}; // reachable, because a peer may send the highest counter
    else
        ++m_last.counter;
    return m_last;
}

Stamp HybridClock::tick()
{
    return advance(wallMs());
}

Stamp HybridClock::merge(const Stamp &remote)
{
    const std::uint64_t now = wallMs();
    if (remote.wallMs > now && remote.wallMs - now > Constants::MAX_CLOCK_SKEW_MS)
        ++m_rejectedStamps;
    else
        m_last = std::max(m_last, remote);
    return advance(now);
}

} // namespace EventLog
