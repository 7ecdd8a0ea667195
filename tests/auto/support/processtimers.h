// Timers of one simulated process that can be paused and killed, on a clock shared by all.
#pragma once

#include "manualtimers.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace TestSupport {

class ProcessTimers : public Base::Timers
{
public:
    explicit ProcessTimers(ManualTimers &clock)
        : m_clock(clock)
    {}
    ~ProcessTimers() override
    {
        for (const auto &[id, callback] : m_callbacks)
            m_clock.cancel(id);
    }

    Base::TimePoint now() const override { return m_clock.now(); }

    Base::TimerId schedule(Base::Duration delay, std::function<void()> callback) override
    {
        // The id is known only after the call, and the callback runs later than that.
        const auto id = std::make_shared<Base::TimerId>();
        *id = m_clock.schedule(delay, [this, id] { due(*id); });
        m_callbacks.emplace(*id, std::move(callback));
        return *id;
    }

    void cancel(Base::TimerId id) override
    {
        m_clock.cancel(id);
        m_callbacks.erase(id);
    }

    void pause() { m_paused = true; }
    /// Runs what fell due during the pause.
    void resume()
    {
        m_paused = false;
        while (!m_held.empty() && !m_paused) {
            const Base::TimerId id = m_held.front();
            m_held.pop_front();
            due(id);
        }
    }
    bool isPaused() const { return m_paused; }

private:
    void due(Base::TimerId id)
    {
        if (m_paused) {
            m_held.push_back(id);
            return;
        }
        if (auto node = m_callbacks.extract(id))
            node.mapped()();
    }

    ManualTimers &m_clock;
    bool m_paused = false;
    std::map<Base::TimerId, std::function<void()>> m_callbacks;
    std::deque<Base::TimerId> m_held; // fell due during the pause
};

} // namespace TestSupport
