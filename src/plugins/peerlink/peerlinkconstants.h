// Constants of the connections between daemons.
#pragma once

#include <chrono>
#include <cstddef>

namespace PeerLink::Constants {

/// Limit of a peer's send queue; further messages are rejected.
constexpr std::size_t MAX_QUEUED_BYTES = 32U << 20;
constexpr std::size_t READ_BUFFER_BYTES = 64U << 10;
constexpr std::chrono::milliseconds RECONNECT_DELAY_MS{250};
/// For connecting and the handshake together.
constexpr std::chrono::milliseconds CONNECT_TIMEOUT_MS{4000};
/// Daemons send heartbeats at least once a second, so a connection that is idle for this long is
/// broken.
constexpr std::chrono::milliseconds IDLE_TIMEOUT_MS{4000};
/// A connection is broken if the peer's host has not acknowledged data for this long.
constexpr std::chrono::milliseconds WRITE_TIMEOUT_MS{4000};
constexpr std::size_t MAX_BUFFERS_PER_WRITE = 64;
constexpr std::size_t MAX_INBOUND_CONNECTIONS = 1024;

} // namespace PeerLink::Constants
