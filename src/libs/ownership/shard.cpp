// Lease, reads and writes of one shard. What owner and candidate do next is in shardsteps.cpp.
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

const PeerSighting *Context::freshSighting(const Base::DaemonId &daemon) const
{
    const auto it = sightings.find(daemon);
    const bool fresh = it != sightings.end() && port.isConnected(daemon)
                       && timers.now() - it->second.seenAt < Constants::HEARTBEAT_FRESH_MS;
    return fresh ? &it->second : nullptr;
}

Shard::Shard(Context &context, Base::ShardIndex index)
    : m_context(context)
    , m_index(index)
    , m_key(Storage::shardRowKey({context.domain, index}))
    , m_backoff(Constants::TABLE_BACKOFF_MIN_MS)
    , m_writer(context.table, context.timers, m_key,
               [this](const RowWrite &write, const absl::Status &status, std::uint64_t version,
                      Stamp stamp) { writeResolved(write, status, version, stamp); })
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
    if (m_stopped || !isOwner() || m_refused || m_highestEpoch > m_row->epoch)
        return false;
    // After any of these writes another daemon, or another epoch, may own the shard.
    if (m_writer.isPending(WriteKind::HandOver) || m_writer.isPending(WriteKind::Renew)
        || m_writer.isPending(WriteKind::Recover)) {
        return false;
    }
    const Base::TimePoint now = m_context.timers.now();
    return std::ranges::all_of(requiredReplicas(), [&](const Storage::Replica &it) {
        return m_context.ledger.isUnbrokenSince(it, m_rowStamp, now);
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

bool Shard::hasCompleteKnowledge() const
{
    return isOwner() && m_incompleteEpoch != m_row->epoch;
}

void Shard::updateService()
{
    const bool canServeNow = canServe();
    if (m_serving && !canServeNow) {
        stopServing("leaseLapsed");
    } else if (!m_serving && canServeNow) {
        m_serving = true;
        Base::log(LogLevel::Info, "shardAcquired",
                  {{"shard", m_index},
                   {"epoch", m_row->epoch},
                   {"complete", static_cast<int>(hasCompleteKnowledge())}});
        m_context.observer.shardAcquired(m_index, m_row->epoch, hasCompleteKnowledge());
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
    // Records of the old owner must not be accepted once the takeover may have happened.
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
    updateService();
}

void Shard::ownershipRefused(Base::Epoch known)
{
    if (!isOwner() || known < m_row->epoch)
        return; // Refers to an earlier epoch of this daemon.
    m_refused = true;
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
        callback(makeFailure(FailureCode::NoLease, "the shard is not in service here"));
        return;
    }
    const Storage::Replica *listed = m_row->findReplica(replica.daemon);
    if (listed && *listed == replica) {
        callback(absl::OkStatus());
        return;
    }
    if (m_join || (!listed && m_row->replicas.size() >= Constants::MAX_REPLICAS)) {
        callback(makeFailure(FailureCode::Overloaded, "no room for another replica now"));
        return;
    }
    m_join = {replica, m_context.timers.now() + Constants::JOIN_TIMEOUT_MS, std::move(callback)};
    m_context.leaseRoundWanted = true;
    step();
}

void Shard::handOver(const Base::DaemonId &to, Callback callback)
{
    if (!holdsLease()) {
        callback(makeFailure(FailureCode::NoLease, "the shard is not in service here"));
    } else if (to == m_context.self || !m_row->findReplica(to)) {
        callback(makeFailure(FailureCode::BadRequest, "the daemon is not an in-sync replica"));
    } else if (m_writer.isPending()) {
        callback(makeFailure(FailureCode::Overloaded, "another change of the row is in progress"));
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
        callback(makeFailure(FailureCode::Overloaded, "the shard is in service or being changed"));
        return;
    }
    m_recover = std::move(callback);
    m_readWanted = true;
    m_nextTableAccess = m_context.timers.now();
    step();
}

void Shard::read()
{
    updateService(); // A lapse must be noticed before a new read can end it.
    m_reading = true;
    m_readWanted = false;
    m_context.table.read(m_key, [this, alive = std::weak_ptr(m_alive),
                                 stamp = m_context.ledger.nextStamp()](const absl::Status &status,
                                                                       const Storage::Row &row) {
        if (!alive.expired())
            readFinished(status, row, stamp);
    });
}

void Shard::readFinished(const absl::Status &status, const Storage::Row &row, Stamp stamp)
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
            callback(makeFailure(FailureCode::PlatformUnavailable, "the row can't be read"));
        return;
    }
    m_backoff = Constants::TABLE_BACKOFF_MIN_MS;
    m_readableSince = std::min(m_readableSince, m_context.timers.now());
    adopt(std::move(decoded), row.version, stamp);
    m_writer.observe(row);
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

void Shard::adopt(std::optional<Storage::ShardRow> row, std::uint64_t version, Stamp stamp)
{
    if (m_rowKnown && version < m_version)
        return; // Overtaken by a later row.
    // A row of an older epoch is a fault of the table: serving stops until it is corrected.
    EP_ASSERT(!m_row || (row && row->epoch >= m_row->epoch), m_refused = true; return );
    EP_ASSERT(!row || row->findReplica(row->owner), m_refused = true; return );
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
    m_rowStamp = std::max(m_rowStamp, stamp);
    m_confirmedAt = now;
    if (!isOwner())
        m_refused = false;
    if (isOwner() && !wasOwner)
        m_context.leaseRoundWanted = true;
    updateService();
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
                  m_context.ledger.nextStamp());
    updateService();
}

void Shard::writeResolved(const RowWrite &write, const absl::Status &status, std::uint64_t version,
                          Stamp stamp)
{
    Base::log(LogLevel::Info, "shardRowWritten",
              {{"shard", m_index},
               {"kind", writeKindName(write.kind)},
               {"failure", Base::failureName(Base::failureCode(status))}});
    if (status.ok()) {
        m_backoff = Constants::TABLE_BACKOFF_MIN_MS;
        if (write.kind == WriteKind::Renew)
            m_refused = false;
        adopt(write.target, version, stamp);
        if (write.kind == WriteKind::HandOver) {
            m_context.port.send(write.target.owner,
                                Wire::HandOver{m_index.value(), write.target.epoch.value()});
        }
    } else if (Base::failureCode(status) == FailureCode::VersionMismatch) {
        m_readWanted = true;
        updateService();
    } else {
        backOff();
        updateService();
    }
    if (write.done)
        write.done(status);
    step();
}

} // namespace Ownership::Internal
