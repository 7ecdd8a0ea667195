// Tests of the dispatch in a failure domain whose hosts differ in size.
#include "dispatchcluster.h"

#include <boost/test/unit_test.hpp>

using namespace DispatchTest;

namespace {

/// One failure domain with two larger hosts and four small ones, and so many executors that they
/// form eight groups.
struct UnequalHosts : DispatchCluster
{
    UnequalHosts()
    {
        for (const char *it : {"large1", "large2", "small1", "small2", "small3", "small4"}) {
            addDaemon(it, "a");
            capacities[it] = it[0] == 'l' ? 500 : 90;
        }
        addExecutors("a", 90);
        startAll();
        run(4s);
    }

    /// Number of groups whose only owner has a name that begins with \a prefix.
    std::size_t ownedBy(const std::string &prefix)
    {
        std::size_t n = 0;
        for (int i = 0; i < 8; ++i) {
            const auto names = owners("a/" + std::to_string(i));
            n += names.size() == 1 && names.front().starts_with(prefix) ? 1 : 0;
        }
        return n;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(unequalHosts, UnequalHosts)

// A host of 0.09 cores that owned a group at full load spent all its processor on the orders to its
// executors, and every job with a task in that group was late.
BOOST_AUTO_TEST_CASE(smallHostsOwnNothingWhileALargerOneIsUp)
{
    BOOST_TEST(ownedBy("large") == 8U);
    kill("large1");
    run(3s);
    BOOST_TEST(ownedBy("large2") == 8U);
    BOOST_TEST(executors.violation == "");
}

BOOST_AUTO_TEST_CASE(smallHostsOwnTheGroupsUntilALargerOneReturns)
{
    kill("large1");
    kill("large2");
    run(3s);
    BOOST_TEST(ownedBy("small") == 8U);
    executors.chooseRun = [](const StartOrder &, const ExecutorInfo &) {
        return std::pair<Base::Duration, RunEnd>(3s, RunEnd::Done);
    };
    submit("small1", "job", 40, {6800, 64, 0}, 3s, 8s);
    run(200ms);
    startDaemon("large1");
    run(6s);
    BOOST_TEST(ownedBy("large1") == 8U);
    BOOST_TEST(count(JobOutcome::Completed) == 1U);
    BOOST_TEST(executors.startCount == 40U);
    BOOST_TEST(executors.violation == "");
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// Two failure domains with two larger hosts and ten small ones each.
struct ManySmallHosts : DispatchCluster
{
    ManySmallHosts()
    {
        for (const char *domain : {"a", "b"}) {
            for (int i = 0; i < 12; ++i) {
                const std::string name =
                    fmt::format("{}-{}{}", domain, i < 2 ? "large" : "small", i);
                addDaemon(name, domain);
                capacities[name] = i < 2 ? 500 : 90;
            }
            addExecutors(domain, 8);
        }
        startAll();
        run(4s);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(manySmallHosts, ManySmallHosts)

// State messages of every daemon to every other one, at one rate, took a third of the processor of
// small hosts. Between daemons that have no tasks at each other they are sent half as often.
BOOST_AUTO_TEST_CASE(idleDaemonsExchangeFewerStates)
{
    const std::uint64_t before = network.messageCount;
    run(6s);
    // At 10 a second within a domain and 10/3 across, as between owners and others.
    const double atOneRate = 24 * (11 * 10 + 12 * 10 / 3.0) * 6;
    BOOST_TEST(static_cast<double>(network.messageCount - before) < atOneRate * 0.75);
}

// Guards against tasks of a lost coordinator that still run when its callers submit their jobs
// again after 1.3 s, although the coordinator had announced a longer interval.
BOOST_AUTO_TEST_CASE(tasksOfALostDaemonOnASmallHostEndInTime)
{
    executors.chooseRun = [](const StartOrder &, const ExecutorInfo &) {
        return std::pair<Base::Duration, RunEnd>(5s, RunEnd::Done);
    };
    submit("a-small5", "job", 24, {6800, 64, 0}, 5s, 8s); // more than fit into one domain
    run(500ms);
    BOOST_TEST(executors.startCount == 24U);
    kill("a-small5");
    run(1300ms);
    submit("b-small7", "job", 24, {6800, 64, 0}, 5s, 8s);
    run(7s);
    BOOST_TEST(count(JobOutcome::Completed) == 1U);
    BOOST_TEST(executors.violation == "");
}

BOOST_AUTO_TEST_SUITE_END()
