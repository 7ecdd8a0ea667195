// Messages between daemons. Each is a msgpack array; a frame holds the type number of a message and
// the message itself. Unknown types are rejected, so all daemons of a deployment have to run
// compatible versions.
#pragma once

#include <base/ids.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <msgpack.hpp>

namespace Wire {

/// First message on a connection in each direction; see PeerLink for the authentication.
struct Hello
{
    std::string daemon;
    std::string failureDomain;
    std::uint64_t incarnation = 0;
    std::string nonce;
    std::string proof;

    MSGPACK_DEFINE(daemon, failureDomain, incarnation, nonce, proof)
};

struct OwnedShard
{
    std::uint64_t shard = 0;
    std::uint64_t epoch = 0;

    MSGPACK_DEFINE(shard, epoch)
};

/// Sent periodically to the daemons of the same failure domain, and less often across domains.
struct Heartbeat
{
    std::uint64_t manifestRevision = 0;
    std::vector<OwnedShard> owned;
    bool draining = false;
    std::uint64_t queuedTasks = 0;
    std::uint64_t clockMs = 0; // the sender's hybrid clock, see EventLog::Stamp
    std::uint32_t clockCounter = 0;

    MSGPACK_DEFINE(manifestRevision, owned, draining, queuedTasks, clockMs, clockCounter)
};

struct LeaseRequest
{
    std::uint64_t sequence = 0;

    MSGPACK_DEFINE(sequence)
};

struct LeasePromise
{
    std::uint64_t sequence = 0;
    std::uint64_t takeovers = 0; // takeover writes that this run of the sender has sent so far

    MSGPACK_DEFINE(sequence, takeovers)
};

/// Records of a shard, from its owner to a replica.
struct Replicate
{
    std::uint64_t shard = 0;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::vector<std::string> records; // encoded by the jobs library
    bool snapshot = false;            // the records are part of a copy of the whole shard
    bool snapshotEnd = false;         // the last part of that copy
    std::uint64_t incompleteMs = 0;   // for how long the owner still lacks some earlier keys

    MSGPACK_DEFINE(shard, epoch, sequence, records, snapshot, snapshotEnd, incompleteMs)
};

struct ReplicateAck
{
    std::uint64_t shard = 0;
    std::uint64_t epoch = 0; // highest epoch known to the replica
    std::uint64_t sequence = 0;
    bool accepted = false;

    MSGPACK_DEFINE(shard, epoch, sequence, accepted)
};

/// Asks a replica to take over a shard that its owner has assigned to it in the table.
struct HandOver
{
    std::uint64_t shard = 0;
    std::uint64_t epoch = 0;

    MSGPACK_DEFINE(shard, epoch)
};

enum class ForwardOperation : std::uint8_t { Submit = 0, Status = 1, Cancel = 2, Tickets = 3 };

/// A caller's request, from the daemon that received it to the home of the request.
struct Forward
{
    std::uint64_t correlation = 0;
    std::uint8_t operation = 0;
    std::string team;
    std::string key;
    std::string body;           // the caller's JSON body
    std::uint64_t waitMs = 0;   // how long the reply may wait for the outcome
    std::uint64_t budgetMs = 0; // time left until the caller's deadline

    MSGPACK_DEFINE(correlation, operation, team, key, body, waitMs, budgetMs)
};

struct ForwardReply
{
    std::uint64_t correlation = 0;
    std::uint16_t status = 0; // HTTP status for the caller
    std::string body;
    std::string redirect; // daemon id of the shard's owner, if this daemon is not the owner

    MSGPACK_DEFINE(correlation, status, body, redirect)
};

/// Asks for, grants or returns a loan of slots of an upstream. A request has no duration. A grant
/// and a return carry the sequence number of the borrower's request.
struct SlotLoan
{
    std::string upstream;
    std::uint64_t slots = 0;
    std::uint64_t durationMs = 0;
    bool returned = false;
    std::uint64_t sequence = 0; // unique among all requests of the borrower, also across restarts

    MSGPACK_DEFINE(upstream, slots, durationMs, returned, sequence)
};

struct ManifestFetch
{
    std::uint64_t revision = 0; // the sender wants this revision or a higher one

    MSGPACK_DEFINE(revision)
};

struct ManifestBody
{
    std::uint64_t revision = 0;
    std::string body;

