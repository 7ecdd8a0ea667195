// Cost of one scheduling decision at the two-year size.
#pragma once

#include <cstdio>

namespace SchedulingBench {

/// Prints the mean cost in ns of the scheduler's operations with 100,000 waiting tasks, 220 teams
/// and 2,800 upstreams of 8 slots.
void printDecisionCost(std::FILE *out);

} // namespace SchedulingBench
