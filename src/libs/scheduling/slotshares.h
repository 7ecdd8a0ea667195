// Partition of the domain's upstream slots among the live daemons of the domain, with loans.
#pragma once

#include "taskscheduler.h"

#include <wire/peerport.h>

#include <map>
#include <set>
#include <vector>

namespace Scheduling {

/// The owner of slot \a slot of \a upstream among \a daemons: the highest rendezvous hash. Daemons
/// with the same list agree without messages, and a change moves only the slots of the daemon that
/// changed. Returns an empty id if \a daemons is empty.
Base::DaemonId slotOwner(const Base::UpstreamId &upstream, std::uint32_t slot,
                         const std::set<Base::DaemonId> &daemons);

/// What this daemon does with its slots.
class SlotUser
{
public:
    virtual ~SlotUser() = default;

    /// Tasks of this daemon that run, or may run, on \a upstream.
    virtual std::uint32_t runningTasks(const Base::UpstreamId &upstream) const = 0;
    /// A daemon with queued tasks borrows and does not lend.
    virtual bool hasQueuedTasks() const = 0;
    /// SlotShares::usableSlots() has changed; it must be applied before the next start.
    virtual void slotSharesChanged() = 0;
};

struct SlotShareOptions
{
    /// Longest time from a start to the certain end of a task.
    Base::Duration maxTaskTime = std::chrono::seconds(8);
    /// Longest time by which the daemons' lists of live daemons differ.
    Base::Duration membershipLag = std::chrono::seconds(2);
    Base::Duration loanDuration = std::chrono::seconds(2);
    /// The borrower stops starting this long before the loan ends: clock drift, and the time from
    /// the check to the start at the worker.
    Base::Duration loanAllowance = std::chrono::milliseconds(200);
};

/// Tells which slots this daemon may use. No slot is used by two daemons at once, provided that the
/// lists of live daemons come from the same source and differ for at most membershipLag:
/// - A slot that this daemon did not own before, and each slot after a restart, is used only after
///   membershipLag, a loan and the longest task, when the former owner's use must have ended.
/// - A lent slot counts as used until the borrower returns it, or until the loan and the longest
///   task after it have ended.
/// - A borrower measures the loan from the time at which it sent the request, so that a late grant
///   is a shorter loan and not a longer one.
/// Where the lists differ for longer, the worker's refusal beyond its slots is what remains.
class SlotShares
{
public:
    SlotShares(Base::Timers &timers, Wire::PeerPort &peers, SlotUser &user, Base::DaemonId self,
               Base::Incarnation incarnation, const SlotShareOptions &options = {});
    ~SlotShares();
    SlotShares(const SlotShares &) = delete;
    SlotShares &operator=(const SlotShares &) = delete;

    /// Slots of each upstream of the domain; upstreams that are missing are gone.
    void setUpstreams(const std::map<Base::UpstreamId, std::uint32_t> &slots);
    /// The live daemons of the domain, this one included, as the membership list states them.
    void setLiveDaemons(const std::set<Base::DaemonId> &daemons);

    /// Slots for the tasks of this daemon, the running ones included, at this moment. To be checked
    /// immediately before a start, as a loan may have ended while the process was paused.
    std::uint32_t usableSlots(const Base::UpstreamId &upstream) const;
    /// Own slots that borrowers may still use.
    std::uint32_t lentSlots(const Base::UpstreamId &upstream) const;

    /// Asks for loans if tasks are queued and returns borrowed slots if none are. To be called
    /// periodically; sends at most \a maxRequests requests.
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
        Base::TimePoint end; // as lender: of all use; as borrower: of starts
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
    void announceAt(Base::TimePoint when);
    void dropEnded();
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
    Base::UpstreamId m_lastAsked;
    std::map<Base::TimePoint, Base::TimerId> m_announcements;
};

} // namespace Scheduling
