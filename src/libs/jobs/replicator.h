// Sends records to the replicas of a shard and waits until all have acknowledged.
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

/// Replication from the owner's side. A callback runs at most once, and never if the shard is lost
/// before all required replicas have acknowledged.
class Replicator
{
public:
    using Callback = std::function<void()>;

    /// Tells how long the knowledge of a shard is still incomplete.
    using IncompleteTime = std::function<Base::Duration(Base::ShardIndex)>;

    Replicator(Base::Timers &timers, Wire::PeerPort &peers, ShardAuthority &authority,
               IncompleteTime incompleteTime);
    ~Replicator();

    /// Calls \a acknowledged, possibly from within this function, when every required replica holds
    /// \a records.
    void replicate(Base::ShardIndex shard, Base::Epoch epoch, std::vector<std::string> records,
                   Callback acknowledged);
    /// Copies \a chunks to a joining replica, then calls \a copied. From now on the joining replica
    /// also receives every new record; \a copied is called at a moment when it holds all records
    /// whose replication has been reported as acknowledged.
    void copyTo(Base::ShardIndex shard, Base::Epoch epoch, const Base::DaemonId &daemon,
                std::vector<std::vector<std::string>> chunks, Callback copied);
    /// Ends the joining phase of \a daemon, whether it has become a replica or not.
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
        bool isCopy = false; // waits for the joining replica, required or not
        Callback callback;
    };

    struct Join
    {
        std::size_t missingChunks = 0;
        Callback copied; // null once called
    };

    void add(Pending pending);
    /// Calls Join::copied when it is due.
    void checkJoin(Base::ShardIndex shard, const Base::DaemonId &daemon);
    /// Forgets daemons that neither must acknowledge nor are joining.
    void dropFormerReplicas(Pending &pending) const;
    bool isSettled(const Pending &pending) const;
    void settle(std::uint64_t sequence);
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
