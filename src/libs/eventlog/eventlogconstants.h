// Constants of the event log.
#pragma once

#include <cstddef>
#include <cstdint>

namespace EventLog::Constants {

/// A peer's stamp that is further ahead of the local wall clock is rejected: it comes from a wrong
/// clock, not from a delay.
constexpr std::uint64_t MAX_CLOCK_SKEW_MS = 60'000;

/// Inline capacities of the key and the names in a ring entry. A key made of a domain prefix and a
/// UUID fits.
constexpr std::size_t KEY_CAPACITY_BYTES = 63;
constexpr std::size_t NAME_CAPACITY_BYTES = 31;

/// Rows for overlapping bars in one lane; bars that need more rows are drawn in the last one.
constexpr std::size_t MAX_ROWS_PER_LANE = 16;
/// Browsers become unusable with SVG files of several tens of thousands of shapes.
constexpr std::size_t MAX_SVG_SHAPES = 20'000;

} // namespace EventLog::Constants
