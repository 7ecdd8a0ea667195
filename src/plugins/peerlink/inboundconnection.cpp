// Acceptor side of the handshake, and reading of messages.
#include "inboundconnection.h"

#include "handshake.h"
#include "peerlinkconstants.h"

#include <base/log.h>
#include <wire/wireconstants.h>

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <utility>

namespace PeerLink {

InboundConnection::InboundConnection(const Settings::Runtime &runtime, const LinkOptions &options,
                                     asio::ip::tcp::socket socket, std::uint64_t id,
                                     MessageCallback received, EndCallback ended)
    : m_runtime(runtime)
    , m_options(options)
    , m_socket(std::move(socket))
    , m_timer(runtime.io)
    , m_id(id)
    , m_received(std::move(received))
    , m_ended(std::move(ended))
    , m_readBuffer(Constants::HANDSHAKE_BUFFER_BYTES)
    , m_decoder(Constants::HANDSHAKE_BUFFER_BYTES)
{}

void InboundConnection::start()
{
    asio::error_code ec;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ec);
    restartIdleTimer();
    read();
}

void InboundConnection::close()
{
    m_ended = {};
    end("closed by this daemon");
}

void InboundConnection::restartIdleTimer()
{
    m_timer.expires_after(m_options.idleTimeout);
    m_timer.async_wait([self = shared_from_this()](const asio::error_code &ec) {
        if (!ec)
            self->end("idle timeout");
    });
}

void InboundConnection::read()
{
    m_socket.async_read_some(
        asio::buffer(m_readBuffer),
        [self = shared_from_this()](const asio::error_code &ec, std::size_t n) {
            if (self->m_isEnded)
                return;
            if (ec) {
                self->end("closed by the peer");
                return;
            }
            self->m_decoder.append({self->m_readBuffer.data(), n});
            // Until then the time limit is one for the handshake as a whole.
            if (self->isReady())
                self->restartIdleTimer();
            self->process();
        });
}

void InboundConnection::process()
{
    for (;;) {
        std::optional<Wire::Message> message;
        if (!m_decoder.next(message).ok()) {
            Base::log(Base::LogLevel::Error, "peerFrameMalformed", {{"peer", m_identity.daemon}});
            end("malformed frame");
            return;
        }
        if (!message)
            break;
        if (!handle(*message) || m_isEnded) {
            end("handshake failed");
            return;
        }
    }
    read();
}

bool InboundConnection::handle(const Wire::Message &message)
{
    if (m_stage == Stage::Ready) {
        m_received(m_identity, message);
        return true;
    }
    const auto *hello = std::get_if<Wire::Hello>(&message);
    if (!hello)
        return false;
    return m_stage == Stage::AwaitHello ? helloReceived(*hello) : proofReceived(*hello);
}

bool InboundConnection::helloReceived(const Wire::Hello &hello)
{
    const auto &peers = m_runtime.settings.peers;
    const bool isKnown =
        std::any_of(peers.begin(), peers.end(), [&](const Settings::PeerSettings &it) {
            return it.daemon.value() == hello.daemon && it.domain.value() == hello.failureDomain;
        });
    if (!isKnown && !m_options.acceptUnlisted) {
        Base::log(Base::LogLevel::Warning, "peerUnknown", {{"peer", hello.daemon}});
        return false;
    }
    m_dialer = hello;
    m_dialer.proof.clear();
    m_ownHello = {m_runtime.settings.daemon.value(), m_runtime.settings.domain.value(),
                  m_runtime.incarnation.value(), makeNonce(), ""};
    Wire::Hello answer = m_ownHello;
    answer.proof =
        makeProof(m_runtime.settings.peerKey, HandshakeRole::Acceptor, m_dialer, m_ownHello);
    m_outgoing = Wire::encodeFrame(answer);
    asio::async_write(m_socket, asio::buffer(m_outgoing),
                      [self = shared_from_this()](const asio::error_code &ec, std::size_t) {
                          if (ec)
                              self->end("write failed");
                      });
    m_stage = Stage::AwaitProof;
    return true;
}

bool InboundConnection::proofReceived(const Wire::Hello &hello)
{
    const std::string expected =
        makeProof(m_runtime.settings.peerKey, HandshakeRole::Dialer, m_dialer, m_ownHello);
    if (!isSameProof(hello.proof, expected)) {
        Base::log(Base::LogLevel::Error, "peerNotAuthentic", {{"peer", m_dialer.daemon}});
        return false;
    }
    m_identity = {Base::DaemonId(m_dialer.daemon), Base::FailureDomainId(m_dialer.failureDomain),
                  Base::Incarnation(m_dialer.incarnation)};
    m_stage = Stage::Ready;
    m_readBuffer.resize(Constants::READ_BUFFER_BYTES);
    m_decoder.setMaxFrameBytes(Wire::Constants::MAX_FRAME_BYTES);
    asio::error_code ec;
    m_socket.set_option(asio::socket_base::receive_buffer_size(Constants::PEER_RECEIVE_BYTES), ec);
    restartIdleTimer();
    return true;
}

void InboundConnection::end(const char *reason)
{
    if (std::exchange(m_isEnded, true))
        return;
    Base::log(Base::LogLevel::Debug, "peerInboundEnded",
              {{"peer", m_identity.daemon}, {"reason", reason}});
    asio::error_code ec;
    m_socket.close(ec);
    m_timer.cancel();
    if (const EndCallback ended = std::exchange(m_ended, {}))
        ended(m_id);
}

} // namespace PeerLink
