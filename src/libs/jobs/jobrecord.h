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
    Waiting,  ///< Known not to have started.
    Started,  ///< Sent to an upstream; it may have started.
    Finished, ///< The result is stored.
};

struct TaskEntry
{
    TaskPhase phase = TaskPhase::Waiting;
    Base::UpstreamId upstream;              // valid unless waiting
    Scheduling::TaskHandle handle;          // valid while the scheduler knows the task
    Base::TimePoint startedAt;              // valid at the daemon that started it
    std::string result;                     // valid when finished
    int refusals = 0;                       // start attempts known not to have started it
    std::vector<Base::UpstreamId> excluded; // upstreams that must not receive the task again
};

enum class RecordPhase {
    Replica,    ///< Held for another daemon.
    Suspended,  ///< The lease lapsed; no other owner of the shard is known yet.
    Accepting,  ///< The request is being replicated; no task may start.
    Running,    ///< Tasks may start.
    Recovering, ///< After a takeover; workers are being asked what they have started.
    Deciding,   ///< The outcome is determined and being replicated; it is not visible yet.
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
    /// Increases with each accepted request, also across owners: distinguishes uses of one key.
    std::uint64_t serial = 0;
    Base::KindId kind;
    bool isSingle = false;
    bool isRepeatable = false;
    std::string digest;
    std::vector<std::string> payloads; // dropped once decided
    Base::TimePoint deadline;
    RecordPhase phase = RecordPhase::Replica;
    RecordPhase suspendedPhase = RecordPhase::Replica;            // valid while suspended
    Base::FailureCode suspendedFailure = Base::FailureCode::None; // decided after resuming
    std::optional<RequestView> outcome;        // set from Deciding on, and at replicas once known
    std::optional<Base::TimePoint> acceptedAt; // set only at the daemon that accepted it
    Base::TimePoint decidedAt;                 // valid with an outcome
    std::optional<Base::TimePoint> expiresAt;  // set for outcomes and replicas

    std::vector<TaskEntry> tasks;  // same size as payloads while running
    std::size_t startedCount = 0;  // tasks in phase Started or Finished
    std::size_t finishedCount = 0; // tasks in phase Finished
    bool isStartUncertain = false; // tasks may have started that startedCount does not include
    int attempts = 0;              // of a repeatable request
    Base::TimerId deadlineTimer;
    std::vector<Waiter> waiters;
    std::size_t bytes = 0; // size as accounted by the store

    bool isLocal() const { return shard.domain.isEmpty(); }
    bool isUndecided() const { return !outcome.has_value(); }
    /// Whether this daemon, as owner or entry daemon, holds the current state of the request.
    bool isAuthoritative() const
    {
        return phase != RecordPhase::Replica && phase != RecordPhase::Suspended;
    }
};

/// Encodes a record as msgpack for replication. \a remaining is the time to the deadline.
std::string encodeRecord(const JobRecord &record, Base::Duration remaining, bool withPayloads);
/// Decodes into a record in phase Replica. Times are set relative to \a now. Returns nothing for
/// bytes that are not a record.
std::optional<JobRecord> decodeRecord(std::string_view bytes, const Base::FailureDomainId &domain,
                                      Base::TimePoint now);

} // namespace Jobs
