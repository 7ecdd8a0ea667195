// Hybrid logical clock. Its stamps order events of several daemons consistently with the messages
// between them, and stay close to wall time.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <tuple>

namespace EventLog {

/// Wall time in milliseconds since 1970 and a counter that orders events of one millisecond.
struct Stamp
{
    std::uint64_t wallMs = 0;
    std::uint32_t counter = 0;

    auto operator<=>(const Stamp &other) const
    {
        return std::tie(wallMs, counter) <=> std::tie(other.wallMs, other.counter);
    }
    bool operator==(const Stamp &) const = default;
};

/// Clock of one daemon. Each stamp is greater than all stamps that it returned before.
class HybridClock
{
public:
    /// Returns milliseconds since 1970; may jump in both directions.
    using WallClock = std::function<std::int64_t()>;

    /// Uses the system's wall clock.
    HybridClock();
    explicit HybridClock(WallClock wallClock);

    /// Stamp of a local event, or of a message that is about to be sent.
    Stamp tick();
    /// Stamp of the receipt of a message that carried \a remote; greater than \a remote, unless
    /// that is more than Constants::MAX_CLOCK_SKEW_MS ahead of the local wall clock. Such a stamp
    /// is rejected and counted.
    Stamp merge(const Stamp &remote);

    /// Number of remote stamps that merge() rejected.
    std::uint64_t rejectedStamps() const { return m_rejectedStamps; }

private:
    std::uint64_t wallMs() const;
    Stamp advance(std::uint64_t wallMs);

    WallClock m_wallClock;
    Stamp m_last; // never decreases
    std::uint64_t m_rejectedStamps = 0;
};

} // namespace EventLog
