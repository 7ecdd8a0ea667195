// Constants of the command line.
#pragma once

#include <cstddef>
#include <cstdint>

namespace CommandLine::Constants {

/// Longer than a daemon waits for the platform (2 s by default) before it replies.
constexpr std::uint64_t DEFAULT_TIMEOUT_MS = 5000;
constexpr std::uint64_t MAX_TIMEOUT_MS = 3'600'000;
constexpr std::size_t MAX_REPLY_BYTES = 64U << 20;
constexpr char TOKEN_VARIABLE[] = "EP_OPERATOR_TOKEN";

} // namespace CommandLine::Constants
