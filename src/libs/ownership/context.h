// What all shards of a daemon share.
#pragma once

#include "leaseledger.h"
#include "ownershipobserver.h"
#include "promisebook.h"

#include <base/timers.h>
#include <storage/table.h>
#include <wire/peerport.h>

#include <map>
#include <vector>

namespace Ownership::Internal {

/// What the last heartbeat of a daemon said.
struct PeerSighting
{
    Base::Incarnation incarnation;
    Base::TimePoint seenAt;
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

    LeaseLedger ledger{incarnation};
    PromiseBook promises{};
    std::map<Base::DaemonId, PeerSighting> sightings{};
    Base::TimePoint startedAt{};
    Base::TimePoint resumedAt{}; // end of the last pause of the process
    /// Set when a shard needs promises sooner than the next regular round.
    bool leaseRoundWanted = false;
    std::uint64_t takeovers = 0;    // count of writes sent that take a shard from its owner
    std::uint64_t transactions = 0; // count of transaction ids issued

    Storage::Replica selfReplica() const { return {self, incarnation}; }
    /// The sighting of \a daemon if it is connected and its heartbeat is fresh.
    const PeerSighting *freshSighting(const Base::DaemonId &daemon) const;
};

} // namespace Ownership::Internal
