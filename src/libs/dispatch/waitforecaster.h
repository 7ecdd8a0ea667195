// Forecasts how long tasks that arrive now would wait in a group. Addresses the load of
// docs/hard-load.md: tasks of 16 to 24 cores on executors of 32, of which a task of 20 does not fit
// beside one of 16; runs whose start is unanswered; executors that are silent or leave. Queued work
// over total capacity gave a forecast of 0 for nine in ten of the jobs that ended late.
#pragma once

#include "executorstate.h"
#include "taskqueue.h"

#include <wire/messages.h>

#include <map>
#include <vector>

namespace Dispatch {

/// Simulates the next placements of one group: its queued tasks in order, on the executors as their
/// runs end. Performs no I/O. The number of steps is bounded by constants and the executors of one
/// group.
class WaitForecaster
{
public:
    /// Records the size of a task that was queued; the sizes for which waits are forecast are the
    /// typical and a large one of those seen.
    void taskSeen(const ServiceId &service, std::uint32_t priority, const Resources &shape);
    /// The owner handled events \a delay later than they were due. Larger delays count at once, and
    /// fade over several calls.
    void lagObserved(Base::Duration delay);

    /// Waits by service, priority and size. Empty if nothing waits and all sizes seen have room.
    std::vector<Wire::WaitForecast> forecast(const std::map<ExecutorId, ExecutorState> &executors,
                                             const TaskQueue &queue, Base::TimePoint now) const;

private:
    struct Size
    {
        Resources shape;
        double weight = 0; // of the tasks of this size, decaying with each task
    };
    using Sizes = std::map<std::uint32_t, Size>; // by cores, rounded up

    class Simulation;

    static Resources quantile(const Sizes &sizes, double share);

    std::map<std::pair<ServiceId, std::uint32_t>, Sizes> m_sizes;
    Base::Duration m_lag{0};
};

} // namespace Dispatch
