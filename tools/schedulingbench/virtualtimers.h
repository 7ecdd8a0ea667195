// Timers on a virtual clock that jumps from event to event.
#pragma once

#include <base/timers.h>

#include <queue>
#include <unordered_map>
#include <vector>

namespace SchedulingBench {

class VirtualTimers : public Base::Timers
{
public:
    Base::TimePoint now() const override { return m_now; }
    Base::TimerId schedule(Base::Duration delay, std::function<void()> callback) override;
    void cancel(Base::TimerId id) override;

    /// Runs events in order of time until none is left or \a end is reached.
    void runUntil(Base::TimePoint end);

private:
    using Due = std::pair<Base::TimePoint, std::uint64_t>;

    Base::TimePoint m_now{std::chrono::hours(1)};
    std::uint64_t m_lastId = 0;
    std::priority_queue<Due, std::vector<Due>, std::greater<>> m_due;
    std::unordered_map<std::uint64_t, std::function<void()>> m_callbacks;
};

} // namespace SchedulingBench
