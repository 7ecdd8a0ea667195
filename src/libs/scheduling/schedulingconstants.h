// Constants of the scheduling library.
#pragma once

#include <chrono>
#include <cstddef>

namespace Scheduling::Constants {

/// Initial run time estimate of kinds that declare none.
constexpr std::chrono::milliseconds DEFAULT_RUN_TIME_MS{200};
/// Declared run times can be wrong by this factor in either direction.
constexpr double DECLARED_RUN_TIME_ERROR_FACTOR = 10;
/// Number of results after which the learned run time alone is used.
constexpr double RUN_TIME_LEARNED_RESULTS = 5;
/// Weight of the newest result in run time estimates, which averages about the last 100 results.
constexpr double RUN_TIME_NEWEST_WEIGHT = 0.02;
/// Weight of the newest result in speed estimates. An executor with 8 slots gives about 50 results
/// per second, so that a change of speed is visible after about a second.
constexpr double SPEED_NEWEST_WEIGHT = 0.03;
/// Limit of the residual of one result on the logarithmic scale, a factor of e, so that a single
/// stalled task does not make an upstream count as slow.
constexpr double MAX_SPEED_RESIDUAL = 1.0;
/// Speeds are compared in steps of 5 %, which is below the noise of the estimate.
constexpr double SPEED_STEP = 0.05;
constexpr int SPEED_BUCKETS = 160;

} // namespace Scheduling::Constants
