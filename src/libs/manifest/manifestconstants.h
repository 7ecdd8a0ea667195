// Limits of manifest values.
#pragma once

#include <cstdint>

namespace Manifest::Constants {

constexpr std::uint64_t MAX_SHARDS_PER_DOMAIN = 1024;
/// One hour. The dispatcher is designed for tasks that take less than one second.
constexpr std::uint64_t MAX_DEADLINE_MS = 3'600'000;
constexpr std::uint64_t MAX_SLOTS = 10'000;
constexpr std::uint64_t MAX_CONNECTIONS = 10'000;
constexpr double MAX_RESOURCE = 1e9;
constexpr double MIN_TEAM_WEIGHT = 1e-6;
constexpr double MAX_TEAM_WEIGHT = 1e6;
constexpr double MAX_WASTED_MESSAGE_COST_MS = 1e6;

} // namespace Manifest::Constants
