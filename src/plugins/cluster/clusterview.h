// State of the other daemons according to their heartbeats.
#pragma once

#include <base/ids.h>
#include <kernel/service.h>
#include <manifestservice/manifestservice.h>
#include <settings/runtime.h>
#include <telemetry/telemetryservice.h>
#include <wire/peerport.h>

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Cluster {

/// Contents of the last heartbeat of one daemon.
struct PeerState
{
    Base::FailureDomainId domain;
    Base::Incarnation incarnation;
    Base::TimePoint lastHeard;
    Base::Revision revision;
    std::map<Base::ShardIndex, Base::Epoch> owned;
    bool isDraining = false;
    std::uint64_t queuedTasks = 0;
};

/// Sends heartbeats and keeps the last one of each other daemon.
class ClusterView : public Kernel::Service, public Wire::PeerListener
{
public:
    using OwnedShardsProvider = std::function<std::vector<Wire::OwnedShard>()>;
    using LoadProvider = std::function<std::uint64_t()>;

    explicit ClusterView(const Settings::Runtime &runtime);

    absl::Status start(const Kernel::ServiceRegistry &registry) override;
    void stop() override;

    void setOwnedShardsProvider(OwnedShardsProvider provider)
    {
        m_ownedShardsProvider = std::move(provider);
    }
    void setLoadProvider(LoadProvider provider) { m_loadProvider = std::move(provider); }
    /// Sent to the other daemons with the next heartbeat.
    void setDraining(bool isDraining) { m_isDraining = isDraining; }
    bool isDraining() const { return m_isDraining; }
    /// Schedules an early heartbeat to all daemons, since requests elsewhere wait for the new
    /// owner.
    void scheduleAnnouncement();

    /// The daemon that claims \a shard under the highest epoch, if any does.
    std::optional<Base::DaemonId> ownerOf(const Base::ShardId &shard) const;
    /// Daemons of \a domain that are connected and alive, those that are not draining first.
    std::vector<Base::DaemonId> reachableDaemons(const Base::FailureDomainId &domain) const;
    /// Whether a heartbeat of \a daemon has arrived recently.
    bool isAlive(const Base::DaemonId &daemon) const;
    const std::map<Base::DaemonId, PeerState> &peers() const { return m_peers; }

    void peerMessageReceived(const Wire::PeerIdentity &from, const Wire::Message &message) override;

private:
    void sendPeriodicHeartbeats();
    void sendHeartbeats(bool toAll);

    const Settings::Runtime m_runtime;
    Wire::PeerPort *m_port = nullptr;
    ManifestService::ManifestHolder *m_manifest = nullptr;
    Telemetry::TelemetryService *m_telemetry = nullptr;
    OwnedShardsProvider m_ownedShardsProvider;
    LoadProvider m_loadProvider;
    std::map<Base::DaemonId, PeerState> m_peers; // heard from since the start of this process
    Base::TimerId m_timer;
    std::uint64_t m_heartbeatCount = 0;
    bool m_isDraining = false;
    bool m_isAnnouncementScheduled = false;
};

} // namespace Cluster
