// Tests of the assignment of slots to daemons and of loans.
#include "schedulerfixture.h"

#include <scheduling/slotshares.h>

#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <random>

using namespace Scheduling;
using namespace TestSupport;

namespace {

constexpr int DAEMONS = 4;
constexpr int UPSTREAMS = 3;
constexpr std::uint32_t SLOTS = 4;
constexpr Base::Duration MAX_TASK_TIME = 300ms;
constexpr Base::Duration MEMBERSHIP_LAG = 200ms;

std::string daemonName(int index)
{
    return "d" + std::to_string(index);
}

/// Daemons that start tasks at random times in the slots that they consider usable.
class Domain
{
public:
    explicit Domain(std::uint64_t seed)
        : m_random(seed)
    {
        for (int i = 0; i < DAEMONS; ++i)
            m_liveDaemons.insert(Base::DaemonId(daemonName(i)));
        for (int i = 0; i < DAEMONS; ++i)
            restart(i);
    }

    struct Daemon : SlotUser, Wire::PeerPort
    {
        Domain *domain = nullptr;
        int index = 0;
        bool queued = false;
        std::map<Base::UpstreamId, std::uint32_t> running;
        std::unique_ptr<SlotShares> shares;

        std::uint32_t runningTasks(const Base::UpstreamId &upstream) const override
        {
            const auto it = running.find(upstream);
            return it == running.end() ? 0 : it->second;
        }
        bool hasQueuedTasks() const override { return queued; }
        void slotSharesChanged() override {}
        bool send(const Base::DaemonId &peer, const Wire::Message &message) override
        {
            return domain->send(index, peer.value()[1] - '0', std::get<Wire::SlotLoan>(message));
        }
        bool isConnected(const Base::DaemonId &) const override { return true; }
    };

    void restart(int index)
    {
        // Tasks of the previous incarnation keep running at the workers and stay in m_used.
        m_daemons[index] = std::make_unique<Daemon>();
        Daemon &daemon = *m_daemons[index];
        daemon.domain = this;
        daemon.index = index;
        SlotShareOptions options;
        options.maxTaskTime = MAX_TASK_TIME;
        options.membershipLag = MEMBERSHIP_LAG;
        options.loanDuration = 400ms;
        options.loanSafetyMargin = 20ms;
        m_incarnation = m_incarnation.next();
        daemon.shares = std::make_unique<SlotShares>(
            timers, daemon, daemon, Base::DaemonId(daemonName(index)), m_incarnation, options);
        std::map<Base::UpstreamId, std::uint32_t> slots;
        for (int i = 0; i < UPSTREAMS; ++i)
            slots[Base::UpstreamId("u" + std::to_string(i))] = SLOTS;
        daemon.shares->setUpstreams(slots);
        daemon.shares->setLiveDaemons(m_liveDaemons);
    }

    bool send(int from, int to, const Wire::SlotLoan &message)
    {
        const auto outcome = m_random() % 10;
        if (outcome == 0 || m_partitionedLinks.contains({std::min(from, to), std::max(from, to)}))
            return outcome % 2 == 0; // lost, or refused by the port
        const Base::Duration delay = std::chrono::milliseconds(outcome == 1 ? m_random() % 900 : 1);
        timers.schedule(delay, [this, from, to, message] {
            if (m_daemons[to])
                m_daemons[to]->shares->loanReceived(Base::DaemonId(daemonName(from)), message);
        });
        return true;
    }

    void startTasks(Daemon &daemon)
    {
        for (int i = 0; i < UPSTREAMS; ++i) {
            const Base::UpstreamId id("u" + std::to_string(i));
            if (daemon.shares->usableSlots(id) <= daemon.runningTasks(id))
                continue;
            ++daemon.running[id];
            ++starts;
            ++m_used[id];
            violations += m_used[id] > SLOTS ? 1 : 0;
            const int index = daemon.index;
            Daemon *const incarnation = &daemon;
            const auto run = std::chrono::milliseconds(m_random() % (MAX_TASK_TIME / 1ms));
            timers.schedule(run, [this, id, index, incarnation] {
                --m_used[id];
                if (m_daemons[index].get() == incarnation)
                    --incarnation->running[id];
            });
        }
    }

