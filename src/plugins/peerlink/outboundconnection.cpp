// Dialing, dialer side of the handshake, and writing of messages.
#include "outboundconnection.h"

#include "handshake.h"
#include "peerlinkconstants.h"

#include <base/log.h>
#include <wire/wireconstants.h>

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <netinet/tcp.h>
#include <utility>
#include <vector>

namespace PeerLink {

OutboundConnection::OutboundConnection(const Settings::Runtime &runtime, const LinkOptions &options,
                                       Settings::PeerSettings peer, StateCallback stateChanged)
    : m_runtime(runtime)
    , m_options(options)
    , m_peer(std::move(peer))
    , m_stateChanged(std::move(stateChanged))
    , m_socket(runtime.io)
    , m_timer(runtime.io)
    , m_decoder(Wire::Constants::MAX_FRAME_BYTES)
{}

void OutboundConnection::start()
{
    dial();
}

void OutboundConnection::close()
{
    m_isClosed = true;
    m_stateChanged = {};
    asio::error_code ec;
    m_socket.close(ec);
    m_timer.cancel();
}

void OutboundConnection::reset()
{
    if (m_isUp)
        fail("reset because the peer receives no messages");
}

void OutboundConnection::dial()
{
    if (m_isClosed)
        return;
    const std::uint64_t generation = ++m_generation;
    m_socket = asio::ip::tcp::socket(m_runtime.io);
    m_decoder = Wire::FrameDecoder(Wire::Constants::MAX_FRAME_BYTES);
    asio::error_code ec;
    const auto address = asio::ip::make_address(m_peer.endpoint.address, ec);
    m_timer.expires_after(m_options.connectTimeout);
    m_timer.async_wait([self = shared_from_this(), generation](const asio::error_code &error) {
        if (!error && generation == self->m_generation && !self->m_isUp)
            self->fail("connect or handshake timed out");
    });
    m_socket.async_connect({address, m_peer.endpoint.port},
                           [self = shared_from_this(), generation](const asio::error_code &error) {
                               if (generation != self->m_generation || self->m_isClosed)
                                   return;
                               if (error)
                                   self->fail("connect failed");
                               else
                                   self->sendHello();
                           });
}

void OutboundConnection::sendHello()
{
    asio::error_code ec;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ec);
    // Small messages fit into the socket's send buffer, so writes keep succeeding during a network
    // partition. Without a limit on unacknowledged data the connection would stay open but silent
    // for seconds after the partition has ended.
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    m_socket.set_option(UserTimeout(static_cast<int>(m_options.writeTimeout.count())), ec);
    if (ec)
        Base::log(Base::LogLevel::Warning, "noUserTimeout", {{"error", ec.message()}});
    m_ownHello = {m_runtime.settings.daemon.value(), m_runtime.settings.domain.value(),
                  m_runtime.incarnation.value(), makeNonce(), ""};
    m_queue.push_back(Wire::encodeFrame(m_ownHello));
    m_queuedBytes += m_queue.back().size();
    write();
    awaitHello();
}

void OutboundConnection::awaitHello()
{
    m_socket.async_read_some(asio::buffer(m_readBuffer),
                             [self = shared_from_this(), generation = m_generation](
                                 const asio::error_code &ec, std::size_t n) {
                                 if (generation != self->m_generation || self->m_isClosed)
                                     return;
                                 if (ec) {
                                     self->fail("connection closed during the handshake");
                                     return;
                                 }
                                 self->m_decoder.append({self->m_readBuffer.data(), n});
                                 std::optional<Wire::Message> message;
                                 if (!self->m_decoder.next(message).ok()) {
                                     self->fail("malformed handshake");
                                     return;
                                 }
                                 if (!message) {
                                     self->awaitHello();
                                     return;
                                 }
                                 if (const auto *hello = std::get_if<Wire::Hello>(&*message))
                                     self->helloReceived(*hello);
                                 else
                                     self->fail("malformed handshake");
                             });
}

void OutboundConnection::helloReceived(const Wire::Hello &hello)
{
    const std::string expected =
        makeProof(m_runtime.settings.peerKey, HandshakeRole::Acceptor, m_ownHello, hello);
    if (hello.daemon != m_peer.daemon.value() || !isSameProof(hello.proof, expected)) {
        Base::log(Base::LogLevel::Error, "peerNotAuthentic", {{"peer", m_peer.daemon}});
        fail("the peer is not authentic");
        return;
    }
    Wire::Hello answer = m_ownHello;
    answer.proof = makeProof(m_runtime.settings.peerKey, HandshakeRole::Dialer, m_ownHello, hello);
    m_queue.push_back(Wire::encodeFrame(answer));
    m_queuedBytes += m_queue.back().size();
    if (m_framesInWrite == 0)
        write();
    m_isUp = true;
    m_timer.cancel();
    watchForClose();
    if (m_stateChanged)
        m_stateChanged(m_peer, true);
}

void OutboundConnection::watchForClose()
{
    m_socket.async_read_some(asio::buffer(m_readBuffer),
                             [self = shared_from_this(),
                              generation = m_generation](const asio::error_code &, std::size_t) {
                                 // The acceptor sends nothing after the handshake.
                                 if (generation == self->m_generation && !self->m_isClosed)
                                     self->fail("closed by the peer");
                             });
}

bool OutboundConnection::send(std::string frame)
{
    if (!m_isUp || m_queuedBytes + frame.size() > Constants::MAX_QUEUED_BYTES)
        return false;
    m_queuedBytes += frame.size();
    m_queue.push_back(std::move(frame));
    if (m_framesInWrite == 0)
        write();
    return true;
}

void OutboundConnection::write()
{
    std::vector<asio::const_buffer> buffers;
    for (const std::string &it : m_queue) {
        buffers.push_back(asio::buffer(it));
        if (buffers.size() >= Constants::MAX_BUFFERS_PER_WRITE)
            break;
    }
    m_framesInWrite = buffers.size();
    if (m_isUp) {
        m_timer.expires_after(m_options.writeTimeout);
        m_timer.async_wait(
            [self = shared_from_this(), generation = m_generation](const asio::error_code &error) {
                if (!error && generation == self->m_generation && self->m_framesInWrite > 0)
                    self->fail("write timed out");
            });
    }
    asio::async_write(m_socket, buffers,
                      [self = shared_from_this(),
                       generation = m_generation](const asio::error_code &ec, std::size_t) {
                          if (generation != self->m_generation || self->m_isClosed)
                              return;
                          if (ec) {
                              self->fail("write failed");
                              return;
                          }
                          for (; self->m_framesInWrite > 0; --self->m_framesInWrite) {
                              self->m_queuedBytes -= self->m_queue.front().size();
                              self->m_queue.pop_front();
                          }
                          if (!self->m_queue.empty())
                              self->write();
                      });
}

void OutboundConnection::fail(const char *reason)
{
    ++m_generation;
    asio::error_code ec;
    m_socket.close(ec);
    m_timer.cancel();
    m_queue.clear();
    m_queuedBytes = 0;
    m_framesInWrite = 0;
    const bool wasUp = std::exchange(m_isUp, false);
    if (m_isClosed)
        return;
    if (wasUp) {
        Base::log(Base::LogLevel::Warning, "peerConnectionLost",
                  {{"peer", m_peer.daemon}, {"reason", reason}});
        if (m_stateChanged)
            m_stateChanged(m_peer, false);
    }
    m_runtime.timers.schedule(m_options.reconnectDelay,
                              [self = shared_from_this(), generation = m_generation] {
                                  if (generation == self->m_generation)
                                      self->dial();
                              });
}

} // namespace PeerLink
