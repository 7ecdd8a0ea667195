// Timers whose clock the test owns.
#pragma once

#include <base/timers.h>

#include <map>
#include <utility>

namespace TestSupport {

/// Runs callbacks in order of their due time when the test advances the clock.
class ManualTimers : public Base::Timers
{
public:
    Base::TimePoint now() const override { return m_now; }

    Base::TimerId schedule(Base::Duration delay, std::function<void()> callback) override
    {
        m_lastId = m_lastId.next();
        m_pending.emplace(std::pair(m_now + delay, m_lastId), std::move(callback));
        return m_lastId;
    }

    void cancel(Base::TimerId id) override
    {
        std::erase_if(m_pending, [id](const auto &it) { return it.first.second == id; });
    }

    /// Advances the clock by \a duration and runs what falls due, also timers set on the way.
    void advance(Base::Duration duration)
    {
        const Base::TimePoint end = m_now + duration;
        while (!m_pending.empty() && m_pending.begin()->first.first <= end) {
            const auto it = m_pending.begin();
            m_now = std::max(m_now, it->first.first);
            const std::function<void()> callback = std::move(it->second);
            m_pending.erase(it);
            callback();
        }
        m_now = end;
    }

    /// Moves the clock without running timers, like a process that was paused.
    void jump(Base::Duration duration) { m_now += duration; }

    bool isEmpty() const { return m_pending.empty(); }

private:
    Base::TimePoint m_now{std::chrono::hours(1)};
    Base::TimerId m_lastId;
    std::map<std::pair<Base::TimePoint, Base::TimerId>, std::function<void()>> m_pending;
};

} // namespace TestSupport