    void changeMembership()
    {
        const int index = static_cast<int>(m_random() % DAEMONS);
        const Base::DaemonId id(daemonName(index));
        if (m_daemons[index]) {
            m_retired.push_back(std::move(m_daemons[index]));
            m_retired.back()->shares.reset();
            m_liveDaemons.erase(id);
        } else {
            m_liveDaemons.insert(id);
            restart(index);
        }
        // The daemons learn of the change at different times.
        for (int i = 0; i < DAEMONS; ++i) {
            const auto lag = std::chrono::milliseconds(m_random() % (MEMBERSHIP_LAG / 1ms));
            timers.schedule(lag, [this, i] {
                if (m_daemons[i])
                    m_daemons[i]->shares->setLiveDaemons(m_liveDaemons);
            });
        }
    }

    void step()
    {
        for (auto &it : m_daemons) {
            if (!it)
                continue;
            if (m_random() % 20 == 0)
                it->queued = !it->queued;
            if (m_random() % 4 == 0)
                it->shares->exchangeLoans(4);
            if (it->queued || m_random() % 4 == 0)
                startTasks(*it);
            for (int i = 0; i < UPSTREAMS; ++i) {
                const Base::UpstreamId id("u" + std::to_string(i));
                lent += it->shares->lentSlots(id);
            }
        }
        if (m_random() % 400 == 0)
            changeMembership();
        if (m_random() % 100 == 0) {
            const int a = static_cast<int>(m_random() % DAEMONS);
            const int b = static_cast<int>(m_random() % DAEMONS);
            if (!m_partitionedLinks.erase({std::min(a, b), std::max(a, b)}))
                m_partitionedLinks.insert({std::min(a, b), std::max(a, b)});
        }
        timers.advance(5ms);
    }

    ManualTimers timers;
    int violations = 0;
    std::size_t starts = 0;
    std::size_t lent = 0;

private:
    std::mt19937_64 m_random;
    Base::Incarnation m_incarnation;
    std::set<Base::DaemonId> m_liveDaemons;
    std::set<std::pair<int, int>> m_partitionedLinks;
    std::map<Base::UpstreamId, std::uint32_t> m_used; // tasks running at the workers
    std::unique_ptr<Daemon> m_daemons[DAEMONS];
    std::vector<std::unique_ptr<Daemon>> m_retired; // keeps incarnation addresses distinct
};

} // namespace

// Guards against an assignment that moves slots of unaffected daemons when one is removed, or that
// leaves a daemon without slots.
BOOST_AUTO_TEST_CASE(removedDaemonMovesOnlyItsSlots)
{
    std::set<Base::DaemonId> all;
    for (int i = 0; i < 4; ++i)
        all.insert(Base::DaemonId(daemonName(i)));
    std::set<Base::DaemonId> fewer = all;
    const Base::DaemonId gone(daemonName(2));
    fewer.erase(gone);
    std::map<Base::DaemonId, int> counts;
    for (std::uint32_t i = 0; i < 400; ++i) {
        const Base::DaemonId before = slotOwner(Base::UpstreamId("u"), i, all);
        const Base::DaemonId after = slotOwner(Base::UpstreamId("u"), i, fewer);
        ++counts[before];
        BOOST_TEST((before == gone ? after != gone : after == before));
    }
    for (const Base::DaemonId &it : all)
        BOOST_TEST((counts[it] > 60 && counts[it] < 140), it << " has " << counts[it]);
    BOOST_TEST(slotOwner(Base::UpstreamId("u"), 0, {}).isEmpty());
}

// Guards against two daemons that use the same slot at once, under restarts, crashes, differing
// lists of live daemons, partitioned links, and lost or late loan messages.
BOOST_AUTO_TEST_CASE(slotIsNeverUsedTwice)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Domain domain(seed);
        for (int i = 0; i < 8000; ++i)
            domain.step();
        BOOST_TEST(domain.violations == 0, "seed " << seed);
        BOOST_TEST(domain.starts > 1000, "seed " << seed << ": " << domain.starts);
        BOOST_TEST(domain.lent > 100, "seed " << seed << ": " << domain.lent);
    }
}
