// Tracks lease requests sent and promises received.
#include "leasetracker.h"

#include "ownershipconstants.h"

#include <base/hash.h>

#include <algorithm>
#include <string>

namespace Ownership::Internal {

LeaseTracker::LeaseTracker(Base::Incarnation incarnation)
    : m_sequence(Base::stableHash(std::to_string(incarnation.value())))
{}

LogicalTime LeaseTracker::nextLogicalTime()
{
    m_logicalTime = m_logicalTime.next();
    return m_logicalTime;
}

std::uint64_t LeaseTracker::beginRound(Base::TimePoint now)
{
    std::erase_if(m_sent, [now](const auto &it) { return now - it.second >= Constants::LEASE_MS; });
    std::erase_if(m_states, [now](const auto &it) {
        return now - it.second.received >= Constants::PROMISE_RETENTION_MS;
    });
    m_sent.emplace(++m_sequence, now);
    return m_sequence;
}

void LeaseTracker::promiseReceived(const Storage::Replica &from, const Wire::LeasePromise &promise,
                                   Base::TimePoint now)
{
    const auto sent = m_sent.find(promise.sequence);
    if (sent == m_sent.end() || now - sent->second >= Constants::LEASE_MS)
        return;
    const PromiseState *previous = findState(from);
    const bool unbroken =
        isValid(from, now) || (previous && previous->takeovers == promise.takeovers);
    PromiseState &state = m_states[{from.daemon, from.incarnation}];
    if (!unbroken)
        state.unbrokenSince = nextLogicalTime();
    state.requestSent = std::max(state.requestSent, sent->second);
    state.received = now;
    state.takeovers = promise.takeovers;
}

bool LeaseTracker::isValid(const Storage::Replica &replica, Base::TimePoint now) const
{
    const PromiseState *state = findState(replica);
    return state && now - state->requestSent < Constants::LEASE_MS;
}

bool LeaseTracker::isUnbrokenSince(const Storage::Replica &replica, LogicalTime logicalTime,
                                   Base::TimePoint now) const
{
    return isValid(replica, now) && findState(replica)->unbrokenSince < logicalTime;
}

std::optional<Base::TimePoint> LeaseTracker::lastPromise(const Storage::Replica &replica) const
{
    const PromiseState *state = findState(replica);
    return state ? std::optional(state->received) : std::nullopt;
}

const LeaseTracker::PromiseState *LeaseTracker::findState(const Storage::Replica &replica) const
{
    const auto it = m_states.find({replica.daemon, replica.incarnation});
    return it == m_states.end() ? nullptr : &it->second;
}

} // namespace Ownership::Internal
