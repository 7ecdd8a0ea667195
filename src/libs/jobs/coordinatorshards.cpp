// Handling of ownership changes: recovery after a takeover, replicas, hand-over.
#include "coordinator.h"

#include "jobsconstants.h"

#include <base/log.h>
#include <base/softassert.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace Jobs {

using Base::FailureCode;
using Base::makeFailure;

std::vector<Base::UpstreamId> Coordinator::domainUpstreams() const
{
    std::vector<Base::UpstreamId> upstreams;
    if (!m_manifest)
        return upstreams;
    for (const auto &[id, upstream] : m_manifest->upstreams) {
        if (upstream.domain == m_context.domain)
            upstreams.push_back(id);
    }
    return upstreams;
}

void Coordinator::shardAcquired(Base::ShardIndex shard, Base::Epoch epoch, bool recordsComplete)
{
    if (!recordsComplete)
        m_incompleteUntil[shard] = m_context.timers.now() + m_limits.retention;
    bool needsRecovery = false;
    for (const Base::RequestId &id : m_store.idsOfShard({m_context.domain, shard})) {
        JobRecord &record = *m_store.find(id);
        if (record.phase == RecordPhase::Decided) {
            record.epoch = epoch;
            continue;
        }
        EP_ASSERT(!record.isAuthoritative(), continue);
        if (record.phase == RecordPhase::Suspended && record.epoch == epoch)
            resumeSuspended(record);
        else
            prepareRecovery(record, epoch);
        needsRecovery |= record.phase == RecordPhase::Recovering;
    }
    if (needsRecovery)
        startRecovery(shard, epoch);
}

void Coordinator::resumeSuspended(JobRecord &record)
{
    // No other daemon owned the shard meanwhile, so the task states are still valid. Fencing would
    // not help here: start orders of the same epoch may still be in flight.
    record.expiresAt.reset();
    activate(record, record.suspendedPhase);
    if (record.outcome) {
        replicateOutcome(record);
        return;
    }
    if (record.suspendedFailure != FailureCode::None) {
        decideFailure(record, record.suspendedFailure,
                      "a task failed while the shard's lease had lapsed");
        return;
    }
    armDeadline(record);
    if (record.phase == RecordPhase::Recovering)
        return;
    if (record.finishedCount == record.tasks.size()) {
        finishIfComplete(record);
        return;
    }
    record.phase = RecordPhase::Accepting;
    replicateNew(record);
}

void Coordinator::prepareRecovery(JobRecord &record, Base::Epoch epoch)
{
    record.epoch = epoch;
    record.expiresAt.reset();
    if (record.outcome) {
        // The former owner may not have replicated the outcome to all replicas.
        activate(record, RecordPhase::Deciding);
        replicateOutcome(record);
        return;
    }
    activate(record, RecordPhase::Recovering);
    record.isStartUncertain = true;
    record.startedCount = 0;
    record.finishedCount = 0;
    record.tasks.assign(record.payloads.size(), {});
    armDeadline(record);
}

void Coordinator::startRecovery(Base::ShardIndex shard, Base::Epoch epoch)
{
    const Base::ShardId shardId{m_context.domain, shard};
    m_context.observer.recoveryStarted(shardId, epoch);
    auto recovery = std::make_unique<ShardRecovery>(
        m_context.timers, m_context.workers, shardId, epoch, domainUpstreams(),
        [this, shard, epoch](const Base::UpstreamId &upstream, const TaskReport &report) {
            taskReported(shard, epoch, upstream, report);
        },
        [this, shard, epoch](const std::vector<Base::UpstreamId> &uncertain) {
            recoveryDone(shard, epoch, uncertain);
        });
    ShardRecovery &started = *recovery;
    m_recoveries[shard] = std::move(recovery);
    started.start();
}

/// Splits "<team>/<key>#<index>"; returns false for anything else.
static bool parseTaskName(const TaskName &name, Base::RequestId &request, std::size_t &index)
{
    const std::string &text = name.value();
    const std::size_t slash = text.find('/');
    const std::size_t hash = text.rfind('#');
    if (slash == std::string::npos || hash == std::string::npos || hash < slash)
        return false;
    request = {Base::TeamId(text.substr(0, slash)),
               Base::RequestKey(text.substr(slash + 1, hash - slash - 1))};
    const char *end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data() + hash + 1, end, index);
    return ec == std::errc() && rest == end;
}

