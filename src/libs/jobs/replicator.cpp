// Record replication with acknowledgements and resends.
#include "replicator.h"

#include "jobsconstants.h"

#include <algorithm>
#include <utility>

namespace Jobs {

Replicator::Replicator(Base::Timers &timers, Wire::PeerPort &peers, ShardAuthority &authority,
                       IncompleteTime incompleteTime)
    : m_timers(timers)
    , m_peers(peers)
    , m_authority(authority)
    , m_incompleteTime(std::move(incompleteTime))
{}

Replicator::~Replicator()
{
    m_timers.cancel(m_resendTimer);
}

void Replicator::replicate(Base::ShardIndex shard, Base::Epoch epoch,
                           std::vector<std::string> records, Callback acknowledged)
{
    Pending pending;
    pending.message.shard = shard.value();
    pending.message.epoch = epoch.value();
    pending.message.records = std::move(records);
    for (const Base::DaemonId &it : m_authority.requiredReplicas(shard))
        pending.unacknowledged.insert(it);
    if (const auto it = m_joining.find(shard); it != m_joining.end()) {
        for (const auto &[daemon, join] : it->second)
            pending.unacknowledged.insert(daemon);
    }
    pending.callback = std::move(acknowledged);
    send(std::move(pending));
}

void Replicator::copyTo(Base::ShardIndex shard, Base::Epoch epoch, const Base::DaemonId &daemon,
                        std::vector<std::vector<std::string>> chunks, Callback copied)
{
    if (chunks.empty())
        chunks.emplace_back();
    const std::size_t n = chunks.size();
    m_joining[shard].insert_or_assign(daemon, Join{n, std::move(copied)});
    for (std::size_t i = 0; i < n; ++i) {
        Pending pending;
        pending.message.shard = shard.value();
        pending.message.epoch = epoch.value();
        pending.message.records = std::move(chunks[i]);
        pending.message.snapshot = true;
        pending.message.snapshotEnd = i + 1 == n;
        pending.unacknowledged.insert(daemon);
        pending.isCopy = true;
        pending.callback = [this, shard, daemon] {
            const auto joining = m_joining.find(shard);
            if (joining == m_joining.end() || !joining->second.contains(daemon))
                return;
            --joining->second.at(daemon).missingChunks;
            reportCopyIfComplete(shard, daemon);
        };
        send(std::move(pending));
    }
}

void Replicator::reportCopyIfComplete(Base::ShardIndex shard, const Base::DaemonId &daemon)
{
    const auto joining = m_joining.find(shard);
    if (joining == m_joining.end())
        return;
    const auto join = joining->second.find(daemon);
    if (join == joining->second.end() || join->second.missingChunks > 0 || !join->second.copied)
        return;
    // Once listed, the replica may take over, so it must hold every record for which tasks may have
    // started. Messages that still have a callback wait for the replica as soon as it is required.
    for (const auto &[sequence, it] : m_pending) {
        if (it.message.shard == shard.value() && !it.callback && it.unacknowledged.contains(daemon))
            return;
    }
    std::exchange(join->second.copied, {})();
}

void Replicator::send(Pending pending)
{
    const std::uint64_t sequence = ++m_lastSequence;
    pending.message.sequence = sequence;
    pending.message.incompleteMs = static_cast<std::uint64_t>(
        Base::toMilliseconds(m_incompleteTime(Base::ShardIndex(pending.message.shard))));
    if (isAcknowledged(pending) && pending.unacknowledged.empty()) {
        pending.callback();
        return;
    }
    for (const Base::DaemonId &it : pending.unacknowledged)
        m_peers.send(it, pending.message);
    m_pending.emplace(sequence, std::move(pending));
    armResend();
    completeIfAcknowledged(sequence);
}

void Replicator::dropFormerReplicas(Pending &pending) const
{
    if (pending.isCopy)
        return;
    const Base::ShardIndex shard(pending.message.shard);
    const auto required = m_authority.requiredReplicas(shard);
    std::erase_if(pending.unacknowledged, [&](const Base::DaemonId &it) {
        return !isJoining(shard, it)
               && std::find(required.begin(), required.end(), it) == required.end();
    });
}

bool Replicator::isAcknowledged(const Pending &pending) const
{
    if (pending.isCopy)
        return pending.unacknowledged.empty();
    const auto required = m_authority.requiredReplicas(Base::ShardIndex(pending.message.shard));
    return std::none_of(required.begin(), required.end(), [&](const Base::DaemonId &it) {
        return pending.unacknowledged.contains(it);
    });
}

void Replicator::completeIfAcknowledged(std::uint64_t sequence)
{
    const auto it = m_pending.find(sequence);
    if (it == m_pending.end())
        return;
    dropFormerReplicas(it->second);
    if (it->second.callback && isAcknowledged(it->second)) {
        const Callback callback = std::exchange(it->second.callback, {});
        // A joining replica still needs the records, so the entry stays until it has acknowledged
        // them.
        if (it->second.unacknowledged.empty())
            m_pending.erase(it);
        callback();
        return;
    }
    if (!it->second.callback && it->second.unacknowledged.empty())
        m_pending.erase(it);
}

void Replicator::acknowledgementReceived(const Wire::PeerIdentity &from,
                                         const Wire::ReplicateAck &ack)
{
    const Base::ShardIndex shard(ack.shard);
    if (!ack.accepted) {
        const auto it = m_pending.find(ack.sequence);
        if (it != m_pending.end() && ack.epoch > it->second.message.epoch)
            m_authority.ownershipRefused(shard, Base::Epoch(ack.epoch));
        return;
    }
    const auto it = m_pending.find(ack.sequence);
    if (it == m_pending.end() || it->second.message.shard != ack.shard)
        return;
    it->second.unacknowledged.erase(from.daemon);
    completeIfAcknowledged(ack.sequence);
    reportCopyIfComplete(shard, from.daemon);
}

static std::vector<std::uint64_t> sequencesOf(const auto &pending, Base::ShardIndex shard)
{
    std::vector<std::uint64_t> sequences;
    for (const auto &[sequence, it] : pending) {
        if (it.message.shard == shard.value())
            sequences.push_back(sequence);
    }
    return sequences;
}

void Replicator::requiredReplicasChanged(Base::ShardIndex shard)
{
    for (const std::uint64_t it : sequencesOf(m_pending, shard))
        completeIfAcknowledged(it);
}

void Replicator::shardLost(Base::ShardIndex shard)
{
    for (const std::uint64_t it : sequencesOf(m_pending, shard))
        m_pending.erase(it);
    m_joining.erase(shard);
}

void Replicator::endJoin(Base::ShardIndex shard, const Base::DaemonId &daemon)
{
    const auto joining = m_joining.find(shard);
    if (joining == m_joining.end())
        return;
    joining->second.erase(daemon);
    if (joining->second.empty())
        m_joining.erase(joining);
    for (const std::uint64_t it : sequencesOf(m_pending, shard)) {
        const Pending &pending = m_pending.at(it);
        if (pending.isCopy && pending.unacknowledged.contains(daemon))
            m_pending.erase(it);
        else
            completeIfAcknowledged(it);
    }
}

bool Replicator::isJoining(Base::ShardIndex shard, const Base::DaemonId &daemon) const
{
    const auto it = m_joining.find(shard);
    return it != m_joining.end() && it->second.contains(daemon);
}

void Replicator::armResend()
{
    if (m_resendTimer.value() != 0)
        return;
    m_resendTimer = m_timers.schedule(Constants::REPLICATION_RESEND_MS, [this] {
        m_resendTimer = {};
        resend();
    });
}

void Replicator::resend()
{
    for (const auto &[sequence, pending] : m_pending) {
        for (const Base::DaemonId &it : pending.unacknowledged)
            m_peers.send(it, pending.message);
    }
    if (!m_pending.empty())
        armResend();
}

} // namespace Jobs
