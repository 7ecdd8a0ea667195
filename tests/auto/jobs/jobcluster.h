// Simulates several daemons, with the real coordinator, ownership and scheduler over fakes, and
// checks the invariants of requests after each time step.
#pragma once

#include <base/failure.h>
#include <jobs/coordinator.h>
#include <ownership/shardownership.h>
#include <scheduling/queuescheduler.h>
#include <support/fakepeernetwork.h>
#include <support/faketable.h>
#include <support/fakeworkers.h>
#include <support/processtimers.h>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace JobsTest {

using namespace std::chrono_literals;
using Base::DaemonId;
using Base::Epoch;
using Base::FailureCode;
using Base::RequestId;
using Base::ShardIndex;
using Base::UpstreamId;
using Jobs::RequestState;
using TestSupport::StartFault;
using TestSupport::TableFault;

const Base::FailureDomainId DOMAIN_ID("center");
const Base::TeamId TEAM("cellarwatch");

inline std::shared_ptr<Manifest::Manifest> makeManifest(std::uint32_t shards, int upstreams)
{
    auto manifest = std::make_shared<Manifest::Manifest>();
    manifest->revision = Base::Revision(1);
    manifest->domains = {DOMAIN_ID};
    manifest->shardsPerDomain = shards;
    const auto addKind = [&](const char *name, bool job, bool repeatable) {
        Manifest::Kind kind;
        kind.id = Base::KindId(name);
        kind.job = job;
        kind.repeatable = repeatable;
        kind.deadline = 8s;
        kind.declaredRunTime = 100ms;
        kind.upstreamGroups = {Base::UpstreamGroupId("all")};
        manifest->kinds[kind.id] = kind;
    };
    addKind("audit", true, false);
    addKind("ack", false, false);
    addKind("probe", false, true);
    for (int i = 0; i < upstreams; ++i) {
        Manifest::Upstream upstream;
        upstream.id = UpstreamId(fmt::format("w{}", i));
        upstream.group = Base::UpstreamGroupId("all");
        upstream.domain = DOMAIN_ID;
        upstream.slots = 12;
        upstream.connections = 60;
        manifest->upstreams[upstream.id] = upstream;
    }
    Manifest::Team team;
    team.id = TEAM;
    team.maxConcurrentJobs = 1000;
    team.maxQueuedTasks = 100'000;
    manifest->teams[TEAM] = team;
    return manifest;
}

inline Jobs::Submission makeSubmission(const std::string &kind, const std::string &key, int tasks)
{
    Jobs::Submission submission;
    submission.id = {TEAM, Base::RequestKey(key)};
    submission.kind = Base::KindId(kind);
    for (int i = 0; i < tasks; ++i)
        submission.payloads.push_back(fmt::format("\"{}-{}\"", key, i));
    submission.digest = Jobs::Submission::computeDigest(submission.kind, submission.payloads);
    return submission;
}

class JobCluster;

/// One incarnation of a daemon.
class JobDaemon : public Ownership::OwnershipObserver,
                  public Jobs::ShardAuthority,
                  public Jobs::JobObserver,
                  public Scheduling::TaskStarter,
                  public Wire::PeerListener
{
public:
    JobDaemon(JobCluster &cluster, Wire::PeerIdentity self, std::vector<DaemonId> peers);

    // Ownership::OwnershipObserver
    void shardAcquired(ShardIndex shard, Epoch epoch, bool recordsComplete) override
    {
        coordinator.shardAcquired(shard, epoch, recordsComplete);
    }
    void shardLost(ShardIndex shard) override { coordinator.shardLost(shard); }
    void requiredReplicasChanged(ShardIndex shard) override
    {
        coordinator.requiredReplicasChanged(shard);
    }
    void replicaJoinWanted(ShardIndex shard, const DaemonId &daemon,
                           Base::Incarnation incarnation) override
    {
        coordinator.replicaJoinWanted(shard, daemon, incarnation);
    }

    // Jobs::ShardAuthority
    std::optional<Epoch> leasedEpoch(ShardIndex shard) const override
    {
        return ownership.leasedEpoch(shard);
    }
    std::vector<DaemonId> requiredReplicas(ShardIndex shard) const override
    {
        return ownership.requiredReplicas(shard);
    }
    bool acceptsReplication(ShardIndex shard, Epoch epoch, const Wire::PeerIdentity &from) override
    {
        return ownership.acceptsReplication(shard, epoch, from);
    }
    Epoch highestKnownEpoch(ShardIndex shard) const override
    {
        return ownership.highestKnownEpoch(shard);
    }
    void ownershipRefused(ShardIndex shard, Epoch known) override
    {
        ownership.ownershipRefused(shard, known);
    }
    void addReplica(ShardIndex shard, const DaemonId &daemon, Base::Incarnation incarnation,
                    ShardAuthority::Callback callback) override
    {
        ownership.addReplica(shard, daemon, incarnation, std::move(callback));
    }

    // Jobs::JobObserver
    void taskStarted(const Jobs::JobRecord &record, std::size_t index,
                     const UpstreamId &upstream) override;

    // Scheduling::TaskStarter
    void startTask(Scheduling::TaskHandle task, const UpstreamId &upstream) override
    {
        coordinator.startTask(task, upstream);
    }

    // Wire::PeerListener
    void peerMessageReceived(const Wire::PeerIdentity &from, const Wire::Message &message) override
    {
        if (const auto *records = std::get_if<Wire::Replicate>(&message))
            coordinator.recordsReceived(from, *records);
        else if (const auto *ack = std::get_if<Wire::ReplicateAck>(&message))
            coordinator.acknowledgementReceived(from, *ack);
        else
            ownership.peerMessageReceived(from, message);
    }

    JobCluster &cluster;
    const Wire::PeerIdentity identity;
    TestSupport::ProcessTimers timers;
    TestSupport::FakeTableClient table;
    TestSupport::FakePeerPort port;
    TestSupport::FakeWorkerPort workerPort;
    Ownership::ShardOwnership ownership;
    Scheduling::QueueScheduler scheduler;
    Jobs::Coordinator coordinator;

private:
    void sendHeartbeats();
    std::vector<DaemonId> m_peers;
};

