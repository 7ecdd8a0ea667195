// Runs one workload through the QueueScheduler.
#pragma once

#include "workload.h"

#include <scheduling/placementpolicy.h>

#include <memory>
#include <vector>

namespace SchedulingBench {

enum class Outcome { Pending, Complete, Late, Failed, Refused };

/// What became of each request of a workload, in its order.
struct RunResult
{
    struct Answer
    {
        Outcome outcome = Outcome::Pending;
        double responseMs = 0;
    };
    std::vector<Answer> answers;
};

/// The scheduler learns speeds and run times only from results, and each start and result takes a
/// message delay. Tasks of requests that fail or are late are withdrawn or run to their end.
RunResult runScheduler(const Workload &workload,
                       std::unique_ptr<Scheduling::PlacementPolicy> policy);

} // namespace SchedulingBench
