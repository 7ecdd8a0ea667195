// Constants of the connections between daemons.
#pragma once

#include <chrono>
#include <cstddef>

namespace PeerLink::Constants {

/// Limit of a peer's send queue; further messages are rejected.
constexpr std::size_t MAX_QUEUED_BYTES = 32U << 20;
constexpr std::size_t READ_BUFFER_BYTES = 64U << 10;
/// Before the handshake is complete anyone may send. A hello has at most 400 bytes.
constexpr std::size_t HANDSHAKE_BUFFER_BYTES = 1U << 10;
/// Receive buffers in the kernel, before and after the handshake. The first are those of strangers.
constexpr int HANDSHAKE_RECEIVE_BYTES = 4 << 10;
constexpr int PEER_RECEIVE_BYTES = 64 << 10;
constexpr std::chrono::milliseconds RECONNECT_DELAY_MS{250};
/// For connecting and the handshake together.
constexpr std::chrono::milliseconds CONNECT_TIMEOUT_MS{4000};
/// Daemons send heartbeats at least once a second, so a connection that is idle for this long is
/// broken.
constexpr std::chrono::milliseconds IDLE_TIMEOUT_MS{4000};
/// A connection is broken if the peer's host has not acknowledged data for this long.
constexpr std::chrono::milliseconds WRITE_TIMEOUT_MS{4000};
constexpr std::size_t MAX_BUFFERS_PER_WRITE = 64;
/// The largest deployment has 97 daemons; a peer that reconnects may have two connections for a
/// while. Beyond it, the oldest connection without a complete handshake is closed.
constexpr std::size_t MAX_INBOUND_CONNECTIONS = 512;

} // namespace PeerLink::Constants
