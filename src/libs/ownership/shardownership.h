// Ownership of the shards of one failure domain: which daemon may serve a shard or take it over.
#pragma once

#include "ownershipobserver.h"

#include <absl/status/status.h>
#include <base/ids.h>
#include <base/timers.h>
#include <storage/table.h>
#include <wire/peerport.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Ownership {

/// The daemon that owns a shard as far as this daemon knows.
struct KnownOwner
{
    Base::DaemonId daemon;
    Base::Epoch epoch;
};

/// Identity of this daemon, and its failure domain.
struct OwnershipSettings
{
    Base::DaemonId self;
    /// Must be higher than that of every earlier run of this daemon id.
    Base::Incarnation incarnation;
    Base::FailureDomainId domain;
    std::size_t shardCount = 0;
    std::vector<Base::DaemonId> peers; // the other daemons of the failure domain
};

/// One per daemon, for all shards of its failure domain. Receives LeaseRequest, LeasePromise,
/// HandOver and Heartbeat. All calls happen on the loop; the injected objects must outlive this
/// one.
class ShardOwnership : public Wire::PeerListener
{
public:
    /// Called with OK or a typed failure, possibly from within the call that it was given to.
    using Callback = std::function<void(const absl::Status &)>;

    ShardOwnership(OwnershipSettings settings, Base::Timers &timers, Storage::Table &table,
                   Wire::PeerPort &port, OwnershipObserver &observer);
    ~ShardOwnership() override;

    /// Can be called only once: a stopped object must not be started again, as its promises would
    /// be forgotten.
    void start();
    /// Gives up all leases and answers no more lease requests. Rows are left as they are.
    void stop();

    /// Whether the lease of \a shard is held at the time of the call. Check this after every wait
    /// and immediately before an action that needs the lease.
    bool holdsLease(Base::ShardIndex shard) const;
    /// The epoch of the lease, if it is held.
    std::optional<Base::Epoch> leasedEpoch(Base::ShardIndex shard) const;
    /// False if records of earlier owners were lost when this daemon became the owner, or if it is
    /// not the owner.
    bool hasAllRecords(Base::ShardIndex shard) const;
    /// Shards whose lease is held, for the heartbeat.
    std::vector<Wire::OwnedShard> ownedShards() const;
    /// The other daemons whose acknowledgement a record of \a shard needs now. A daemon counts from
    /// before the write that adds it is sent until the write that removes it is confirmed.
    std::vector<Base::DaemonId> requiredReplicas(Base::ShardIndex shard) const;
    std::optional<KnownOwner> knownOwner(Base::ShardIndex shard) const;

    /// Replica: whether records that \a from sends under \a epoch may be stored and acknowledged.
    bool acceptsReplication(Base::ShardIndex shard, Base::Epoch epoch,
                            const Wire::PeerIdentity &from);
    /// The highest epoch that may be in force; an owner of an older one must be refused.
    Base::Epoch highestKnownEpoch(Base::ShardIndex shard) const;

    /// A replica refused a record because it knows the epoch \a known. Gives up the lease at once.
    void ownershipRefused(Base::ShardIndex shard, Base::Epoch known);
    /// Adds \a daemon, which has acknowledged a copy of all records, to the in-sync replicas. It is
    /// among requiredReplicas() from this call on, so records in progress must be sent to it too.
    /// Errors: noLease, overloaded (try again), peerUnreachable, platformUnavailable,
    /// versionMismatch.
    void addReplica(Base::ShardIndex shard, const Base::DaemonId &daemon,
                    Base::Incarnation incarnation, Callback callback);
    /// Makes the in-sync replica \a to the owner. The lease is given up before the write is sent
    /// and comes back if the write certainly failed. Errors: noLease, badRequest, overloaded (try
    /// again), platformUnavailable, versionMismatch.
    void handOver(Base::ShardIndex shard, const Base::DaemonId &to, Callback callback);
    /// Makes this daemon the sole replica without the earlier records. Only for an operator who has
    /// confirmed that the hosts of all listed replicas are down.
    /// Errors: overloaded, badRequest (the owner is alive), platformUnavailable, versionMismatch.
    void recoverShard(Base::ShardIndex shard, Callback callback);

    void peerMessageReceived(const Wire::PeerIdentity &from, const Wire::Message &message) override;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace Ownership
