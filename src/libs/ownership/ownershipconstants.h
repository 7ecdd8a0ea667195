// Constants of shard ownership. Their relations are explained in docs/design.md, section 3.
#pragma once

#include <chrono>
#include <cstddef>

namespace Ownership::Constants {

using Milliseconds = std::chrono::milliseconds;

constexpr std::size_t MAX_REPLICAS = 3;

/// Counted by the owner from the moment it sent the request.
constexpr Milliseconds LEASE_MS{1500};
/// Counted by the replica from the moment it received the request: the lease plus 5 % for drift
/// between the two clocks.
constexpr Milliseconds PROMISE_MS{1575};
constexpr Milliseconds LEASE_REQUEST_INTERVAL_MS{300};
/// Two lost rounds are tolerated, and half of the lease is left to confirm the removal.
constexpr Milliseconds REPLICA_SILENCE_MS{700};
/// A restarted replica lets an in-sync replica take over first.
constexpr auto RESTARTED_REPLICA_WAIT_MS = 6 * PROMISE_MS;

/// How often the shards are checked. Adds to the takeover time.
constexpr Milliseconds STEP_INTERVAL_MS{100};
/// A step that comes later than this indicates that the process was paused.
constexpr Milliseconds PAUSE_MS{400};
/// Candidates of a shard start one after another, so that the later ones see the first one's write.
constexpr Milliseconds TAKEOVER_STAGGER_MS{200};
constexpr Milliseconds CREATE_STAGGER_MS{500};
/// A row confirmed within this time is not read again before a write.
constexpr Milliseconds ROW_FRESH_MS{50};
/// A daemon counts as connected if a heartbeat arrived within this time.
constexpr Milliseconds HEARTBEAT_FRESH_MS{2000};

/// Regular reads of a row without cause: 1,536 rows and readers at two-year size make 51 reads/s.
constexpr Milliseconds ROW_POLL_MS{30'000};
/// Reads by a daemon that waits to take over, or that may have been added without its knowledge.
constexpr Milliseconds CANDIDATE_READ_MS{1000};
/// Reads by a daemon that is not listed while the owner is silent.
constexpr Milliseconds SILENT_OWNER_READ_MS{5000};

constexpr Milliseconds TABLE_BACKOFF_MIN_MS{200};
constexpr Milliseconds TABLE_BACKOFF_MAX_MS{3200};

/// How long addReplica() waits for the joining daemon's first promise.
constexpr Milliseconds JOIN_TIMEOUT_MS{2000};
/// A join is announced to the observer again after this time.
constexpr Milliseconds JOIN_REPEAT_MS{1000};
/// Expired promises are remembered this long, to recognise a silent owner.
constexpr Milliseconds PROMISE_MEMORY_MS{60'000};

} // namespace Ownership::Constants
