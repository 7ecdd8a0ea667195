// Policies of the dispatcher that a deployment chooses in its settings. The first value of each is
// the default and the baseline with which the others are compared.
#pragma once

#include <cstddef>

namespace Dispatch {

/// When a start without an answer is looked for on its executor.
enum class OrderPolicy {
    FixedTimeout,    ///< After the time-out of the request.
    MeasuredTimeout, ///< When it is overdue by the measured times of answers.
};

/// When a run is stopped as a straggler.
enum class RunTimePolicy {
    Estimated, ///< At a fixed multiple of its estimate.
    Learned,   ///< If its executor is at fault, or it exceeds the longest runs of its kind.
};

/// Order of waiting tasks within a priority.
enum class QueueOrderPolicy {
    LatestStart, ///< By the latest start that meets the objective.
    ByJob,       ///< Tasks of jobs that are mostly done first; each priority has a minimum share.
};

/// Choice of the executor of a task.
enum class PlacementPolicy {
    FastestFree, ///< Among those with room now.
    LookAhead,   ///< Also by what waits and by the runs that end soon.
};

/// When a job is rejected.
enum class AdmissionPolicy {
    QueuedWork, ///< By the queued work of the groups over their total capacity.
    Forecast,   ///< By the waits that the groups forecast, corrected by the observed error.
};

/// Budgets for what callers make a daemon hold. The defaults suit a host of 1 GB.
struct MemoryLimits
{
    std::size_t maxJobBytes = 100U << 20;  // of all jobs that this daemon coordinates
    std::size_t maxTaskBytes = 160U << 20; // of all tasks at the groups that it owns
    std::size_t maxOpenRequests = 2000;    // of its callers at the same time

    bool operator==(const MemoryLimits &) const = default;
};

struct DispatchOptions
{
    OrderPolicy orders = OrderPolicy::FixedTimeout;
    RunTimePolicy runTimes = RunTimePolicy::Estimated;
    QueueOrderPolicy queueOrder = QueueOrderPolicy::LatestStart;
    PlacementPolicy placement = PlacementPolicy::FastestFree;
    AdmissionPolicy admission = AdmissionPolicy::QueuedWork;
    MemoryLimits memory{};

    bool operator==(const DispatchOptions &) const = default;
};

} // namespace Dispatch