/// One request key: its submission and the outcome that callers have received.
struct KeyHistory
{
    Jobs::Submission submission;
    bool isRepeatable = false;
    std::optional<Jobs::RequestView> outcome;
};

class JobCluster
{
public:
    JobCluster(std::initializer_list<const char *> names, std::uint32_t shardCount = 2,
               int upstreams = 4, bool allFence = true)
        : ids(names.begin(), names.end())
        , manifest(makeManifest(shardCount, upstreams))
    {
        for (auto &[id, it] : manifest->upstreams)
            workers.workers[id];
        if (!allFence) {
            auto &[id, upstream] = *manifest->upstreams.begin();
            upstream.fencing = false;
            workers.workers[id].fencing = false;
        }
    }

    JobDaemon &start(const DaemonId &id)
    {
        std::vector<DaemonId> peers = ids;
        std::erase(peers, id);
        daemons.erase(id);
        auto &daemon = daemons[id];
        daemon = std::make_unique<JobDaemon>(
            *this, Wire::PeerIdentity{id, DOMAIN_ID, Base::Incarnation(++lastIncarnation)}, peers);
        daemon->ownership.start();
        return *daemon;
    }
    void startAll()
    {
        for (const DaemonId &it : ids)
            start(it);
    }
    void kill(const DaemonId &id) { daemons.erase(id); }

    JobDaemon *leaseHolder(ShardIndex shard) const
    {
        for (const auto &[id, daemon] : daemons) {
            if (daemon->ownership.holdsLease(shard))
                return daemon.get();
        }
        return nullptr;
    }
    ShardIndex shardOf(const RequestId &id) const { return Manifest::shardOf(*manifest, id).index; }

    void run(Base::Duration duration, Base::Duration step = 10ms)
    {
        for (Base::Duration done{}; done < duration; done += step) {
            clock.advance(step);
            checkStarts();
        }
    }

    void submit(JobDaemon &daemon, const Jobs::Submission &submission, bool isRepeatable = false)
    {
        KeyHistory &history = keys[submission.id];
        history.submission = submission;
        history.isRepeatable = isRepeatable;
        daemon.coordinator.submit(
            submission, 5s,
            [this, id = submission.id](const Jobs::Reply &reply) { checkReply(id, reply); });
    }

