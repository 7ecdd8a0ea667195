// Random schedules of requests and faults on three daemons. EP_RANDOM_RUNS sets their number and
// EP_RANDOM_SEED the first seed; to repeat a failed schedule, set its seed and one run.
// The build defines the module for every file, but only tst_jobs.cpp may contain main().
#undef BOOST_TEST_MODULE
#include "jobcluster.h"

#include <base/log.h>
#include <support/environmentnumber.h>

#include <cstdlib>
#include <random>

using namespace JobsTest;
using TestSupport::environmentNumber;

namespace {

class Schedule
{
public:
    explicit Schedule(std::uint64_t seed)
        : m_random(seed)
        , m_cluster({"a", "b", "c"}, 2, 4, draw(4) != 0)
    {
        m_cluster.seed = seed;
        m_cluster.workers.chooseRunTime = [this](const Jobs::StartOrder &) {
            return std::chrono::milliseconds(draw(8) == 0 ? 1000 + draw(3000) : 50 + draw(400));
        };
    }

    /// Returns whether all invariants held.
    bool run()
    {
        m_cluster.startAll();
        m_cluster.run(std::chrono::milliseconds(1000 + draw(3000)), 20ms);
        for (int step = 0; step < 400 && !m_cluster.violated; ++step) {
            for (Fault &it : m_faults) {
                if (it.end && step == it.endStep)
                    std::exchange(it.end, nullptr)();
                if (!it.end && draw(20) == 0) {
                    it.endStep = step + 1 + static_cast<int>(draw(150));
                    startRandomFault(it);
                }
            }
            if (draw(4) == 0)
                sendRandomCall();
            if (draw(120) == 0)
                handOver();
            m_cluster.run(20ms, 20ms);
        }
        for (Fault &it : m_faults) {
            if (it.end)
                std::exchange(it.end, nullptr)();
        }
        checkOutcomes();
        return !m_cluster.violated;
    }

    const JobCluster &cluster() const { return m_cluster; }

private:
    struct Fault
    {
        int endStep = 0;
        std::function<void()> end; // set while the fault is active
    };

