// Timing and limits of the dispatch library. Limits of the platform are those of its contract.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace Dispatch::Constants {

using std::chrono::milliseconds;

/// Duration of a lease on an executor; executors shorten longer leases to this.
constexpr milliseconds LEASE_MS{1000};
/// By how much an executor's clock may be slow.
constexpr double SLOW_CLOCK_SHARE = 0.02;
/// A lease may last this much longer by the local clock.
constexpr milliseconds LEASE_SLACK_MS{40};
/// The clock of an idle executor is read again after this, since the uncertainty of a reading
/// shortens the leases that are computed from it.
constexpr milliseconds CLOCK_REFRESH_MS{10000};
/// How long a hold waits for an end. Long enough to cost few messages, short enough to leave time
/// for a second attempt within a lease.
constexpr milliseconds HOLD_WAIT_MS{300};
/// While its group is contested, an owner with runs checks at least this often that each executor
/// still accepts its token. Limits how long an owner that has not heard of a newer claim continues.
constexpr milliseconds TOKEN_CHECK_INTERVAL_MS{400};
/// A group is contested for this long after its claim and after the loss of a peer: longer than the
/// latest claims that follow the loss.
constexpr milliseconds CONTESTED_MS{6000};
/// Number of executors that are asked before an executor is used that appeared meanwhile.
constexpr std::size_t CONFIRMING_EXECUTORS = 2;
/// An order is answered or times out within this: the time-out of the adapter and a margin.
constexpr milliseconds ORDER_TIMEOUT_MS{250};
/// How often the lifetime of an executor is confirmed for one order. More often than once only if
/// other orders take the confirmed connection.
constexpr int MAX_CONFIRMATIONS = 3;
/// Pause between holds of an executor that does not answer.
constexpr milliseconds HOLD_RETRY_MS{100};
/// The same for an executor at whose address another lifetime answers; a registration tells of its
/// next one.
constexpr milliseconds ENDED_EXECUTOR_RETRY_MS{500};
/// An executor whose lease expires counts as lost if it has not answered for at least this long.
/// Shorter than a lease less the time after which a missing answer is noticed.
constexpr milliseconds EXECUTOR_LOST_SILENCE_MS{300};
/// A stop that was not accepted is sent again after this: the time-out of an answer and a margin.
constexpr milliseconds STOP_RETRY_MS{300};
/// Runs that no coordinator claims after a takeover are stopped after this, or as soon as all live
/// daemons have stated that they have claimed theirs.
constexpr milliseconds RUN_CLAIM_TIMEOUT_MS{400};
/// A new owner waits at least this long for daemons from which it has not heard yet.
constexpr milliseconds MIN_CLAIM_WAIT_MS{100};
/// An executor that refuses an order as unhealthy or for lack of resources gets no work for this
/// long.
constexpr milliseconds BACK_OFF_MS{300};
/// Ends of runs are kept for coordinators that ask again after a lost connection.
constexpr milliseconds END_RETENTION_MS{15000};
/// Period of removing expired ends. Thousands are kept; iterating over them with every tick took a
/// twelfth of the daemons' processor time.
constexpr milliseconds END_PRUNE_INTERVAL_MS{1000};
/// Added to the run number after a refusal as old: a previous owner may have used higher ones.
constexpr std::uint64_t RUN_NUMBER_STEP = 8;
/// Daemons learn of a changed registration within this time of each other: their pause between
/// reads of the store is half of it.
constexpr milliseconds REGISTRATION_SETTLING_MS{1000};
/// For this long, a new owner also includes executors that only the previous owner knew: longer
/// than a lease.
constexpr milliseconds PREVIOUS_MEMBERS_MS{3000};
/// Period of lease, straggler and time-out checks.
constexpr milliseconds TICK_MS{50};
/// Minimum time between two load reports of a group.
constexpr milliseconds LOAD_REPORT_MS{25};
/// The same in a large deployment, to daemons of the same failure domain and to others: the number
/// of reports is that of groups times that of daemons.
constexpr milliseconds LARGE_LOAD_REPORT_MS{50};
constexpr milliseconds REMOTE_LOAD_REPORT_MS{200};
/// The same to small hosts of other failure domains, which have little processor to read reports.
/// Tasks that are placed by a report that is out of date are returned and placed again.
constexpr milliseconds SMALL_HOST_LOAD_REPORT_MS{600};
/// An unchanged load report is sent again after this.
constexpr milliseconds LOAD_REPEAT_MS{1000};

