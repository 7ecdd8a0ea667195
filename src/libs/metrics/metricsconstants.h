// Constants of the metrics library.
#pragma once

#include <cstddef>

namespace Metrics::Constants {

/// Label combinations per metric; values of further ones are counted under "other". At full
/// deployment size, 220 teams times a few outcomes fit.
constexpr std::size_t MAX_SERIES_PER_METRIC = 1000;
/// Longer label values are truncated.
constexpr std::size_t MAX_LABEL_VALUE_BYTES = 128;

/// Range of the histograms in seconds: 10 microseconds to 100 seconds.
constexpr double HISTOGRAM_MIN_S = 1e-5;
constexpr double HISTOGRAM_MAX_S = 100;
constexpr int HISTOGRAM_DECADES = 7;
/// A bin is 12 % wide, which bounds the error of a quantile.
constexpr int BINS_PER_DECADE = 20;
/// Bins merged into one bucket of the text exposition. Two buckets per decade keep the text of a
/// histogram at 15 lines of buckets per label combination.
constexpr int BINS_PER_EXPOSED_BUCKET = 10;

} // namespace Metrics::Constants
