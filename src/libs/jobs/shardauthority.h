// Interface to shard ownership, as required by the jobs library.
#pragma once

#include <absl/status/status.h>
#include <base/ids.h>
#include <wire/peerport.h>

#include <functional>
#include <optional>
#include <vector>

namespace Jobs {

/// Ownership of the shards of this daemon's failure domain.
class ShardAuthority
{
public:
    using Callback = std::function<void(const absl::Status &)>;

    virtual ~ShardAuthority() = default;

    /// The epoch under which this daemon owns \a shard; none unless its lease is valid now.
    virtual std::optional<Base::Epoch> leasedEpoch(Base::ShardIndex shard) const = 0;
    /// Daemons that must acknowledge a record of the shard.
    virtual std::vector<Base::DaemonId> requiredReplicas(Base::ShardIndex shard) const = 0;

    /// Whether this daemon may accept records of \a shard from \a from under \a epoch.
    virtual bool acceptsReplication(Base::ShardIndex shard, Base::Epoch epoch,
                                    const Wire::PeerIdentity &from) = 0;
    virtual Base::Epoch highestKnownEpoch(Base::ShardIndex shard) const = 0;
    /// A peer or worker refused a message because it knows \a knownEpoch, which is newer than ours:
    /// the shard is given up immediately.
    virtual void ownershipRefused(Base::ShardIndex shard, Base::Epoch knownEpoch) = 0;
    /// Lists \a daemon, which now holds a copy of all records, as a replica.
    virtual void addReplica(Base::ShardIndex shard, const Base::DaemonId &daemon,
                            Base::Incarnation incarnation, Callback callback) = 0;
};

} // namespace Jobs