    MSGPACK_DEFINE(revision, body)
};

/// A claim to the ownership of a group of executors, as known to the sender.
struct GroupClaim
{
    std::string group;
    std::string owner; // daemon id
    std::uint64_t token = 0;
    std::uint64_t ageMs = 0; // since the sender heard from the owner, directly or through others

    MSGPACK_DEFINE(group, owner, token, ageMs)
};

/// States that the sender has claimed all tasks that it still has at a group of the recipient.
struct GroupClaimsEnd
{
    std::string group;
    std::uint64_t token = 0; // under which the recipient owns the group
    /// Tasks of the sender that are in no batch from this sequence on are not needed any more.
    std::uint64_t firstSequence = 0;

    MSGPACK_DEFINE(group, token, firstSequence)
};

/// Sent periodically to every daemon that dispatches tasks.
struct DispatchState
{
    bool draining = false;
    std::uint64_t heardAgoMs = 0;      // since the sender last heard from the recipient
    std::uint64_t connectionCount = 0; // how often the sender has connected to the recipient
    std::uint64_t dropCount = 0;       // how often the sender dropped the recipient's tasks as lost
    std::uint32_t capacity = 0;        // processor of the sender's host, thousandths of a core
    std::vector<GroupClaim> claims;
    std::uint32_t intervalMs = 0; // until the next state message to the recipient
    /// Digest of the executors' registrations, as the store had them registrationsAgeMs ago or
    /// later.
    std::uint64_t registrationsDigest = 0;
    std::uint32_t registrationsAgeMs = NO_AGE;
    std::vector<GroupClaimsEnd> claimsEnds; // rounds of claims that end with this message
    /// Messages that the sender understands besides those of the first version, as bits. A message
    /// of an unknown type ends the connection.
    std::uint32_t features = 0;

    static constexpr std::uint32_t CANCELLED_JOBS = 1; // CancelledJobs, CancelAnswer
    static constexpr std::uint32_t REGISTRATIONS = 2;  // RegistrationsRequest, Registrations

    /// The sender has not read them, or is of an older version.
    static constexpr std::uint32_t NO_AGE = UINT32_MAX;

    MSGPACK_DEFINE(draining, heardAgoMs, connectionCount, dropCount, capacity, claims, intervalMs,
                   registrationsDigest, registrationsAgeMs, claimsEnds, features)
};

/// Free resources of one executor.
struct ExecutorLoad
{
    std::string service;
    std::string rack;
    std::string kind; // label that tasks may require
    std::uint32_t freeCpuMillis = 0;
    std::uint32_t freeMemoryMb = 0;
    std::uint32_t freeGpus = 0;
    std::uint32_t cpuMillis = 0;      // total capacity
    std::uint32_t speedPercent = 100; // relative to the mean executor
    std::uint32_t leavingMs = 0;      // until the executor leaves by notice; 0: it does not

    MSGPACK_DEFINE(service, rack, kind, freeCpuMillis, freeMemoryMb, freeGpus, cpuMillis,
                   speedPercent, leavingMs)
};

/// Queued work of a group for one service and priority.
struct QueueLoad
{
    std::string service;
    std::uint32_t priority = 0;
    std::uint64_t cpuMillisSeconds = 0; // thousandths of a core times seconds, as estimated

    MSGPACK_DEFINE(service, priority, cpuMillisSeconds)
};

/// How long a task of this size would wait in a group if it arrived now.
struct WaitForecast
{
    std::string service;
    std::uint32_t priority = 0;
    std::uint32_t cpuMillis = 0; // size of the task, thousandths of a core
    std::uint32_t waitMs = 0;

    MSGPACK_DEFINE(service, priority, cpuMillis, waitMs)
};

/// Run times of the tasks of one service and priority, in percent of their estimates at the speed
/// of their executor.
struct RunTimeProfile
{
    std::string service;
    std::uint32_t priority = 0;
    std::uint32_t biasPercent = 100;   // geometric mean
    std::uint32_t spreadPercent = 100; // geometric standard deviation
    std::uint32_t longestPercent = 0;  // of runs that ended well; 0: not known

    MSGPACK_DEFINE(service, priority, biasPercent, spreadPercent, longestPercent)
};

/// Load of a group, from its owner to all daemons. Each report replaces the previous one.
struct GroupLoad
{
    std::string group;
    std::uint64_t token = 0;
    std::uint64_t batchesSeen = 0; // sequence of the recipient's last batch that is included
    std::vector<ExecutorLoad> executors;
    std::vector<QueueLoad> queues;
    std::vector<WaitForecast> forecasts;  // none: of an older version, or not stated
    std::vector<RunTimeProfile> runTimes; // none: of an older version, or not known

