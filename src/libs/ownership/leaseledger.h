// The owner's side of the lease: requests sent and promises received, for all shards together.
#pragma once

#include <base/timers.h>
#include <storage/shardrow.h>
#include <wire/messages.h>

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace Ownership::Internal {

/// Position of an event in the order in which this daemon saw its events. Clock readings can be
/// equal; stamps are not.
using Stamp = Base::Number<struct StampTag>;

/// A promise covers all shards of this daemon, so it does not say whether the replica has taken
/// over one of them. The ledger therefore tracks since when the promises of a replica are unbroken:
/// each arrived before the lease of the one before it had expired, so that the replica was bound
/// throughout, or states the same number of takeover writes as the one before it. A row that was
/// read after that start can't have been taken over by the replica since.
class LeaseLedger
{
public:
    /// Sequences of two incarnations start far apart, so that a promise to an earlier incarnation
    /// is not taken for one to this.
    explicit LeaseLedger(Base::Incarnation incarnation);

    Stamp nextStamp();
    /// Starts a round of requests; returns the sequence to send.
    std::uint64_t beginRound(Base::TimePoint now);
    void promiseReceived(const Storage::Replica &from, const Wire::LeasePromise &promise,
                         Base::TimePoint now);

    bool isValid(const Storage::Replica &replica, Base::TimePoint now) const;
    /// Whether the promises are valid and unbroken since before \a stamp.
    bool isUnbrokenSince(const Storage::Replica &replica, Stamp stamp, Base::TimePoint now) const;
    std::optional<Base::TimePoint> lastPromise(const Storage::Replica &replica) const;

private:
    struct Chain
    {
        Base::TimePoint requestSent; // of the latest promised request
        Base::TimePoint received;    // of the latest promise
        Stamp start;
        std::uint64_t takeovers = 0; // as stated by the latest promise
    };

    const Chain *findChain(const Storage::Replica &replica) const;

    Stamp m_stamp;
    std::uint64_t m_sequence;
    std::map<std::uint64_t, Base::TimePoint> m_sent; // rounds younger than a lease
    std::map<std::pair<Base::DaemonId, Base::Incarnation>, Chain> m_chains;
};

} // namespace Ownership::Internal
