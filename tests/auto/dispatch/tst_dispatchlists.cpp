// Tests of a change of ownership between daemons that know different executors.
// The build defines the module for every file, but only tst_dispatch.cpp may contain main().
#undef BOOST_TEST_MODULE
#include "dispatchcluster.h"

#include <boost/test/unit_test.hpp>

using namespace DispatchTest;

namespace {

class SilentGroupListener : public GroupListener
{
    void tasksReported(const Base::DaemonId &, const Wire::TaskReports &) override {}
    void groupFenced(const GroupId &, const ExecutorId &, bool) override {}
    void executorLost(const ExecutorLoss &) override {}
    void executorAnswered(const ExecutorId &, Lifetime) override {}
    void executorEnded(const ExecutorId &, Lifetime) override {}
    std::set<Base::DaemonId> liveDaemons() const override { return {}; }
};

/// An owner that knows the executor "new" only, and the next one, which knows the others only.
struct TwoOwners
{
    TwoOwners()
        : executors(clock)
        , losses(clock)
        , previousPort(executors, clock, "previous")
        , nextPort(executors, clock, "next")
    {
        for (const char *it : {"old0", "old1", "new"}) {
            ExecutorInfo info;
            info.id = ExecutorId(it);
            info.address = it;
            info.service = ServiceId("service");
            info.capacity = {16000, 65536, 0};
            info.lifetime = Lifetime(1000);
            executors.add(info);
        }
        executors.shapeOf = [](const StartOrder &) { return Resources{16000, 64, 0}; };
        executors.chooseRun = [](const StartOrder &, const ExecutorInfo &) {
            return std::pair<Base::Duration, RunEnd>(900ms, RunEnd::Done);
        };
        clock.advance(10s);
        previous = std::make_unique<ExecutorGroup>(GroupId("g"), FencingToken(1), clock,
                                                   previousPort, losses, listener);
        previous->setExecutors(list({"new"}), clock.now());
        run(100ms);
        submit(*previous, false);
        run(50ms);
    }

    std::vector<ExecutorInfo> list(std::initializer_list<const char *> ids) const
    {
        std::vector<ExecutorInfo> infos;
        for (const char *it : ids)
            infos.push_back(executors.at(ExecutorId(it)).info);
        return infos;
    }
    void submit(ExecutorGroup &group, bool isClaim)
    {
        Wire::TaskBatch batch;
        batch.group = "g";
        batch.sequence = ++sequence;
        batch.job = "job";
        batch.service = "service";
        batch.cpuMillis = 16000;
        batch.memoryMb = 64;
        batch.estimateMs = 900;
        batch.objectiveMs = 60'000;
        batch.deadlineMs = 60'000;
        batch.tasks.push_back({0, 1, isClaim, "", 0});
        group.submit(Base::DaemonId("c"), batch);
    }
    /// The next owner claims the group with a list that has not changed for 5 s.
    void claim(Base::TimePoint completeAsOf)
    {
        next = std::make_unique<ExecutorGroup>(GroupId("g"), FencingToken(2), clock, nextPort,
                                               losses, listener);
        next->setListCompleteAsOf(completeAsOf);
        next->setExecutors(list({"old0", "old1"}), clock.now() - 5s);
        run(25ms);
        submit(*next, true);
    }
    void run(Base::Duration duration)
    {
        for (const Base::TimePoint end = clock.now() + duration; clock.now() < end;) {
            clock.advance(25ms);
            previous->tick();
            if (next)
                next->tick();
        }
    }

    ManualTimers clock;
    FakeExecutors executors;
    ExecutorLosses losses;
    SilentGroupListener listener;
    FakeExecutorPort previousPort;
    FakeExecutorPort nextPort;
    std::unique_ptr<ExecutorGroup> previous;
    std::unique_ptr<ExecutorGroup> next;
    std::uint64_t sequence = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(executorLists, TwoOwners)

// An owner that had not reached the store for seconds took its list of executors for complete, and
// started a task that ran on an executor that only the previous owner knew.
BOOST_AUTO_TEST_CASE(taskRunsTwiceSinceTheListOfExecutorsIsOutdated)
{
    claim(clock.now() - 5s);
    run(300ms);
    BOOST_TEST(executors.violation == "");
    BOOST_TEST(executors.startCount == 1U);
    // The store is back.
    next->setListCompleteAsOf(clock.now());
    next->setExecutors(list({"old0", "old1", "new"}), clock.now());
    run(1s);
    BOOST_TEST(executors.violation == "");
    BOOST_TEST(executors.startCount == 1U);
}

BOOST_AUTO_TEST_CASE(claimedTaskIsStartedWhenTheLeasesOfThePreviousOwnerHaveExpired)
{
    executors.crash(ExecutorId("new"));
    claim(clock.now() - 5s);
    run(2s);
    BOOST_TEST(executors.startCount == 2U);
}

BOOST_AUTO_TEST_CASE(claimedTaskIsStartedAtOnceWithACurrentList)
{
    executors.crash(ExecutorId("new"));
    claim(clock.now() - 500ms);
    run(100ms);
    BOOST_TEST(executors.startCount == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// A deployment in which most state is not sent to other failure domains.
struct LargeDeployment : DispatchCluster
{
    LargeDeployment()
    {
        addDaemon("home", "a");
        for (int i = 0; i < 18; ++i)
            addDaemon(fmt::format("remote{:02}", i), "b");
        addExecutors("a", 4);
        startAll();
        run(2s);
    }
};

} // namespace

// The owner in another failure domain told only the daemons there which executors it used. The
// daemon that took the group back did not ask the one that it did not know.
BOOST_FIXTURE_TEST_CASE(homeDaemonDoesNotAskTheExecutorsOfARemoteOwner, LargeDeployment)
{
    kill("home");
    run(2s);
    BOOST_REQUIRE(owners("a").size() == 1U);
    BOOST_TEST(owners("a").front().starts_with("remote"));
    startDaemon("home");
    run(300ms);
    ExecutorInfo info = executors.infos().front();
    info.id = ExecutorId("a-new");
    info.address = "a-new";
    executors.add(info);
    for (const auto &[name, daemon] : daemons) {
        if (name != "home") // it does not reach the store
            daemon->node.setExecutors(executors.infos());
    }
    run(2500ms);
    BOOST_REQUIRE(owners("a") == std::vector<std::string>{"home"});
    const FencingToken token = node("home").ownedGroups().at(GroupId("a"))->token();
    BOOST_TEST(executors.at(ExecutorId("a-x0")).token == token);
    BOOST_TEST(executors.at(ExecutorId("a-new")).token == token);
    BOOST_TEST(executors.violation == "");
}
