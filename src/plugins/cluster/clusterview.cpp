// Sending and keeping of heartbeats.
#include "clusterview.h"

#include <base/failure.h>
#include <base/softassert.h>
#include <kernel/servicenames.h>
#include <kernel/serviceregistry.h>
#include <peerlink/peerlink.h>

#include <algorithm>
#include <utility>

namespace Cluster {

static constexpr std::chrono::milliseconds HEARTBEAT_MS{300};
/// Daemons of other failure domains get every third heartbeat: they only route by it.
static constexpr std::uint64_t REMOTE_DIVISOR = 3;
static constexpr std::chrono::milliseconds ALIVE_MS{2000};
/// Collects the shards of one takeover in one heartbeat.
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
    beat();
    return absl::OkStatus();
}

void ClusterView::stop()
{
    m_runtime.timers.cancel(m_timer);
}

void ClusterView::beat()
{
    m_timer = m_runtime.timers.schedule(HEARTBEAT_MS, [this] { beat(); });
    sendHeartbeats(m_beatCount++ % REMOTE_DIVISOR == 0);
}

void ClusterView::announceSoon()
{
    if (std::exchange(m_isAnnouncing, true))
        return;
    m_runtime.timers.schedule(ANNOUNCE_DELAY_MS, [this] {
        m_isAnnouncing = false;
        sendHeartbeats(true);
    });
}

void ClusterView::sendHeartbeats(bool toAll)
{
    Wire::Heartbeat heartbeat;
    heartbeat.manifestRevision = m_manifest->revision().value();
    heartbeat.draining = m_isDraining;
    if (m_owned)
        heartbeat.owned = m_owned();
    if (m_load)
        heartbeat.queuedTasks = m_load();
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
        // A link that is cut without notice keeps its connection, which still takes messages.
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
    return it != m_peers.end() && m_runtime.timers.now() - it->second.lastHeard < ALIVE_MS;
}

} // namespace Cluster
