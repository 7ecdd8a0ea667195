// The record of one request, at its owner, at a replica, or at the entry daemon that runs it.
#pragma once

#include "request.h"

#include <base/ids.h>
#include <base/timers.h>
#include <scheduling/taskscheduler.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Jobs {

enum class TaskPhase {
    Waiting,  ///< Certainly not started.
    Started,  ///< Sent to an upstream; it may have started.
    Finished, ///< The result is held.
};

struct TaskEntry
{
    TaskPhase phase = TaskPhase::Waiting;
    Base::UpstreamId upstream;              // valid unless waiting
    Scheduling::TaskHandle handle;          // valid while the scheduler knows the task
    Base::TimePoint startedAt;              // valid at the daemon that started it
    std::string result;                     // valid when finished
    int refusals = 0;                       // starts that certainly did not happen
    std::vector<Base::UpstreamId> excluded; // upstreams that must not be given the task again
};

enum class RecordPhase {
    Replica,    ///< Held for another daemon.
    Suspended,  ///< The lease lapsed; nobody else is known to own the shard yet.
    Accepting,  ///< Being replicated; no task may start.
    Running,    ///< Tasks may start.
    Recovering, ///< After a takeover; workers are being asked what they have started.
    Deciding,   ///< The outcome is chosen and being replicated; nobody has seen it.
    Decided,    ///< The outcome is final and visible.
};

struct Waiter
{
    std::uint64_t id = 0;
    ReplyHandler handler;
    Base::TimerId timer;
};

struct JobRecord
{
    Base::RequestId id;
    Base::ShardId shard; // domain is empty for a request that runs at its entry daemon
    Base::Epoch epoch;   // of the owner that holds or sent the record
    /// Grows with each accepted request, also over owners: tells uses of one key apart.
    std::uint64_t serial = 0;
    Base::KindId kind;
    bool isSingle = false;
    bool isRepeatable = false;
    std::string digest;
    std::vector<std::string> payloads; // dropped once decided
    Base::TimePoint deadline;
    RecordPhase phase = RecordPhase::Replica;
    RecordPhase suspendedPhase = RecordPhase::Replica;            // valid while suspended
    Base::FailureCode suspendedFailure = Base::FailureCode::None; // to be decided after resuming
    std::optional<RequestView> outcome;        // set from Deciding on, and at replicas once known
    std::optional<Base::TimePoint> acceptedAt; // set only at the daemon that accepted it
    Base::TimePoint decidedAt;                 // valid with an outcome
    std::optional<Base::TimePoint> expiresAt;  // set for outcomes and replicas

    std::vector<TaskEntry> tasks;  // same size as payloads while running
    std::size_t startedCount = 0;  // tasks in phase Started or Finished
    std::size_t finishedCount = 0; // tasks in phase Finished
    bool isStartUncertain = false; // an earlier owner may have started tasks that we don't know
    int attempts = 0;              // of a repeatable request
    Base::TimerId deadlineTimer;
    std::vector<Waiter> waiters;
    std::size_t bytes = 0; // as accounted by the store

    bool isLocal() const { return shard.domain.isEmpty(); }
    bool isUndecided() const { return !outcome.has_value(); }
    /// Whether this daemon speaks for the record.
    bool isHeldHere() const
    {
        return phase != RecordPhase::Replica && phase != RecordPhase::Suspended;
    }
};

/// The replicated form of a record: msgpack. \a remaining is the time to the deadline.
std::string encodeRecord(const JobRecord &record, Base::Duration remaining, bool withPayloads);
/// Decodes into a record in phase Replica. Times are set relative to \a now. Returns nothing for
/// bytes that are not a record.
std::optional<JobRecord> decodeRecord(std::string_view bytes, const Base::FailureDomainId &domain,
                                      Base::TimePoint now);

} // namespace Jobs
