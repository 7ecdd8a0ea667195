// What the owner of a shard, a candidate for it, or the creator of its row does next.
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
    updateService();
    const Base::TimePoint now = m_context.timers.now();
    if (m_join && now >= m_join->deadline)
        finishJoin(makeFailure(FailureCode::PeerUnreachable, "no promise or no read in time"));
    if (m_writer.isPending() && !m_writer.needsRead()) {
        m_writer.repeatIfDue();
        return;
    }
    if (m_reading || now < m_nextTableAccess)
        return;
    // Spreads the regular reads of all daemons over time.
    const Base::Duration poll = Constants::ROW_POLL_MS
                                + std::chrono::milliseconds(rendezvousWeight(m_context.self, m_key)
                                                            % (Constants::ROW_POLL_MS.count() / 4));
    if (m_readWanted || m_writer.needsRead() || now - m_confirmedAt >= poll)
        read();
    else if (m_recover)
        stepRecover();
    else if (!m_row)
        stepMissing();
    else if (isOwner())
        stepOwner();
    else
        stepCandidate();
}

void Shard::stepMissing()
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

void Shard::stepOwner()
{
    if (m_refused || m_highestEpoch > m_row->epoch) {
        // The row still names this daemon, so the other claim came to nothing. Replicas may have
        // refused records meanwhile, so they join again.
        const bool incomplete = !hasCompleteKnowledge();
        const Base::Epoch epoch = nextEpoch();
        if (incomplete)
            m_incompleteEpoch = epoch;
        m_refused = true;
        write(WriteKind::Renew, {epoch, m_context.self, {m_context.selfReplica()}});
        return;
    }
    if (stepRemoval())
        return;
    if (!m_serving) {
        const std::vector<Storage::Replica> required = requiredReplicas();
        const bool promised = std::ranges::all_of(required, [this](const Storage::Replica &it) {
            return m_context.ledger.isValid(it, m_context.timers.now());
        });
        // A replica may have taken over between two promises: only a read after the promises shows
        // that it has not.
        if (promised)
            read();
        return;
    }
    if (!stepJoin())
        announceJoins();
}

bool Shard::stepRemoval()
{
    const Base::TimePoint now = m_context.timers.now();
    Storage::ShardRow target = *m_row;
    std::erase_if(target.replicas, [&](const Storage::Replica &it) {
        if (it.daemon == m_context.self)
            return false;
        const auto sighting = m_context.sightings.find(it.daemon);
        if (sighting != m_context.sightings.end()
            && sighting->second.incarnation > it.incarnation) {
            return true; // It has restarted and lost its records.
        }
        const Base::TimePoint heardAt =
            m_context.ledger.lastPromise(it).value_or(Base::TimePoint::min());
        return now - std::max({heardAt, m_epochSeenAt, m_context.resumedAt})
               >= Constants::REPLICA_SILENCE_MS;
    });
    if (target.replicas.size() == m_row->replicas.size())
        return false;
    write(WriteKind::RemoveReplicas, std::move(target));
    return true;
}

bool Shard::stepJoin()
{
    if (!m_join)
        return false;
    const Base::TimePoint now = m_context.timers.now();
    if (!m_context.ledger.isValid(m_join->replica, now))
        return true;
    if (!m_context.ledger.isUnbrokenSince(m_join->replica, m_rowStamp, now)) {
        read();
        return true;
    }
    Storage::ShardRow target = *m_row;
    std::erase_if(target.replicas, [this](const Storage::Replica &it) {
        return it.daemon == m_join->replica.daemon;
    });
    if (target.replicas.size() >= Constants::MAX_REPLICAS) {
        finishJoin(makeFailure(FailureCode::Overloaded, "no room for another replica"));
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

void Shard::announceJoins()
{
    const Base::TimePoint now = m_context.timers.now();
    std::vector<Base::DaemonId> wanted;
    for (const Base::DaemonId &it : m_context.peers) {
        const PeerSighting *sighting = m_context.freshSighting(it);
        const Storage::Replica *listed = m_row->findReplica(it);
        if (sighting && !sighting->draining
            && !(listed && listed->incarnation == sighting->incarnation)) {
            wanted.push_back(it);
        }
    }
    // The longest unannounced first, so that one that fails to join does not block the others.
    std::ranges::sort(wanted, {}, [this](const Base::DaemonId &it) {
        return std::pair(m_joinAnnouncedAt[it], rendezvousWeight(it, m_key));
    });
    const std::size_t room =
        Constants::MAX_REPLICAS - std::min(Constants::MAX_REPLICAS, m_row->replicas.size());
    wanted.resize(std::min(room, wanted.size()));
    std::erase_if(wanted, [&](const Base::DaemonId &it) {
        return now - m_joinAnnouncedAt[it] < Constants::JOIN_REPEAT_MS;
    });
    for (const Base::DaemonId &it : wanted) {
        m_joinAnnouncedAt[it] = now;
        m_context.observer.replicaJoinWanted(m_index, it, m_context.sightings[it].incarnation);
    }
}

void Shard::stepCandidate()
{
    const Base::TimePoint now = m_context.timers.now();
    const Storage::Replica *owner = m_row->findReplica(m_row->owner);
    EP_ASSERT(owner, return );
    if (m_context.promises.isBound(*owner, now))
        return;
    const std::optional<Base::TimePoint> promisedAt = m_context.promises.lastPromise(*owner);
    const auto self = std::ranges::find(m_row->replicas, m_context.self, &Storage::Replica::daemon);
    const Base::Duration readAge = now - m_confirmedAt;
    if (self == m_row->replicas.end()) {
        // A daemon that has promised to the owner may have been added without its knowledge.
        if ((promisedAt && readAge >= Constants::CANDIDATE_READ_MS)
            || (!m_context.freshSighting(owner->daemon)
                && readAge >= Constants::SILENT_OWNER_READ_MS)) {
            read();
        }
        return;
    }
    const bool inSync = self->incarnation == m_context.incarnation;
    const auto rank = self - m_row->replicas.begin();
    const Base::Duration wait =
        inSync ? Constants::PROMISE_MS : Constants::RESTARTED_REPLICA_WAIT_MS;
    // A promise given before a restart is forgotten, so the wait counts from the start, too.
    Base::TimePoint waitStart = std::max(m_context.startedAt, m_epochSeenAt);
    if (!inSync)
        waitStart = std::max(waitStart, m_readableSince);
    if (promisedAt)
        waitStart = std::max(waitStart, *promisedAt);
    // After a pause, lease requests that arrived meanwhile are still to be processed.
    const bool due = now >= m_context.resumedAt + Constants::REPLICA_SILENCE_MS
                     && now - waitStart >= wait + rank * Constants::TAKEOVER_STAGGER_MS;
    if (!isRowFresh()) {
        if (due || (!inSync && readAge >= Constants::CANDIDATE_READ_MS))
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

void Shard::stepRecover()
{
    const Callback callback = std::exchange(m_recover, nullptr);
    const Storage::Replica *owner = m_row ? m_row->findReplica(m_row->owner) : nullptr;
    if (m_serving || (owner && m_context.promises.isBound(*owner, m_context.timers.now()))) {
        callback(makeFailure(FailureCode::BadRequest, "the owner of the shard is alive"));
        return;
    }
    const Base::Epoch epoch = nextEpoch();
    m_incompleteEpoch = epoch;
    write(WriteKind::Recover, {epoch, m_context.self, {m_context.selfReplica()}}, callback);
}

} // namespace Ownership::Internal
