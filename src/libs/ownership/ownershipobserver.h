// Interface to be notified of changes of shard ownership.
#pragma once

#include <base/ids.h>

namespace Ownership {

/// Called on the loop. Implementations may call back into ShardOwnership.
class OwnershipObserver
{
public:
    virtual ~OwnershipObserver() = default;

    /// The lease of \a shard is held from now on. \a completeKnowledge is false if records of
    /// earlier owners were lost in this step; true means that this daemon holds all records that
    /// the previous owner held. Whether the previous owner itself knew everything is part of the
    /// replicated records.
    virtual void shardAcquired(Base::ShardIndex shard, Base::Epoch epoch,
                               bool completeKnowledge) = 0;
    /// The lease has lapsed or was given up. The daemon may acquire the shard again later, under
    /// the same epoch if nobody else owned it meanwhile.
    virtual void shardLost(Base::ShardIndex shard) = 0;
    virtual void requiredReplicasChanged(Base::ShardIndex shard) = 0;
    /// \a daemon should be sent a copy of the records; ShardOwnership::addReplica() follows.
    /// Repeated until the replica is listed.
    virtual void replicaJoinWanted(Base::ShardIndex shard, const Base::DaemonId &daemon,
                                   Base::Incarnation incarnation) = 0;
};

} // namespace Ownership
