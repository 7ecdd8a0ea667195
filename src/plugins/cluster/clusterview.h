// What this daemon knows of the other daemons from their heartbeats.
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

/// The last heartbeat of one daemon.
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

/// Sends heartbeats and keeps those of the others.
class ClusterView : public Kernel::Service, public Wire::PeerListener
{
public:
    using OwnedProvider = std::function<std::vector<Wire::OwnedShard>()>;
    using LoadProvider = std::function<std::uint64_t()>;

    explicit ClusterView(const Settings::Runtime &runtime);

    absl::Status start(const Kernel::ServiceRegistry &registry) override;
    void stop() override;

    void setOwnedProvider(OwnedProvider provider) { m_owned = std::move(provider); }
    void setLoadProvider(LoadProvider provider) { m_load = std::move(provider); }
    /// Told to the others with the next heartbeat.
    void setDraining(bool isDraining) { m_isDraining = isDraining; }
    bool isDraining() const { return m_isDraining; }
    /// Sends a heartbeat to all daemons soon, since callers elsewhere wait for the new owner.
    void announceSoon();

    /// The daemon that claims \a shard under the highest epoch, if any does.
    std::optional<Base::DaemonId> ownerOf(const Base::ShardId &shard) const;
    /// Daemons of \a domain that are connected and alive, those that are not draining first.
    std::vector<Base::DaemonId> reachableDaemons(const Base::FailureDomainId &domain) const;
    /// Whether a heartbeat of \a daemon has arrived recently.
    bool isAlive(const Base::DaemonId &daemon) const;
    const std::map<Base::DaemonId, PeerState> &peers() const { return m_peers; }

    void peerMessageReceived(const Wire::PeerIdentity &from, const Wire::Message &message) override;

private:
    void beat();
    void sendHeartbeats(bool toAll);

    const Settings::Runtime m_runtime;
    Wire::PeerPort *m_port = nullptr;
    ManifestService::ManifestHolder *m_manifest = nullptr;
    Telemetry::TelemetryService *m_telemetry = nullptr;
    OwnedProvider m_owned;
    LoadProvider m_load;
    std::map<Base::DaemonId, PeerState> m_peers; // daemons heard of in this run
    Base::TimerId m_timer;
    std::uint64_t m_beatCount = 0;
    bool m_isDraining = false;
    bool m_isAnnouncing = false;
};

} // namespace Cluster
