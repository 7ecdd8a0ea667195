// Connections to all other daemons.
#pragma once

#include "inboundconnection.h"
#include "linkoptions.h"
#include "outboundconnection.h"

#include <asio/ip/tcp.hpp>
#include <kernel/service.h>
#include <settings/runtime.h>
#include <telemetry/telemetryservice.h>
#include <wire/peerport.h>

#include <map>
#include <memory>
#include <vector>

namespace PeerLink {

/// Sends on the connections that it dials and receives on those that it accepts, so each pair of
/// daemons has one connection per direction.
class PeerLinkService : public Kernel::Service, public Wire::PeerPort
{
public:
    explicit PeerLinkService(const Settings::Runtime &runtime, LinkOptions options = {});
    ~PeerLinkService() override;

    absl::Status start(const Kernel::ServiceRegistry &registry) override;
    void stop() override;

    /// Listeners receive every message, in the order in which they were added. A listener must stay
    /// valid until stop() has returned.
    void addListener(Wire::PeerListener *listener);

    /// Replaces the set of peers to dial. Connections to unchanged peers are kept.
    void setPeers(const std::vector<Settings::PeerSettings> &peers);

    bool send(const Base::DaemonId &peer, const Wire::Message &message) override;
    bool isConnected(const Base::DaemonId &peer) const override;
    void resetConnection(const Base::DaemonId &peer) override;

private:
    void addPeer(const Settings::PeerSettings &peer);
    void accept();
    /// Closes the oldest connection whose handshake is not complete.
    void closeUnproven();
    void messageReceived(const Wire::PeerIdentity &from, const Wire::Message &message);
    void stateChanged(const Settings::PeerSettings &peer, bool isUp);

    const Settings::Runtime m_runtime;
    const LinkOptions m_options;
    asio::ip::tcp::acceptor m_acceptor;
    std::map<Base::DaemonId, std::shared_ptr<OutboundConnection>> m_outbound;
    std::map<std::uint64_t, std::shared_ptr<InboundConnection>> m_inbound;
    std::uint64_t m_lastInbound = 0;
    std::vector<Wire::PeerListener *> m_listeners;
    Telemetry::TelemetryService *m_telemetry = nullptr;
    Metrics::Counter m_sentBytes;
    Metrics::Counter m_sentMessages;
};

} // namespace PeerLink