    MSGPACK_DEFINE(group, token, batchesSeen, executors, queues, forecasts, runTimes)
};

/// One task of a TaskBatch.
struct BatchTask
{
    std::uint32_t index = 0;
    std::uint64_t minRun = 1;    // the lowest run number that may be used
    bool mayHaveStarted = false; // a previous owner of the group may have started it
    std::string executor;        // where it was last reported as started; may be empty
    std::uint64_t lifetime = 0;  // of that executor; 0 if unknown
    std::uint64_t run = 0;       // that was reported as started there; 0 if unknown

    MSGPACK_DEFINE(index, minRun, mayHaveStarted, executor, lifetime, run)
};

/// Tasks of one step, from the coordinator of the job to the owner of a group.
struct TaskBatch
{
    std::string group;
    std::uint64_t sequence = 0; // rises with each batch from this sender to this group
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::string payload;
    std::string service;
    std::uint32_t priority = 0;
    std::uint32_t cpuMillis = 0;
    std::uint32_t memoryMb = 0;
    std::uint32_t gpus = 0;
    std::uint64_t estimateMs = 0;
    std::uint64_t objectiveMs = 0; // left until the job's objective; 0 if it has passed
    std::uint64_t deadlineMs = 0;  // left until no caller waits for the job
    std::uint64_t ageMs = 0;       // since the job was accepted
    std::string requiredLabel;
    std::string rack;                 // preferred
    std::uint32_t maxPerExecutor = 0; // 0: no limit
    std::vector<BatchTask> tasks;
    bool returnsUnplaced = false; // tasks that cannot start at once are returned, not queued
    /// Tasks of the job that were neither done nor running when the batch was sent, including those
    /// of the batch; and all of its tasks. 0: of an older version.
    std::uint32_t openTasks = 0;
    std::uint32_t totalTasks = 0;

    MSGPACK_DEFINE(group, sequence, job, occurrence, step, payload, service, priority, cpuMillis,
                   memoryMb, gpus, estimateMs, objectiveMs, deadlineMs, ageMs, requiredLabel, rack,
                   maxPerExecutor, tasks, returnsUnplaced, openTasks, totalTasks)
};

enum class TaskReportState : std::uint8_t {
    Started = 0,
    Done = 1,
    Failed = 2,   // the run ended as failed, which counts as an attempt
    Lost = 3,     // the run ended or was stopped without a result
    Returned = 4, // the task was never started by this owner and never will be
    GivenUp = 5,  // too many executors were lost under the task; it is not started any more
    Refused = 6,  // the executor refused the start for its order; nothing was run
    // The job can't end any more before its caller stops waiting: the task was not started, and the
    // owner has dropped it. The run is 0 if no earlier run of it is known. An older daemon ignores
    // this, and ends the job at its deadline.
    Expired = 7,
};

struct TaskReport
{
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::uint64_t run = 0;
    std::uint8_t state = 0; // a TaskReportState
    std::string executor;
    std::uint64_t lifetime = 0; // of the executor; 0 if unknown

    MSGPACK_DEFINE(occurrence, step, index, run, state, executor, lifetime)
};

/// State changes of tasks of one job, from the owner of a group to the coordinator of the job.
struct TaskReports
{
    std::string group;
    std::uint64_t batchesSeen = 0; // sequence of the recipient's last batch before these reports
    std::string job;
    std::vector<TaskReport> reports;

    MSGPACK_DEFINE(group, batchesSeen, job, reports)
};

/// Drops the queued tasks of a job and stops the running ones.
struct StopJob
{
    std::string group;
    std::string job;

    MSGPACK_DEFINE(group, job)
};

/// An executor that the owner of a group controls.
struct GroupMember
{
    std::string id;
    std::string address;
    std::string service;
    std::uint64_t lifetime = 0;
    bool draining = false;

    bool operator==(const GroupMember &) const = default;

    MSGPACK_DEFINE(id, address, service, lifetime, draining)
};

/// The executors of a group as its owner knows them, for the next owner.
struct GroupMembers
{
    std::string group;
    std::uint64_t token = 0;
    std::vector<GroupMember> members;

