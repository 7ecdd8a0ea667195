// Accepts requests, runs their tasks and determines their outcomes, for the shards that this daemon
// owns and for the repeatable requests that it received.
#pragma once

#include "jobobserver.h"
#include "jobrecord.h"
#include "recordstore.h"
#include "replicator.h"
#include "request.h"
#include "shardauthority.h"
#include "shardrecovery.h"
#include "stopbatcher.h"
#include "taskrunner.h"
#include "workerport.h"

#include <base/timers.h>
#include <manifest/manifest.h>
#include <scheduling/retrybudget.h>
#include <scheduling/taskscheduler.h>

#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace Jobs {

/// Dependencies of the coordinator. All references outlive it.
struct CoordinatorContext
{
    Base::Timers &timers;
    WorkerPort &workers;
    Wire::PeerPort &peers;
    ShardAuthority &authority;
    Scheduling::TaskScheduler &scheduler;
    JobObserver &observer;
    Base::FailureDomainId domain;
};

struct CoordinatorLimits
{
    std::uint32_t maxTasksPerJob = 2000;
    std::uint32_t maxConcurrentRequests = 2000;
    std::uint64_t maxRecordBytes = 128ULL << 20;
    std::chrono::seconds retention{600};
};

/// The state machine of requests; runs on the daemon's event loop. A request is accepted,
/// replicated, run and decided; the outcome is replicated before it becomes visible to callers.
class Coordinator : public Scheduling::TaskStarter
{
public:
    Coordinator(CoordinatorContext context, CoordinatorLimits limits);
    ~Coordinator() override;

    void setManifest(std::shared_ptr<const Manifest::Manifest> manifest);

    /// Replies when the request has an outcome or after \a wait. A resubmission gets the state of
    /// the first submission. \a handler is never called from within this function.
    void submit(const Submission &submission, Base::Duration wait, ReplyHandler handler);
    /// Replies like submit(); errors: unknownRequest, notOwner.
    void query(const Base::RequestId &id, Base::Duration wait, ReplyHandler handler);
    void cancel(const Base::RequestId &id, ReplyHandler handler);

    // Ownership.
    /// \a recordsComplete: false if records of earlier owners were lost in this ownership change.
    void shardAcquired(Base::ShardIndex shard, Base::Epoch epoch, bool recordsComplete);
    void shardLost(Base::ShardIndex shard);
    void requiredReplicasChanged(Base::ShardIndex shard);
    /// Copies the shard to \a daemon and lists it as a replica.
    void replicaJoinWanted(Base::ShardIndex shard, const Base::DaemonId &daemon,
                           Base::Incarnation incarnation);
    /// Stops starting tasks of \a shard; tasks in flight continue.
    void pauseShard(Base::ShardIndex shard);
    /// Starts tasks again after pauseShard().
    void resumeShard(Base::ShardIndex shard);

    // Messages of other daemons.
    void recordsReceived(const Wire::PeerIdentity &from, const Wire::Replicate &message);
    void acknowledgementReceived(const Wire::PeerIdentity &from, const Wire::ReplicateAck &ack);

    // Scheduling::TaskStarter
    void startTask(Scheduling::TaskHandle task, const Base::UpstreamId &upstream) override;

    /// Undecided requests that this daemon runs, as owner or as entry daemon.
    std::size_t activeCount() const { return m_activeCount; }
    /// Undecided repeatable requests, which can't be handed over.
    std::size_t activeLocalCount() const { return m_activeLocalCount; }
    const RecordStore &store() const { return m_store; }

private:
    struct TaskReference
    {
        Base::RequestId request;
        std::size_t index = 0;
        Base::Epoch epoch;
        Base::TimePoint startedAt;
    };

    Base::ShardId shardOf(const Submission &submission, bool isLocal) const;
    /// Fails a request instead of starting it, as its key may have run before records were lost.
    void acceptAsFailed(JobRecord record, Base::Duration wait, ReplyHandler handler);
    absl::Status checkSubmission(const Submission &submission) const;
    /// The reason why a new request can't be accepted now; OK if it can.
    Scheduling::Admission admit(const Submission &submission, Base::TimePoint deadline) const;
    JobRecord makeRecord(const Submission &submission) const;
    void accept(JobRecord record, Base::Duration wait, ReplyHandler handler);
    void startRunning(const Base::RequestId &id, Base::Epoch epoch);