/// The answer to a start is overdue after a time between these, as measured. The lower one is above
/// the lag of an owner that waits for its processor; the upper one is the time-out of the adapter.
constexpr milliseconds MIN_ANSWER_LIMIT_MS{30};
constexpr milliseconds MAX_ANSWER_LIMIT_MS{200};
/// A hold waits at least this long for an end, to limit the number of messages.
constexpr milliseconds MIN_HOLD_WAIT_MS{60};
/// Executors list at most this many ends at once.
constexpr std::size_t MAX_LISTED_ENDS = 500;
/// An overdue stop or listing is repeated this often before it is left to the checks of each tick.
constexpr int MAX_EARLY_REPEATS = 4;
/// Overdue orders are looked for at most this often.
constexpr milliseconds OVERDUE_CHECK_MS{5};

/// A run is stopped when it exceeds its estimate, scaled to the executor's speed, by this factor.
/// Estimates are off by a factor of e^0.4 at one standard deviation; 4 is beyond three of them.
constexpr double STRAGGLER_FACTOR = 4;
/// Shorter runs are never stopped as stragglers.
constexpr milliseconds STRAGGLER_MIN_MS{250};

/// Consecutive failed runs after which an executor is ejected, and for how long.
constexpr int EJECT_FAILURES = 3;
constexpr milliseconds EJECT_MS{2000};

