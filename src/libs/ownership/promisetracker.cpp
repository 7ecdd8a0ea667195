// Tracks the promises given to owners.
#include "promisetracker.h"

#include "ownershipconstants.h"

namespace Ownership::Internal {

void PromiseTracker::record(const Storage::Replica &owner, Base::TimePoint now)
{
    std::erase_if(m_promisedAt, [now](const auto &it) {
        return now - it.second >= Constants::PROMISE_RETENTION_MS;
    });
    m_promisedAt[{owner.daemon, owner.incarnation}] = now;
}

bool PromiseTracker::isBoundTo(const Storage::Replica &owner, Base::TimePoint now) const
{
    const std::optional<Base::TimePoint> promisedAt = lastPromise(owner);
    return promisedAt && now - *promisedAt < Constants::PROMISE_MS;
}

std::optional<Base::TimePoint> PromiseTracker::lastPromise(const Storage::Replica &owner) const
{
    const auto it = m_promisedAt.find({owner.daemon, owner.incarnation});
    return it == m_promisedAt.end() ? std::nullopt : std::optional(it->second);
}

} // namespace Ownership::Internal
