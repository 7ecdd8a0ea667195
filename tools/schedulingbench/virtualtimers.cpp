// Event queue of the virtual clock.
#include "virtualtimers.h"

#include <utility>

namespace SchedulingBench {

Base::TimerId VirtualTimers::schedule(Base::Duration delay, std::function<void()> callback)
{
    ++m_lastId;
    m_due.emplace(m_now + delay, m_lastId);
    m_callbacks.emplace(m_lastId, std::move(callback));
    return Base::TimerId(m_lastId);
}

void VirtualTimers::cancel(Base::TimerId id)
{
    m_callbacks.erase(id.value());
}

void VirtualTimers::runUntil(Base::TimePoint end)
{
    while (!m_due.empty() && m_due.top().first <= end) {
        const auto [due, id] = m_due.top();
        m_due.pop();
        const auto node = m_callbacks.extract(id);
        if (node.empty())
            continue;
        m_now = due;
        node.mapped()();
    }
    m_now = end;
}

} // namespace SchedulingBench
