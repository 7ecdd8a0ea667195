// Dispatches timer events, messages and calls to the shards.
#include "shardownership.h"

#include "context.h"
#include "ownershipconstants.h"
#include "shard.h"

#include <algorithm>
#include <base/failure.h>
#include <base/log.h>
#include <base/softassert.h>
#include <map>
#include <set>
#include <utility>
#include <variant>

namespace Ownership {

using Internal::Context;
using Internal::Shard;

struct ShardOwnership::Private
{
    Private(OwnershipSettings settings, Base::Timers &timers, Storage::Table &table,
            Wire::PeerPort &port, OwnershipObserver &observer);

    Shard *findShard(Base::ShardIndex shard);
    void tick();
    void sendLeaseRequests();
    void stepAll();
    /// Sends lease requests if the tick or an event has asked for them.
    void sendLeaseRequestsIfWanted();
    void receive(const Wire::PeerIdentity &from, const Wire::LeaseRequest &message);
    void receive(const Wire::PeerIdentity &from, const Wire::LeasePromise &message);
    void receive(const Wire::PeerIdentity &from, const Wire::HandOver &message);
    void receive(const Wire::PeerIdentity &from, const Wire::Heartbeat &message);

    Context context;
    std::map<Base::ShardIndex, Shard> shards;
    bool running = false;
    bool started = false;
    Base::TimerId tickTimer;
    Base::TimePoint lastTick;
    Base::TimePoint nextLeaseRound;
};

ShardOwnership::Private::Private(OwnershipSettings settings, Base::Timers &timers,
                                 Storage::Table &table, Wire::PeerPort &port,
                                 OwnershipObserver &observer)
    : context{settings.self,
              settings.incarnation,
              settings.domain,
              std::move(settings.peers),
              timers,
              table,
              port,
              observer}
{
    for (std::size_t i = 0; i < settings.shardCount; ++i)
        shards.try_emplace(Base::ShardIndex(i), context, Base::ShardIndex(i));
}

Shard *ShardOwnership::Private::findShard(Base::ShardIndex shard)
{
    const auto it = shards.find(shard);
    return it == shards.end() ? nullptr : &it->second;
}

void ShardOwnership::Private::tick()
{
    const Base::TimePoint now = context.timers.now();
    if (now - lastTick >= Constants::PAUSE_THRESHOLD_MS) {
        Base::log(Base::LogLevel::Warning, "processPaused", {{"duration", now - lastTick}});
        context.resumedAt = now;
    }
    lastTick = now;
    tickTimer = context.timers.schedule(Constants::STEP_INTERVAL_MS, [this] { tick(); });
    if (now >= nextLeaseRound)
        context.leaseRoundWanted = true;
    stepAll();
    sendLeaseRequestsIfWanted();
}

void ShardOwnership::Private::stepAll()
{
    for (auto &[index, shard] : shards)
        shard.step();
}

void ShardOwnership::Private::sendLeaseRequestsIfWanted()
{
    if (running && context.leaseRoundWanted)
        sendLeaseRequests();
}

void ShardOwnership::Private::sendLeaseRequests()
{
    context.leaseRoundWanted = false;
    const Base::TimePoint now = context.timers.now();
    nextLeaseRound = now + Constants::LEASE_REQUEST_INTERVAL_MS;
    std::set<Base::DaemonId> targets;
    for (const auto &[index, shard] : shards) {
        for (const Base::DaemonId &it : shard.leaseRequestTargets())
            targets.insert(it);
    }
    if (targets.empty())
        return;
    const std::uint64_t sequence = context.leaseTracker.beginRound(now);
    for (const Base::DaemonId &it : targets)
        context.port.send(it, Wire::LeaseRequest{sequence});
}

void ShardOwnership::Private::receive(const Wire::PeerIdentity &from,
                                      const Wire::LeaseRequest &message)
{
    // A takeover write with an unknown result may still take effect. This daemon would then own a
    // shard that it has promised not to take over.
    const bool takingOver = std::ranges::any_of(
        shards, [&](const auto &it) { return it.second.hasPendingTakeoverFrom(from.daemon); });
    if (takingOver)
        return;
    context.promiseTracker.record({from.daemon, from.incarnation}, context.timers.now());
    context.port.send(from.daemon, Wire::LeasePromise{message.sequence, context.takeovers});
}

void ShardOwnership::Private::receive(const Wire::PeerIdentity &from,
                                      const Wire::LeasePromise &message)
{
    // Detects a lapse before the promise can hide it.
    stepAll();
    context.leaseTracker.promiseReceived({from.daemon, from.incarnation}, message,
                                         context.timers.now());
    stepAll();
}

void ShardOwnership::Private::receive(const Wire::PeerIdentity &, const Wire::HandOver &message)
{
    if (Shard *shard = findShard(Base::ShardIndex(message.shard)))
        shard->handOverReceived();
}

void ShardOwnership::Private::receive(const Wire::PeerIdentity &from,
                                      const Wire::Heartbeat &message)
{
    Internal::PeerHeartbeat &heartbeat = context.heartbeats[from.daemon];
    if (from.incarnation < heartbeat.incarnation)
        return; // A delayed message of an earlier incarnation.
    heartbeat = {from.incarnation, context.timers.now(), message.draining};
    for (const Wire::OwnedShard &it : message.owned) {
        if (Shard *shard = findShard(Base::ShardIndex(it.shard)))
            shard->ownerSeen(Base::Epoch(it.epoch), from.daemon);
    }
}

ShardOwnership::ShardOwnership(OwnershipSettings settings, Base::Timers &timers,
                               Storage::Table &table, Wire::PeerPort &port,
                               OwnershipObserver &observer)
    : m_d(std::make_unique<Private>(std::move(settings), timers, table, port, observer))
{}

ShardOwnership::~ShardOwnership()
{
    m_d->context.timers.cancel(m_d->tickTimer);
}

void ShardOwnership::start()
{
    EP_ASSERT(!m_d->started, return );
    m_d->started = true;
    m_d->running = true;
    m_d->context.startedAt = m_d->context.timers.now();
    m_d->lastTick = m_d->context.startedAt;
    m_d->tick();
}

void ShardOwnership::stop()
{
    if (!m_d->running)
        return;
    m_d->running = false;
    m_d->context.timers.cancel(m_d->tickTimer);
    for (auto &[index, shard] : m_d->shards)
        shard.stop();
}

bool ShardOwnership::holdsLease(Base::ShardIndex shard) const
{
    return leasedEpoch(shard).has_value();
}

std::optional<Base::Epoch> ShardOwnership::leasedEpoch(Base::ShardIndex shard) const
{
    const Shard *it = m_d->findShard(shard);
    return it ? it->leasedEpoch() : std::nullopt;
}

bool ShardOwnership::hasAllRecords(Base::ShardIndex shard) const
{
    const Shard *it = m_d->findShard(shard);
    return it && it->hasAllRecords();
}

std::vector<Wire::OwnedShard> ShardOwnership::ownedShards() const
{
    std::vector<Wire::OwnedShard> result;
    for (const auto &[index, shard] : m_d->shards) {
        if (const auto epoch = shard.leasedEpoch())
            result.push_back({index.value(), epoch->value()});
    }
    return result;
}

std::vector<Base::DaemonId> ShardOwnership::requiredReplicas(Base::ShardIndex shard) const
{
    std::set<Base::DaemonId> daemons; // Two incarnations of one daemon may both be required.
    if (const Shard *it = m_d->findShard(shard)) {
        for (const Storage::Replica &replica : it->requiredAcknowledgements())
            daemons.insert(replica.daemon);
    }
    return {daemons.begin(), daemons.end()};
}

std::optional<KnownOwner> ShardOwnership::knownOwner(Base::ShardIndex shard) const
{
    const Shard *it = m_d->findShard(shard);
    if (!it || it->highestKnownOwner().isEmpty())
        return {};
    return KnownOwner{it->highestKnownOwner(), it->highestOwnerEpoch()};
}

bool ShardOwnership::acceptsReplication(Base::ShardIndex shard, Base::Epoch epoch,
                                        const Wire::PeerIdentity &from)
{
    Shard *it = m_d->findShard(shard);
    return m_d->running && it && from.domain == m_d->context.domain
           && it->acceptsReplication(epoch, from);
}

Base::Epoch ShardOwnership::highestKnownEpoch(Base::ShardIndex shard) const
{
    const Shard *it = m_d->findShard(shard);
    return it ? it->highestKnownEpoch() : Base::Epoch();
}

void ShardOwnership::ownershipRefused(Base::ShardIndex shard, Base::Epoch known)
{
    if (Shard *it = m_d->running ? m_d->findShard(shard) : nullptr)
        it->ownershipRefused(known);
}

static absl::Status notRunning()
{
    return Base::makeFailure(Base::FailureCode::NoLease,
                             "unknown shard, or shard ownership is not running");
}

void ShardOwnership::addReplica(Base::ShardIndex shard, const Base::DaemonId &daemon,
                                Base::Incarnation incarnation, Callback callback)
{
    Shard *it = m_d->running ? m_d->findShard(shard) : nullptr;
    if (!it) {
        callback(notRunning());
        return;
    }
    it->addReplica({daemon, incarnation}, std::move(callback));
    m_d->sendLeaseRequestsIfWanted();
}

void ShardOwnership::handOver(Base::ShardIndex shard, const Base::DaemonId &to, Callback callback)
{
    if (Shard *it = m_d->running ? m_d->findShard(shard) : nullptr)
        it->handOver(to, std::move(callback));
    else
        callback(notRunning());
}

void ShardOwnership::recoverShard(Base::ShardIndex shard, Callback callback)
{
    if (Shard *it = m_d->running ? m_d->findShard(shard) : nullptr)
        it->recover(std::move(callback));
    else
        callback(notRunning());
}

void ShardOwnership::peerMessageReceived(const Wire::PeerIdentity &from,
                                         const Wire::Message &message)
{
    if (!m_d->running || from.domain != m_d->context.domain || from.daemon == m_d->context.self)
        return;
    std::visit(
        [&](const auto &it) {
            if constexpr (requires { m_d->receive(from, it); })
                m_d->receive(from, it);
        },
        message);
    m_d->sendLeaseRequestsIfWanted();
}

} // namespace Ownership