void Coordinator::taskReported(Base::ShardIndex shard, Base::Epoch epoch,
                               const Base::UpstreamId &upstream, const TaskReport &report)
{
    Base::RequestId id;
    std::size_t index = 0;
    if (!parseTaskName(report.task, id, index))
        return;
    JobRecord *record = findActive(id, epoch);
    if (!record || record->shard.index != shard || record->phase != RecordPhase::Recovering
        || index >= record->tasks.size())
        return;
    TaskEntry &task = record->tasks[index];
    if (report.state == TaskState::NotStarted) {
        task.excluded.push_back(upstream);
        return;
    }
    if (report.state == TaskState::Unknown)
        return;
    if (task.phase != TaskPhase::Waiting && task.upstream == upstream)
        return;
    if (task.phase != TaskPhase::Waiting) {
        Base::log(Base::LogLevel::Error, "taskReportedTwice",
                  {{"task", report.task}, {"upstream", upstream}, {"other", task.upstream}});
        decideFailure(*record, FailureCode::Internal, "two upstreams reported the same task");
        return;
    }
    task.phase = TaskPhase::Started;
    task.upstream = upstream;
    ++record->startedCount;
    if (report.state == TaskState::Running) {
        attachTask(*record, index, upstream);
        return;
    }
    TaskEnd end;
    end.kind = report.state == TaskState::Done     ? TaskEndKind::Succeeded
               : report.state == TaskState::Failed ? TaskEndKind::Failed
                                                   : TaskEndKind::Stopped;
    end.result = report.result;
    applyTaskEnd(*record, index, end);
}

void Coordinator::attachTask(JobRecord &record, std::size_t index, const Base::UpstreamId &upstream)
{
    m_runner.attach(
        upstream, taskName(record.id, index), record.deadline + Constants::RESOLVE_MARGIN_MS,
        [this, alive = m_isAlive, id = record.id, index, epoch = record.epoch](const TaskEnd &end) {
            if (!*alive)
                return;
            JobRecord *attached = findActive(id, epoch);
            if (attached && attached->isUndecided())
                applyTaskEnd(*attached, index, end);
        });
}

void Coordinator::recoveryDone(Base::ShardIndex shard, Base::Epoch epoch,
                               const std::vector<Base::UpstreamId> &uncertain)
{
    m_recoveries.erase(shard);
    m_context.observer.recoveryFinished({m_context.domain, shard}, epoch);
    for (const Base::RequestId &id : m_store.idsOfShard({m_context.domain, shard})) {
        JobRecord *record = findActive(id, epoch);
        if (record && record->phase == RecordPhase::Recovering)
            resumeRecovered(*record, uncertain);
    }
}

bool Coordinator::mayServe(const Manifest::Kind &kind, const Base::UpstreamId &upstream) const
{
    const auto it = m_manifest->upstreams.find(upstream);
    if (it == m_manifest->upstreams.end())
        return true;
    const auto &groups = kind.upstreamGroups;
    return std::find(groups.begin(), groups.end(), it->second.group) != groups.end();
}

void Coordinator::resumeRecovered(JobRecord &record, const std::vector<Base::UpstreamId> &uncertain)
{
    const Manifest::Kind *kind = findKind(record.kind);
    const bool isUncertain =
        !kind || std::any_of(uncertain.begin(), uncertain.end(), [&](const Base::UpstreamId &it) {
            return mayServe(*kind, it);
        });
    const bool hasWaiting = record.startedCount < record.tasks.size();
    if (hasWaiting && isUncertain) {
        decideFailure(record, FailureCode::WorkerLost,
                      "after a takeover, a worker that may have started a task did not answer or "
                      "can't fence");
        return;
    }
    // Every worker that may have started a waiting task has answered and refuses orders of older
    // epochs, so a task that none has reported has not started.
    record.isStartUncertain = false;
    // After a hand-over the list of replicas is unchanged, and the former owner may not have
    // replicated this record to all of them.
    record.phase = RecordPhase::Accepting;
    replicateNew(record);
}

void Coordinator::pauseShard(Base::ShardIndex shard)
{
    m_pausedShards.insert({m_context.domain, shard});
    for (const Base::RequestId &id : m_store.idsOfShard({m_context.domain, shard})) {
        JobRecord &record = *m_store.find(id);
        if (record.phase != RecordPhase::Running && record.phase != RecordPhase::Accepting)
            continue;
        record.phase = RecordPhase::Accepting;
        withdrawWaitingTasks(record);
    }
}

void Coordinator::resumeShard(Base::ShardIndex shard)
{
    if (m_pausedShards.erase({m_context.domain, shard}) == 0)
        return;
    for (const Base::RequestId &id : m_store.idsOfShard({m_context.domain, shard})) {
        // Records that were accepted while the shard was paused may not be replicated yet.
        JobRecord &record = *m_store.find(id);
        if (record.phase == RecordPhase::Accepting)
            replicateNew(record);
    }
}

void Coordinator::shardLost(Base::ShardIndex shard)
{
    m_pausedShards.erase({m_context.domain, shard});
    m_recoveries.erase(shard);
    m_replicator.shardLost(shard);
    const Reply reply{makeFailure(FailureCode::NotOwner, "the shard has another owner"), {}};
    for (const Base::RequestId &id : m_store.idsOfShard({m_context.domain, shard})) {
        JobRecord &record = *m_store.find(id);
        if (!record.isAuthoritative() || record.phase == RecordPhase::Decided)
            continue;
        withdrawWaitingTasks(record);
        deactivate(record);
        record.suspendedPhase = record.phase;
        record.phase = RecordPhase::Suspended;
        m_store.setExpiry(record, record.deadline + m_limits.retention);
        notifyWaiters(record, reply);
    }
}

