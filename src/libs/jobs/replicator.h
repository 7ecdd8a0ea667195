// Sends records to the replicas of a shard and waits until all have acknowledged them.
#pragma once

#include "shardauthority.h"

#include <base/timers.h>
#include <wire/peerport.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Jobs {

/// The owner's side of replication. A callback runs at most once, and never if the shard is lost
/// before all required replicas have acknowledged.
class Replicator
{
public:
    using Callback = std::function<void()>;

    /// Returns for how long records of the shard may still be missing.
    using IncompleteTime = std::function<Base::Duration(Base::ShardIndex)>;

    Replicator(Base::Timers &timers, Wire::PeerPort &peers, ShardAuthority &authority,
               IncompleteTime incompleteTime);
    ~Replicator();

    /// Calls \a acknowledged, possibly from within this function, once every required replica holds
    /// \a records.
    void replicate(Base::ShardIndex shard, Base::Epoch epoch, std::vector<std::string> records,
                   Callback acknowledged);
    /// Copies \a chunks to a joining replica, then calls \a copied. From now on the joining replica
    /// also receives every new record. When \a copied is called, the replica holds all records
    /// whose replication has been reported as acknowledged.
    void copyTo(Base::ShardIndex shard, Base::Epoch epoch, const Base::DaemonId &daemon,
                std::vector<std::vector<std::string>> chunks, Callback copied);
    /// Ends the joining phase of \a daemon, whether or not it has become a replica.
    void endJoin(Base::ShardIndex shard, const Base::DaemonId &daemon);
    bool isJoining(Base::ShardIndex shard, const Base::DaemonId &daemon) const;

    void acknowledgementReceived(const Wire::PeerIdentity &from, const Wire::ReplicateAck &ack);
    void requiredReplicasChanged(Base::ShardIndex shard);
    void shardLost(Base::ShardIndex shard);
    std::size_t pendingCount() const { return m_pending.size(); }

private:
    struct Pending
    {
        Wire::Replicate message;
        std::set<Base::DaemonId> unacknowledged;
        bool isCopy = false; // must be acknowledged by the joining replica, required or not
        Callback callback;
    };

    struct Join
    {
        std::size_t missingChunks = 0;
        Callback copied; // null once called
    };

    void send(Pending pending);
    /// Calls Join::copied once the joining replica holds all records that it needs.
    void reportCopyIfComplete(Base::ShardIndex shard, const Base::DaemonId &daemon);
    /// Stops waiting for daemons that are neither required nor joining replicas.
    void dropFormerReplicas(Pending &pending) const;
    /// Whether all daemons that must acknowledge \a pending have done so.
    bool isAcknowledged(const Pending &pending) const;
    void completeIfAcknowledged(std::uint64_t sequence);
    void resend();
    void armResend();

    Base::Timers &m_timers;
    Wire::PeerPort &m_peers;
    ShardAuthority &m_authority;
    IncompleteTime m_incompleteTime;
    std::uint64_t m_lastSequence = 0;
    std::map<std::uint64_t, Pending> m_pending; // by sequence
    std::map<Base::ShardIndex, std::map<Base::DaemonId, Join>> m_joining;
    Base::TimerId m_resendTimer; // 0 when not armed
};

} // namespace Jobs
