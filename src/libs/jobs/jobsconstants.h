// Constants of the jobs library.
#pragma once

#include <chrono>
#include <cstddef>

namespace Jobs::Constants {

/// Interval at which records are resent to replicas that have not acknowledged them.
constexpr std::chrono::milliseconds REPLICATION_RESEND_MS{200};
/// Number of records per message when a shard is copied to a joining replica.
constexpr std::size_t SNAPSHOT_CHUNK_RECORDS = 64;
/// After a takeover, workers that have not answered for this long count as unreachable.
constexpr std::chrono::milliseconds RECOVERY_CUTOFF_MS{5000};
constexpr std::chrono::milliseconds RECOVERY_RETRY_MS{300};
/// Delay before a task is queued again after the n-th refusal is n times this, up to the maximum.
constexpr std::chrono::milliseconds REQUEUE_STEP_MS{10};
constexpr std::chrono::milliseconds REQUEUE_MAX_MS{200};
/// Delay before a task that could not start because the lease lapsed is queued again.
constexpr std::chrono::milliseconds LEASE_RETRY_MS{50};
/// Duration of one long poll on a running task, after which the connection is free again.
constexpr std::chrono::milliseconds AWAIT_MS{2000};
constexpr std::chrono::milliseconds RESOLVE_RETRY_MS{100};
/// Time after the deadline until a task whose worker still does not answer counts as lost.
constexpr std::chrono::milliseconds RESOLVE_MARGIN_MS{1000};
/// Stop requests are collected for this long, so that a burst of cancellations costs one message
/// per worker.
constexpr std::chrono::milliseconds STOP_BATCH_MS{5};
constexpr std::chrono::milliseconds RETENTION_SWEEP_MS{1000};
/// A repeatable request is not retried after this many start attempts; refused starts count too.
constexpr int MAX_REPEATABLE_ATTEMPTS = 4;
/// Retry budget of repeatable tasks: the retries gained per success and per second, and their
/// maximum balance. It prevents retries from multiplying the load when many upstreams fail.
constexpr double RETRIES_PER_SUCCESS = 0.1;
constexpr double MIN_RETRIES_PER_SECOND = 5;
constexpr double MAX_RETRY_BALANCE = 100;
/// Memory overhead per record and per task, in addition to payloads and results.
constexpr std::size_t RECORD_OVERHEAD_BYTES = 512;
constexpr std::size_t TASK_OVERHEAD_BYTES = 128;

} // namespace Jobs::Constants
