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

} // namespace Settings::Constants
