// Batches stop requests, so that a burst of cancellations costs one message per worker.
#pragma once

#include "workerport.h"

#include <functional>
#include <map>
#include <vector>

namespace Jobs {

/// The first stop request starts a tick, at whose end the requests of each upstream are sent
/// together.
class StopBatcher
{
public:
    using FlushHandler =
        std::function<void(const Base::UpstreamId &upstream, std::vector<TaskName> tasks)>;

    StopBatcher(Base::Timers &timers, Base::Duration tick, FlushHandler flush);
    ~StopBatcher();
    StopBatcher(const StopBatcher &) = delete;
    StopBatcher &operator=(const StopBatcher &) = delete;

    void stop(const TaskName &task, const Base::UpstreamId &upstream);
    /// Drops the pending stop request of a task that has ended by itself.
    void taskEnded(const TaskName &task);
    /// Sends all pending stop requests immediately, for example before the daemon exits.
    void flush();

private:
    Base::Timers &m_timers;
    const Base::Duration m_tick;
    const FlushHandler m_flush;
    Base::TimerId m_timer;
    bool m_scheduled = false;
    std::map<TaskName, Base::UpstreamId> m_pending;
};

} // namespace Jobs
