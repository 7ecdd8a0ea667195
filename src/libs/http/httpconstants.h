// Constants of the HTTP library.
#pragma once

#include <chrono>
#include <cstddef>

namespace Http::Constants {

/// An upper bound for a long poll; a request may not hold its connection longer.
constexpr std::chrono::seconds REQUEST_HANDLING_TIMEOUT_S{600};
/// Idle keep-alive connections and half-sent requests are closed after this.
constexpr std::chrono::seconds READ_TIMEOUT_S{60};
constexpr std::size_t MAX_URL_BYTES = 8192;
constexpr std::size_t MAX_HEADER_FIELDS = 64;
/// Kept-alive client connections; above 60 connections to each of 50 executors.
constexpr long MAX_CACHED_CONNECTIONS = 4096;
constexpr std::size_t MAX_IDLE_HANDLES = 1024;
constexpr std::chrono::milliseconds CONNECT_TIMEOUT_MS{1000};

} // namespace Http::Constants
