// Constants of the jobs library.
#pragma once

#include <chrono>
#include <cstddef>

namespace Jobs::Constants {

/// A replica that has not acknowledged is sent the records again after this.
constexpr std::chrono::milliseconds REPLICATION_RESEND_MS{200};
/// Records in one message of a copy to a joining replica.
constexpr std::size_t SNAPSHOT_CHUNK_RECORDS = 64;
/// After a takeover, workers that have not answered for this long count as unreachable.
constexpr std::chrono::milliseconds RECOVERY_CUTOFF_MS{5000};
constexpr std::chrono::milliseconds RECOVERY_RETRY_MS{300};
/// Delay before a task is queued again after the n-th refusal is n times this, up to the maximum.
constexpr std::chrono::milliseconds REQUEUE_STEP_MS{10};
constexpr std::chrono::milliseconds REQUEUE_MAX_MS{200};
/// A task that can't start because the lease lapsed is queued again after this.
constexpr std::chrono::milliseconds LEASE_RETRY_MS{50};
/// One long poll on a running task; the connection is free again after it.
constexpr std::chrono::milliseconds AWAIT_MS{2000};
constexpr std::chrono::milliseconds RESOLVE_RETRY_MS{100};
/// Time after the deadline at which a worker that still does not answer is given up.
constexpr std::chrono::milliseconds RESOLVE_MARGIN_MS{1000};
/// Stops for one worker are collected for this long, so that a wave of cancellations costs one
/// message for each worker.
constexpr std::chrono::milliseconds STOP_BATCH_MS{5};
constexpr std::chrono::milliseconds RETENTION_SWEEP_MS{1000};
/// Repeatable requests are tried on this many upstreams at most.
constexpr int MAX_REPEATABLE_ATTEMPTS = 4;
/// Retries earned by each success of a repeatable task, and by time, so that an outage of many
/// upstreams is not multiplied by retries.
constexpr double RETRIES_PER_SUCCESS = 0.1;
constexpr double MIN_RETRIES_PER_SECOND = 5;
constexpr double MAX_SAVED_RETRIES = 100;
/// Fixed part of a record's memory, added to its texts.
constexpr std::size_t RECORD_OVERHEAD_BYTES = 512;
constexpr std::size_t TASK_OVERHEAD_BYTES = 128;

} // namespace Jobs::Constants
