// Constants of shard ownership. Their relations are explained in docs/design.md, section 3.
#pragma once

#include <chrono>
#include <cstddef>

namespace Ownership::Constants {

using Milliseconds = std::chrono::milliseconds;

constexpr std::size_t MAX_REPLICAS = 3;

/// Runs at the owner from the moment it sent the request.
constexpr Milliseconds LEASE_MS{1500};
/// Runs at the replica from the moment it received the request: the lease plus 5 % for drift
/// between the two clocks.
constexpr Milliseconds PROMISE_MS{1575};
constexpr Milliseconds LEASE_REQUEST_INTERVAL_MS{300};
/// A replica without a promise for this long is removed. Two lost rounds are tolerated, and half of
/// the lease is left to confirm the removal.
constexpr Milliseconds REPLICA_TIMEOUT_MS{700};
/// A restarted replica waits this long, so that an in-sync replica takes over first.
constexpr auto RESTARTED_REPLICA_WAIT_MS = 6 * PROMISE_MS;

/// Interval at which the shards are checked. Adds to the takeover time.
constexpr Milliseconds STEP_INTERVAL_MS{100};
/// A longer time between two checks indicates that the process was paused.
constexpr Milliseconds PAUSE_THRESHOLD_MS{400};
/// Delay between the candidates of a shard, so that later ones see the write of the first.
constexpr Milliseconds TAKEOVER_STAGGER_MS{200};
constexpr Milliseconds CREATE_STAGGER_MS{500};
/// A row that was read or written within this time is not read again before a write.
constexpr Milliseconds ROW_FRESH_MS{50};
/// A daemon counts as connected if a heartbeat arrived within this time.
constexpr Milliseconds HEARTBEAT_FRESH_MS{2000};

/// Interval of the regular reads of a row. At the size planned for two years, 1,536 pairs of row
/// and reader make 51 reads/s.
constexpr Milliseconds ROW_POLL_INTERVAL_MS{30'000};
/// Read interval of a daemon that waits to take over, or that may have been added as a replica
/// without having learnt of it.
constexpr Milliseconds CANDIDATE_READ_INTERVAL_MS{1000};
/// Read interval of a daemon that is not listed, while no heartbeat of the owner arrives.
constexpr Milliseconds SILENT_OWNER_READ_INTERVAL_MS{5000};

constexpr Milliseconds TABLE_BACKOFF_MIN_MS{200};
constexpr Milliseconds TABLE_BACKOFF_MAX_MS{3200};

/// How long addReplica() waits for the joining daemon's first promise.
constexpr Milliseconds JOIN_TIMEOUT_MS{2000};
/// The observer is asked again for a join after this time.
constexpr Milliseconds JOIN_RETRY_INTERVAL_MS{1000};
/// Expired promises are kept this long, to detect that an owner stopped sending lease requests.
constexpr Milliseconds PROMISE_RETENTION_MS{60'000};

} // namespace Ownership::Constants