    bool operator==(const GroupMembers &) const = default;

    MSGPACK_DEFINE(group, token, members)
};

/// What the loss of a run says about the task, in ascending order.
enum class LostRunEvidence : std::uint8_t {
    Silence = 0,      // the executor did not answer; it may be unreachable
    Disconnected = 1, // it has probably crashed, perhaps before the run had started
    Started = 2,      // it has probably crashed while the run was active
};

/// A run that was lost together with its executor.
struct LostRun
{
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::string executor;
    std::uint64_t lifetime = 0; // of the executor; 0 if unknown
    std::uint64_t ageMs = 0;    // time since the loss
    std::uint8_t evidence = 0;  // a LostRunEvidence
    std::uint64_t run = 0;      // number of the run; 0 if unknown
    std::uint8_t grounds = 0;   // a Dispatch::LossGrounds, for logs
    std::string reporter;       // daemon that recorded the loss, for logs

    MSGPACK_DEFINE(job, occurrence, step, index, executor, lifetime, ageMs, evidence, run, grounds,
                   reporter)
};

/// What is known of a lifetime of an executor since runs were lost with it.
enum class LostExecutorState : std::uint8_t {
    Unproven = 0, // it may have ended, or the executor may be unreachable
    Ended = 1,
    Answered = 2, // the executor has answered in it since
};

struct LostExecutor
{
    std::string executor;
    std::uint64_t lifetime = 0; // 0 if unknown
    std::uint8_t state = 0;     // a LostExecutorState
    std::uint64_t ageMs = 0;    // time since the loss, or since the last change of the state

    MSGPACK_DEFINE(executor, lifetime, state, ageMs)
};

/// Runs that the sender knows to have been lost with their executors.
struct LostRuns
{
    std::vector<LostRun> runs;
    std::vector<LostExecutor> executors; // those that are not listed are unproven

    MSGPACK_DEFINE(runs, executors)
};

/// A job that its caller has cancelled.
struct CancelledJob
{
    std::string job;
    std::uint64_t ageMs = 0; // time since then

    MSGPACK_DEFINE(job, ageMs)
};

/// No task of these jobs may start any more. The recipient stops those that it coordinates or has
/// tasks of, and remembers the others.
struct CancelledJobs
{
    std::vector<CancelledJob> jobs;
    std::uint64_t correlation = 0; // of the CancelAnswer that the sender waits for; 0: none

    MSGPACK_DEFINE(jobs, correlation)
};

struct CancelAnswer
{
    std::uint64_t correlation = 0;
    bool wasCoordinator = false; // the sender coordinated one of the jobs
    bool hadTasks = false;       // the sender, as an owner of groups, had tasks of them

    MSGPACK_DEFINE(correlation, wasCoordinator, hadTasks)
};

/// Asks for the registered executors of failure domains.
struct RegistrationsRequest
{
    std::vector<std::string> domains;

    MSGPACK_DEFINE(domains)
};

/// A registered executor.
struct Registration
{
    std::string id;
    std::string address;
    std::string domain;
    std::string service;
    std::uint32_t cpuMillis = 0;
    std::uint32_t memoryMb = 0;
    std::uint32_t gpus = 0;
    std::string kind;
    std::string rack;
    bool draining = false;
    bool refusesOverload = false;
    std::uint64_t lifetime = 0; // 0 if not registered

    MSGPACK_DEFINE(id, address, domain, service, cpuMillis, memoryMb, gpus, kind, rack, draining,
                   refusesOverload, lifetime)
};

/// All executors of the failure domains, as the sender read them from the store ageMs ago or later.
struct Registrations
{
    std::vector<std::string> domains;
    std::uint64_t digest = 0; // as in DispatchState, of the executors of all domains
    std::uint32_t ageMs = 0;
    std::vector<Registration> executors;

    MSGPACK_DEFINE(domains, digest, ageMs, executors)
};

/// The index of an alternative is its type number on the wire: append only.
using Message =
    std::variant<Hello, Heartbeat, LeaseRequest, LeasePromise, Replicate, ReplicateAck, HandOver,
                 Forward, ForwardReply, SlotLoan, ManifestFetch, ManifestBody, DispatchState,
                 GroupLoad, TaskBatch, TaskReports, StopJob, GroupMembers, LostRuns, CancelledJobs,
                 CancelAnswer, RegistrationsRequest, Registrations>;

} // namespace Wire
