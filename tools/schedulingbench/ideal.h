// The ideal: one central queue that knows all speeds and run times and has no message delay.
#pragma once

#include "experiment.h"

namespace SchedulingBench {

/// No rule is best at every percentile where speeds differ, so a run is compared with the best
/// rule at each percentile; no single schedule reaches them all.
enum class IdealRule {
    FastestFree,    ///< A task starts on the fastest free slot, or waits if there is none.
    EarliestFinish, ///< A task waits for the slot on which it finishes earliest, bound on arrival.
    SpareCapacity,  ///< The product's rule, with the true speeds, run times and loads.
};

/// Order: single requests first, then by arrival. Nothing is refused and nothing fails.
RunResult runIdeal(const Workload &workload, IdealRule rule);

} // namespace SchedulingBench
