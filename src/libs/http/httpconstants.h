// Constants of the HTTP library.
#pragma once

#include <chrono>
#include <cstddef>

namespace Http::Constants {

/// Upper limit for long polls: the handling of a request may not take longer.
constexpr std::chrono::seconds REQUEST_HANDLING_TIMEOUT_S{600};
/// Connections that are idle, or whose request or response is incomplete, are closed after this.
constexpr std::chrono::seconds READ_WRITE_TIMEOUT_S{60};
constexpr std::size_t MAX_URL_BYTES = 8192;
constexpr std::size_t MAX_HEADER_FIELDS = 64;
/// Kept-alive client connections; more than 60 connections to each of 50 executors.
constexpr long MAX_CACHED_CONNECTIONS = 4096;
constexpr std::size_t MAX_IDLE_HANDLES = 1024;
/// Bodies in the product's own protocols have at most 16 MiB.
constexpr std::size_t MAX_RESPONSE_BYTES = 64U << 20;
constexpr std::chrono::milliseconds CONNECT_TIMEOUT_MS{1000};

} // namespace Http::Constants
