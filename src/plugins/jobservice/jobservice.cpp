// Connects coordinator and scheduler to the other services; hands shards over at shutdown.
#include "jobservice.h"

#include <base/failure.h>
#include <base/log.h>
#include <base/softassert.h>
#include <kernel/servicenames.h>
#include <kernel/serviceregistry.h>
#include <peerlink/peerlink.h>
#include <upstreamclient/upstreamclient.h>

#include <algorithm>
#include <utility>

namespace JobService {

using Base::FailureCode;

/// Interval at which live daemons and leaving hosts are checked, and slots are lent and returned.
static constexpr std::chrono::milliseconds SLOT_SHARES_INTERVAL_MS{200};
static constexpr std::size_t MAX_LOAN_REQUESTS = 32;

/// Most tasks end within a second. Longer ones rely on the worker refusing tasks beyond its slots,
/// which costs a wasted message; with a longer time, slots of a lost daemon would stay idle longer.
static Scheduling::SlotShareOptions slotShareOptions()
{
    Scheduling::SlotShareOptions options;
    options.maxTaskTime = std::chrono::seconds(1);
    options.membershipLag = std::chrono::seconds(1);
    options.loanDuration = std::chrono::seconds(1);
    return options;
}

static constexpr std::chrono::milliseconds DRAIN_CHECK_MS{50};
static constexpr std::chrono::milliseconds HAND_OVER_RETRY_MS{500};

JobServiceImpl::JobServiceImpl(const Settings::Runtime &runtime, Jobs::JobObserver &observer)
    : m_runtime(runtime)
    , m_observer(observer)
{}

JobServiceImpl::~JobServiceImpl() = default;

absl::Status JobServiceImpl::start(const Kernel::ServiceRegistry &registry)
{
    namespace Names = Kernel::ServiceNames;
    auto *link = registry.find<PeerLink::PeerLinkService>(Names::PEER_LINK);
    auto *workers = registry.find<Jobs::WorkerPort>(Names::UPSTREAM_CLIENT);
    auto *manifest = registry.find<ManifestService::ManifestHolder>(Names::MANIFEST);
    m_cluster = registry.find<Cluster::ClusterView>(Names::CLUSTER);
    m_membership = registry.find<Membership::MembershipService>(Names::MEMBERSHIP);
    m_ownership = registry.find<OwnershipService::OwnershipServiceImpl>(Names::OWNERSHIP);
    m_telemetry = registry.find<Telemetry::TelemetryService>(Names::TELEMETRY);
    EP_ASSERT(link && workers && manifest && m_cluster && m_membership && m_ownership
                  && m_telemetry,
              return Base::makeFailure(FailureCode::Internal, "jobs: missing service"));
    const Settings::LimitSettings &limits = m_runtime.settings.limits;
    Scheduling::SchedulerOptions options;
    options.maxQueuedTasks = limits.maxQueuedTasks;
    m_scheduler = std::make_unique<Scheduling::QueueScheduler>(
        m_runtime.timers, *this, Scheduling::makeFastestFreePolicy(), options);
    Jobs::CoordinatorLimits coordinatorLimits;
    coordinatorLimits.maxTasksPerJob = limits.maxTasksPerJob;
    coordinatorLimits.maxConcurrentRequests = limits.maxConcurrentJobs;
    coordinatorLimits.maxRecordBytes = limits.maxRecordBytes;
    coordinatorLimits.retention = limits.retention;
    m_coordinator = std::make_unique<Jobs::Coordinator>(
        Jobs::CoordinatorContext{m_runtime.timers, *workers, *link, *m_ownership, *m_scheduler,
                                 m_observer, m_runtime.settings.domain},
        coordinatorLimits);
    m_shares = std::make_unique<Scheduling::SlotShares>(m_runtime.timers, *link, *this,
                                                        m_runtime.settings.daemon,
                                                        m_runtime.incarnation, slotShareOptions());
    registerGauges();
    link->addListener(this);
    m_cluster->setLoadProvider([this] { return m_scheduler->queuedCount(); });
    m_membership->observe([this] { applySlotShares(); });
    m_ownership->setObserver(this);
    manifest->observe([this](const ManifestService::ManifestHolder::Snapshot &snapshot) {
        m_manifest = snapshot;
        m_coordinator->setManifest(snapshot);
        updateSlotShares();
    });
    return absl::OkStatus();
}

void JobServiceImpl::registerGauges()
{
    const auto add = [this](const char *name, const char *help, auto value) {
        m_telemetry->metrics().setGauge(name, help,
                                        [value] { return static_cast<double>(value()); });
    };
    add("endivepath_leases", "Shards whose lease this daemon holds.",
        [this] { return m_ownership->ownedShards().size(); });
    add("endivepath_active_requests", "Requests without a final outcome.",
        [this] { return m_coordinator->activeCount(); });
    add("endivepath_records", "Records held, including replicas for other daemons.",
        [this] { return m_coordinator->store().count(); });
    add("endivepath_record_bytes", "Memory used by the records, in bytes.",
        [this] { return m_coordinator->store().bytes(); });
    add("endivepath_queued_tasks", "Tasks waiting for a slot.",
        [this] { return m_scheduler->queuedCount(); });
    add("endivepath_started_tasks", "Tasks occupying a slot.",
        [this] { return m_scheduler->startedCount(); });
}

void JobServiceImpl::recordLeaseEvent(EventLog::EventType type, Base::ShardIndex shard,
                                      Base::Epoch epoch)
{
    const Base::ShardId id{m_runtime.settings.domain, shard};
    EventLog::EventInfo event;
    event.type = type;
    event.shard = &id;
    event.epoch = epoch;
    m_telemetry->record(event);
}

void JobServiceImpl::stop()
{
    m_runtime.timers.cancel(m_slotSharesTimer);
}

void JobServiceImpl::updateSlotShares()
{
    m_runtime.timers.cancel(m_slotSharesTimer);
    m_slotSharesTimer =
        m_runtime.timers.schedule(SLOT_SHARES_INTERVAL_MS, [this] { updateSlotShares(); });
    std::map<Base::UpstreamId, std::uint32_t> slots;
    for (const auto &[id, upstream] : m_manifest->upstreams) {
        if (upstream.domain == m_runtime.settings.domain)
            slots[id] = upstream.slots;
    }
    std::set<Base::DaemonId> daemons{m_runtime.settings.daemon};
    for (const Settings::PeerSettings &it : m_runtime.settings.peers) {
        if (it.domain == m_runtime.settings.domain && m_cluster->isAlive(it.daemon))
            daemons.insert(it.daemon);
    }
    m_shares->setUpstreams(slots);
    m_shares->setLiveDaemons(daemons);
    m_shares->exchangeLoans(MAX_LOAN_REQUESTS);
    applySlotShares();
}

void JobServiceImpl::applySlotShares()
{
    if (!m_manifest)
        return;
    std::map<Base::UpstreamId, Scheduling::UpstreamAvailability> availability;
    for (const auto &[id, upstream] : m_manifest->upstreams) {
        if (upstream.domain != m_runtime.settings.domain)
            continue;
        const bool isLive = m_membership->hostState(upstream.host) == Storage::HostState::Live;
        availability[id] = {m_shares->usableSlots(id), !isLive};
    }
    m_scheduler->setAvailability(availability);
}

std::uint32_t JobServiceImpl::runningTasks(const Base::UpstreamId &upstream) const
{
    const Scheduling::UpstreamPool &pool = m_scheduler->pool();
    const Scheduling::UpstreamIndex *index = pool.find(upstream);
    return index ? pool.upstream(*index).inUse : 0;
}

bool JobServiceImpl::hasQueuedTasks() const
{
    return m_scheduler->queuedCount() > 0;
}

void JobServiceImpl::slotSharesChanged()
{
    applySlotShares();
}

void JobServiceImpl::startTask(Scheduling::TaskHandle task, const Base::UpstreamId &upstream)
{
    m_coordinator->startTask(task, upstream);
}

void JobServiceImpl::peerMessageReceived(const Wire::PeerIdentity &from,
                                         const Wire::Message &message)
{
    if (const auto *replicate = std::get_if<Wire::Replicate>(&message))
        m_coordinator->recordsReceived(from, *replicate);
    else if (const auto *ack = std::get_if<Wire::ReplicateAck>(&message))
        m_coordinator->acknowledgementReceived(from, *ack);
    else if (const auto *loan = std::get_if<Wire::SlotLoan>(&message))
        m_shares->loanReceived(from.daemon, *loan);
}

void JobServiceImpl::shardAcquired(Base::ShardIndex shard, Base::Epoch epoch, bool recordsComplete)
{
    recordLeaseEvent(EventLog::EventType::LeaseGained, shard, epoch);
    if (!recordsComplete)
        Base::log(Base::LogLevel::Error, "recordsLost", {{"shard", shard}, {"epoch", epoch}});
    m_coordinator->shardAcquired(shard, epoch, recordsComplete);
    m_cluster->scheduleAnnouncement();
}

void JobServiceImpl::shardLost(Base::ShardIndex shard)
{
    recordLeaseEvent(EventLog::EventType::LeaseLost, shard, {});
    m_coordinator->shardLost(shard);
}

void JobServiceImpl::requiredReplicasChanged(Base::ShardIndex shard)
{
    m_coordinator->requiredReplicasChanged(shard);
}

void JobServiceImpl::replicaJoinWanted(Base::ShardIndex shard, const Base::DaemonId &daemon,
                                       Base::Incarnation incarnation)
{
    m_coordinator->replicaJoinWanted(shard, daemon, incarnation);
}

void JobServiceImpl::drain(std::function<void()> done)
{
    m_drained = std::move(done);
    m_drainDeadline = m_runtime.timers.now() + m_runtime.settings.drain.grace;
    handOverShards();
    checkDrained();
}

void JobServiceImpl::handOverShards()
{
    for (const Wire::OwnedShard &it : m_ownership->ownedShards())
        handOverShard(Base::ShardIndex(it.shard));
    m_runtime.timers.schedule(HAND_OVER_RETRY_MS, [this] {
        if (m_drained)
            handOverShards();
    });
}

void JobServiceImpl::handOverShard(Base::ShardIndex shard)
{
    const auto replicas = m_ownership->requiredReplicas(shard);
    const auto target =
        std::find_if(replicas.begin(), replicas.end(), [this](const Base::DaemonId &it) {
            const auto state = m_cluster->peers().find(it);
            return m_cluster->isAlive(it) && !state->second.isDraining;
        });
    if (target == replicas.end())
        return;
    m_coordinator->pauseShard(shard);
    m_ownership->ownership()->handOver(shard, *target, [this, shard](const absl::Status &status) {
        if (status.ok())
            return;
        Base::log(Base::LogLevel::Warning, "handOverFailed",
                  {{"shard", shard}, {"reason", Base::failureMessage(status)}});
        m_hasHandOverFailed = true;
        m_coordinator->resumeShard(shard);
    });
}

bool JobServiceImpl::hasSuccessor() const
{
    const auto &peers = m_cluster->peers();
    return std::any_of(peers.begin(), peers.end(), [this](const auto &it) {
        return it.second.domain == m_runtime.settings.domain && !it.second.isDraining
               && m_cluster->isAlive(it.first);
    });
}

void JobServiceImpl::checkDrained()
{
    const bool isDone = m_coordinator->activeCount() == 0 && m_ownership->ownedShards().empty();
    // Without the platform a shard can't be handed over, so its requests are finished here instead.
    const bool canStopWithoutHandOver =
        m_coordinator->activeCount() == 0 && (m_hasHandOverFailed || !hasSuccessor());
    if (isDone || canStopWithoutHandOver || m_runtime.timers.now() >= m_drainDeadline) {
        if (!isDone && !canStopWithoutHandOver) {
            Base::log(Base::LogLevel::Error, "drainIncomplete",
                      {{"requests", m_coordinator->activeCount()}});
        }
        std::exchange(m_drained, {})();
        return;
    }
    m_runtime.timers.schedule(DRAIN_CHECK_MS, [this] { checkDrained(); });
}

} // namespace JobService
