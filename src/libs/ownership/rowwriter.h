// One conditional write of a shard row, retried until its result is known.
#pragma once

#include "leasetracker.h"

#include <absl/status/status.h>
#include <base/timers.h>
#include <storage/shardrow.h>
#include <storage/table.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Ownership::Internal {

enum class WriteKind { Create, TakeOver, AddReplica, RemoveReplicas, HandOver, Renew, Recover };

std::string_view writeKindName(WriteKind kind);

/// A conditional write of a row.
struct RowWrite
{
    WriteKind kind = WriteKind::Create;
    Storage::ShardRow target;
    std::uint64_t expectedVersion = 0;
    /// The owner of the row that the write replaces; empty for a new row.
    Base::DaemonId previousOwner;
    /// Called with OK if the write took effect, otherwise with the typed failure.
    std::function<void(const absl::Status &)> done;
};

/// Holds at most one write. A write with an unknown result may still take effect, so it stays
/// pending until a retry under the same transaction id is answered or the row is read at a higher
/// version.
class RowWriter
{
public:
    /// Called with the write and its result, and, if it took effect, the version of the row and the
    /// logical time before the first attempt.
    using Resolved = std::function<void(RowWrite write, const absl::Status &, std::uint64_t version,
                                        LogicalTime)>;

    RowWriter(Storage::Table &table, Base::Timers &timers, std::string key, Resolved resolved);

    bool isPending() const { return m_write.has_value(); }
    /// The pending write; only valid while isPending().
    const RowWrite &write() const { return *m_write; }
    bool isPending(WriteKind kind) const { return m_write && m_write->kind == kind; }
    /// Whether only a read of the row can resolve the write.
    bool needsRead() const { return m_needsRead; }

    void send(RowWrite write, std::string transaction, LogicalTime logicalTime);
    /// Retries the write if its result is unknown and the back-off has passed.
    void retryIfDue();
    /// Resolves the write if \a row shows that it has taken effect or never will.
    void resolveFrom(const Storage::Row &row);

private:
    void attempt();
    void handleReply(const absl::Status &status, std::uint64_t version);
    void resolve(const absl::Status &status, std::uint64_t version);

    Storage::Table &m_table;
    Base::Timers &m_timers;
    const std::string m_key;
    Resolved m_resolved;
    std::optional<RowWrite> m_write;
    std::string m_transaction;
    LogicalTime m_logicalTime;
    bool m_inFlight = false;
    bool m_mayTakeEffect = false; // an earlier attempt has an unknown result
    bool m_needsRead = false;
    Base::TimePoint m_nextAttempt;
    Base::Duration m_backoff{};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // expires with this object
};

} // namespace Ownership::Internal
