// Constants of the scheduling library.
#pragma once

#include <chrono>
#include <cstddef>

namespace Scheduling::Constants {

/// Assumed run time of a kind that declares none, until results arrive.
constexpr std::chrono::milliseconds DEFAULT_RUN_TIME_MS{200};
/// Declared run times can be wrong by this factor in either direction.
constexpr double DECLARED_RUN_TIME_ERROR_FACTOR = 10;
/// Results after which the learned run time alone decides.
constexpr double RUN_TIME_LEARNED_RESULTS = 5;
/// Weight of the newest result in run time estimates: about the last 100 results count.
constexpr double RUN_TIME_NEWEST_WEIGHT = 0.02;
/// Weight of the newest result in speed estimates. Executors with 8 slots give some 50 results a
/// second, so that a change of speed shows after a second.
constexpr double SPEED_NEWEST_WEIGHT = 0.03;
/// One result changes a logarithmic speed by no more than a factor of e, so that one stalled task
/// does not mark an upstream as slow.
constexpr double MAX_SPEED_RESIDUAL = 1.0;
/// Speeds are compared in steps of 5 %, below the noise of the estimate.
constexpr double SPEED_STEP = 0.05;
constexpr int SPEED_BUCKETS = 160;

} // namespace Scheduling::Constants
