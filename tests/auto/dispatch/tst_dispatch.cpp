// Tests of the dispatch with several daemons.
#include "dispatchcluster.h"

#include <boost/test/unit_test.hpp>

using namespace DispatchTest;

namespace {

/// Two failure domains with two daemons and four executors each, after all groups have an owner.
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

// A job with more tasks than its own domain can run uses the other domains at once.
BOOST_AUTO_TEST_CASE(wideJobUsesAllDomains)
{
    submit("a1", "job", 16); // 2 tasks fit on each of 8 executors
    run(100ms);
    BOOST_TEST(count(JobOutcome::Completed) == 1U);
    check();
}

// Two coordinators that place by the same load report choose the same free executors. The tasks of
// the second one waited there although the other failure domain was idle.
BOOST_AUTO_TEST_CASE(tasksThatFindTheirGroupFullMoveToAFreeOne)
{
    submit("a1", "first", 8); // as many as fit into the failure domain
    submit("a2", "second", 8);
    run(100ms); // each task runs for 60 ms
    BOOST_TEST(count(JobOutcome::Completed) == 2U);
    BOOST_TEST(executors.startCount == 16U);
    check();
}

// Tasks that do not fit wait and are never started beyond the capacity.
BOOST_AUTO_TEST_CASE(overloadWaitsWithinCapacity)
{
    for (int i = 0; i < 6; ++i)
        submit("a1", "job" + std::to_string(i), 16);
    run(2s);
    BOOST_TEST(count(JobOutcome::Completed) == 6U);
    check();
}

BOOST_AUTO_TEST_CASE(jobsAreRejectedAtOnceIfTheQueueIsTooLong)
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

// An order that all executors refuse went from one to the next without a limit, and each of them
// got no other tasks for a while.
BOOST_AUTO_TEST_CASE(refusedOrderDoesNotBlockTheExecutors)
{
    executors.isMalformed = [](const StartOrder &order) {
        return order.task.job == JobId("malformed");
    };
    submit("a1", "malformed", 1, {6800, 64, 0}, 3s, 20s);
    std::size_t submitted = 0;
    for (int i = 0; i < 20; ++i) {
        submit("a1", "job" + std::to_string(++submitted), 8);
        run(100ms);
    }
    BOOST_TEST(count(JobOutcome::Completed) == submitted);
    // No run has failed, and nothing was started.
    BOOST_TEST(count(JobOutcome::Rejected) == 1U);
    BOOST_TEST(executors.malformedCount == 3); // maxAttempts
    check();
}

// Running tasks continue under the new owner when the previous one is lost.
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

// Each new owner extended the leases of runs that no coordinator claimed, so that they still ran
// when their callers submitted the jobs again, 1.3 s after the loss of the first daemons.
BOOST_AUTO_TEST_CASE(unclaimedRunsEndBeforeTheirCallersReturn)
{
    executors.chooseRun = [](const StartOrder &, const ExecutorInfo &) {
        return std::pair<Base::Duration, RunEnd>(4s, RunEnd::Done);
    };
    for (Base::Duration secondLoss = 400ms; secondLoss < 950ms; secondLoss += 50ms) {
        const std::string id = "job" + std::to_string(Base::toMilliseconds(secondLoss));
        submit("a1", id, 2, {6800, 64, 0}, 4s, 20s);
        run(300ms);
        const Base::TimePoint lost = clock.now();
        for (const Base::Duration it : {Base::Duration(0), secondLoss}) {
            run(lost + it - clock.now());
            for (const auto &[name, domain] : std::map(domains))
                kill(name);
            run(20ms);
            for (const auto &[name, domain] : std::map(domains))
                startDaemon(name);
        }
        run(lost + 1300ms - clock.now());
        submit("b1", id, 2, {6800, 64, 0}, 4s, 20s);
        run(6s);
    }
    check();
}

// Each owner that followed waited anew for the claims of a lost coordinator, and extended the
// leases of its runs if others on the executor were claimed.
BOOST_AUTO_TEST_CASE(runsOfALostCoordinatorOutlastSeveralOwners)
{
    addDaemon("a3", "a");
    startDaemon("a3");
    run(2s);
    executors.chooseRun = [](const StartOrder &order, const ExecutorInfo &) {
        const bool isFiller = order.task.job == JobId("filler");
        return std::pair<Base::Duration, RunEnd>(isFiller ? 900ms : 5s, RunEnd::Done);
    };
    submit("b1", "filler", 8, {6800, 64, 0}, 900ms, 20s); // fills the executors of domain b
    run(50ms);
    submit("b1", "kept", 4, {9000, 64, 0}, 5s, 20s); // one on each executor of domain a
    run(50ms);
    submit(ownerOf("a"), "job", 4, {6800, 64, 0}, 5s, 20s);
    run(100ms);
    BOOST_TEST(executors.startCount == 16U);
    const Base::TimePoint lost = clock.now();
    for (const Base::Duration it : {0ms, 550ms, 1100ms}) {
        run(lost + it - clock.now());
        for (const std::string &owner : owners("a"))
            kill(owner);
    }
    run(lost + 1300ms - clock.now());
    submit("b2", "job", 4, {6800, 64, 0}, 5s, 20s);
    run(6s);
    BOOST_TEST(count(JobOutcome::Completed) == 3U);
    check();
}

// The stop of a run whose start was unanswered was sent after the answer only, and each listing
// request extended its lease until then.
BOOST_AUTO_TEST_CASE(cancelledTaskWithoutAnAnswerToItsStartRunsOn)
{
    executors.chooseRun = [](const StartOrder &, const ExecutorInfo &) {
        return std::pair<Base::Duration, RunEnd>(5s, RunEnd::Done);
    };
    executors.chooseDelivery = [] {
        OrderDelivery delivery;
        delivery.isAnswerLost = true;
        return delivery;
    };
    submit("a1", "job", 2, {6800, 64, 0}, 5s, 20s);
    run(20ms);
    BOOST_TEST(executors.startCount == 2U);
    node("a1").jobs().cancel(JobId("job"));
    run(100ms);
    BOOST_TEST(executors.endCounts[RunEnd::Stopped] == 2U);
}

// The end of a job at its deadline is told to the owner by a message, which may be lost with the
// coordinator; the owner extended the lease until it noticed that loss.
BOOST_AUTO_TEST_CASE(runOutlastsTheDeadlineOfItsJob)
{
    executors.chooseRun = [](const StartOrder &, const ExecutorInfo &) {
        return std::pair<Base::Duration, RunEnd>(5s, RunEnd::Done);
    };
    const std::string coordinator = otherThan(ownerOf("a"));
    submit(coordinator, "job", 2, {6800, 64, 0}, 5s, 1s);
    run(900ms);
    BOOST_TEST(executors.startCount == 2U);
    daemons.at(coordinator)->timers.pause();
    run(250ms);
    BOOST_TEST(executors.endCounts[RunEnd::Stopped] == 2U);
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

// A paused owner is replaced. When it resumes, its orders are refused and it gives up the group.
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

// An owner that was paused for less than a lease when a coordinator was lost extends the lease once
// more, before it notices.
BOOST_AUTO_TEST_CASE(runsOfALostCoordinatorOutlastAPauseOfTheirOwner)
{
    executors.chooseRun = [](const StartOrder &order, const ExecutorInfo &) {
        const bool isFiller = order.task.job.value().starts_with("filler");
        return std::pair<Base::Duration, RunEnd>(isFiller ? 900ms : 5s, RunEnd::Done);
    };
    for (const Base::Duration pause : {300ms, 600ms, 950ms}) {
        const std::string suffix = std::to_string(Base::toMilliseconds(pause));
        const std::string owner = ownerOf("a");
        const std::string coordinator = otherThan(owner);
        submit("b1", "filler" + suffix, 8, {6800, 64, 0}, 900ms, 20s);
        run(50ms);
        submit(coordinator, "job" + suffix, 4, {6800, 64, 0}, 5s, 20s);
        run(100ms);
        kill(coordinator);
        daemons.at(owner)->timers.pause();
        run(pause);
        daemons.at(owner)->timers.resume();
        run(1300ms - pause);
        submit("b2", "job" + suffix, 4, {6800, 64, 0}, 5s, 20s);
        run(7s);
        check();
        ++lastNumber;
        startDaemon(coordinator);
        run(4s);
    }
    BOOST_TEST(count(JobOutcome::Completed) == 6U);
}

// A coordinator is lost while the owner is paused. Its caller submits the job again to another
// daemon, which uses the other domain.
BOOST_AUTO_TEST_CASE(resumedOwnerStartsNoTasksOfALostCoordinator)
{
    executors.chooseRun = [](const StartOrder &, const ExecutorInfo &) {
        return std::pair<Base::Duration, RunEnd>(500ms, RunEnd::Done);
    };
    const std::string owner = ownerOf("a");
    const std::string coordinator = otherThan(owner);
    for (const ExecutorInfo &it : executors.infos()) {
        if (it.domain.value() == "b")
            executors.partitioned.insert({owner, it.id});
    }
    submit(owner, "long", 16, {6800, 64, 0}, 500ms, 20s);
    run(20ms);
    submit(coordinator, "job", 4, {6800, 64, 0}, 1s, 20s);
    run(20ms);
    daemons.at(owner)->timers.pause();
    run(100ms);
    kill(coordinator);
    run(500ms);
    submit("b1", "job", 4, {6800, 64, 0}, 1s, 20s);
    run(20ms);
    daemons.at(owner)->timers.resume();
    run(3s);
    check();
}

// The outcome of an unanswered start is determined before the task is started elsewhere, even if
// the order is carried out seconds later.
BOOST_AUTO_TEST_CASE(lateStartRunsNothingTwice)
{
    std::mt19937_64 random(7);
    executors.chooseDelivery = [&random] {
        OrderDelivery delivery;
        if (random() % 10 == 0)
            delivery.lateBy = std::chrono::milliseconds(2000 + random() % 8000);
        return delivery;
    };
    for (int i = 0; i < 40; ++i) {
        submit("a1", "job" + std::to_string(i), 4);
        run(100ms);
    }
    run(15s);
    BOOST_TEST(count(JobOutcome::Completed) >= 20U);
    check();
}

// Guards against owners being fenced when a partition heals (seen in the users' scenario scale-2):
// a partitioned zone keeps its own group and claims no other.
BOOST_AUTO_TEST_CASE(isolatedDomainClaimsNoOtherGroup)
{
    const std::string ownerA = ownerOf("a");
    const std::string ownerB = ownerOf("b");
    setDomainPartitioned("a", true);
    run(5s);
    BOOST_TEST(ownerOf("a") == ownerA);
    BOOST_TEST(ownerOf("b") == ownerB);
    submit("a1", "inside", 4);
    submit("b1", "outside", 4);
    run(500ms);
    BOOST_TEST(count(JobOutcome::Completed) == 2U);
    setDomainPartitioned("a", false);
    run(3s);
    BOOST_TEST(ownerOf("a") == ownerA);
    BOOST_TEST(ownerOf("b") == ownerB);
    check();
}

// Guards against a task being started twice when a coordinator that was disconnected claims its
// tasks while the owner is dropping them.
BOOST_AUTO_TEST_CASE(taskClaimRacesWithDrop)
{
    executors.chooseRun = [](const StartOrder &, const ExecutorInfo &) {
        return std::pair<Base::Duration, RunEnd>(800ms, RunEnd::Done);
    };
    const std::string owner = ownerOf("b");
    for (int round = 0; round < 20; ++round) {
        for (int i = 0; i < 4; ++i)
            submit("a1", "job" + std::to_string(round * 4 + i), 6, {6800, 64, 0}, 800ms, 2500ms);
        setPartitioned("a1", owner, true);
        run(450ms + std::chrono::milliseconds(round * 10));
        setPartitioned("a1", owner, false);
        run(1s);
    }
    run(3s);
    check();
}

// Registrations of executors expire while their domain is partitioned, and return one by one. A new
// owner whose list lacks an executor must not start tasks elsewhere that may run on that executor.
BOOST_AUTO_TEST_CASE(takeoverWithIncompleteExecutorList)
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

// The new lifetime of an executor accepted starts before its owner knew of it. The owner put them
// down to the lifetime that had ended and started the tasks elsewhere too.
BOOST_AUTO_TEST_CASE(startAcceptedByANewLifetimeIsPutDownToTheOldOne)
{
    executors.chooseRun = [](const StartOrder &, const ExecutorInfo &) {
        return std::pair<Base::Duration, RunEnd>(500ms, RunEnd::Done);
    };
    for (const bool isAnnounced : {false, true}) {
        const std::uint64_t before = executors.startCount;
        for (int i = 0; i < 4; ++i)
            executors.restart(ExecutorId("a-x" + std::to_string(i)));
        submit("a1", isAnnounced ? "announced" : "listed", 8, {6800, 64, 0}, 500ms, 6s);
        if (isAnnounced) {
            run(1ms);
            announceExecutors();
        }
        run(2s);
        BOOST_TEST(executors.startCount == before + 8);
        check();
    }
    BOOST_TEST(count(JobOutcome::Completed) == 2U);
}

// Leases for executors that had been idle ended too late by 2 % of that time if their clocks were
// slow. A start that was held up was carried out after its task had been started elsewhere.
BOOST_AUTO_TEST_CASE(startForAnIdleExecutorWithASlowClockIsAcceptedTooLate)
{
    for (const ExecutorInfo &it : executors.infos())
        executors.setClockRate(it.id, 0.98);
    executors.chooseRun = [](const StartOrder &, const ExecutorInfo &) {
        return std::pair<Base::Duration, RunEnd>(3s, RunEnd::Done);
    };
    run(60s);
    submit("a1", "before", 16, {6800, 64, 0}, 3s, 20s);
    run(100ms);
    BOOST_TEST(executors.startCount == 16U); // in spite of the old readings
    run(60s);
    executors.chooseDelivery = [] {
        OrderDelivery delivery;
        delivery.lateBy = 1700ms;
        return delivery;
    };
    submit("a1", "job", 2, {6800, 64, 0}, 3s, 20s);
    run(1ms);
    executors.chooseDelivery = [] { return OrderDelivery(); };
    for (int i = 0; i < 4; ++i)
        setExecutorPartitioned(ExecutorId("a-x" + std::to_string(i)), true);
    run(1800ms);
    for (int i = 0; i < 4; ++i)
        setExecutorPartitioned(ExecutorId("a-x" + std::to_string(i)), false);
    run(6s);
    BOOST_TEST(count(JobOutcome::Completed) == 2U);
    check();
}

BOOST_AUTO_TEST_CASE(crashedExecutorIsGivenUpAfterItsLease)
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

// An executor that shrinks while it runs tasks gets no more than it has room for, also if it is
// over its capacity at first, and all of its room is used when it has grown again.
BOOST_AUTO_TEST_CASE(startsFitIntoACapacityThatChanges)
{
    executors.chooseRun = [](const StartOrder &, const ExecutorInfo &) {
        return std::pair<Base::Duration, RunEnd>(100ms, RunEnd::Done);
    };
    const Resources full{16000, 65536, 0};
    const Resources sizes[] = {{7000, 65536, 0}, full, {0, 65536, 0}, full, {16000, 100, 0}, full};
    std::size_t submitted = 0;
    for (int i = 0; i < 300; ++i) {
        if (i % 25 == 0) {
            for (const char *it : {"a-x0", "a-x1", "b-x0"})
                executors.resize(ExecutorId(it), sizes[i / 25 % std::size(sizes)]);
        }
        if (i % 5 == 0)
            announceExecutors();
        submit(i % 2 == 0 ? "a1" : "b2", "job" + std::to_string(++submitted), 3, {6800, 64, 0},
               100ms, 20s);
        run(50ms);
    }
    run(2s);
    BOOST_TEST(executors.startCount >= submitted);
    check();
    announceExecutors();
    run(200ms);
    submit("a1", "wide", 16, {6800, 64, 0}, 100ms, 5s);
    const std::uint64_t before = executors.startCount;
    run(50ms);
    BOOST_TEST(executors.startCount == before + 16);
    check();
}

// The tasks of a job are stopped when its caller cancels it.
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

// The stop of a cancelled job was sent once. When it was lost with its connection, the tasks ran on
// beside those of the same job, which its caller had submitted to another daemon.
BOOST_AUTO_TEST_CASE(cancelledJobWhoseStopIsLostRunsOn)
{
    executors.chooseRun = [](const StartOrder &, const ExecutorInfo &) {
        return std::pair<Base::Duration, RunEnd>(3s, RunEnd::Done);
    };
    for (const bool isCancelledFirst : {false, true}) {
        const std::string id = isCancelledFirst ? "cancelledFirst" : "resetFirst";
        submit("a1", id, 16, {6800, 64, 0}, 3s, 20s); // in both failure domains
        run(200ms);
        if (isCancelledFirst)
            node("a1").jobs().cancel(JobId(id));
        for (const char *it : {"a2", "b1", "b2"})
            resetConnections("a1", it);
        if (!isCancelledFirst)
            node("a1").jobs().cancel(JobId(id));
        run(1300ms);
        BOOST_TEST(executors.endCounts[RunEnd::Stopped] == (isCancelledFirst ? 32U : 16U));
        submit("b1", id, 16, {6800, 64, 0}, 3s, 20s);
        run(4s);
        check();
    }
}

// The tasks of a lost daemon are stopped before its callers resubmit their jobs 1.3 s later.
BOOST_AUTO_TEST_CASE(orphanedTasksAreStoppedBeforeTheJobIsResubmitted)
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

// A draining daemon hands its groups over to a daemon of the same domain.
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

// A draining daemon accepts no job that would outlast the process. Users saw a request that was
// accepted 4.5 s after SIGTERM and then abandoned.
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

// When all daemons restart, the executors still know the tokens from before the restart.
BOOST_AUTO_TEST_CASE(allDaemonsRestart)
{
    for (int i = 0; i < 3; ++i) {
        for (const auto &[name, domain] : std::map(domains))
            kill(name);
        lastNumber += 20; // the store's version increases with every registration and heartbeat
        startAll();
        run(1200ms);
        submit("a1", "job" + std::to_string(i), 4);
        run(300ms);
    }
    BOOST_TEST(count(JobOutcome::Completed) == 3U);
    check();
}

// A job with more tasks than its own domain can run is completed while an owner is unreachable.
// That its tasks go elsewhere at once is covered by the tests of JobCoordinator in
// tst_dispatchparts.cpp.
BOOST_AUTO_TEST_CASE(unreachableOwnerGetsNoTasks)
{
    const std::string owner = ownerOf("b");
    setPartitioned("a1", owner, true);
    node("a1").peerDisconnected(identity(owner));
    const std::uint64_t before = network.messageCount;
    submit("a1", "job", 16, {6800, 64, 0}, 60ms, 1s);
    run(400ms);
    BOOST_TEST(count(JobOutcome::Completed) == 1U);
    BOOST_TEST(network.messageCount > before);
    check();
}

BOOST_AUTO_TEST_SUITE_END()

// In a large deployment daemons announce only their own claims. A daemon that does not hear the
// owner of a group claims it, but cannot reach an executor whose leases the owner keeps renewing.
// The owner must learn of the claim, or the task is started a second time.
BOOST_AUTO_TEST_CASE(ownerUnawareOfAClaimIsFencedInTime)
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
    cluster.executors.partitioned.insert({other, busy});
    cluster.setPartitioned(owner, other, true);
    cluster.run(6s);
    BOOST_TEST(cluster.executors.violation == "");
    cluster.executors.partitioned.clear();
    cluster.setPartitioned(owner, other, false);
    cluster.run(8s);
    BOOST_TEST(cluster.executors.violation == "");
    BOOST_TEST(cluster.count(JobOutcome::Completed) == 1U);
}

// When a partition heals, all daemons on one side reach the executors on the other side at the same
// time, before they hear from the owner. If each of them claims at once, it fences the others and
// the owner.
BOOST_AUTO_TEST_CASE(healedPartitionCausesFewClaims)
{
    DispatchCluster cluster;
    cluster.addDaemon("a1", "a");
    for (std::size_t i = 0; i < Constants::MAX_GOSSIP_PEERS + 1; ++i)
        cluster.addDaemon(fmt::format("b{}", 10 + i), "b");
    cluster.addExecutors("a", 4);
    cluster.addExecutors("b", 4);
    cluster.startAll();
    cluster.run(3s);
    cluster.setDomainPartitioned("a", true);
    cluster.run(4s);
    BOOST_REQUIRE(cluster.owners("a") == std::vector<std::string>{"a1"});
    // Hosts that are busy when the partition heals read messages late.
    cluster.network.chooseDelay = [] { return std::chrono::milliseconds(250); };
    cluster.executors.partitioned.clear();
    std::set<std::string> claimants;
    for (int i = 0; i < 200; ++i) {
        cluster.run(10ms);
        for (const std::string &it : cluster.owners("a"))
            claimants.insert(it);
    }
    claimants.erase("a1");
    BOOST_TEST(claimants.size() <= 2U);
}
