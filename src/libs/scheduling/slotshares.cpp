// Assigns slots by rendezvous hashing and handles loans of slots between daemons.
#include "slotshares.h"

#include <base/hash.h>

#include <algorithm>

namespace Scheduling {

/// Bits for the requests of one incarnation. The incarnation forms the higher bits, so that
/// sequence numbers of different incarnations do not coincide.
static constexpr int SEQUENCE_BITS = 24;

Base::DaemonId slotOwner(const Base::UpstreamId &upstream, std::uint32_t slot,
                         const std::set<Base::DaemonId> &daemons)
{
    const std::string name = upstream.value() + '/' + std::to_string(slot) + '/';
    const Base::DaemonId *best = nullptr;
    std::uint64_t bestHash = 0;
    for (const Base::DaemonId &it : daemons) {
        const std::uint64_t hash = Base::stableHash(name + it.value());
        if (!best || hash > bestHash) {
            best = &it;
            bestHash = hash;
        }
    }
    return best ? *best : Base::DaemonId();
}

SlotShares::SlotShares(Base::Timers &timers, Wire::PeerPort &peers, SlotUser &user,
                       Base::DaemonId self, Base::Incarnation incarnation,
                       const SlotShareOptions &options)
    : m_timers(timers)
    , m_peers(peers)
    , m_user(user)
    , m_self(std::move(self))
    , m_options(options)
    , m_lastSequence(incarnation.value() << SEQUENCE_BITS)
{}

SlotShares::~SlotShares()
{
    for (const auto &[when, timer] : m_notifyTimers)
        m_timers.cancel(timer);
}

Base::Duration SlotShares::takeOverDelay() const
{
    return m_options.membershipLag + m_options.loanDuration + m_options.maxTaskTime;
}

void SlotShares::setUpstreams(const std::map<Base::UpstreamId, std::uint32_t> &slots)
{
    std::erase_if(m_slots, [&](const auto &it) { return !slots.contains(it.first); });
    for (const auto &[id, n] : slots)
        m_slots[id].resize(n);
    updateOwners();
}

void SlotShares::setLiveDaemons(const std::set<Base::DaemonId> &daemons)
{
    if (daemons == m_daemons)
        return;
    m_daemons = daemons;
    updateOwners();
}

void SlotShares::updateOwners()
{
    const Base::TimePoint usableFrom = m_timers.now() + takeOverDelay();
    bool gained = false;
    for (auto &[upstream, slots] : m_slots) {
        for (std::uint32_t i = 0; i < slots.size(); ++i) {
            const bool own = slotOwner(upstream, i, m_daemons) == m_self;
            if (own && !slots[i].own) {
                slots[i].usableFrom = usableFrom;
                gained = true;
            }
            slots[i].own = own;
        }
    }
    if (gained)
        notifyAt(usableFrom);
    m_user.slotSharesChanged();
}

/// Schedules a notification at \a when, when slots become usable or a loan ends.
void SlotShares::notifyAt(Base::TimePoint when)
{
    if (m_notifyTimers.contains(when))
        return;
    m_notifyTimers[when] = m_timers.schedule(when - m_timers.now(), [this, when] {
        m_notifyTimers.erase(when);
        removeExpired();
        m_user.slotSharesChanged();
    });
}

void SlotShares::removeExpired()
{
    const Base::TimePoint now = m_timers.now();
    std::erase_if(m_lent, [&](const Loan &it) { return it.end <= now; });
    std::erase_if(m_borrowed, [&](const Loan &it) { return it.end <= now; });
    std::erase_if(m_requests,
                  [&](const auto &it) { return it.second.sent + m_options.loanDuration <= now; });
}

std::uint32_t SlotShares::ownSlots(const Base::UpstreamId &upstream) const
{
    const auto it = m_slots.find(upstream);
    if (it == m_slots.end())
        return 0;
    const Base::TimePoint now = m_timers.now();
    return static_cast<std::uint32_t>(
        std::count_if(it->second.begin(), it->second.end(),
                      [now](const OwnSlot &slot) { return slot.own && slot.usableFrom <= now; }));
}

std::uint32_t SlotShares::lentSlots(const Base::UpstreamId &upstream) const
{
    std::uint32_t n = 0;
    for (const Loan &it : m_lent)
        n += it.upstream == upstream && it.end > m_timers.now() ? it.slots : 0;
    return n;
}

std::uint32_t SlotShares::usableSlots(const Base::UpstreamId &upstream) const
{
    const std::uint32_t own = ownSlots(upstream);
    std::uint32_t n = own - std::min(own, lentSlots(upstream));
    for (const Loan &it : m_borrowed)
        n += it.upstream == upstream && it.end > m_timers.now() ? it.slots : 0;
    return n;
}

void SlotShares::exchangeLoans(std::size_t maxRequests)
{
    removeExpired();
    if (m_user.hasQueuedTasks())
        requestLoans(maxRequests);
    else
        returnLoans();
}

void SlotShares::requestLoans(std::size_t maxRequests)
{
    std::size_t sent = 0;
    auto it = m_slots.upper_bound(m_lastRequested);
    for (std::size_t i = 0; i < m_slots.size() && sent < maxRequests; ++i, ++it) {
        if (it == m_slots.end())
            it = m_slots.begin();
        m_lastRequested = it->first;
        std::map<Base::DaemonId, std::uint32_t> owners;
        for (std::uint32_t slot = 0; slot < it->second.size(); ++slot)
            ++owners[slotOwner(it->first, slot, m_daemons)];
        for (const auto &[peer, slots] : owners) {
            if (peer == m_self || peer.isEmpty())
                continue;
            ++m_lastSequence;
            if (!m_peers.send(peer,
                              Wire::SlotLoan{it->first.value(), slots, 0, false, m_lastSequence}))
                continue;
            m_requests[m_lastSequence] = {it->first, peer, slots, m_timers.now()};
            ++sent;
        }
    }
}

void SlotShares::returnLoans()
{
    bool changed = false;
    for (Loan &it : m_borrowed) {
        const std::uint32_t usable = usableSlots(it.upstream);
        const std::uint32_t unused = usable - std::min(usable, m_user.runningTasks(it.upstream));
        const std::uint32_t n = std::min(unused, it.slots);
        // The slots are given up whether or not the message arrives.
        if (n == 0)
            continue;
        it.slots -= n;
        changed = true;
        m_peers.send(it.peer, Wire::SlotLoan{it.upstream.value(), n, 0, true, it.sequence});
    }
    std::erase_if(m_borrowed, [](const Loan &it) { return it.slots == 0; });
    if (changed)
        m_user.slotSharesChanged();
}

void SlotShares::loanReceived(const Base::DaemonId &from, const Wire::SlotLoan &message)
{
    removeExpired();
    if (message.returned)
        acceptReturn(from, message);
    else if (message.durationMs == 0)
        grant(from, message);
    else
        acceptGrant(from, message);
}

void SlotShares::grant(const Base::DaemonId &borrower, const Wire::SlotLoan &request)
{
    if (m_user.hasQueuedTasks() || !m_daemons.contains(borrower))
        return;
    const Base::UpstreamId upstream(request.upstream);
    const std::uint32_t own = ownSlots(upstream);
    // All running tasks count against the own slots, since borrowed slots must not be lent on.
    const std::uint32_t used = lentSlots(upstream) + m_user.runningTasks(upstream);
    const auto n = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(request.slots, own - std::min(own, used)));
    if (n == 0)
        return;
    const auto ms = static_cast<std::uint64_t>(Base::toMilliseconds(m_options.loanDuration));
    // Counted as lent before the message is sent, and also if the message is lost.
    const Base::TimePoint end = m_timers.now() + m_options.loanDuration + m_options.maxTaskTime;
    m_lent.push_back({upstream, borrower, request.sequence, n, end});
    const Wire::SlotLoan loan{request.upstream, n, ms, false, request.sequence};
    if (!m_peers.send(borrower, loan)) {
        m_lent.pop_back(); // the message was certainly not sent
        return;
    }
    notifyAt(end);
    m_user.slotSharesChanged();
}

