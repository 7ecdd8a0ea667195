// Constants of the connections between daemons.
#pragma once

#include <chrono>
#include <cstddef>

namespace PeerLink::Constants {

/// Bytes that may wait for a slow peer.
constexpr std::size_t MAX_QUEUED_BYTES = 32U << 20;
constexpr std::size_t READ_BUFFER_BYTES = 64U << 10;
constexpr std::chrono::milliseconds RECONNECT_MS{250};
/// Time for connecting and the handshake.
constexpr std::chrono::milliseconds DIAL_LIMIT_MS{4000};
/// Daemons send heartbeats at least once a second, so a connection silent for longer is broken.
constexpr std::chrono::milliseconds SILENCE_LIMIT_MS{4000};
/// Bytes that the peer's host has not taken for this long mean a broken connection.
constexpr std::chrono::milliseconds WRITE_LIMIT_MS{4000};
constexpr std::size_t MAX_BUFFERS_PER_WRITE = 64;
constexpr std::size_t MAX_INBOUND_CONNECTIONS = 1024;

} // namespace PeerLink::Constants
