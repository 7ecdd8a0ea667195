// Limits of settings values.
#pragma once

#include <cstddef>
#include <cstdint>

namespace Settings::Constants {

/// Shorter secrets are too easy to guess.
constexpr std::size_t MIN_SECRET_LENGTH = 16;
constexpr std::uint64_t MAX_PORT = 65535;
constexpr std::uint64_t MAX_RETENTION_SECONDS = 86'400;
constexpr std::uint64_t MAX_TIMEOUT_MS = 600'000;
/// Bodies are sent to replicas in peer frames of at most 16 MiB.
constexpr std::uint64_t MAX_BODY_BYTES = 16ULL << 20;
constexpr std::uint64_t MIN_HEADER_BYTES = 1024;
constexpr std::uint64_t MAX_HEADER_BYTES = 1ULL << 20;
constexpr std::uint64_t MIN_BUDGET_BYTES = 64ULL << 10;
constexpr std::uint64_t MAX_BUDGET_BYTES = 4ULL << 30;
constexpr std::uint64_t MIN_CALLER_TIMEOUT_MS = 100;
/// The smallest is two segments of an Ethernet, so that the sender does not wait for delayed
/// acknowledgements.
constexpr std::uint64_t MIN_RECEIVE_BUFFER_BYTES = 4096;
constexpr std::uint64_t MAX_RECEIVE_BUFFER_BYTES = 4ULL << 20;

// Limits for callers that follow from what a host grants. The smallest known one has 120 MB and
// 3,075 descriptors; an idle daemon takes about 20 MB of it.

/// What Http::ConnectionLedger counts for the largest request that the platform allows, a header of
/// 16,384 bytes and a body of 262,144 line ends in chunks of one byte: 16,384 + 4,096 * 128 +
/// 262,144 * (6 + 3 * 16) = 14.7 million.
constexpr std::uint64_t LARGEST_REQUEST_COST_BYTES = 16ULL << 20;
/// Four times the platform's limit for a body.
constexpr std::uint32_t HOST_BODY_BYTES = 1U << 20;
/// The allocator takes up to twice the counted bytes while a vector grows.
constexpr std::uint64_t REQUEST_MEMORY_DIVISOR = 5;
constexpr std::uint64_t ANSWER_MEMORY_DIVISOR = 20;
/// Of the receive buffers of all callers' connections together. The kernel may hold twice the size
/// that is set for each.
constexpr std::uint64_t RECEIVE_MEMORY_DIVISOR = 12;
/// A connection takes about 10 KB, so that all of them take less than a tenth of the memory.
constexpr std::uint64_t CONNECTIONS_PER_MB = 8;
/// The others are for peers, executors and the store.
constexpr std::uint64_t FDS_DIVISOR = 3;
constexpr std::uint64_t MIN_MEMORY_MB = 64;
constexpr std::uint64_t MAX_MEMORY_MB = 1ULL << 20;
constexpr std::uint64_t MIN_FDS = 256;
constexpr std::uint64_t MAX_FDS = 1ULL << 20;
constexpr std::uint64_t DEFAULT_MEMORY_MB = 120;
constexpr std::uint64_t DEFAULT_FDS = 3075;

} // namespace Settings::Constants
