// Bookkeeping of lease requests and promises.
#include "leaseledger.h"

#include "ownershipconstants.h"

#include <base/hash.h>

#include <algorithm>
#include <string>

namespace Ownership::Internal {

LeaseLedger::LeaseLedger(Base::Incarnation incarnation)
    : m_sequence(Base::stableHash(std::to_string(incarnation.value())))
{}

Stamp LeaseLedger::nextStamp()
{
    m_stamp = m_stamp.next();
    return m_stamp;
}

std::uint64_t LeaseLedger::beginRound(Base::TimePoint now)
{
    std::erase_if(m_sent, [now](const auto &it) { return now - it.second >= Constants::LEASE_MS; });
    std::erase_if(m_chains, [now](const auto &it) {
        return now - it.second.received >= Constants::PROMISE_MEMORY_MS;
    });
    m_sent.emplace(++m_sequence, now);
    return m_sequence;
}

void LeaseLedger::promiseReceived(const Storage::Replica &from, const Wire::LeasePromise &promise,
                                  Base::TimePoint now)
{
    const auto sent = m_sent.find(promise.sequence);
    if (sent == m_sent.end() || now - sent->second >= Constants::LEASE_MS)
        return;
    const Chain *previous = findChain(from);
    const bool unbroken =
        isValid(from, now) || (previous && previous->takeovers == promise.takeovers);
    Chain &chain = m_chains[{from.daemon, from.incarnation}];
    if (!unbroken)
        chain.start = nextStamp();
    chain.requestSent = std::max(chain.requestSent, sent->second);
    chain.received = now;
    chain.takeovers = promise.takeovers;
}

bool LeaseLedger::isValid(const Storage::Replica &replica, Base::TimePoint now) const
{
    const Chain *chain = findChain(replica);
    return chain && now - chain->requestSent < Constants::LEASE_MS;
}

bool LeaseLedger::isUnbrokenSince(const Storage::Replica &replica, Stamp stamp,
                                  Base::TimePoint now) const
{
    return isValid(replica, now) && findChain(replica)->start < stamp;
}

std::optional<Base::TimePoint> LeaseLedger::lastPromise(const Storage::Replica &replica) const
{
    const Chain *chain = findChain(replica);
    return chain ? std::optional(chain->received) : std::nullopt;
}

const LeaseLedger::Chain *LeaseLedger::findChain(const Storage::Replica &replica) const
{
    const auto it = m_chains.find({replica.daemon, replica.incarnation});
    return it == m_chains.end() ? nullptr : &it->second;
}

} // namespace Ownership::Internal
