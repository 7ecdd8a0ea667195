// Service that runs the jobs library and the scheduler.
#pragma once

#include <cluster/clusterview.h>
#include <jobs/coordinator.h>
#include <kernel/service.h>
#include <manifestservice/manifestservice.h>
#include <membership/membershipservice.h>
#include <ownership/ownershipobserver.h>
#include <ownershipservice/ownershipservice.h>
#include <scheduling/queuescheduler.h>
#include <scheduling/slotshares.h>
#include <settings/runtime.h>
#include <telemetry/telemetryservice.h>

#include <memory>

namespace JobService {

/// Owns coordinator and scheduler and forwards ownership changes, membership and peer messages to
/// them.
class JobServiceImpl : public Kernel::Service,
                       public Wire::PeerListener,
                       public Ownership::OwnershipObserver,
                       public Scheduling::TaskStarter,
                       public Scheduling::SlotUser
{
public:
    JobServiceImpl(const Settings::Runtime &runtime, Jobs::JobObserver &observer);
    ~JobServiceImpl() override;

    absl::Status start(const Kernel::ServiceRegistry &registry) override;
    /// Hands the owned shards over, or finishes their requests if that is not possible.
    void drain(std::function<void()> done) override;
    void stop() override;

    Jobs::Coordinator &coordinator() { return *m_coordinator; }
    const Scheduling::QueueScheduler &scheduler() const { return *m_scheduler; }

    // Wire::PeerListener
    void peerMessageReceived(const Wire::PeerIdentity &from, const Wire::Message &message) override;
    // Ownership::OwnershipObserver
    void shardAcquired(Base::ShardIndex shard, Base::Epoch epoch, bool recordsComplete) override;
    void shardLost(Base::ShardIndex shard) override;
    void requiredReplicasChanged(Base::ShardIndex shard) override;
    void replicaJoinWanted(Base::ShardIndex shard, const Base::DaemonId &daemon,
                           Base::Incarnation incarnation) override;
    // Scheduling::TaskStarter
    void startTask(Scheduling::TaskHandle task, const Base::UpstreamId &upstream) override;
    // Scheduling::SlotUser
    std::uint32_t runningTasks(const Base::UpstreamId &upstream) const override;
    bool hasQueuedTasks() const override;
    void slotSharesChanged() override;

private:
    void updateSlotShares();
    void applySlotShares();
    void registerGauges();
    void recordLeaseEvent(EventLog::EventType type, Base::ShardIndex shard, Base::Epoch epoch);
    void handOverShards();
    void handOverShard(Base::ShardIndex shard);
    void checkDrained();
    /// Whether another daemon of the failure domain is alive and not draining.
    bool hasSuccessor() const;

    const Settings::Runtime m_runtime;
    Jobs::JobObserver &m_observer;
    Telemetry::TelemetryService *m_telemetry = nullptr;
    Cluster::ClusterView *m_cluster = nullptr;
    Membership::MembershipService *m_membership = nullptr;
    OwnershipService::OwnershipServiceImpl *m_ownership = nullptr;
    ManifestService::ManifestHolder::Snapshot m_manifest;
    std::unique_ptr<Scheduling::QueueScheduler> m_scheduler;
    std::unique_ptr<Jobs::Coordinator> m_coordinator;
    std::unique_ptr<Scheduling::SlotShares> m_shares;
    Base::TimerId m_slotSharesTimer;
    std::function<void()> m_drained; // set while draining
    Base::TimePoint m_drainDeadline;
    bool m_hasHandOverFailed = false;
};

} // namespace JobService
