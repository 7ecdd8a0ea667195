// Monotonic time and one-shot timers behind an interface, so that tests can control the clock.
#pragma once

#include "ids.h"

#include <chrono>
#include <functional>

namespace Base {

using Duration = std::chrono::nanoseconds;
/// Monotonic time of this process. It can't be compared between processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using TimerId = Number<struct TimerIdTag>;

/// The clock and the timers of one event loop. Call it only from that loop's thread.
class Timers
{
public:
    virtual ~Timers() = default;

    virtual TimePoint now() const = 0;
    /// Calls \a callback once after \a delay, never from within this function.
    virtual TimerId schedule(Duration delay, std::function<void()> callback) = 0;
    /// Cancels a timer; unknown or expired ids are ignored.
    virtual void cancel(TimerId id) = 0;
};

/// Milliseconds in \a duration, rounded down.
inline std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace Base