void SlotShares::acceptReturn(const Base::DaemonId &borrower, const Wire::SlotLoan &message)
{
    for (Loan &it : m_lent) {
        if (it.peer == borrower && it.sequence == message.sequence)
            it.slots -=
                static_cast<std::uint32_t>(std::min<std::uint64_t>(it.slots, message.slots));
    }
    std::erase_if(m_lent, [](const Loan &it) { return it.slots == 0; });
    m_user.slotSharesChanged();
}

void SlotShares::acceptGrant(const Base::DaemonId &lender, const Wire::SlotLoan &message)
{
    const auto it = m_requests.find(message.sequence);
    if (it == m_requests.end() || it->second.peer != lender
        || it->second.upstream.value() != message.upstream || message.slots > it->second.slots) {
        return;
    }
    const Request request = it->second;
    m_requests.erase(it); // so that a duplicate grant has no effect
    const Base::Duration duration = std::min<Base::Duration>(
        std::chrono::milliseconds(message.durationMs), m_options.loanDuration);
    const Base::TimePoint end = request.sent + duration - m_options.loanSafetyMargin;
    if (end <= m_timers.now())
        return;
    const auto slots = static_cast<std::uint32_t>(message.slots);
    m_borrowed.push_back({request.upstream, lender, message.sequence, slots, end});
    notifyAt(end);
    m_user.slotSharesChanged();
}

} // namespace Scheduling
