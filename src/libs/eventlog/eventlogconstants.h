// Constants of the event log.
#pragma once

#include <cstddef>
#include <cstdint>

namespace EventLog::Constants {

/// A peer's stamp further ahead than this is a wrong clock, not a delay.
constexpr std::uint64_t MAX_REMOTE_AHEAD_MS = 60'000;

/// Inline capacities of the names in a ring entry. A key with a domain prefix and a UUID fits.
constexpr std::size_t KEY_CAPACITY_BYTES = 63;
constexpr std::size_t NAME_CAPACITY_BYTES = 31;

/// Rows for overlapping bars in one lane; further overlap is drawn in the last row.
constexpr std::size_t MAX_ROWS_PER_LANE = 16;
/// Browsers become unusable with SVG files of several 10,000 shapes.
constexpr std::size_t MAX_SVG_SHAPES = 20'000;

} // namespace EventLog::Constants
