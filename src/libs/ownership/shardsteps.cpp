// Steps of the owner of a shard, of a candidate, and of a daemon that finds no row.
#include "shard.h"

#include "ownershipconstants.h"

#include <algorithm>
#include <base/failure.h>
#include <base/hash.h>
#include <base/log.h>
#include <base/softassert.h>
#include <utility>

namespace Ownership::Internal {

using Base::FailureCode;
using Base::makeFailure;

static std::uint64_t rendezvousWeight(const Base::DaemonId &daemon, const std::string &key)
{
    return Base::stableHash(daemon.value() + '\0' + key);
}

void Shard::step()
{
    if (m_stopped)
        return;
    updateServing();
    const Base::TimePoint now = m_context.timers.now();
    if (m_join && now >= m_join->deadline)
        finishJoin(makeFailure(FailureCode::PeerUnreachable,
                               "no lease promise or no row read before the join timed out"));
    if (m_writer.isPending() && !m_writer.needsRead()) {
        m_writer.retryIfDue();
        return;
    }
    if (m_reading || now < m_nextTableAccess)
        return;
    // Spreads the regular reads of all daemons over time.
    const Base::Duration poll =
        Constants::ROW_POLL_INTERVAL_MS
        + std::chrono::milliseconds(rendezvousWeight(m_context.self, m_key)
                                    % (Constants::ROW_POLL_INTERVAL_MS.count() / 4));
    if (m_readWanted || m_writer.needsRead() || now - m_confirmedAt >= poll)
        read();
    else if (m_recover)
        startRecovery();
    else if (!m_row)
        createRowIfDue();
    else if (isOwner())
        stepAsOwner();
    else
        takeOverIfDue();
}

void Shard::createRowIfDue()
{
    const std::uint64_t weight = rendezvousWeight(m_context.self, m_key);
    const auto rank = std::ranges::count_if(m_context.peers, [&](const Base::DaemonId &it) {
        return rendezvousWeight(it, m_key) > weight;
    });
    if (m_context.timers.now() - m_epochSeenAt < rank * Constants::CREATE_STAGGER_MS)
        return;
    if (!isRowFresh()) {
        read();
        return;
    }
    write(WriteKind::Create, {Base::Epoch(1), m_context.self, {m_context.selfReplica()}});
}

void Shard::stepAsOwner()
{
    if (m_needsNewEpoch || m_highestEpoch > m_row->epoch) {
        // The row still names this daemon, so the claim of the other daemon failed. Replicas may
        // have refused records meanwhile, so they join again.
        const bool incomplete = !hasAllRecords();
        const Base::Epoch epoch = nextEpoch();
        if (incomplete)
            m_incompleteEpoch = epoch;
        m_needsNewEpoch = true;
        write(WriteKind::Renew, {epoch, m_context.self, {m_context.selfReplica()}});
        return;
    }
    if (removeReplicasIfDue())
        return;
    if (!m_serving) {
        const std::vector<Storage::Replica> required = requiredReplicas();
        const bool promised = std::ranges::all_of(required, [this](const Storage::Replica &it) {
            return m_context.leaseTracker.isValid(it, m_context.timers.now());
        });
        // A replica may have taken over between two promises. Only a read after the promises shows
        // that it has not.
        if (promised)
            read();
        return;
    }
    if (!continueJoin())
        requestJoins();
}

bool Shard::removeReplicasIfDue()
{
    const Base::TimePoint now = m_context.timers.now();
    Storage::ShardRow target = *m_row;
    std::erase_if(target.replicas, [&](const Storage::Replica &it) {
        if (it.daemon == m_context.self)
            return false;
        const auto heartbeat = m_context.heartbeats.find(it.daemon);
        if (heartbeat != m_context.heartbeats.end()
            && heartbeat->second.incarnation > it.incarnation) {
            return true; // The replica has restarted and lost its records.
        }
        const Base::TimePoint heardAt =
            m_context.leaseTracker.lastPromise(it).value_or(Base::TimePoint::min());
        return now - std::max({heardAt, m_epochSeenAt, m_context.resumedAt})
               >= Constants::REPLICA_TIMEOUT_MS;
    });
    if (target.replicas.size() == m_row->replicas.size())
        return false;
    write(WriteKind::RemoveReplicas, std::move(target));
    return true;
}

bool Shard::continueJoin()
{
    if (!m_join)
        return false;
    const Base::TimePoint now = m_context.timers.now();
    if (!m_context.leaseTracker.isValid(m_join->replica, now))
        return true;
    if (!m_context.leaseTracker.isUnbrokenSince(m_join->replica, m_rowLogicalTime, now)) {
        read();
        return true;
    }
    Storage::ShardRow target = *m_row;
    std::erase_if(target.replicas, [this](const Storage::Replica &it) {
        return it.daemon == m_join->replica.daemon;
    });
    if (target.replicas.size() >= Constants::MAX_REPLICAS) {
        finishJoin(makeFailure(FailureCode::Overloaded, "the shard has the maximum of replicas"));
        return true;
    }
    target.replicas.push_back(m_join->replica);
    Callback callback = std::move(m_join->callback);
    m_join.reset();
    write(WriteKind::AddReplica, std::move(target), std::move(callback));
    return true;
}

void Shard::finishJoin(const absl::Status &status)
{
    if (!m_join)
        return;
    const Callback callback = std::move(m_join->callback);
    m_join.reset();
    callback(status);
}

void Shard::requestJoins()
{
    const Base::TimePoint now = m_context.timers.now();
    std::vector<Base::DaemonId> wanted;
    for (const Base::DaemonId &it : m_context.peers) {
        const PeerHeartbeat *heartbeat = m_context.freshHeartbeat(it);
        const Storage::Replica *listed = m_row->findReplica(it);
        if (heartbeat && !heartbeat->draining
            && !(listed && listed->incarnation == heartbeat->incarnation)) {
            wanted.push_back(it);
        }
    }
    // Least recently requested first, so that a daemon that fails to join does not block others.
    std::ranges::sort(wanted, {}, [this](const Base::DaemonId &it) {
        return std::pair(m_joinRequestedAt[it], rendezvousWeight(it, m_key));
    });
    const std::size_t room =
        Constants::MAX_REPLICAS - std::min(Constants::MAX_REPLICAS, m_row->replicas.size());
    wanted.resize(std::min(room, wanted.size()));
    std::erase_if(wanted, [&](const Base::DaemonId &it) {
        return now - m_joinRequestedAt[it] < Constants::JOIN_RETRY_INTERVAL_MS;
    });
    for (const Base::DaemonId &it : wanted) {
        m_joinRequestedAt[it] = now;
        m_context.observer.replicaJoinWanted(m_index, it, m_context.heartbeats[it].incarnation);
    }
}

void Shard::takeOverIfDue()
{
    const Base::TimePoint now = m_context.timers.now();
    const Storage::Replica *owner = m_row->findReplica(m_row->owner);
    EP_ASSERT(owner, return );
    if (m_context.promiseTracker.isBoundTo(*owner, now))
        return;
    const std::optional<Base::TimePoint> promisedAt = m_context.promiseTracker.lastPromise(*owner);
    const auto self = std::ranges::find(m_row->replicas, m_context.self, &Storage::Replica::daemon);
    const Base::Duration readAge = now - m_confirmedAt;
    if (self == m_row->replicas.end()) {
        // A daemon that has given the owner a promise may have been added as a replica without
        // having learnt of it.
        if ((promisedAt && readAge >= Constants::CANDIDATE_READ_INTERVAL_MS)
            || (!m_context.freshHeartbeat(owner->daemon)
                && readAge >= Constants::SILENT_OWNER_READ_INTERVAL_MS)) {
            read();
        }
        return;
    }
    const bool inSync = self->incarnation == m_context.incarnation;
    const auto rank = self - m_row->replicas.begin();
    const Base::Duration wait =
        inSync ? Constants::PROMISE_MS : Constants::RESTARTED_REPLICA_WAIT_MS;
    // Promises given before a restart are not known any more, so the wait begins at the start of
    // this run at the earliest.
    Base::TimePoint waitStart = std::max(m_context.startedAt, m_epochSeenAt);
    if (!inSync)
        waitStart = std::max(waitStart, m_readableSince);
    if (promisedAt)
        waitStart = std::max(waitStart, *promisedAt);
    // After a pause, lease requests that arrived meanwhile are processed first.
    const bool due = now >= m_context.resumedAt + Constants::REPLICA_TIMEOUT_MS
                     && now - waitStart >= wait + rank * Constants::TAKEOVER_STAGGER_MS;
    if (!isRowFresh()) {
        if (due || (!inSync && readAge >= Constants::CANDIDATE_READ_INTERVAL_MS))
            read();
        return;
    }
    if (!due)
        return;
    const Base::Epoch epoch = nextEpoch();
    if (!inSync)
        m_incompleteEpoch = epoch;
    write(WriteKind::TakeOver, {epoch, m_context.self, {m_context.selfReplica()}});
}

void Shard::startRecovery()
{
    const Callback callback = std::exchange(m_recover, nullptr);
    const Storage::Replica *owner = m_row ? m_row->findReplica(m_row->owner) : nullptr;
    if (m_serving
        || (owner && m_context.promiseTracker.isBoundTo(*owner, m_context.timers.now()))) {
        callback(makeFailure(FailureCode::BadRequest,
                             "the owner of the shard may still hold the lease"));
        return;
    }
    const Base::Epoch epoch = nextEpoch();
    m_incompleteEpoch = epoch;
    write(WriteKind::Recover, {epoch, m_context.self, {m_context.selfReplica()}}, callback);
}

} // namespace Ownership::Internal
