// State shared by all shards of a daemon.
#pragma once

#include "leasetracker.h"
#include "ownershipobserver.h"
#include "promisetracker.h"

#include <base/timers.h>
#include <storage/table.h>
#include <wire/peerport.h>

#include <map>
#include <vector>

namespace Ownership::Internal {

/// The last heartbeat received from a daemon.
struct PeerHeartbeat
{
    Base::Incarnation incarnation;
    Base::TimePoint receivedAt;
    bool draining = false;
};

struct Context
{
    const Base::DaemonId self;
    const Base::Incarnation incarnation;
    const Base::FailureDomainId domain;
    const std::vector<Base::DaemonId> peers; // the other daemons of the domain
    Base::Timers &timers;
    Storage::Table &table;
    Wire::PeerPort &port;
    OwnershipObserver &observer;

    LeaseTracker leaseTracker{incarnation};
    PromiseTracker promiseTracker{};
    std::map<Base::DaemonId, PeerHeartbeat> heartbeats{};
    Base::TimePoint startedAt{};
    Base::TimePoint resumedAt{}; // when the last pause of the process was detected
    /// Lease requests are to be sent before the next regular round.
    bool leaseRoundWanted = false;
    std::uint64_t takeovers = 0;    // writes sent that take a shard from its owner
    std::uint64_t transactions = 0; // transaction ids issued

    Storage::Replica selfReplica() const { return {self, incarnation}; }
    /// The last heartbeat of \a daemon; null if it is not connected or the heartbeat is too old.
    const PeerHeartbeat *freshHeartbeat(const Base::DaemonId &daemon) const;
};

} // namespace Ownership::Internal
