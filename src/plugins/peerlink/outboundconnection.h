// The connection on which this daemon sends messages to one peer.
#pragma once

#include "linkoptions.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <settings/runtime.h>
#include <wire/codec.h>
#include <wire/messages.h>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace PeerLink {

/// Dials one peer and reconnects when the connection is lost. Frames that are still queued at that
/// time are dropped. Shared ownership keeps the object alive while the event loop holds callbacks.
class OutboundConnection : public std::enable_shared_from_this<OutboundConnection>
{
public:
    /// Called when the connection has come up or gone down.
    using StateCallback = std::function<void(const Settings::PeerSettings &, bool isUp)>;

    OutboundConnection(const Settings::Runtime &runtime, const LinkOptions &options,
                       Settings::PeerSettings peer, StateCallback stateChanged);

    void start();
    void close();
    /// Closes the connection if it is up, and reconnects.
    void reset();
    const Settings::PeerSettings &peer() const { return m_peer; }

    /// Returns false if the connection is down or its queue is full.
    bool send(std::string frame);
    bool isUp() const { return m_isUp; }

private:
    void dial();
    void sendHello();
    void awaitHello();
    void helloReceived(const Wire::Hello &hello);
    void watchForClose();
    void write();
    void fail(const char *reason);

    const Settings::Runtime m_runtime;
    const LinkOptions m_options;
    const Settings::PeerSettings m_peer;
    StateCallback m_stateChanged;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::array<char, 4096> m_readBuffer{};
    Wire::FrameDecoder m_decoder;
    Wire::Hello m_ownHello;
    std::deque<std::string> m_queue;
    std::size_t m_queuedBytes = 0;   // total size of m_queue
    std::size_t m_framesInWrite = 0; // frames at the front of m_queue that are being written
    std::uint64_t m_generation = 0;  // identifies callbacks of earlier connections
    bool m_isUp = false;
    bool m_isClosed = false;
};

} // namespace PeerLink
