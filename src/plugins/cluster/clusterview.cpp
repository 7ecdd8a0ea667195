// Sends heartbeats and evaluates those of other daemons.
#include "clusterview.h"

#include <base/failure.h>
#include <base/softassert.h>
#include <kernel/servicenames.h>
#include <kernel/serviceregistry.h>
#include <peerlink/peerlink.h>

#include <algorithm>
#include <utility>

namespace Cluster {

static constexpr std::chrono::milliseconds HEARTBEAT_INTERVAL_MS{300};
/// Daemons of other failure domains get every third heartbeat, as they use it only for routing.
static constexpr std::uint64_t REMOTE_HEARTBEAT_DIVISOR = 3;
static constexpr std::chrono::milliseconds HEARTBEAT_TIMEOUT_MS{2000};
/// Combines the shards of one takeover in one heartbeat.
static constexpr std::chrono::milliseconds ANNOUNCE_DELAY_MS{10};

ClusterView::ClusterView(const Settings::Runtime &runtime)
    : m_runtime(runtime)
{}

absl::Status ClusterView::start(const Kernel::ServiceRegistry &registry)
{
    auto *link = registry.find<PeerLink::PeerLinkService>(Kernel::ServiceNames::PEER_LINK);
    m_manifest = registry.find<ManifestService::ManifestHolder>(Kernel::ServiceNames::MANIFEST);
    m_telemetry = registry.find<Telemetry::TelemetryService>(Kernel::ServiceNames::TELEMETRY);
    EP_ASSERT(link && m_manifest && m_telemetry, return Base::makeFailure(Base::FailureCode::Internal,
                                                           "cluster: missing service"));
    m_port = link;
    link->addListener(m_manifest);
    link->addListener(this);
    sendPeriodicHeartbeats();
    return absl::OkStatus();
}

void ClusterView::stop()
{
    m_runtime.timers.cancel(m_timer);
}

void ClusterView::sendPeriodicHeartbeats()
{
    m_timer =
        m_runtime.timers.schedule(HEARTBEAT_INTERVAL_MS, [this] { sendPeriodicHeartbeats(); });
    sendHeartbeats(m_heartbeatCount++ % REMOTE_HEARTBEAT_DIVISOR == 0);
}

void ClusterView::scheduleAnnouncement()
{
    if (std::exchange(m_isAnnouncementScheduled, true))
        return;
    m_runtime.timers.schedule(ANNOUNCE_DELAY_MS, [this] {
        m_isAnnouncementScheduled = false;
        sendHeartbeats(true);
    });
}

void ClusterView::sendHeartbeats(bool toAll)
{
    Wire::Heartbeat heartbeat;
    heartbeat.manifestRevision = m_manifest->revision().value();
    heartbeat.draining = m_isDraining;
    if (m_ownedShardsProvider)
        heartbeat.owned = m_ownedShardsProvider();
    if (m_loadProvider)
        heartbeat.queuedTasks = m_loadProvider();
    const EventLog::Stamp stamp = m_telemetry->clock().tick();
    heartbeat.clockMs = stamp.wallMs;
    heartbeat.clockCounter = stamp.counter;
    for (const Settings::PeerSettings &it : m_runtime.settings.peers) {
        if (toAll || it.domain == m_runtime.settings.domain)
            m_port->send(it.daemon, heartbeat);
    }
}

void ClusterView::peerMessageReceived(const Wire::PeerIdentity &from, const Wire::Message &message)
{
    const auto *heartbeat = std::get_if<Wire::Heartbeat>(&message);
    if (!heartbeat)
        return;
    m_telemetry->clock().merge({heartbeat->clockMs, heartbeat->clockCounter});
    PeerState &state = m_peers[from.daemon];
    state.domain = from.domain;
    state.incarnation = from.incarnation;
    state.lastHeard = m_runtime.timers.now();
    state.revision = Base::Revision(heartbeat->manifestRevision);
    state.isDraining = heartbeat->draining;
    state.queuedTasks = heartbeat->queuedTasks;
    state.owned.clear();
    for (const Wire::OwnedShard &it : heartbeat->owned)
        state.owned[Base::ShardIndex(it.shard)] = Base::Epoch(it.epoch);
    m_manifest->revisionAnnounced(from.daemon, state.revision);
}

std::optional<Base::DaemonId> ClusterView::ownerOf(const Base::ShardId &shard) const
{
    std::optional<Base::DaemonId> owner;
    Base::Epoch highest;
    for (const auto &[daemon, state] : m_peers) {
        if (state.domain != shard.domain || !isAlive(daemon))
            continue;
        const auto it = state.owned.find(shard.index);
        if (it != state.owned.end() && it->second > highest) {
            highest = it->second;
            owner = daemon;
        }
    }
    return owner;
}

std::vector<Base::DaemonId> ClusterView::reachableDaemons(const Base::FailureDomainId &domain) const
{
    std::vector<Base::DaemonId> daemons;
    for (const Settings::PeerSettings &it : m_runtime.settings.peers) {
        // After a silent network failure, the connection stays up and still accepts messages, so
        // recent heartbeats are required as well.
        if (it.domain == domain && m_port->isConnected(it.daemon) && isAlive(it.daemon))
            daemons.push_back(it.daemon);
    }
    std::stable_partition(daemons.begin(), daemons.end(), [this](const Base::DaemonId &it) {
        const auto state = m_peers.find(it);
        return state == m_peers.end() || !state->second.isDraining;
    });
    return daemons;
}

bool ClusterView::isAlive(const Base::DaemonId &daemon) const
{
    const auto it = m_peers.find(daemon);
    return it != m_peers.end()
           && m_runtime.timers.now() - it->second.lastHeard < HEARTBEAT_TIMEOUT_MS;
}

} // namespace Cluster
