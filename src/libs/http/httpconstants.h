// Constants of the HTTP library.
#pragma once

#include <chrono>
#include <cstddef>

namespace Http::Constants {

/// Upper limit for long polls: the handling of a request may not take longer.
constexpr std::chrono::seconds REQUEST_HANDLING_TIMEOUT_S{600};
/// Connections whose response is incomplete are closed after this.
constexpr std::chrono::seconds WRITE_TIMEOUT_S{60};
/// A header of 16,384 bytes, the largest that callers may rely on, has at most this many lines.
constexpr std::size_t MAX_HEADER_FIELDS = 4096;
/// Estimate of what the parser takes for a line of a header: a record of 72 bytes in a vector that
/// doubles.
constexpr std::size_t HEADER_LINE_COST_BYTES = 128;
/// A chunk has two line ends, and its record takes 16 bytes in a vector that doubles.
constexpr std::size_t BODY_LINE_COST_BYTES = 16;
/// Estimate of an answer's header.
constexpr std::size_t ANSWER_HEADER_BYTES = 200;
/// Requests that are open on a connection at the same time; further ones are not read.
constexpr std::size_t MAX_PIPELINED_REQUESTS = 2;
/// Unread bytes behind these. The end of a connection is not noticed if the receive window is full,
/// which by default it is with 64 KiB.
constexpr std::size_t MAX_UNREAD_BYTES = 32U << 10;
constexpr std::chrono::milliseconds SWEEP_INTERVAL_MS{500};
/// Kept-alive client connections; more than 60 connections to each of 50 executors.
constexpr long MAX_CACHED_CONNECTIONS = 4096;
constexpr std::size_t MAX_IDLE_HANDLES = 1024;
/// Bodies in the product's own protocols have at most 16 MiB.
constexpr std::size_t MAX_RESPONSE_BYTES = 64U << 20;
constexpr std::chrono::milliseconds CONNECT_TIMEOUT_MS{1000};

} // namespace Http::Constants
