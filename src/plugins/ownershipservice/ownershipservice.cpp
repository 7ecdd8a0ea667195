// Creates the shard ownership of this daemon and forwards calls of other services to it.
#include "ownershipservice.h"

#include <base/failure.h>
#include <base/softassert.h>
#include <cluster/clusterview.h>
#include <kernel/servicenames.h>
#include <kernel/serviceregistry.h>
#include <peerlink/peerlink.h>

namespace OwnershipService {

using Base::FailureCode;
using Base::makeFailure;

OwnershipServiceImpl::OwnershipServiceImpl(const Settings::Runtime &runtime)
    : m_runtime(runtime)
{}

OwnershipServiceImpl::~OwnershipServiceImpl() = default;

absl::Status OwnershipServiceImpl::start(const Kernel::ServiceRegistry &registry)
{
    namespace Names = Kernel::ServiceNames;
    auto *link = registry.find<PeerLink::PeerLinkService>(Names::PEER_LINK);
    auto *manifest = registry.find<ManifestService::ManifestHolder>(Names::MANIFEST);
    auto *cluster = registry.find<Cluster::ClusterView>(Names::CLUSTER);
    m_table = registry.find<Storage::Table>(Names::PLATFORM_CLIENT);
    EP_ASSERT(link && manifest && cluster && m_table,
              return makeFailure(FailureCode::Internal, "ownership: missing service"));
    m_port = link;
    m_addListener = [link](Wire::PeerListener *listener) { link->addListener(listener); };
    cluster->setOwnedShardsProvider([this] { return ownedShards(); });
    manifest->observe([this](const ManifestService::ManifestHolder::Snapshot &snapshot) {
        if (!m_ownership)
            createOwnership(*snapshot);
    });
    return absl::OkStatus();
}

void OwnershipServiceImpl::createOwnership(const Manifest::Manifest &manifest)
{
    EP_ASSERT(m_observer, return);
    Ownership::OwnershipSettings settings;
    settings.self = m_runtime.settings.daemon;
    settings.incarnation = m_runtime.incarnation;
    settings.domain = m_runtime.settings.domain;
    settings.shardCount = manifest.shardsPerDomain;
    for (const Settings::PeerSettings &it : m_runtime.settings.peers) {
        if (it.domain == settings.domain)
            settings.peers.push_back(it.daemon);
    }
    m_shardCount = settings.shardCount;
    m_ownership = std::make_unique<Ownership::ShardOwnership>(settings, m_runtime.timers, *m_table,
                                                              *m_port, *m_observer);
    m_addListener(m_ownership.get());
    m_ownership->start();
}

void OwnershipServiceImpl::stop()
{
    if (m_ownership)
        m_ownership->stop();
}

bool OwnershipServiceImpl::isKnownShard(Base::ShardIndex shard) const
{
    return m_ownership && shard.value() < m_shardCount;
}

std::vector<Wire::OwnedShard> OwnershipServiceImpl::ownedShards() const
{
    return m_ownership ? m_ownership->ownedShards() : std::vector<Wire::OwnedShard>();
}

std::optional<Base::Epoch> OwnershipServiceImpl::leasedEpoch(Base::ShardIndex shard) const
{
    return isKnownShard(shard) ? m_ownership->leasedEpoch(shard) : std::nullopt;
}

std::vector<Base::DaemonId> OwnershipServiceImpl::requiredReplicas(Base::ShardIndex shard) const
{
    return isKnownShard(shard) ? m_ownership->requiredReplicas(shard)
                               : std::vector<Base::DaemonId>();
}

bool OwnershipServiceImpl::acceptsReplication(Base::ShardIndex shard, Base::Epoch epoch,
                                              const Wire::PeerIdentity &from)
{
    return isKnownShard(shard) && m_ownership->acceptsReplication(shard, epoch, from);
}

Base::Epoch OwnershipServiceImpl::highestKnownEpoch(Base::ShardIndex shard) const
{
    return isKnownShard(shard) ? m_ownership->highestKnownEpoch(shard) : Base::Epoch();
}

void OwnershipServiceImpl::ownershipRefused(Base::ShardIndex shard, Base::Epoch knownEpoch)
{
    if (isKnownShard(shard))
        m_ownership->ownershipRefused(shard, knownEpoch);
}

void OwnershipServiceImpl::addReplica(Base::ShardIndex shard, const Base::DaemonId &daemon,
                                      Base::Incarnation incarnation, Callback callback)
{
    if (!isKnownShard(shard)) {
        callback(makeFailure(FailureCode::NoLease, "no manifest is in force yet"));
        return;
    }
    m_ownership->addReplica(shard, daemon, incarnation, std::move(callback));
}

} // namespace OwnershipService