    void addWaiter(JobRecord &record, Base::Duration wait, ReplyHandler handler);
    void replyLater(ReplyHandler handler, Reply reply);
    void notifyWaiters(JobRecord &record, const Reply &reply);

    void activate(JobRecord &record, RecordPhase phase);
    void deactivate(JobRecord &record);
    void armDeadline(JobRecord &record);
    void deadlinePassed(const Base::RequestId &id);

    void enqueueTask(JobRecord &record, std::size_t index);
    void requeueLater(const Base::RequestId &id, std::size_t index, Base::Epoch epoch,
                      Base::Duration delay);
    void taskEnded(Scheduling::TaskHandle handle, const TaskEnd &end);
    void applyTaskEnd(JobRecord &record, std::size_t index, const TaskEnd &end);
    void taskSucceeded(JobRecord &record, std::size_t index, const std::string &result);
    void taskNotStarted(JobRecord &record, std::size_t index, const TaskEnd &end);
    /// Retries a repeatable request at another upstream; returns false if that is not allowed.
    bool retryRepeatable(JobRecord &record, std::size_t index);

    /// Completes the request once all of its tasks have finished.
    void finishIfComplete(JobRecord &record);
    void decide(JobRecord &record, RequestView outcome);
    void decideFailure(JobRecord &record, Base::FailureCode code, std::string message);
    void outcomeReplicated(const Base::RequestId &id, Base::Epoch epoch);
    void publish(JobRecord &record);
    /// Withdraws the waiting tasks and requests the stop of the started ones.
    void stopTasks(JobRecord &record);
    void withdrawWaitingTasks(JobRecord &record);

    void startRecovery(Base::ShardIndex shard, Base::Epoch epoch);
    void taskReported(Base::ShardIndex shard, Base::Epoch epoch, const Base::UpstreamId &upstream,
                      const TaskReport &report);
    void attachTask(JobRecord &record, std::size_t index, const Base::UpstreamId &upstream);
    void recoveryDone(Base::ShardIndex shard, Base::Epoch epoch,
                      const std::vector<Base::UpstreamId> &uncertain);
    void resumeRecovered(JobRecord &record, const std::vector<Base::UpstreamId> &uncertain);
    void resumeSuspended(JobRecord &record);
    void prepareRecovery(JobRecord &record, Base::Epoch epoch);
    void replicateOutcome(JobRecord &record);
    void replicateNew(JobRecord &record);
    std::vector<std::string> encodedRecords(const Base::ShardId &shard);
    void storeReplica(JobRecord record);
    void dropOlderReplicas(const Base::ShardId &shard, Base::Epoch epoch);
    void sweep();

    /// The record, if this daemon runs it under \a epoch and its outcome is not final; else null.
    JobRecord *findActive(const Base::RequestId &id, Base::Epoch epoch);
    const Manifest::Kind *findKind(const Base::KindId &id) const;
    bool upstreamFences(const Base::UpstreamId &id) const;
    bool mayServe(const Manifest::Kind &kind, const Base::UpstreamId &upstream) const;
    std::vector<Base::UpstreamId> domainUpstreams() const;
    Base::Duration incompleteTime(Base::ShardIndex shard) const;

    CoordinatorContext m_context;
    CoordinatorLimits m_limits;
    std::shared_ptr<const Manifest::Manifest> m_manifest; // null until the first one arrives
    RecordStore m_store;
    StopBatcher m_stops;
    Replicator m_replicator;
    TaskRunner m_runner;
    Scheduling::RetryBudget m_retryBudget;
    std::unordered_map<Scheduling::TaskHandle, TaskReference>
        m_handles; // tasks known to the scheduler
    std::uint64_t m_lastHandle = 0;
    std::uint64_t m_lastSerial = 0; // highest of all records seen
    std::uint64_t m_lastWaiter = 0;
    std::size_t m_activeCount = 0;
    std::size_t m_activeLocalCount = 0; // part of m_activeCount
    std::map<Base::TeamId, std::size_t> m_activeByTeam;
    std::map<Base::ShardIndex, std::unique_ptr<ShardRecovery>> m_recoveries;
    std::set<Base::ShardId> m_pausedShards;
    // Shards with lost records: until this time an unknown key may have been used before.
    std::map<Base::ShardIndex, Base::TimePoint> m_incompleteUntil;
    Base::TimerId m_sweepTimer;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace Jobs
