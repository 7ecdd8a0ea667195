// Cases of several daemons: each names the failure that it guards against.
#include "dispatchcluster.h"

#include <boost/test/unit_test.hpp>

using namespace DispatchTest;

namespace {

/// Two failure domains with two daemons and four executors each, settled.
struct Fixture : DispatchCluster
{
    Fixture()
    {
        addDaemon("a1", "a");
        addDaemon("a2", "a");
        addDaemon("b1", "b");
        addDaemon("b2", "b");
        addExecutors("a", 4);
        addExecutors("b", 4);
        startAll();
        run(1s);
    }

    std::string ownerOf(const std::string &group)
    {
        const auto names = owners(group);
        return names.size() == 1 ? names.front() : std::string();
    }
    std::string otherThan(const std::string &name) { return name == "a1" ? "a2" : "a1"; }
    void check() { BOOST_TEST(executors.violation == ""); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(dispatch, Fixture)

BOOST_AUTO_TEST_CASE(everyGroupHasOneOwnerOfItsDomain)
{
    BOOST_TEST(ownerOf("a").substr(0, 1) == "a");
    BOOST_TEST(ownerOf("b").substr(0, 1) == "b");
}

BOOST_AUTO_TEST_CASE(jobIsCompletedAndEveryTaskRunsOnce)
{
    submit("a1", "job", 8);
    run(500ms);
    BOOST_TEST(count(JobOutcome::Completed) == 1U);
    BOOST_TEST(executors.startCount == 8U);
    check();
}

// A job that is wider than the room of its own domain uses that of the others at once.
BOOST_AUTO_TEST_CASE(wideJobUsesAllDomains)
{
    submit("a1", "job", 16); // 2 tasks fit on each of 8 executors
    run(100ms);
    BOOST_TEST(count(JobOutcome::Completed) == 1U);
    check();
}

// Tasks that find no room wait and are never started beyond the capacity.
BOOST_AUTO_TEST_CASE(overloadWaitsWithinCapacity)
{
    for (int i = 0; i < 6; ++i)
        submit("a1", "job" + std::to_string(i), 16);
    run(2s);
    BOOST_TEST(count(JobOutcome::Completed) == 6U);
    check();
}

BOOST_AUTO_TEST_CASE(longQueueIsRejectedAtOnce)
{
    for (int i = 0; i < 60; ++i)
        submit("a1", "long" + std::to_string(i), 16, {6800, 64, 0}, 1s, 2500ms);
    BOOST_TEST(count(JobOutcome::Rejected) > 30U);
    run(4s);
    check();
}

BOOST_AUTO_TEST_CASE(failedTaskIsTriedAgainUpToTheLimit)
{
    executors.chooseRun = [](const StartOrder &, const ExecutorInfo &) {
        return std::pair<Base::Duration, RunEnd>(20ms, RunEnd::Failed);
    };
    submit("a1", "job", 1);
    run(1s);
    BOOST_TEST(count(JobOutcome::Failed) == 1U);
    BOOST_TEST(executors.startCount == 3U);
    check();
}

// After the loss of the owner the running tasks go on under the new one.
BOOST_AUTO_TEST_CASE(takeoverKeepsRunningTasks)
{
    executors.chooseRun = [](const StartOrder &, const ExecutorInfo &) {
        return std::pair<Base::Duration, RunEnd>(1s, RunEnd::Done);
    };
    const std::string owner = ownerOf("a");
    submit(otherThan(owner), "job", 8, {6800, 64, 0}, 1s, 4s);
    run(300ms);
    kill(owner);
    run(3s);
    BOOST_TEST(count(JobOutcome::Completed) == 1U);
    BOOST_TEST(executors.startCount == 8U);
    check();
}

BOOST_AUTO_TEST_CASE(jobsAreServedSoonAfterTheOwnerIsKilled)
{
    const std::string owner = ownerOf("a");
    const std::string other = otherThan(owner);
    kill(owner);
    run(700ms);
    BOOST_TEST(ownerOf("a") == other);
    submit(other, "job", 4);
    run(300ms);
    BOOST_TEST(count(JobOutcome::Completed) == 1U);
    check();
}

// A paused owner is replaced; when it wakes, its orders are refused and it steps down.
BOOST_AUTO_TEST_CASE(pausedOwnerIsFenced)
{
    const std::string owner = ownerOf("a");
    daemons.at(owner)->timers.pause();
    for (int i = 0; i < 40; ++i) {
        submit(otherThan(owner), "job" + std::to_string(i), 4);
        run(100ms);
    }
    daemons.at(owner)->timers.resume();
    for (int i = 40; i < 60; ++i) {
        submit(otherThan(owner), "job" + std::to_string(i), 4);
        run(100ms);
    }
    run(2s);
    BOOST_TEST(owners("a").size() == 1U);
    BOOST_TEST(count(JobOutcome::Completed) >= 50U);
    check();
}

// A start without an answer is resolved before the task is started elsewhere, also if the order is
// carried out seconds later.
BOOST_AUTO_TEST_CASE(lateStartRunsNothingTwice)
{
    std::mt19937_64 random(7);
    executors.chooseFate = [&random] {
        OrderFate fate;
        if (random() % 10 == 0)
            fate.lateBy = std::chrono::milliseconds(2000 + random() % 8000);
        return fate;
    };
    for (int i = 0; i < 40; ++i) {
        submit("a1", "job" + std::to_string(i), 4);
        run(100ms);
    }
    run(15s);
    BOOST_TEST(count(JobOutcome::Completed) >= 20U);
    check();
}

// scale-2 of the users' days: a zone that is cut off keeps its own group and claims no other, so
// that no owner is fenced when the cut heals.
BOOST_AUTO_TEST_CASE(cutDomainClaimsNothingBeyondTheCut)
{
    const std::string ownerA = ownerOf("a");
    const std::string ownerB = ownerOf("b");
    setDomainCut("a", true);
    run(5s);
    BOOST_TEST(ownerOf("a") == ownerA);
    BOOST_TEST(ownerOf("b") == ownerB);
    submit("a1", "inside", 4);
    submit("b1", "outside", 4);
    run(500ms);
    BOOST_TEST(count(JobOutcome::Completed) == 2U);
    setDomainCut("a", false);
    run(3s);
    BOOST_TEST(ownerOf("a") == ownerA);
    BOOST_TEST(ownerOf("b") == ownerB);
    check();
}

// A coordinator that was out of touch claims its tasks while the owner's drop of them is under way:
// the task must not be started by both.
BOOST_AUTO_TEST_CASE(claimAndDropCross)
{
    executors.chooseRun = [](const StartOrder &, const ExecutorInfo &) {
        return std::pair<Base::Duration, RunEnd>(800ms, RunEnd::Done);
    };
    const std::string owner = ownerOf("b");
    for (int round = 0; round < 20; ++round) {
        for (int i = 0; i < 4; ++i)
            submit("a1", "job" + std::to_string(round * 4 + i), 6, {6800, 64, 0}, 800ms, 2500ms);
        setCut("a1", owner, true);
        run(450ms + std::chrono::milliseconds(round * 10));
        setCut("a1", owner, false);
        run(1s);
    }
    run(3s);
    check();
}

// The registrations of executors lapse while their domain is cut off and come back one by one. A
// new owner that does not list an executor must not start elsewhere what may run there.
BOOST_AUTO_TEST_CASE(takeoverWithAnIncompleteList)
{
    executors.chooseRun = [](const StartOrder &, const ExecutorInfo &) {
        return std::pair<Base::Duration, RunEnd>(700ms, RunEnd::Done);
    };
    const std::string owner = ownerOf("a");
    const std::string other = otherThan(owner);
    submit("b1", "job", 16, {6800, 64, 0}, 700ms, 3s);
    run(20ms);
    std::vector<ExecutorInfo> list = executors.infos();
    std::erase_if(list, [](const ExecutorInfo &it) { return it.id == ExecutorId("a-x0"); });
    node(other).setExecutors(list);
    daemons.at(owner)->timers.pause();
    run(800ms);
    node(other).setExecutors(executors.infos());
    run(4s);
    daemons.at(owner)->timers.resume();
    run(2s);
    check();
}

BOOST_AUTO_TEST_CASE(executorThatRestartsLosesItsRuns)
{
    executors.chooseRun = [](const StartOrder &, const ExecutorInfo &) {
        return std::pair<Base::Duration, RunEnd>(500ms, RunEnd::Done);
    };
    submit("a1", "job", 16, {6800, 64, 0}, 500ms, 6s);
    run(100ms);
    executors.restart(ExecutorId("a-x1"));
    announceExecutors();
    run(4s);
    BOOST_TEST(count(JobOutcome::Completed) == 1U);
    BOOST_TEST(executors.startCount > 16U);
    check();
}

BOOST_AUTO_TEST_CASE(darkExecutorIsGivenUpAfterItsLease)
{
    executors.chooseRun = [](const StartOrder &, const ExecutorInfo &) {
        return std::pair<Base::Duration, RunEnd>(500ms, RunEnd::Done);
    };
    submit("a1", "job", 16, {6800, 64, 0}, 500ms, 6s);
    run(100ms);
    executors.crash(ExecutorId("a-x1"));
    run(5s);
    BOOST_TEST(count(JobOutcome::Completed) == 1U);
    check();
}

// Nobody waits for the tasks of a job that its caller has left.
BOOST_AUTO_TEST_CASE(cancelledJobIsStopped)
{
    executors.chooseRun = [](const StartOrder &, const ExecutorInfo &) {
        return std::pair<Base::Duration, RunEnd>(5s, RunEnd::Done);
    };
    submit("a1", "job", 8, {6800, 64, 0}, 5s, 20s);
    run(100ms);
    node("a1").jobs().cancel(JobId("job"));
    run(200ms);
    BOOST_TEST(executors.endCounts[RunEnd::Stopped] == 8U);
    check();
}

// The tasks of a lost daemon are stopped before its callers send their jobs again 1.3 s later.
BOOST_AUTO_TEST_CASE(orphansAreStoppedBeforeTheJobComesAgain)
{
    executors.chooseRun = [](const StartOrder &, const ExecutorInfo &) {
        return std::pair<Base::Duration, RunEnd>(5s, RunEnd::Done);
    };
    const std::string coordinator = ownerOf("b") == "b1" ? "b2" : "b1";
    submit(coordinator, "job", 16, {6800, 64, 0}, 5s, 20s);
    run(100ms);
    kill(coordinator);
    run(1300ms);
    submit("a1", "job", 16, {6800, 64, 0}, 5s, 20s);
    run(3s);
    check();
}

// A drained daemon gives its groups up to a daemon of the same domain.
BOOST_AUTO_TEST_CASE(drainHandsGroupsOver)
{
    const std::string owner = ownerOf("a");
    node(owner).beginDrain();
    run(500ms);
    BOOST_TEST(ownerOf("a") == otherThan(owner));
    submit(owner, "job", 4);
    run(300ms);
    BOOST_TEST(count(JobOutcome::Completed) == 1U);
    check();
}

// While a daemon drains it takes no job that would outlast the process (users' finding: a request
// taken 4.5 s after SIGTERM and given up).
BOOST_AUTO_TEST_CASE(drainingDaemonRejectsWhatItCannotFinish)
{
    node("a1").jobs().setShutdownDeadline(clock.now() + 1s);
    submit("a1", "short", 1, {6800, 64, 0}, 60ms);
    submit("a1", "long", 1, {6800, 64, 0}, 900ms);
    BOOST_TEST(count(JobOutcome::Rejected) == 1U);
    run(500ms);
    BOOST_TEST(count(JobOutcome::Completed) == 1U);
    check();
}

// After the loss of all daemons the executors still know the tokens of before.
BOOST_AUTO_TEST_CASE(allDaemonsRestart)
{
    for (int i = 0; i < 3; ++i) {
        for (const auto &[name, domain] : std::map(domains))
            kill(name);
        lastNumber += 20; // the store's version rises with every registration and heartbeat
        startAll();
        run(1200ms);
        submit("a1", "job" + std::to_string(i), 4);
        run(300ms);
    }
    BOOST_TEST(count(JobOutcome::Completed) == 3U);
    check();
}

// A job that is wider than the own domain is completed while an owner can't be reached. That its
// tasks go elsewhere at once is shown by tasksOfAnUnreachableOwnerGoElsewhereAtOnce.
BOOST_AUTO_TEST_CASE(unreachableOwnerGetsNoTasks)
{
    const std::string owner = ownerOf("b");
    setCut("a1", owner, true);
    node("a1").peerDisconnected(identity(owner));
    const std::uint64_t before = network.messageCount;
    submit("a1", "job", 16, {6800, 64, 0}, 60ms, 1s);
    run(400ms);
    BOOST_TEST(count(JobOutcome::Completed) == 1U);
    BOOST_TEST(network.messageCount > before);
    check();
}

BOOST_AUTO_TEST_SUITE_END()

// In a large deployment daemons tell only their own claims. A daemon that does not hear the owner
// of a group claims it, and does not reach an executor on which the owner goes on renewing leases.
// The owner has to find out, or the task is started a second time.
BOOST_AUTO_TEST_CASE(ownerThatDoesNotHearOfAClaimIsFencedInTime)
{
    DispatchCluster cluster;
    cluster.addDaemon("a1", "a");
    cluster.addDaemon("a2", "a");
    for (std::size_t i = 0; i < Constants::MAX_GOSSIP_PEERS; ++i)
        cluster.addDaemon(fmt::format("b{}", 10 + i), "b");
    cluster.addExecutors("a", 4);
    cluster.addExecutors("b", 1);
    cluster.executors.chooseRun = [](const StartOrder &, const ExecutorInfo &) {
        return std::pair<Base::Duration, RunEnd>(4s, RunEnd::Done);
    };
    cluster.startAll();
    cluster.run(3s);
    const auto owners = cluster.owners("a");
    BOOST_REQUIRE(owners.size() == 1U);
    const std::string owner = owners.front();
    const std::string other = owner == "a1" ? "a2" : "a1";
    cluster.submit("b10", "job", 3, {6800, 64, 0}, 4s, 20s);
    cluster.run(1s);
    ExecutorId busy;
    for (const ExecutorInfo &it : cluster.executors.infos()) {
        if (it.domain.value() == "a" && !cluster.executors.at(it.id).runs.empty())
            busy = it.id;
    }
    BOOST_REQUIRE(!busy.isEmpty());
    cluster.executors.cut.insert({other, busy});
    cluster.setCut(owner, other, true);
    cluster.run(6s);
    BOOST_TEST(cluster.executors.violation == "");
    cluster.executors.cut.clear();
    cluster.setCut(owner, other, false);
    cluster.run(8s);
    BOOST_TEST(cluster.executors.violation == "");
    BOOST_TEST(cluster.count(JobOutcome::Completed) == 1U);
}

// After a cut all daemons on one side reach the executors beyond it at the same time, before they
// hear their owner. Each of them used to claim at once, and fenced the others and the owner.
BOOST_AUTO_TEST_CASE(cutThatHealsIsFollowedByFewClaims)
{
    DispatchCluster cluster;
    cluster.addDaemon("a1", "a");
    for (std::size_t i = 0; i < Constants::MAX_GOSSIP_PEERS + 1; ++i)
        cluster.addDaemon(fmt::format("b{}", 10 + i), "b");
    cluster.addExecutors("a", 4);
    cluster.addExecutors("b", 4);
    cluster.startAll();
    cluster.run(3s);
    cluster.setDomainCut("a", true);
    cluster.run(4s);
    BOOST_REQUIRE(cluster.owners("a") == std::vector<std::string>{"a1"});
    // Hosts that are busy with the end of the cut read messages late.
    cluster.network.chooseDelay = [] { return std::chrono::milliseconds(250); };
    cluster.executors.cut.clear();
    std::set<std::string> claimants;
    for (int i = 0; i < 200; ++i) {
        cluster.run(10ms);
        for (const std::string &it : cluster.owners("a"))
            claimants.insert(it);
    }
    claimants.erase("a1");
    BOOST_TEST(claimants.size() <= 2U);
}
