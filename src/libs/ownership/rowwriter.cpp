// Sends, retries and resolves one conditional write.
#include "rowwriter.h"

#include "ownershipconstants.h"

#include <base/failure.h>
#include <base/softassert.h>

#include <algorithm>
#include <utility>

namespace Ownership::Internal {

using Base::FailureCode;

std::string_view writeKindName(WriteKind kind)
{
    switch (kind) {
    case WriteKind::Create:
        return "create";
    case WriteKind::TakeOver:
        return "takeOver";
    case WriteKind::AddReplica:
        return "addReplica";
    case WriteKind::RemoveReplicas:
        return "removeReplicas";
    case WriteKind::HandOver:
        return "handOver";
    case WriteKind::Renew:
        return "renew";
    case WriteKind::Recover:
        return "recover";
    }
    return "unknown";
}

RowWriter::RowWriter(Storage::Table &table, Base::Timers &timers, std::string key,
                     Resolved resolved)
    : m_table(table)
    , m_timers(timers)
    , m_key(std::move(key))
    , m_resolved(std::move(resolved))
{}

void RowWriter::send(RowWrite write, std::string transaction, LogicalTime logicalTime)
{
    EP_ASSERT(!isPending(), return );
    m_write = std::move(write);
    m_transaction = std::move(transaction);
    m_logicalTime = logicalTime;
    m_mayTakeEffect = false;
    m_needsRead = false;
    m_backoff = Constants::TABLE_BACKOFF_MIN_MS;
    attempt();
}

void RowWriter::retryIfDue()
{
    if (m_write && !m_inFlight && m_timers.now() >= m_nextAttempt)
        attempt();
}

void RowWriter::attempt()
{
    m_inFlight = true;
    m_table.compareAndSet(
        {m_key, Storage::encodeShardRow(m_write->target), m_write->expectedVersion, m_transaction},
        [this, alive = std::weak_ptr(m_alive),
         transaction = m_transaction](const absl::Status &status, std::uint64_t version) {
            // A read may have resolved the write meanwhile.
            if (!alive.expired() && m_write && transaction == m_transaction)
                handleReply(status, version);
        });
}

void RowWriter::handleReply(const absl::Status &status, std::uint64_t version)
{
    m_inFlight = false;
    const FailureCode code = Base::failureCode(status);
    const bool certain = code == FailureCode::None || code == FailureCode::VersionMismatch
                         || code == FailureCode::PlatformUnavailable;
    if (code == FailureCode::None || (certain && !m_mayTakeEffect)) {
        resolve(status, version);
        return;
    }
    // The reply says only that this attempt was not written; an earlier one may have been, or
    // may still be.
    if (code == FailureCode::VersionMismatch)
        m_needsRead = true;
    if (!certain)
        m_mayTakeEffect = true;
    m_nextAttempt = m_timers.now() + m_backoff;
    m_backoff = std::min<Base::Duration>(2 * m_backoff, Constants::TABLE_BACKOFF_MAX_MS);
}

void RowWriter::resolveFrom(const Storage::Row &row)
{
    if (!m_write || row.version <= m_write->expectedVersion)
        return;
    if (row.transaction == m_transaction)
        resolve(absl::OkStatus(), row.version);
    else
        resolve(Base::makeFailure(FailureCode::VersionMismatch, "the shard row has changed"), 0);
}

void RowWriter::resolve(const absl::Status &status, std::uint64_t version)
{
    RowWrite write = std::move(*m_write);
    m_write.reset();
    m_inFlight = false;
    m_needsRead = false;
    m_resolved(std::move(write), status, version, m_logicalTime);
}

} // namespace Ownership::Internal
