// Tests of tasks that crash the executors that start them.
// The build defines the module for every file, but only tst_dispatch.cpp may contain main().
#undef BOOST_TEST_MODULE
#include "dispatchcluster.h"

#include <boost/test/unit_test.hpp>

using namespace DispatchTest;

namespace {

/// Two failure domains with executors, and one without, whose daemons own no group and coordinate
/// the jobs.
struct Fixture : DispatchCluster
{
    Fixture()
    {
        for (const char *domain : {"a", "b", "c"}) {
            addDaemon(std::string(domain) + "1", domain);
            addDaemon(std::string(domain) + "2", domain);
        }
        addExecutors("a", 4);
        addExecutors("b", 4);
        executors.isFatal = [](const StartOrder &order) {
            return order.task.job.value().starts_with("fatal");
        };
        executors.chooseRun = [](const StartOrder &, const ExecutorInfo &) {
            return std::pair<Base::Duration, RunEnd>(200ms, RunEnd::Done);
        };
        startAll();
        run(1s);
    }

    void submitFatal(const std::string &daemon)
    {
        submit(daemon, "fatal", 1, {6800, 64, 0}, 3s, 60s);
    }
    std::size_t crashCount() const
    {
        std::size_t n = 0;
        for (const auto &[task, crashed] : executors.crashedBy)
            n += crashed.size();
        return n;
    }
    void check() const
    {
        BOOST_TEST(executors.violation == "");
        for (const auto &[task, starts] : executors.startsBeyondBudget)
            BOOST_TEST(starts < 3, toString(task) << " was started " << starts << " times more");
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(losses, Fixture)

BOOST_AUTO_TEST_CASE(taskThatCrashesExecutorsIsGivenUp, *boost::unit_test::disabled())
{
    submitFatal("c1");
    runWithRegistrations(20s);
    BOOST_TEST(count(JobOutcome::Failed) == 1U);
    check();
}

// The count of crashed executors must not depend on the owners that saw them.
BOOST_AUTO_TEST_CASE(crashesAreCountedAcrossOwners, *boost::unit_test::disabled())
{
    submitFatal("c1");
    for (int i = 0; i < 10; ++i) {
        runWithRegistrations(1s);
        for (const char *group : {"a", "b"}) {
            for (const std::string &it : owners(group)) {
                kill(it);
                runWithRegistrations(700ms);
                startDaemon(it);
            }
        }
    }
    BOOST_TEST(count(JobOutcome::Failed) == 1U);
    check();
}

// A caller submits its job again at another daemon when it loses its coordinator.
BOOST_AUTO_TEST_CASE(crashesAreCountedAcrossCoordinators, *boost::unit_test::disabled())
{
    for (int i = 0; i < 8; ++i) {
        const std::string coordinator = i % 2 == 0 ? "c1" : "c2";
        submitFatal(coordinator);
        runWithRegistrations(1500ms);
        kill(coordinator);
        runWithRegistrations(1300ms);
        startDaemon(coordinator);
        runWithRegistrations(500ms);
    }
    check();
}

BOOST_AUTO_TEST_SUITE_END()
