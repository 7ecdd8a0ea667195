// Ownership of the shards of this daemon's failure domain, as a service.
#pragma once

#include <jobs/shardauthority.h>
#include <kernel/service.h>
#include <manifestservice/manifestservice.h>
#include <ownership/shardownership.h>
#include <settings/runtime.h>
#include <storage/table.h>

#include <memory>

namespace OwnershipService {

/// Creates and starts ShardOwnership when the first manifest arrives, which states the number of
/// shards, and implements the jobs library's ShardAuthority with it.
class OwnershipServiceImpl : public Kernel::Service, public Jobs::ShardAuthority
{
public:
    explicit OwnershipServiceImpl(const Settings::Runtime &runtime);
    ~OwnershipServiceImpl() override;

    absl::Status start(const Kernel::ServiceRegistry &registry) override;
    void stop() override;

    /// Must be set before the first manifest arrives.
    void setObserver(Ownership::OwnershipObserver *observer) { m_observer = observer; }
    /// Null until the first manifest has arrived.
    Ownership::ShardOwnership *ownership() const { return m_ownership.get(); }
    std::size_t shardCount() const { return m_shardCount; }
    std::vector<Wire::OwnedShard> ownedShards() const;

    std::optional<Base::Epoch> leasedEpoch(Base::ShardIndex shard) const override;
    std::vector<Base::DaemonId> requiredReplicas(Base::ShardIndex shard) const override;
    bool acceptsReplication(Base::ShardIndex shard, Base::Epoch epoch,
                            const Wire::PeerIdentity &from) override;
    Base::Epoch highestKnownEpoch(Base::ShardIndex shard) const override;
    void ownershipRefused(Base::ShardIndex shard, Base::Epoch knownEpoch) override;
    void addReplica(Base::ShardIndex shard, const Base::DaemonId &daemon,
                    Base::Incarnation incarnation, Callback callback) override;

private:
    void createOwnership(const Manifest::Manifest &manifest);
    bool isKnownShard(Base::ShardIndex shard) const;

    const Settings::Runtime m_runtime;
    Storage::Table *m_table = nullptr;
    Wire::PeerPort *m_port = nullptr;
    std::function<void(Wire::PeerListener *)> m_addListener;
    Ownership::OwnershipObserver *m_observer = nullptr;
    std::unique_ptr<Ownership::ShardOwnership> m_ownership;
    std::size_t m_shardCount = 0; // never changes once set
};

} // namespace OwnershipService
