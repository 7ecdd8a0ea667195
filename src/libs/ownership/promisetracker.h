// The replica's side of the lease: promises given to owners.
#pragma once

#include <base/timers.h>
#include <storage/shardrow.h>

#include <map>
#include <optional>
#include <utility>

namespace Ownership::Internal {

/// Tracks promises by incarnation of the owner: a restarted owner holds no lease under a row that
/// lists its earlier incarnation, and must not delay the takeover of that row.
class PromiseTracker
{
public:
    void record(const Storage::Replica &owner, Base::TimePoint now);
    /// Whether a promise to \a owner still forbids a takeover write.
    bool isBoundTo(const Storage::Replica &owner, Base::TimePoint now) const;
    /// When the latest promise was given; empty if that is longer ago than
    /// Constants::PROMISE_RETENTION_MS.
    std::optional<Base::TimePoint> lastPromise(const Storage::Replica &owner) const;

private:
    std::map<std::pair<Base::DaemonId, Base::Incarnation>, Base::TimePoint> m_promisedAt;
};

} // namespace Ownership::Internal
