// State machine of one shard at this daemon.
#pragma once

#include "context.h"
#include "rowwriter.h"

#include <absl/status/status.h>
#include <base/ids.h>
#include <storage/shardrow.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Ownership::Internal {

using Callback = std::function<void(const absl::Status &)>;

/// Reads and writes the shard's row. Invariants, checked where they could break:
/// - the lease is held only if the row, as last known, names this incarnation as the owner, and
///   every required replica is bound by promises that are unbroken since before that row was last
///   confirmed;
/// - at most one write is pending;
/// - the epoch of the known row never decreases.
class Shard
{
public:
    Shard(Context &context, Base::ShardIndex index);
    Shard(const Shard &) = delete;
    Shard &operator=(const Shard &) = delete;

    /// Does what is due. Called regularly and after every event that may make something due.
    void step();
    /// Gives up the lease; nothing is read or written afterwards.
    void stop();

    bool holdsLease() const;
    std::optional<Base::Epoch> leasedEpoch() const;
    bool hasAllRecords() const;
    /// Whether the row names this incarnation as the owner.
    bool isOwner() const;
    /// Replicas whose promises are required now.
    std::vector<Storage::Replica> requiredReplicas() const;
    /// Replicas whose acknowledgements are required now: requiredReplicas() and the one that is
    /// joining, as the copy that it was sent does not contain later records.
    std::vector<Storage::Replica> requiredAcknowledgements() const;
    /// Daemons whose promises are needed now or will be once a join completes.
    std::vector<Base::DaemonId> leaseRequestTargets() const;
    Base::Epoch highestKnownEpoch() const;
    const Base::DaemonId &highestKnownOwner() const { return m_highestOwner; }
    Base::Epoch highestOwnerEpoch() const { return m_highestEpoch; }
    /// Whether a write is unresolved that would take the shard from \a owner.
    bool hasPendingTakeoverFrom(const Base::DaemonId &owner) const;
    bool acceptsReplication(Base::Epoch epoch, const Wire::PeerIdentity &from);

    /// \a owner claims to own the shard at \a epoch.
    void ownerSeen(Base::Epoch epoch, const Base::DaemonId &owner);
    void ownershipRefused(Base::Epoch known);
    void handOverReceived();
    void addReplica(const Storage::Replica &replica, Callback callback);
    void handOver(const Base::DaemonId &to, Callback callback);
    void recover(Callback callback);

private:
    struct Join
    {
        Storage::Replica replica;
        Base::TimePoint deadline;
        Callback callback;
    };

    bool canServe() const;
    void updateServing();
    void stopServing(std::string_view cause);

    void read();
    void readFinished(const absl::Status &status, const Storage::Row &row, LogicalTime logicalTime);
    void applyRow(std::optional<Storage::ShardRow> row, std::uint64_t version,
                  LogicalTime logicalTime);
    void backOff();
    bool isRowFresh() const;

    void write(WriteKind kind, Storage::ShardRow target, Callback done = {});
    void writeResolved(const RowWrite &write, const absl::Status &status, std::uint64_t version,
                       LogicalTime logicalTime);
    Base::Epoch nextEpoch() const;

    void createRowIfDue();
    void stepAsOwner();
    bool removeReplicasIfDue();
    bool continueJoin();
    void finishJoin(const absl::Status &status);
    void requestJoins();
    void takeOverIfDue();
    void startRecovery();

    Context &m_context;
    const Base::ShardIndex m_index;
    const std::string m_key;

    bool m_rowKnown = false;                // the row was read since the daemon started
    std::optional<Storage::ShardRow> m_row; // empty if unknown or missing
    std::uint64_t m_version = 0;
    LogicalTime m_rowLogicalTime;    // the row was at m_version at a later time than this
    Base::TimePoint m_confirmedAt;   // last successful read or write
    Base::TimePoint m_epochSeenAt;   // when m_row's epoch (or its absence) was first seen
    Base::TimePoint m_readableSince; // no read has failed since then; max() after a failure

    bool m_reading = false;
    bool m_readWanted = true;
    Base::TimePoint m_nextTableAccess;
    Base::Duration m_backoff;
    RowWriter m_writer;

    bool m_serving = false;       // shardAcquired() was reported and shardLost() was not
    bool m_stopped = false;       // nothing is read or written any more
    bool m_needsNewEpoch = false; // the lease returns only under a new epoch
    /// The latest epoch that this daemon acquired, or tried to, without the earlier records.
    std::optional<Base::Epoch> m_incompleteEpoch;
    Base::Epoch m_highestEpoch;
    Base::DaemonId m_highestOwner;
    std::vector<Storage::Replica> m_reportedReplicas; // as last reported to the observer

    std::optional<Join> m_join;
    std::map<Base::DaemonId, Base::TimePoint> m_joinRequestedAt;
    Callback m_recover;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // expires with this object
};

} // namespace Ownership::Internal
