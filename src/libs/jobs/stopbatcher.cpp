// Sends one batch per upstream and tick.
#include "stopbatcher.h"

#include <utility>

namespace Jobs {

StopBatcher::StopBatcher(Base::Timers &timers, Base::Duration tick, FlushHandler flush)
    : m_timers(timers)
    , m_tick(tick)
    , m_flush(std::move(flush))
{}

StopBatcher::~StopBatcher()
{
    if (m_scheduled)
        m_timers.cancel(m_timer);
}

void StopBatcher::stop(const TaskName &task, const Base::UpstreamId &upstream)
{
    m_pending[task] = upstream;
    if (m_scheduled)
        return;
    m_scheduled = true;
    m_timer = m_timers.schedule(m_tick, [this] {
        m_scheduled = false;
        flush();
    });
}

void StopBatcher::taskEnded(const TaskName &task)
{
    m_pending.erase(task);
}

void StopBatcher::flush()
{
    if (m_scheduled)
        m_timers.cancel(m_timer);
    m_scheduled = false;
    std::map<Base::UpstreamId, std::vector<TaskName>> batches;
    for (auto &[task, upstream] : std::exchange(m_pending, {}))
        batches[upstream].push_back(task);
    for (auto &[upstream, tasks] : batches)
        m_flush(upstream, std::move(tasks));
}

} // namespace Jobs