    /// Checks a reply against all earlier ones with the same key.
    void checkReply(const RequestId &id, const Jobs::Reply &reply)
    {
        ++replies;
        const Jobs::RequestView &view = reply.view;
        if (!reply.status.ok() || view.state == RequestState::Pending)
            return;
        KeyHistory &history = keys.at(id);
        const std::string key = id.key.value();
        const std::size_t n = history.submission.payloads.size();
        if (view.state == RequestState::Complete) {
            if (view.results.size() != n)
                violation(fmt::format("{}: incomplete results", key));
            for (std::size_t i = 0; i < view.results.size() && i < n; ++i) {
                if (view.results[i]
                    != TestSupport::FakeWorkers::resultOf(history.submission.payloads[i]))
                    violation(fmt::format("{}: wrong result of task {}", key, i));
            }
        } else if (!view.results.empty()) {
            violation(fmt::format("{}: results in an incomplete outcome", key));
        }
        if (view.state == RequestState::NotRun && startsOf(history) > 0)
            violation(fmt::format("{}: notRun after a start", key));
        // A refusal by admission control leaves no record, so it is not an outcome of the key.
        const bool isRefusal = view.failure == FailureCode::Overloaded
                               || view.failure == FailureCode::QuotaExceeded
                               || view.failure == FailureCode::DeadlineImpossible
                               || view.failure == FailureCode::Unservable;
        if (history.isRepeatable || (view.state == RequestState::NotRun && isRefusal))
            return;
        if (history.outcome && history.outcome->state != view.state
            && view.failure != FailureCode::KnowledgeLost) {
            violation(fmt::format("{}: outcome changed from {} ({}) to {} ({})", key,
                                  Jobs::requestStateName(history.outcome->state),
                                  Base::failureName(history.outcome->failure),
                                  Jobs::requestStateName(view.state),
                                  Base::failureName(view.failure)));
        }
        history.outcome = view;
        ++outcomes[view.state];
    }

    int startsOf(const KeyHistory &history) const
    {
        int n = 0;
        for (std::size_t i = 0; i < history.submission.payloads.size(); ++i)
            n += workers.startCount(Jobs::taskName(history.submission.id, i));
        return n;
    }

    void violation(const std::string &text)
    {
        if (!violated)
            BOOST_ERROR(text << " (seed " << seed << ")");
        violated = true;
    }

    void checkStarts()
    {
        for (const auto &[id, history] : keys) {
            if (history.isRepeatable)
                continue;
            for (std::size_t i = 0; i < history.submission.payloads.size(); ++i) {
                const auto it = workers.fencingStarts.find(Jobs::taskName(id, i));
                if (it != workers.fencingStarts.end() && it->second > 1)
                    violation(fmt::format("{}: task {} started twice", id.key.value(), i));
            }
            if (history.outcome && history.outcome->state == RequestState::NotRun
                && startsOf(history) > 0)
                violation(fmt::format("{}: started after notRun", id.key.value()));
        }
    }

    TestSupport::ManualTimers clock;
    TestSupport::FakeTable table{clock};
    TestSupport::FakePeerNetwork network{clock};
    TestSupport::FakeWorkers workers{clock};
    const std::vector<DaemonId> ids;
    std::shared_ptr<Manifest::Manifest> manifest;
    Jobs::CoordinatorLimits limits;
    std::map<DaemonId, std::unique_ptr<JobDaemon>> daemons;
    std::map<RequestId, KeyHistory> keys;
    std::map<RequestState, std::uint64_t> outcomes;
    std::uint64_t replies = 0;
    bool violated = false;
    std::uint64_t seed = 0;
    std::uint64_t lastIncarnation = 0;
};

inline JobDaemon::JobDaemon(JobCluster &owner, Wire::PeerIdentity self, std::vector<DaemonId> peers)
    : cluster(owner)
    , identity(std::move(self))
    , timers(cluster.clock)
    , table(cluster.table, timers)
    , port(cluster.network, identity, timers)
    , workerPort(cluster.workers, timers)
    , ownership({identity.daemon, identity.incarnation, DOMAIN_ID,
                 cluster.manifest->shardsPerDomain, peers},
                timers, table, port, *this)
    , scheduler(timers, *this)
    , coordinator({timers, workerPort, port, *this, scheduler, *this, DOMAIN_ID}, cluster.limits)
    , m_peers(std::move(peers))
{
    port.setListener(this);
    coordinator.setManifest(cluster.manifest);
    std::map<UpstreamId, Scheduling::UpstreamAvailability> availability;
    for (const auto &[id, it] : cluster.manifest->upstreams)
        availability[id] = {it.slots / static_cast<std::uint32_t>(cluster.ids.size()), false};
    scheduler.setAvailability(availability);
    sendHeartbeats();
}

inline void JobDaemon::taskStarted(const Jobs::JobRecord &record, std::size_t, const UpstreamId &)
{
    if (!record.isLocal() && ownership.leasedEpoch(record.shard.index) != record.epoch)
        cluster.violation(fmt::format("{}: start without the lease", record.id.key.value()));
}

inline void JobDaemon::sendHeartbeats()
{
    for (const DaemonId &it : m_peers)
        port.send(it, Wire::Heartbeat{0, ownership.ownedShards(), false, 0});
    timers.schedule(500ms, [this] { sendHeartbeats(); });
}

} // namespace JobsTest