/// A task is given up when this many executors have provably crashed under it. After the first loss
/// it runs alone, so a task at fault takes no others with it.
constexpr std::size_t MAX_EXECUTOR_LOSSES = 2;
/// A task waits this long after its last loss for the proof that the executors have crashed: they
/// are back, or others are at their addresses, before their registrations expire after 4.5 s.
constexpr milliseconds LOSS_PROOF_WAIT_MS{5000};
/// The wait doubles with each further loss. After this many the task is not started again.
constexpr std::size_t MAX_UNPROVEN_LOSSES = 5;
/// A loss that is recorded this much later than an answer of the same lifetime may still be
/// earlier, since reports are delayed. Shorter than a lease, which separates two losses of a
/// lifetime.
constexpr milliseconds LOSS_ORDER_TOLERANCE_MS{700};
/// Losses are remembered for this long: the longest time that a caller waits for a job.
constexpr milliseconds LOSS_RETENTION_MS{600'000};
/// Daemons that put one run down to different lifetimes of its executor conclude its loss within
/// this time of each other: a lease, a takeover and the claims after it.
constexpr milliseconds SAME_RUN_WINDOW_MS{5000};
constexpr milliseconds LOSS_PRUNE_INTERVAL_MS{1000};
/// Tasks under which executors were lost; beyond this the oldest are forgotten.
constexpr std::size_t MAX_LOSS_RECORDS = 4096;
constexpr std::size_t MAX_LOSSES_PER_MESSAGE = 256;

/// Cancelled jobs are remembered for this long: the longest time that a caller waits for a job.
/// Copies of a submission arrive up to some seconds late.
constexpr milliseconds CANCEL_RETENTION_MS{600'000};
constexpr milliseconds CANCEL_PRUNE_INTERVAL_MS{1000};
/// Beyond this the oldest are forgotten. An entry takes about 200 bytes, so the record stays below
/// 4 MB of the 120 MB of the smallest host.
constexpr std::size_t MAX_CANCELLED_JOBS = 16'384;
/// The newest cancelled jobs that a peer gets which may lack them, and those in one message.
constexpr std::size_t MAX_CANCELS_PER_PEER = 4096;
constexpr std::size_t MAX_CANCELS_PER_MESSAGE = 256;
/// What was sent to a peer this long before its connection was lost may not have arrived: longer
/// than a silence after which a connection is replaced.
constexpr milliseconds CANCEL_LOSS_MARGIN_MS{5000};
/// For how long the other daemons may confirm a cancel. Callers wait 4 s for an acknowledgement; a
/// group without an owner has one again after 1.2 s.
constexpr milliseconds CANCEL_ANSWER_MS{2000};
/// Cancels that wait for other daemons at the same time.
constexpr std::size_t MAX_CANCEL_REQUESTS = 256;

/// An owner whose own read of the registrations is older than this asks a peer that has read
/// something else since: three pauses between its reads.
constexpr milliseconds REGISTRATIONS_OUTDATED_MS{1500};
/// It first waits this long for its own next read. The new capacity of an executor holds 4.5 s
/// after a change, of which the renewal and the peer's read take up to 2.3 s.
constexpr milliseconds REGISTRATIONS_DIFFER_MS{1000};
constexpr milliseconds REGISTRATIONS_REQUEST_INTERVAL_MS{500};
/// Registrations of more executors are not sent. One takes about 120 bytes.
constexpr std::size_t MAX_SENT_REGISTRATIONS = 2048;

/// Period of state messages between daemons.
constexpr milliseconds HEARTBEAT_MS{100};
/// A peer that is silent for this long counts as lost: four heartbeats and a margin.
constexpr milliseconds PEER_SILENCE_MS{500};
/// The same for a peer of another domain in a large deployment, which sends its state less often:
/// three of its messages. Callers submit a job again 1.3 s after a loss, when its tasks must have
/// ended.
constexpr milliseconds REMOTE_PEER_SILENCE_MS{900};
/// The same for a peer whose connection broke.
constexpr milliseconds BROKEN_PEER_SILENCE_MS{200};
/// The loss of a peer during a pause of this process is noticed within this time after it: the
/// longest of these limits, and two ticks.
constexpr milliseconds ORPHAN_DETECTION_MS{1000};
/// An unconfirmed claim expires when its owner has been silent for this much longer than the limit
/// for peers.
constexpr milliseconds CLAIM_MARGIN_MS{200};
/// A daemon that has just started or was paused waits this long, to learn the claims of others
/// before it makes its own.
constexpr milliseconds CLAIM_START_DELAY_MS{350};
/// Two ticks further apart than this mean that the process was paused: four periods.
constexpr milliseconds PAUSE_MS{200};
/// Messages that arrived during a pause have been read within this time after it.
constexpr milliseconds STALE_MESSAGES_MS{150};
/// Each candidate of the next lower rank waits this much longer before it claims a group.
constexpr milliseconds CLAIM_RANK_DELAY_MS{300};
/// A daemon in the group's own failure domain, on a host that is not small, takes the group back
/// from another one after this uptime.
constexpr milliseconds HOME_CLAIM_DELAY_MS{1500};
/// A host with at most this fraction (1/n) of the processor of the largest host of its failure
/// domain is small: its daemon owns groups only if no larger host is up.
constexpr std::uint32_t SMALL_HOST_RATIO = 3;
/// Above this number of peers, a deployment is large: daemons send only their own claims, and send
/// load and state to other failure domains less often.
constexpr std::size_t MAX_GOSSIP_PEERS = 16;
/// In a large deployment, one state message in this many also goes to other failure domains.
constexpr std::uint64_t REMOTE_STATE_EVERY = 3;
/// The same, in addition, between two daemons that own no group: neither has tasks at the other.
constexpr std::uint64_t IDLE_STATE_EVERY = 2;
/// Longer intervals that a peer states are not believed.
constexpr milliseconds MAX_STATE_INTERVAL_MS{1000};
/// A peer is lost when this many of its state messages are missing.
constexpr int MISSED_STATES = 3;
/// Up to this number, the executors of a failure domain form one group.
constexpr std::size_t MAX_UNDIVIDED_EXECUTORS = 40;
/// Larger sets are divided into groups of about this size, so that no host owns more than about 20.
constexpr std::size_t EXECUTORS_PER_GROUP = 12;
/// The number of groups changes in steps of this factor, so that adding or removing a few executors
/// does not change the division.
constexpr std::size_t GROUP_COUNT_FACTOR = 4;

/// Added to the round of a token when an executor has seen a higher token that no daemon claims.
constexpr std::uint64_t ROUND_STEP = 64;
/// The first round of a daemon that starts is this much above that of the daemon registered before
/// it.
constexpr std::uint64_t ROUNDS_PER_DAEMON = 1024;
/// Low bits of a token that tell daemons apart. Tokens stay below 2^53, which JSON numbers can
/// hold, up to daemon number 2^27.
constexpr int TOKEN_DAEMON_BITS = 16;

/// Wait before the next claim of a group from which this daemon was fenced; doubles each time. The
/// claim of the other daemon arrives within a heartbeat, or once its connection is up again.
constexpr milliseconds FENCE_WAIT_MS{1000};
constexpr int MAX_FENCE_DOUBLINGS = 3;
/// After this time without being fenced, the wait starts over.
constexpr milliseconds FENCE_RETENTION_MS{20000};
/// Claims that are repeated without a wait when executors refuse the first order under a new token.
constexpr int STALE_TOKEN_TRIES = 4;
/// Pause between probes of an unreachable group.
constexpr milliseconds PROBE_RETRY_MS{300};
/// Wait from the last failed probe until a claim: connections between daemons are up again by then.
constexpr milliseconds RECONNECT_WAIT_MS{1300};
/// Number of executors to which a probe is sent.
constexpr std::size_t PROBE_SIZE = 8;

/// A late result is still useful until this multiple of the objective.
constexpr double LATE_FACTOR = 3;
/// A job is not rejected for an expected wait below this share of the time in which its result is
/// useful.
constexpr double NEGLIGIBLE_WAIT_SHARE = 0.1;
/// Period of adjusting the shares of jobs that are rejected in proportion, and of deciding again on
/// jobs of which nothing has started. Forecasts change with each load report, every 25 to 200 ms.
constexpr milliseconds PRESSURE_INTERVAL_MS{100};
/// Forecasts of an owned group are reused for this long: a group that returns many tasks sends a
/// load report with each of them.
constexpr milliseconds FORECAST_REUSE_MS{20};
/// How often a task may be returned by groups whose load report was out of date. Each return costs
/// a message to the group and back.
constexpr std::uint32_t MAX_RETURNS = 2;
/// Estimates of the memory for a task: at the coordinator, beside its record, and at the owner of
/// its group, where its id is in the table of tasks and in two orders of the queue.
constexpr std::size_t COORDINATED_TASK_BYTES = 64;
constexpr std::size_t QUEUED_TASK_BYTES = 800;
/// The same for a job beside its record.
constexpr std::size_t COORDINATED_JOB_BYTES = 512;
/// Larger batches share half of the memory for tasks: those of about 80 tasks.
constexpr std::size_t SMALL_BATCH_BYTES = 64U << 10;
/// Retry-After of a job that finds no memory. Jobs of a crowd end within seconds.
constexpr std::chrono::seconds MEMORY_RETRY_S{1};
/// The same of a job that no known executor can run: a registration takes 1.5 s, a replacement of
/// executors some seconds.
constexpr std::chrono::seconds NO_EXECUTOR_RETRY_S{5};
/// Limits for one job.
constexpr std::uint32_t MAX_STEPS = 256;
constexpr std::uint32_t MAX_TASKS_PER_JOB = 4000;

} // namespace Dispatch::Constants
