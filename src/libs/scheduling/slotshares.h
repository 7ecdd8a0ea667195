// Partitions the upstream slots of a domain among its live daemons, which can lend each other
// slots.
#pragma once

#include "taskscheduler.h"

#include <wire/peerport.h>

#include <map>
#include <set>
#include <vector>

namespace Scheduling {

/// Returns the owner of slot \a slot of \a upstream among \a daemons: the one with the highest
/// rendezvous hash. Daemons with the same list agree without messages, and when a daemon is added
/// or removed, only its slots move. Returns an empty id if \a daemons is empty.
Base::DaemonId slotOwner(const Base::UpstreamId &upstream, std::uint32_t slot,
                         const std::set<Base::DaemonId> &daemons);

/// Interface to the code of this daemon that runs tasks in the slots.
class SlotUser
{
public:
    virtual ~SlotUser() = default;

    /// Number of tasks of this daemon that are, or may be, running on \a upstream.
    virtual std::uint32_t runningTasks(const Base::UpstreamId &upstream) const = 0;
    /// A daemon with queued tasks borrows and does not lend.
    virtual bool hasQueuedTasks() const = 0;
    /// Called when SlotShares::usableSlots() changed. It must be applied before the next start.
    virtual void slotSharesChanged() = 0;
};

struct SlotShareOptions
{
    /// Maximum time from the start of a task until it has certainly ended.
    Base::Duration maxTaskTime = std::chrono::seconds(8);
    /// Maximum time for which the daemons' lists of live daemons differ.
    Base::Duration membershipLag = std::chrono::seconds(2);
    Base::Duration loanDuration = std::chrono::seconds(2);
    /// The borrower starts no more tasks this long before the loan ends, to allow for clock drift
    /// and for the time from the check to the start at the worker.
    Base::Duration loanSafetyMargin = std::chrono::milliseconds(200);
};

/// Determines which slots this daemon may use. No slot is used by two daemons at once, provided
/// that the lists of live daemons come from the same source and differ for at most membershipLag:
/// - A newly owned slot, and every slot after a restart, is used only after membershipLag plus
///   loanDuration plus maxTaskTime, when the previous owner must have stopped using it.
/// - A lent slot counts as used until the borrower returns it, or until loanDuration plus
///   maxTaskTime have passed.
/// - A borrower measures the loan from the time at which it sent the request, so that a late grant
///   makes the loan shorter and never longer.
/// If the lists differ for longer, the only remaining protection is that workers refuse tasks
/// beyond their slots.
class SlotShares
{
public:
    SlotShares(Base::Timers &timers, Wire::PeerPort &peers, SlotUser &user, Base::DaemonId self,
               Base::Incarnation incarnation, const SlotShareOptions &options = {});
    ~SlotShares();
    SlotShares(const SlotShares &) = delete;
    SlotShares &operator=(const SlotShares &) = delete;

    /// Sets the number of slots of each upstream of the domain. Missing upstreams are removed.
    void setUpstreams(const std::map<Base::UpstreamId, std::uint32_t> &slots);
    /// Sets the live daemons of the domain, including this one, as given by the membership list.
    void setLiveDaemons(const std::set<Base::DaemonId> &daemons);

    /// Number of slots that this daemon may use now, including those of its running tasks. Must be
    /// checked immediately before each start, since a loan may have ended while the process was
    /// paused.
    std::uint32_t usableSlots(const Base::UpstreamId &upstream) const;
    /// Number of own slots that borrowers may still use.
    std::uint32_t lentSlots(const Base::UpstreamId &upstream) const;

    /// Requests loans if tasks are queued, and returns borrowed slots otherwise. To be called
    /// periodically. Sends at most \a maxRequests requests.
    void exchangeLoans(std::size_t maxRequests);
    void loanReceived(const Base::DaemonId &from, const Wire::SlotLoan &message);

private:
    struct OwnSlot
    {
        bool own = false;
        Base::TimePoint usableFrom;
    };
    struct Loan
    {
        Base::UpstreamId upstream;
        Base::DaemonId peer;
        std::uint64_t sequence = 0;
        std::uint32_t slots = 0;
        Base::TimePoint end; // lender: end of all use; borrower: last time for a start
    };
    struct Request
    {
        Base::UpstreamId upstream;
        Base::DaemonId peer;
        std::uint32_t slots = 0;
        Base::TimePoint sent;
    };

    Base::Duration takeOverDelay() const;
    void updateOwners();
    void notifyAt(Base::TimePoint when);
    void removeExpired();
    std::uint32_t ownSlots(const Base::UpstreamId &upstream) const;
    void requestLoans(std::size_t maxRequests);
    void returnLoans();
    void grant(const Base::DaemonId &borrower, const Wire::SlotLoan &request);
    void acceptReturn(const Base::DaemonId &borrower, const Wire::SlotLoan &message);
    void acceptGrant(const Base::DaemonId &lender, const Wire::SlotLoan &message);

    Base::Timers &m_timers;
    Wire::PeerPort &m_peers;
    SlotUser &m_user;
    const Base::DaemonId m_self;
    const SlotShareOptions m_options;
    std::uint64_t m_lastSequence;
    std::set<Base::DaemonId> m_daemons;
    std::map<Base::UpstreamId, std::vector<OwnSlot>> m_slots;
    std::vector<Loan> m_lent;
    std::vector<Loan> m_borrowed;
    std::map<std::uint64_t, Request> m_requests; // unanswered, by sequence
    Base::UpstreamId m_lastRequested;
    std::map<Base::TimePoint, Base::TimerId> m_notifyTimers;
};

} // namespace Scheduling
