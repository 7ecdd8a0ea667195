// Timing and limits of the dispatch library. Bounds named here come from the platform's contract.
#pragma once

#include <chrono>
#include <cstdint>

namespace Dispatch::Constants {

using std::chrono::milliseconds;

/// How long a lease on an executor lasts; the executors shorten longer ones to this.
constexpr milliseconds LEASE_MS{1000};
/// An executor's clock may be 2 % slow, so a lease may last this much longer here.
constexpr milliseconds LEASE_SLACK_MS{40};
/// Long enough to cost few messages, short enough to leave time for a second try within a lease.
constexpr milliseconds HOLD_WAIT_MS{300};
/// While a peer is lost, an owner with runs asks each executor at least this often whether it still
/// accepts its token. Bounds for how long an owner that does not hear of a claim goes on.
constexpr milliseconds CONFIRM_MS{400};
/// For how long after the loss of a peer: longer than the latest claims that follow it.
constexpr milliseconds CONTESTED_MS{6000};
/// An order is answered or given up within this: the limit of the adapter and a margin.
constexpr milliseconds ORDER_TIMEOUT_MS{250};
/// Pause between tries to reach an executor that does not answer.
constexpr milliseconds LOOK_RETRY_MS{100};
/// A stop that was not accepted is sent again after this: an answer's time-out and a margin.
constexpr milliseconds STOP_REPEAT_MS{300};
/// Runs that no daemon claims after a takeover are stopped after this; coordinators claim theirs
/// within a heartbeat and a message.
constexpr milliseconds CLAIM_WINDOW_MS{400};
/// An executor that refuses orders as unhealthy or without room is left alone for this long.
constexpr milliseconds BACK_OFF_MS{300};
/// Ends are remembered for coordinators that ask again after a lost connection.
constexpr milliseconds END_MEMORY_MS{15000};
/// Thousands of ends are remembered; passing through them with every tick took a
/// twelfth of the daemons' processor time.
constexpr milliseconds END_PRUNE_MS{1000};
/// Added to the run number after a refusal as old: an earlier owner may have used more runs.
constexpr std::uint64_t RUN_NUMBER_STEP = 8;
/// Daemons learn of a changed registration within this time of each other: their pause between
/// reads of the store is half of it.
constexpr milliseconds LIST_SETTLING_MS{1000};
/// A new owner looks at executors that only the earlier owner knew for this long: longer than a
/// lease.
constexpr milliseconds CLAIM_MEMBERS_MS{3000};
/// Period of lease, straggler and time-out checks.
constexpr milliseconds TICK_MS{50};
/// Least time between two load reports of a group.
constexpr milliseconds LOAD_REPORT_MS{25};
/// The same in a large deployment, to daemons of the domain and to others: there are as many
/// reports as groups times daemons.
constexpr milliseconds LARGE_LOAD_REPORT_MS{50};
constexpr milliseconds REMOTE_LOAD_REPORT_MS{200};
/// A load report is repeated after this even if nothing has changed.
constexpr milliseconds LOAD_REPEAT_MS{1000};

/// A run is given up when it exceeds its estimate by this factor, at the executor's speed.
/// Estimates are off by a factor of e^0.4 at one standard deviation; 4 is beyond three of them.
constexpr double STRAGGLER_FACTOR = 4;
constexpr milliseconds STRAGGLER_MIN_MS{250};

/// Consecutive failed runs after which an executor is ejected.
constexpr int EJECT_FAILURES = 3;
constexpr milliseconds EJECT_MS{2000};

/// Period of state messages between daemons.
constexpr milliseconds HEARTBEAT_MS{100};
/// A peer that is silent for this long counts as lost: four heartbeats and a margin.
constexpr milliseconds PEER_SILENCE_MS{500};
/// The same for a peer of another domain in a large deployment, which sends its state less often:
/// three of its messages. Callers send a job again 1.3 s after a loss, when its tasks must be over.
constexpr milliseconds REMOTE_PEER_SILENCE_MS{900};
/// The same for a peer whose connection broke.
constexpr milliseconds BROKEN_PEER_SILENCE_MS{200};
/// A claim that nobody has confirmed has lapsed when its owner has been silent this much longer
/// than a peer may be.
constexpr milliseconds CLAIM_MARGIN_MS{200};
/// A daemon that has just started first learns the claims of others.
constexpr milliseconds CLAIM_START_DELAY_MS{350};
/// Two checks further apart than this mean that the process was paused: four periods.
constexpr milliseconds PAUSE_MS{200};
/// Messages that waited through a pause have been read by this time after it.
constexpr milliseconds STALE_MESSAGES_MS{150};
/// Each further candidate waits this much longer before it claims.
constexpr milliseconds CLAIM_RANK_DELAY_MS{300};
/// A daemon of the group's own domain takes the group back after it has been up for this long.
constexpr milliseconds HOME_CLAIM_DELAY_MS{1500};
/// Above this number of peers, daemons tell each other only their own claims, and load and state go
/// to other failure domains less often.
constexpr std::size_t MAX_GOSSIP_PEERS = 16;
/// In such a deployment only every so many state messages go to other domains.
constexpr std::uint64_t REMOTE_STATE_EVERY = 3;
/// The executors of a failure domain form one group up to this number...
constexpr std::size_t MAX_UNDIVIDED_EXECUTORS = 40;
/// ...and above it are divided, so that no host has to order more than about 20.
constexpr std::size_t EXECUTORS_PER_GROUP = 12;
/// Numbers of groups rise by this factor, so that a few executors more or less change nothing.
constexpr std::size_t GROUP_COUNT_FACTOR = 4;

/// Added to the round after a refusal by an executor whose higher token nobody claims.
constexpr std::uint64_t ROUND_STEP = 64;
/// Rounds of a daemon that starts begin this much above those of the daemon registered before it.
constexpr std::uint64_t ROUNDS_PER_DAEMON = 1024;
/// Low bits of a token that tell daemons apart. Tokens stay below 2^53, which JSON numbers can
/// hold, up to daemon number 2^27.
constexpr int TOKEN_DAEMON_BITS = 16;

/// Wait before the next claim of a group from which this daemon was fenced; doubles each time. The
/// claim of the other daemon arrives within a heartbeat, or after its connection is up again.
constexpr milliseconds FENCE_WAIT_MS{1000};
constexpr int MAX_FENCE_DOUBLINGS = 3;
constexpr milliseconds FENCE_MEMORY_MS{20000};
/// Claims that are tried at once when the executors refuse the first order under a new token.
constexpr int STALE_TOKEN_TRIES = 4;
/// Pause between probes of a group that can't be reached.
constexpr milliseconds PROBE_RETRY_MS{300};
/// From the last failed probe until a claim: connections between daemons are up again by then.
constexpr milliseconds HEAL_WAIT_MS{1300};
/// Executors that are asked by a probe.
constexpr std::size_t PROBE_SIZE = 8;

/// Late results are worth something until this multiple of the objective.
constexpr double LATE_FACTOR = 3;
/// A wait below this share of the useful time does not count against a job.
constexpr double FREE_WAIT_SHARE = 0.1;
/// Bounds of what one job may ask for.
constexpr std::uint32_t MAX_STEPS = 256;
constexpr std::uint32_t MAX_TASKS_PER_JOB = 4000;

} // namespace Dispatch::Constants
