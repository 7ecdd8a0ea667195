// Accepting of connections, dispatching and sending of messages.
#include "peerlink.h"

#include "peerlinkconstants.h"

#include <base/failure.h>
#include <base/log.h>
#include <base/softassert.h>
#include <kernel/servicenames.h>
#include <kernel/serviceregistry.h>
#include <wire/codec.h>

#include <algorithm>
#include <utility>

namespace PeerLink {

PeerLinkService::PeerLinkService(const Settings::Runtime &runtime, LinkOptions options)
    : m_runtime(runtime)
    , m_options(options)
    , m_acceptor(runtime.io)
{}

PeerLinkService::~PeerLinkService()
{
    PeerLinkService::stop();
}

absl::Status PeerLinkService::start(const Kernel::ServiceRegistry &registry)
{
    m_telemetry = registry.find<Telemetry::TelemetryService>(Kernel::ServiceNames::TELEMETRY);
    EP_ASSERT(m_telemetry, return Base::makeFailure(Base::FailureCode::Internal,
                                                    "peer link: telemetry service not found"));
    m_sentMessages = m_telemetry->metrics().counter("endivepath_peer_messages_sent",
                                                    "Messages queued for other daemons.");
    m_sentBytes = m_telemetry->metrics().counter("endivepath_peer_bytes_sent",
                                                 "Bytes of the messages queued for other daemons.");
    const Settings::Endpoint &own = m_runtime.settings.peerEndpoint;
    try {
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(own.address), own.port);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(asio::socket_base::reuse_address(true));
        // Inherited by the connections; not all systems allow it.
        asio::error_code ec;
        m_acceptor.set_option(
            asio::socket_base::receive_buffer_size(Constants::HANDSHAKE_RECEIVE_BYTES), ec);
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
    } catch (const std::exception &error) {
        return Base::makeFailure(Base::FailureCode::InvalidSettings,
                                 std::string("cannot listen on the peer port: ") + error.what());
    }
    accept();
    for (const Settings::PeerSettings &it : m_runtime.settings.peers)
        addPeer(it);
    return absl::OkStatus();
}

void PeerLinkService::addPeer(const Settings::PeerSettings &peer)
{
    auto connection = std::make_shared<OutboundConnection>(
        m_runtime, m_options, peer,
        [this](const Settings::PeerSettings &it, bool isUp) { stateChanged(it, isUp); });
    m_outbound.emplace(peer.daemon, connection);
    connection->start();
}

void PeerLinkService::setPeers(const std::vector<Settings::PeerSettings> &peers)
{
    std::map<Base::DaemonId, Settings::PeerSettings> wanted;
    for (const Settings::PeerSettings &it : peers)
        wanted.emplace(it.daemon, it);
    std::erase_if(m_outbound, [&wanted](const auto &it) {
        const auto peer = wanted.find(it.first);
        if (peer != wanted.end() && peer->second == it.second->peer())
            return false;
        it.second->close();
        return true;
    });
    for (const auto &[daemon, peer] : wanted) {
        if (!m_outbound.contains(daemon))
            addPeer(peer);
    }
}

void PeerLinkService::resetConnection(const Base::DaemonId &peer)
{
    const auto it = m_outbound.find(peer);
    if (it != m_outbound.end())
        it->second->reset();
}

void PeerLinkService::stop()
{
    asio::error_code ec;
    m_acceptor.close(ec);
    for (const auto &[daemon, connection] : std::exchange(m_outbound, {}))
        connection->close();
    for (const auto &[id, connection] : std::exchange(m_inbound, {}))
        connection->close();
}

void PeerLinkService::addListener(Wire::PeerListener *listener)
{
    m_listeners.push_back(listener);
}

void PeerLinkService::accept()
{
    m_acceptor.async_accept([this](const asio::error_code &ec, asio::ip::tcp::socket socket) {
        if (ec == asio::error::operation_aborted)
            return;
        if (!ec && m_inbound.size() >= Constants::MAX_INBOUND_CONNECTIONS)
            closeUnproven();
        if (!ec && m_inbound.size() < Constants::MAX_INBOUND_CONNECTIONS) {
            const std::uint64_t id = ++m_lastInbound;
            auto connection = std::make_shared<InboundConnection>(
                m_runtime, m_options, std::move(socket), id,
                [this](const Wire::PeerIdentity &from, const Wire::Message &message) {
                    messageReceived(from, message);
                },
                [this](std::uint64_t ended) { m_inbound.erase(ended); });
            m_inbound.emplace(id, connection);
            connection->start();
        }
        accept();
    });
}

void PeerLinkService::closeUnproven()
{
    const auto oldest = std::find_if(m_inbound.begin(), m_inbound.end(),
                                     [](const auto &it) { return !it.second->isReady(); });
    Base::log(Base::LogLevel::Warning, "tooManyPeerConnections",
              {{"connections", m_inbound.size()}});
    if (oldest == m_inbound.end())
        return;
    oldest->second->close();
    m_inbound.erase(oldest);
}

void PeerLinkService::messageReceived(const Wire::PeerIdentity &from, const Wire::Message &message)
{
    // Handling a message may add listeners: the first manifest creates the shard ownership.
    const std::size_t n = m_listeners.size();
    for (std::size_t i = 0; i < n; ++i)
        m_listeners[i]->peerMessageReceived(from, message);
}

void PeerLinkService::stateChanged(const Settings::PeerSettings &peer, bool isUp)
{
    EventLog::EventInfo event;
    event.type = isUp ? EventLog::EventType::PeerConnected : EventLog::EventType::PeerDisconnected;
    event.peer = &peer.daemon;
    m_telemetry->record(event);
    if (isUp) {
        Base::log(Base::LogLevel::Info, "peerConnected", {{"peer", peer.daemon}});
        for (Wire::PeerListener *it : m_listeners)
            it->peerConnected({peer.daemon, peer.domain, {}});
        return;
    }
    for (Wire::PeerListener *it : m_listeners)
        it->peerDisconnected({peer.daemon, peer.domain, {}});
}

bool PeerLinkService::send(const Base::DaemonId &peer, const Wire::Message &message)
{
    const auto it = m_outbound.find(peer);
    if (it == m_outbound.end() || !it->second->isUp())
        return false;
    std::string frame = Wire::encodeFrame(message);
    const std::size_t n = frame.size();
    if (!it->second->send(std::move(frame)))
        return false;
    m_sentBytes.add(n);
    m_sentMessages.add();
    return true;
}

bool PeerLinkService::isConnected(const Base::DaemonId &peer) const
{
    const auto it = m_outbound.find(peer);
    return it != m_outbound.end() && it->second->isUp();
}

} // namespace PeerLink