void Coordinator::requiredReplicasChanged(Base::ShardIndex shard)
{
    m_replicator.requiredReplicasChanged(shard);
}

std::vector<std::string> Coordinator::encodedRecords(const Base::ShardId &shard)
{
    std::vector<std::string> records;
    const Base::TimePoint now = m_context.timers.now();
    for (const Base::RequestId &id : m_store.idsOfShard(shard)) {
        const JobRecord &record = *m_store.find(id);
        records.push_back(encodeRecord(record, record.deadline - now, true));
    }
    return records;
}

void Coordinator::replicaJoinWanted(Base::ShardIndex shard, const Base::DaemonId &daemon,
                                    Base::Incarnation incarnation)
{
    const auto epoch = m_context.authority.leasedEpoch(shard);
    if (!epoch || m_replicator.isJoining(shard, daemon))
        return;
    std::vector<std::vector<std::string>> chunks;
    for (std::string &it : encodedRecords({m_context.domain, shard})) {
        if (chunks.empty() || chunks.back().size() >= Constants::SNAPSHOT_CHUNK_RECORDS)
            chunks.emplace_back();
        chunks.back().push_back(std::move(it));
    }
    m_replicator.copyTo(
        shard, *epoch, daemon, std::move(chunks), [this, shard, daemon, incarnation] {
            m_context.authority.addReplica(
                shard, daemon, incarnation, [this, shard, daemon](const absl::Status &status) {
                    if (!status.ok()) {
                        Base::log(Base::LogLevel::Warning, "replicaNotAdded",
                                  {{"shard", shard},
                                   {"replica", daemon},
                                   {"reason", Base::failureMessage(status)}});
                    }
                    m_replicator.endJoin(shard, daemon);
                });
        });
}

void Coordinator::recordsReceived(const Wire::PeerIdentity &from, const Wire::Replicate &message)
{
    const Base::ShardIndex shard(message.shard);
    const Base::Epoch epoch(message.epoch);
    Wire::ReplicateAck ack{message.shard, message.epoch, message.sequence, true};
    if (from.domain != m_context.domain
        || !m_context.authority.acceptsReplication(shard, epoch, from)) {
        ack.accepted = false;
        ack.epoch = m_context.authority.highestKnownEpoch(shard).value();
        m_context.peers.send(from.daemon, ack);
        return;
    }
    for (const std::string &it : message.records) {
        auto record = decodeRecord(it, m_context.domain, m_context.timers.now());
        EP_ASSERT(record && record->shard.index == shard, continue);
        record->epoch = epoch;
        m_lastSerial = std::max(m_lastSerial, record->serial);
        storeReplica(std::move(*record));
    }
    if (message.incompleteMs > 0) {
        m_incompleteUntil[shard] =
            m_context.timers.now() + std::chrono::milliseconds(message.incompleteMs);
    } else {
        m_incompleteUntil.erase(shard);
    }
    if (message.snapshotEnd)
        dropOlderReplicas({m_context.domain, shard}, epoch);
    m_context.peers.send(from.daemon, ack);
}

void Coordinator::storeReplica(JobRecord record)
{
    JobRecord *known = m_store.find(record.id);
    if (known && known->isLocal())
        return;
    EP_ASSERT(!known || !known->isAuthoritative() || known->phase == RecordPhase::Decided, return);
    // The owner may have expired an outcome, and accepted its key again, before it expires here.
    const bool isNewer =
        known && std::pair(record.epoch, record.serial) > std::pair(known->epoch, known->serial)
        && record.serial != known->serial;
    if (known && known->phase == RecordPhase::Decided && !isNewer) {
        // Published outcomes are final; the new owner holds the same one.
        known->epoch = std::max(known->epoch, record.epoch);
        return;
    }
    if (known && known->epoch == record.epoch && !isNewer) {
        // A resent record must not overwrite the outcome or a later use of the key.
        if (known->outcome || record.serial < known->serial)
            return;
        if (record.outcome && record.payloads.empty()) {
            known->outcome = std::move(record.outcome);
            known->decidedAt = record.decidedAt;
            known->payloads.clear();
            m_store.updateSize(*known);
            m_store.setExpiry(*known, known->decidedAt + m_limits.retention);
            return;
        }
    }
    JobRecord &stored = m_store.put(std::move(record));
    // Unless an owner updates it, an undecided replica is kept for the retention time after its
    // deadline.
    m_store.setExpiry(stored,
                      (stored.outcome ? stored.decidedAt : stored.deadline) + m_limits.retention);
}

void Coordinator::dropOlderReplicas(const Base::ShardId &shard, Base::Epoch epoch)
{
    for (const Base::RequestId &id : m_store.idsOfShard(shard)) {
        const JobRecord &record = *m_store.find(id);
        if (!record.isAuthoritative() && record.epoch < epoch)
            m_store.erase(id);
    }
}

void Coordinator::acknowledgementReceived(const Wire::PeerIdentity &from,
                                          const Wire::ReplicateAck &ack)
{
    m_replicator.acknowledgementReceived(from, ack);
}

} // namespace Jobs
