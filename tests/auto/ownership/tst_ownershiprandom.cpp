// Random schedules of faults with three daemons. EP_RANDOM_RUNS sets their number and
// EP_RANDOM_SEED the first seed; a failing schedule is repeated with its seed and one run.
// The build defines the module for every file, but only tst_ownership.cpp may contain main().
#undef BOOST_TEST_MODULE
#include "daemoncluster.h"

#include <base/log.h>
#include <support/environmentnumber.h>

#include <cstdlib>
#include <random>

using namespace OwnershipTest;
using TestSupport::environmentNumber;

namespace {

class Schedule
{
public:
    explicit Schedule(std::uint64_t seed)
        : m_random(seed)
    {
        m_cluster.seed = seed;
    }

    /// Returns whether all invariants held.
    bool run()
    {
        m_cluster.startAll();
        m_cluster.run(std::chrono::milliseconds(draw(6000)), 20ms);
        for (int step = 0; step < 600 && !m_cluster.violated; ++step) {
            for (Fault &it : m_faults) {
                if (it.end && step == it.endStep)
                    std::exchange(it.end, nullptr)();
                if (!it.end && draw(20) == 0) {
                    it.endStep = step + 1 + static_cast<int>(draw(200));
                    begin(it);
                }
            }
            if (draw(5) == 0)
                m_cluster.commitRecord(ShardIndex(draw(m_cluster.shards)));
            if (draw(100) == 0)
                handOver(ShardIndex(draw(m_cluster.shards)));
            m_cluster.run(20ms, 20ms);
        }
        for (Fault &it : m_faults) {
            if (it.end)
                std::exchange(it.end, nullptr)();
        }
        recover();
        return !m_cluster.violated;
    }

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

    void begin(Fault &fault)
    {
        const DaemonId id = drawDaemon();
        const DaemonId peer = drawDaemon();
        const auto found = m_cluster.daemons.find(id);
        SimulatedDaemon *daemon = found == m_cluster.daemons.end() ? nullptr : found->second.get();
        // Ends a fault of one process unless that process has ended meanwhile.
        const auto ifSameRun = [this, id, run = m_cluster.lastIncarnation](auto action) {
            return [this, id, run, action] {
                const auto it = m_cluster.daemons.find(id);
                if (it != m_cluster.daemons.end()
                    && it->second->identity.incarnation.value() <= run)
                    action(*it->second);
            };
        };
        switch (draw(9)) {
        case 0:
        case 1:
            m_cluster.network.setPartitioned(id, peer, true);
            fault.end = [=, this] { m_cluster.network.setPartitioned(id, peer, false); };
            break;
        case 2:
            m_cluster.network.chooseDelay = [this]() -> std::optional<Base::Duration> {
                if (draw(3) == 0)
                    return {};
                return std::chrono::milliseconds(draw(900));
            };
            fault.end = [this] { m_cluster.network.chooseDelay = nullptr; };
            break;
        case 3:
            if (!daemon || daemon->timers.isPaused())
                return;
            daemon->timers.pause();
            fault.end = ifSameRun([](SimulatedDaemon &it) { it.timers.resume(); });
            break;
        case 4:
        case 5:
            if (!daemon)
                return;
            m_cluster.kill(id);
            fault.end = [=, this] {
                if (!m_cluster.daemons.contains(id))
                    m_cluster.start(id);
            };
            break;
        case 6:
            m_cluster.table.down = true;
            fault.end = [this] { m_cluster.table.down = false; };
            break;
        case 7:
            if (!daemon)
                return;
            daemon->table.down = true;
            fault.end = ifSameRun([](SimulatedDaemon &it) { it.table.down = false; });
            break;
        default:
            m_cluster.table.latency = std::chrono::milliseconds(4 + draw(1500));
            m_cluster.table.delayedEffect = std::chrono::milliseconds(500 + draw(5000));
            m_cluster.table.chooseFault = [this] {
                return draw(2) == 0 ? TableFault::None : static_cast<TableFault>(1 + draw(4));
            };
            fault.end = [this] {
                m_cluster.table.latency = 4ms;
                m_cluster.table.chooseFault = nullptr;
            };
        }
    }

    void handOver(ShardIndex shard)
    {
        SimulatedDaemon *owner = m_cluster.leaseHolder(shard);
        if (owner && !owner->timers.isPaused())
            owner->ownership.handOver(shard, drawDaemon(), [](const absl::Status &) {});
    }

    /// Checks that every shard is served again within 30 s of the end of the faults.
    void recover()
    {
        const auto allServed = [this] {
            for (std::size_t i = 0; i < m_cluster.shards; ++i) {
                if (!m_cluster.leaseHolder(ShardIndex(i)))
                    return false;
            }
            return true;
        };
        for (int i = 0; i < 300 && !allServed() && !m_cluster.violated; ++i)
            m_cluster.run(100ms, 20ms);
        if (!allServed())
            m_cluster.reportViolation("a shard was not served again after the faults ended");
    }

    std::mt19937_64 m_random;
    DaemonCluster m_cluster{{"a", "b", "c"}, 2};
    Fault m_faults[2];
};

} // namespace

// Guards against combinations of two faults that break an invariant of shard ownership (section 3
// of the design).
BOOST_AUTO_TEST_CASE(randomSchedulesKeepInvariants)
{
    Base::setLogLevel(Base::LogLevel::Error);
    const std::uint64_t runs = environmentNumber("EP_RANDOM_RUNS", 2000);
    const std::uint64_t firstSeed = environmentNumber("EP_RANDOM_SEED", 1);
    BOOST_TEST_MESSAGE("first seed " << firstSeed << ", runs " << runs);
    std::uint64_t failed = 0;
    for (std::uint64_t i = 0; i < runs; ++i) {
        if (!Schedule(firstSeed + i).run())
            ++failed;
    }
    BOOST_TEST(failed == 0, failed << " of " << runs << " schedules failed");
}