    std::uint64_t draw(std::uint64_t bound)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_random);
    }
    DaemonId drawDaemon() { return m_cluster.ids[draw(m_cluster.ids.size())]; }
    JobDaemon *find(const DaemonId &id)
    {
        const auto it = m_cluster.daemons.find(id);
        return it == m_cluster.daemons.end() ? nullptr : it->second.get();
    }

    /// A running daemon to send a call to: mostly the owner, since others refuse.
    JobDaemon *drawCalledDaemon(const RequestId &id)
    {
        JobDaemon *daemon =
            draw(4) == 0 ? find(drawDaemon()) : m_cluster.leaseHolder(m_cluster.shardOf(id));
        return daemon && !daemon->timers.isPaused() ? daemon : nullptr;
    }

    void sendRandomCall()
    {
        if (m_cluster.keys.empty() || draw(3) == 0) {
            const std::uint64_t kind = draw(5);
            const std::string key = fmt::format("k{}", m_cluster.keys.size());
            const Jobs::Submission submission =
                kind < 3    ? makeSubmission("audit", key, 1 + static_cast<int>(draw(6)))
                : kind == 3 ? makeSubmission("ack", key, 1)
                            : makeSubmission("probe", key, 1);
            if (JobDaemon *daemon = drawCalledDaemon(submission.id))
                m_cluster.submit(*daemon, submission, kind == 4);
            return;
        }
        auto it = m_cluster.keys.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(draw(m_cluster.keys.size())));
        JobDaemon *daemon = drawCalledDaemon(it->first);
        if (!daemon)
            return;
        if (draw(8) == 0) {
            daemon->coordinator.cancel(it->first, [this, id = it->first](const Jobs::Reply &reply) {
                m_cluster.checkReply(id, reply);
            });
            return;
        }
        const KeyHistory history = it->second;
        m_cluster.submit(*daemon, history.submission, history.isRepeatable);
    }

    void startRandomFault(Fault &fault)
    {
        const DaemonId id = drawDaemon();
        const DaemonId peer = drawDaemon();
        JobDaemon *daemon = find(id);
        // Ends a fault of one process unless that process has terminated meanwhile.
        const auto ifSameRun = [this, id, run = m_cluster.lastIncarnation](auto action) {
            return [this, id, run, action] {
                JobDaemon *it = find(id);
                if (it && it->identity.incarnation.value() <= run)
                    action(*it);
            };
        };
        auto worker = m_cluster.workers.workers.begin();
        std::advance(worker, static_cast<std::ptrdiff_t>(draw(m_cluster.workers.workers.size())));
        TestSupport::FakeWorker *faulty = &worker->second;
        switch (draw(11)) {
        case 0:
            m_cluster.network.setPartitioned(id, peer, true);
            fault.end = [=, this] { m_cluster.network.setPartitioned(id, peer, false); };
            break;
        case 1:
            m_cluster.network.chooseDelay = [this]() -> std::optional<Base::Duration> {
                if (draw(3) == 0)
                    return {};
                return std::chrono::milliseconds(draw(900));
            };
            fault.end = [this] { m_cluster.network.chooseDelay = nullptr; };
            break;
        case 2:
            if (!daemon || daemon->timers.isPaused())
                return;
            daemon->timers.pause();
            fault.end = ifSameRun([](JobDaemon &it) { it.timers.resume(); });
            break;
        case 3:
        case 4:
            if (!daemon)
                return;
            m_cluster.kill(id);
            fault.end = [=, this] {
                if (!m_cluster.daemons.contains(id))
                    m_cluster.start(id);
            };
            break;
        case 5:
            m_cluster.table.down = true;
            fault.end = [this] { m_cluster.table.down = false; };
            break;
        case 6:
            m_cluster.table.latency = std::chrono::milliseconds(4 + draw(1500));
            m_cluster.table.delayedEffect = std::chrono::milliseconds(500 + draw(5000));
            m_cluster.table.chooseFault = [this] {
                return draw(2) == 0 ? TableFault::None : static_cast<TableFault>(1 + draw(4));
            };
            fault.end = [this] {
                m_cluster.table.latency = 4ms;
                m_cluster.table.chooseFault = nullptr;
            };
            break;
        case 7:
            faulty->reachable = false;
            fault.end = [=] { faulty->reachable = true; };
            break;
        case 8:
            faulty->failsTasks = true;
            fault.end = [=] { faulty->failsTasks = false; };
            break;
        case 9:
            m_cluster.workers.startDelay = std::chrono::milliseconds(draw(5000));
            m_cluster.workers.chooseStartFault = [this](const Jobs::StartOrder &) {
                return draw(2) == 0 ? StartFault::None : static_cast<StartFault>(1 + draw(5));
            };
            fault.end = [this] { m_cluster.workers.chooseStartFault = nullptr; };
            break;
        default:
            m_cluster.workers.chooseControlLoss = [this] { return draw(2) == 0; };
            fault.end = [this] { m_cluster.workers.chooseControlLoss = nullptr; };
        }
    }

    void handOver()
    {
        const ShardIndex shard(draw(m_cluster.manifest->shardsPerDomain));
        JobDaemon *owner = m_cluster.leaseHolder(shard);
        if (!owner || owner->timers.isPaused())
            return;
        const DaemonId to = drawDaemon();
        const DaemonId id = owner->identity.daemon;
        const auto run = owner->identity.incarnation;
        owner->coordinator.pauseShard(shard);
        owner->ownership.handOver(shard, to, [=, this](const absl::Status &status) {
            JobDaemon *it = find(id);
            if (!status.ok() && it && it->identity.incarnation == run)
                it->coordinator.resumeShard(shard);
        });
    }

    /// Checks that after the faults every key has an outcome at its owner within the longest
    /// deadline.
    void checkOutcomes()
    {
        m_cluster.run(20s, 100ms);
        for (const auto &[id, history] : m_cluster.keys) {
            JobDaemon *owner = m_cluster.leaseHolder(m_cluster.shardOf(id));
            if (!owner) {
                m_cluster.violation("a shard was not served again after the faults ended");
                return;
            }
            const Jobs::JobRecord *record = owner->coordinator.store().find(id);
            if (record && record->phase != Jobs::RecordPhase::Decided)
                m_cluster.violation(fmt::format("{}: without an outcome", id.key.value()));
            owner->coordinator.query(id, 1s, [this, id = id](const Jobs::Reply &reply) {
                m_cluster.checkReply(id, reply);
            });
        }
        m_cluster.run(2s, 100ms);
    }

    std::mt19937_64 m_random;
    JobCluster m_cluster;
    Fault m_faults[2];
};

} // namespace

// Guards rules R1 to R5 under combinations of two concurrent faults.
BOOST_AUTO_TEST_CASE(randomSchedulesKeepRules)
{
    // The faults cause many warnings.
    Base::setLogLevel(Base::LogLevel::Error);
    const std::uint64_t runs = environmentNumber("EP_RANDOM_RUNS", 3000);
    const std::uint64_t firstSeed = environmentNumber("EP_RANDOM_SEED", 1);
    BOOST_TEST_MESSAGE("first seed " << firstSeed << ", runs " << runs);
    std::uint64_t failed = 0;
    std::map<RequestState, std::uint64_t> outcomes;
    std::uint64_t stale = 0;
    for (std::uint64_t i = 0; i < runs; ++i) {
        BOOST_TEST_CHECKPOINT("seed " << firstSeed + i);
        Schedule schedule(firstSeed + i);
        if (!schedule.run())
            ++failed;
        for (const auto &[state, n] : schedule.cluster().outcomes)
            outcomes[state] += n;
        stale += schedule.cluster().workers.staleStarts;
    }
    BOOST_TEST_MESSAGE("answers: complete " << outcomes[RequestState::Complete] << ", failed "
                                            << outcomes[RequestState::Failed] << ", notRun "
                                            << outcomes[RequestState::NotRun]
                                            << "; starts refused by a fence " << stale);
    BOOST_TEST(failed == 0, failed << " of " << runs << " schedules failed");
}
