// Lease, reads and writes of one shard. The steps of owner and candidate are in shardsteps.cpp.
#include "shard.h"

#include "ownershipconstants.h"

#include <algorithm>
#include <base/failure.h>
#include <base/log.h>
#include <base/softassert.h>
#include <fmt/format.h>
#include <utility>

namespace Ownership::Internal {

using Base::FailureCode;
using Base::LogLevel;
using Base::makeFailure;

const PeerHeartbeat *Context::freshHeartbeat(const Base::DaemonId &daemon) const
{
    const auto it = heartbeats.find(daemon);
    const bool fresh = it != heartbeats.end() && port.isConnected(daemon)
                       && timers.now() - it->second.receivedAt < Constants::HEARTBEAT_FRESH_MS;
    return fresh ? &it->second : nullptr;
}

Shard::Shard(Context &context, Base::ShardIndex index)
    : m_context(context)
    , m_index(index)
    , m_key(Storage::shardRowKey({context.domain, index}))
    , m_backoff(Constants::TABLE_BACKOFF_MIN_MS)
    , m_writer(
          context.table, context.timers, m_key,
          [this](const RowWrite &write, const absl::Status &status, std::uint64_t version,
                 LogicalTime logicalTime) { writeResolved(write, status, version, logicalTime); })
{}

bool Shard::isOwner() const
{
    if (!m_row || m_row->owner != m_context.self)
        return false;
    const Storage::Replica *self = m_row->findReplica(m_context.self);
    return self && self->incarnation == m_context.incarnation;
}

std::vector<Storage::Replica> Shard::requiredReplicas() const
{
    std::vector<Storage::Replica> result;
    if (!isOwner())
        return result;
    const auto add = [&](const Storage::ShardRow &row) {
        for (const Storage::Replica &it : row.replicas) {
            if (it.daemon != m_context.self && std::ranges::find(result, it) == result.end())
                result.push_back(it);
        }
    };
    add(*m_row);
    // A pending write may have taken effect already, so both lists count.
    if (m_writer.isPending())
        add(m_writer.write().target);
    return result;
}

std::vector<Storage::Replica> Shard::requiredAcknowledgements() const
{
    std::vector<Storage::Replica> result = requiredReplicas();
    if (m_join && std::ranges::find(result, m_join->replica) == result.end())
        result.push_back(m_join->replica);
    return result;
}

std::vector<Base::DaemonId> Shard::leaseRequestTargets() const
{
    std::vector<Base::DaemonId> result;
    for (const Storage::Replica &it : requiredAcknowledgements())
        result.push_back(it.daemon);
    return result;
}

bool Shard::canServe() const
{
    if (m_stopped || !isOwner() || m_needsNewEpoch || m_highestEpoch > m_row->epoch)
        return false;
    // Each of these writes may have taken effect already, and ended this epoch.
    if (m_writer.isPending(WriteKind::HandOver) || m_writer.isPending(WriteKind::Renew)
        || m_writer.isPending(WriteKind::Recover)) {
        return false;
    }
    const Base::TimePoint now = m_context.timers.now();
    return std::ranges::all_of(requiredReplicas(), [&](const Storage::Replica &it) {
        return m_context.leaseTracker.isUnbrokenSince(it, m_rowLogicalTime, now);
    });
}

bool Shard::holdsLease() const
{
    return m_serving && canServe();
}

std::optional<Base::Epoch> Shard::leasedEpoch() const
{
    return holdsLease() ? std::optional(m_row->epoch) : std::nullopt;
}

bool Shard::hasAllRecords() const
{
    return isOwner() && m_incompleteEpoch != m_row->epoch;
}

void Shard::updateServing()
{
    const bool canServeNow = canServe();
    if (m_serving && !canServeNow) {
        stopServing("leaseLapsed");
    } else if (!m_serving && canServeNow) {
        m_serving = true;
        Base::log(LogLevel::Info, "shardAcquired",
                  {{"shard", m_index},
                   {"epoch", m_row->epoch},
                   {"complete", static_cast<int>(hasAllRecords())}});
        m_context.observer.shardAcquired(m_index, m_row->epoch, hasAllRecords());
    }
    std::vector<Storage::Replica> replicas = requiredAcknowledgements();
    if (replicas != m_reportedReplicas) {
        m_reportedReplicas = std::move(replicas);
        m_context.observer.requiredReplicasChanged(m_index);
    }
}

void Shard::stopServing(std::string_view cause)
{
    if (!m_serving)
        return;
    m_serving = false;
    Base::log(LogLevel::Info, "shardLost", {{"shard", m_index}, {"cause", cause}});
    m_context.observer.shardLost(m_index);
    finishJoin(makeFailure(FailureCode::NoLease, "the lease was lost"));
}

void Shard::stop()
{
    m_stopped = true;
    stopServing("stopped");
}

Base::Epoch Shard::highestKnownEpoch() const
{
    Base::Epoch result = m_highestEpoch;
    // Records of the previous owner must not be accepted once the takeover may have taken effect.
    if (m_writer.isPending() && m_writer.write().previousOwner != m_context.self)
        result = std::max(result, m_writer.write().target.epoch);
    return result;
}

bool Shard::hasPendingTakeoverFrom(const Base::DaemonId &owner) const
{
    return m_writer.isPending() && m_writer.write().previousOwner == owner
           && owner != m_context.self;
}

bool Shard::acceptsReplication(Base::Epoch epoch, const Wire::PeerIdentity &from)
{
    if (epoch < highestKnownEpoch())
        return false;
    if (m_row && epoch == m_row->epoch) {
        const Storage::Replica *owner = m_row->findReplica(m_row->owner);
        return owner && *owner == Storage::Replica{from.daemon, from.incarnation};
    }
    ownerSeen(epoch, from.daemon);
    return true;
}

void Shard::ownerSeen(Base::Epoch epoch, const Base::DaemonId &owner)
{
    if (epoch <= m_highestEpoch)
        return;
    m_highestEpoch = epoch;
    m_highestOwner = owner;
    m_readWanted = true;
    updateServing();
}

void Shard::ownershipRefused(Base::Epoch known)
{
    if (!isOwner() || known < m_row->epoch)
        return; // The refusal is of an earlier epoch of this daemon.
    m_needsNewEpoch = true;
    m_readWanted = true;
    stopServing("refusedByReplica");
    step();
}

void Shard::handOverReceived()
{
    m_readWanted = true;
    m_nextTableAccess = m_context.timers.now();
    step();
}

void Shard::addReplica(const Storage::Replica &replica, Callback callback)
{
    if (!holdsLease()) {
        callback(
            makeFailure(FailureCode::NoLease, "this daemon does not hold the lease of the shard"));
        return;
    }
    const Storage::Replica *listed = m_row->findReplica(replica.daemon);
    if (listed && *listed == replica) {
        callback(absl::OkStatus());
        return;
    }
    if (m_join || (!listed && m_row->replicas.size() >= Constants::MAX_REPLICAS)) {
        callback(
            makeFailure(FailureCode::Overloaded,
                        "the shard has the maximum of replicas, or another replica is joining"));
        return;
    }
    m_join = {replica, m_context.timers.now() + Constants::JOIN_TIMEOUT_MS, std::move(callback)};
    m_context.leaseRoundWanted = true;
    step();
}

void Shard::handOver(const Base::DaemonId &to, Callback callback)
{
    if (!holdsLease()) {
        callback(
            makeFailure(FailureCode::NoLease, "this daemon does not hold the lease of the shard"));
    } else if (to == m_context.self || !m_row->findReplica(to)) {
        callback(makeFailure(FailureCode::BadRequest,
                             "the new owner must be another daemon that is an in-sync replica"));
    } else if (m_writer.isPending()) {
        callback(makeFailure(FailureCode::Overloaded, "another write of the shard row is pending"));
    } else {
        Storage::ShardRow target = *m_row;
        target.owner = to;
        target.epoch = nextEpoch();
        write(WriteKind::HandOver, std::move(target), std::move(callback));
    }
}

void Shard::recover(Callback callback)
{
    if (holdsLease() || m_recover || m_writer.isPending()) {
        callback(
            makeFailure(FailureCode::Overloaded,
                        "the lease is held, or a recovery or a write of the shard row is pending"));
        return;
    }
    m_recover = std::move(callback);
    m_readWanted = true;
    m_nextTableAccess = m_context.timers.now();
    step();
}

void Shard::read()
{
    updateServing(); // Detects a lapse before the read can end it.
    m_reading = true;
    m_readWanted = false;
    m_context.table.read(m_key, [this, alive = std::weak_ptr(m_alive),
                                 logicalTime = m_context.leaseTracker.nextLogicalTime()](
                                    const absl::Status &status, const Storage::Row &row) {
        if (!alive.expired())
            readFinished(status, row, logicalTime);
    });
}

void Shard::readFinished(const absl::Status &status, const Storage::Row &row,
                         LogicalTime logicalTime)
{
    m_reading = false;
    std::optional<Storage::ShardRow> decoded;
    if (status.ok() && row.version > 0)
        decoded = Storage::decodeShardRow(row.value);
    if (!status.ok() || (row.version > 0 && !decoded)) {
        Base::log(LogLevel::Warning, "shardRowUnreadable",
                  {{"shard", m_index},
                   {"version", row.version},
                   {"error", Base::failureMessage(status)}});
        m_readWanted = true;
        m_readableSince = Base::TimePoint::max();
        backOff();
        if (const Callback callback = std::exchange(m_recover, nullptr))
            callback(makeFailure(FailureCode::PlatformUnavailable,
                                 "the shard row can't be read or decoded"));
        return;
    }
    m_backoff = Constants::TABLE_BACKOFF_MIN_MS;
    m_readableSince = std::min(m_readableSince, m_context.timers.now());
    applyRow(std::move(decoded), row.version, logicalTime);
    m_writer.resolveFrom(row);
    step();
}

void Shard::backOff()
{
    m_nextTableAccess = m_context.timers.now() + m_backoff;
    m_backoff = std::min<Base::Duration>(2 * m_backoff, Constants::TABLE_BACKOFF_MAX_MS);
}

bool Shard::isRowFresh() const
{
    return m_context.timers.now() - m_confirmedAt <= Constants::ROW_FRESH_MS;
}

void Shard::applyRow(std::optional<Storage::ShardRow> row, std::uint64_t version,
                     LogicalTime logicalTime)
{
    if (m_rowKnown && version < m_version)
        return; // A later version is already known.
    // A row of an older epoch is a fault of the table: the lease is given up until it is corrected.
    EP_ASSERT(!m_row || (row && row->epoch >= m_row->epoch), m_needsNewEpoch = true; return );
    EP_ASSERT(!row || row->findReplica(row->owner), m_needsNewEpoch = true; return );
    const Base::TimePoint now = m_context.timers.now();
    const bool wasOwner = isOwner();
    if (!m_rowKnown || (row && !m_row) || (row && row->epoch > m_row->epoch))
        m_epochSeenAt = now;
    if (row && row->epoch >= m_highestEpoch) {
        m_highestEpoch = row->epoch;
        m_highestOwner = row->owner;
    }
    m_rowKnown = true;
    m_row = std::move(row);
    m_version = version;
    m_rowLogicalTime = std::max(m_rowLogicalTime, logicalTime);
    m_confirmedAt = now;
    if (!isOwner())
        m_needsNewEpoch = false;
    if (isOwner() && !wasOwner)
        m_context.leaseRoundWanted = true;
    updateServing();
}

Base::Epoch Shard::nextEpoch() const
{
    return std::max(m_highestEpoch, m_row ? m_row->epoch : Base::Epoch()).next();
}

void Shard::write(WriteKind kind, Storage::ShardRow target, Callback done)
{
    const Base::DaemonId previousOwner = m_row ? m_row->owner : Base::DaemonId();
    Base::log(LogLevel::Info, "shardRowWrite",
              {{"shard", m_index},
               {"kind", writeKindName(kind)},
               {"epoch", target.epoch},
               {"version", m_version}});
    m_context.transactions++;
    if (previousOwner != m_context.self)
        m_context.takeovers++;
    m_writer.send({kind, std::move(target), m_version, previousOwner, std::move(done)},
                  fmt::format("{}/{}/{}/{}", m_context.self.value(), m_context.incarnation.value(),
                              m_index.value(), m_context.transactions),
                  m_context.leaseTracker.nextLogicalTime());
    updateServing();
}

void Shard::writeResolved(const RowWrite &write, const absl::Status &status, std::uint64_t version,
                          LogicalTime logicalTime)
{
    Base::log(LogLevel::Info, "shardRowWritten",
              {{"shard", m_index},
               {"kind", writeKindName(write.kind)},
               {"failure", Base::failureName(Base::failureCode(status))}});
    if (status.ok()) {
        m_backoff = Constants::TABLE_BACKOFF_MIN_MS;
        if (write.kind == WriteKind::Renew)
            m_needsNewEpoch = false;
        applyRow(write.target, version, logicalTime);
        if (write.kind == WriteKind::HandOver) {
            m_context.port.send(write.target.owner,
                                Wire::HandOver{m_index.value(), write.target.epoch.value()});
        }
    } else if (Base::failureCode(status) == FailureCode::VersionMismatch) {
        m_readWanted = true;
        updateServing();
    } else {
        backOff();
        updateServing();
    }
    if (write.done)
        write.done(status);
    step();
}

} // namespace Ownership::Internal
