// The owner's side of the lease: requests sent and promises received, for all shards.
#pragma once

#include <base/timers.h>
#include <storage/shardrow.h>
#include <wire/messages.h>

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace Ownership::Internal {

/// Logical clock of this daemon: orders its events. Readings of the monotonic clock can be equal;
/// logical times are not.
using LogicalTime = Base::Number<struct LogicalTimeTag>;

/// A promise covers all shards of this daemon, so it does not say whether the replica has taken
/// over one of them. The tracker therefore keeps since when the promises of a replica are unbroken:
/// each arrived before the lease of the one before it had expired, so that the replica was bound
/// throughout, or states the same number of takeover writes as the one before it. A row that
/// was read after that time has not been taken over by the replica since it was read.
class LeaseTracker
{
public:
    /// The first sequence is a hash of \a incarnation, so that a promise to an earlier incarnation
    /// is not mistaken for one to this.
    explicit LeaseTracker(Base::Incarnation incarnation);

    LogicalTime nextLogicalTime();
    /// Starts a round of requests; returns the sequence to send.
    std::uint64_t beginRound(Base::TimePoint now);
    void promiseReceived(const Storage::Replica &from, const Wire::LeasePromise &promise,
                         Base::TimePoint now);

    bool isValid(const Storage::Replica &replica, Base::TimePoint now) const;
    /// Whether the promises are valid and unbroken since before \a logicalTime.
    bool isUnbrokenSince(const Storage::Replica &replica, LogicalTime logicalTime,
                         Base::TimePoint now) const;
    std::optional<Base::TimePoint> lastPromise(const Storage::Replica &replica) const;

private:
    struct PromiseState
    {
        Base::TimePoint requestSent; // send time of the latest request that was answered
        Base::TimePoint received;    // receive time of the latest promise
        LogicalTime unbrokenSince;
        std::uint64_t takeovers = 0; // as stated by the latest promise
    };

    const PromiseState *findState(const Storage::Replica &replica) const;

    LogicalTime m_logicalTime;
    std::uint64_t m_sequence;
    std::map<std::uint64_t, Base::TimePoint> m_sent; // rounds sent within the last LEASE_MS
    std::map<std::pair<Base::DaemonId, Base::Incarnation>, PromiseState> m_states;
};

} // namespace Ownership::Internal
