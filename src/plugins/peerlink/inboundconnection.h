// A connection on which a peer sends messages to this daemon.
#pragma once

#include "linkoptions.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <settings/runtime.h>
#include <wire/codec.h>
#include <wire/peerport.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace PeerLink {

/// Accepts the handshake of one peer, then decodes its messages until the connection ends.
class InboundConnection : public std::enable_shared_from_this<InboundConnection>
{
public:
    using MessageCallback = std::function<void(const Wire::PeerIdentity &, const Wire::Message &)>;
    /// Called once, when the connection has ended.
    using EndCallback = std::function<void(std::uint64_t id)>;

    InboundConnection(const Settings::Runtime &runtime, const LinkOptions &options,
                      asio::ip::tcp::socket socket, std::uint64_t id, MessageCallback received,
                      EndCallback ended);

    void start();
    void close();
    /// Whether the peer has proved that it knows the peer key.
    bool isReady() const { return m_stage == Stage::Ready; }

private:
    enum class Stage { AwaitHello, AwaitProof, Ready };

    void read();
    void process();
    bool handle(const Wire::Message &message);
    bool helloReceived(const Wire::Hello &hello);
    bool proofReceived(const Wire::Hello &hello);
    void restartIdleTimer();
    void end(const char *reason);

    const Settings::Runtime m_runtime;
    const LinkOptions m_options;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    const std::uint64_t m_id;
    MessageCallback m_received;
    EndCallback m_ended;
    std::vector<char> m_readBuffer;
    Wire::FrameDecoder m_decoder;
    Stage m_stage = Stage::AwaitHello;
    Wire::Hello m_dialer;
    Wire::Hello m_ownHello;
    std::string m_outgoing;        // hello, the only frame sent on this connection
    Wire::PeerIdentity m_identity; // valid in Stage::Ready
    bool m_isEnded = false;
};

} // namespace PeerLink
