// Requests under faults. Numbers such as R1 refer to the rules of the design that a test guards.
#include "jobcluster.h"

#include <base/log.h>
#include <jobs/stopbatcher.h>

using namespace JobsTest;

namespace {

const ShardIndex SHARD(0);

/// Three daemons with one shard, whose owner has both others as replicas.
class Fixture : public JobCluster
{
public:
    Fixture(int upstreams = 2, bool allFence = true)
        : JobCluster({"a", "b", "c"}, 1, upstreams, allFence)
    {
        Base::setLogLevel(Base::LogLevel::Error);
        startAll();
        run(5s);
        owner = leaseHolder(SHARD);
        BOOST_REQUIRE(owner);
        BOOST_REQUIRE_EQUAL(owner->ownership.requiredReplicas(SHARD).size(), 2);
    }

    void submitAndRun(const Jobs::Submission &submission, Base::Duration duration)
    {
        submit(*owner, submission);
        run(duration);
    }
    /// Kills the owner and waits until another daemon owns the shard.
    void takeOver()
    {
        kill(owner->identity.daemon);
        run(4s);
        owner = leaseHolder(SHARD);
        BOOST_REQUIRE(owner);
    }
    /// Submits to the owner and returns its reply; pending if there is no outcome after 20 s.
    Jobs::Reply submitAndWait(const Jobs::Submission &submission)
    {
        Jobs::Reply answer;
        owner->coordinator.submit(submission, 20s,
                                  [&](const Jobs::Reply &reply) { answer = reply; });
        run(20s);
        return answer;
    }
    int starts(const Jobs::Submission &submission, std::size_t index = 0) const
    {
        return workers.startCount(Jobs::taskName(submission.id, index));
    }
    /// Applies \a fault to the first start order only.
    void faultFirstStart(StartFault fault)
    {
        workers.chooseStartFault = [fault, used = false](const Jobs::StartOrder &) mutable {
            return std::exchange(used, true) ? StartFault::None : fault;
        };
    }

    JobDaemon *owner = nullptr;
};

struct Expected
{
    RequestState state;
    FailureCode failure;
    int starts; // of the first task
};

void checkOutcome(const Jobs::Reply &reply, const Expected &expected)
{
    BOOST_TEST(reply.status.ok());
    BOOST_TEST(Jobs::requestStateName(reply.view.state) == Jobs::requestStateName(expected.state));
    BOOST_TEST(Base::failureName(reply.view.failure) == Base::failureName(expected.failure));
}

} // namespace

// Guards R1 and R5: if it is unknown whether a task has started, the same worker is asked, and the
// task starts elsewhere only if that worker guarantees not to start it.
BOOST_AUTO_TEST_CASE(startFaults)
{
    struct Case
    {
        const char *name;
        StartFault fault;
        bool fences;
        Expected expected;
    };
    const Expected completeOnce{RequestState::Complete, FailureCode::None, 1};
    const Case cases[] = {
        {"answer lost: revoke reports the task, which is awaited", StartFault::AnswerLost, true,
         completeOnce},
        {"start lost: revoked, runs elsewhere", StartFault::Lost, true, completeOnce},
        {"start delayed past its revocation", StartFault::Delayed, true, completeOnce},
        {"refused", StartFault::Refused, true, completeOnce},
        {"not sent", StartFault::NotSent, true, completeOnce},
        {"answer lost by a worker that can't revoke",
         StartFault::AnswerLost,
         false,
         {RequestState::Failed, FailureCode::WorkerLost, 1}},
        {"start lost before a worker that can't revoke",
         StartFault::Lost,
         false,
         {RequestState::Failed, FailureCode::WorkerLost, 0}},
    };
    for (const Case &it : cases) {
        for (const char *kind : {"audit", "ack"}) {
            BOOST_TEST_CONTEXT(it.name << ", " << kind)
            {
                Fixture f(it.fences ? 2 : 1, it.fences);
                f.faultFirstStart(it.fault);
                const auto submission = makeSubmission(kind, "k", 1);
                f.submitAndRun(submission, 10s);
                checkOutcome(f.submitAndWait(submission), it.expected);
                BOOST_TEST(f.starts(submission) == it.expected.starts);
                BOOST_TEST(!f.violated);
            }
        }
    }
}

// Guards R1 and R2: after a takeover, the new owner collects results of finished tasks, awaits
// running ones and starts the others, each task once.
BOOST_AUTO_TEST_CASE(takeoverWithTasksInEachPhase)
{
    Fixture f(2);
    // Task 0 ends before the crash, task 1 after it; no start of task 2 by the old owner is sent.
    f.workers.chooseRunTime = [](const Jobs::StartOrder &order) -> Base::Duration {
        return order.task.value().ends_with("#1") ? 4s : 50ms;
    };
    f.workers.chooseStartFault = [&](const Jobs::StartOrder &order) {
        return order.task.value().ends_with("#2") && order.epoch == Epoch(1) ? StartFault::NotSent
                                                                             : StartFault::None;
    };
    const auto submission = makeSubmission("audit", "k", 3);
    f.submitAndRun(submission, 500ms);
    BOOST_TEST(f.starts(submission, 0) == 1);
    BOOST_TEST(f.starts(submission, 2) == 0);
    f.takeOver();
    checkOutcome(f.submitAndWait(submission), {RequestState::Complete, FailureCode::None, 1});
    for (std::size_t i = 0; i < 3; ++i)
        BOOST_TEST(f.starts(submission, i) == 1);
    BOOST_TEST(!f.violated);
}

// Guards R1: a start order of the old owner that arrives after the new owner's fence is refused.
BOOST_AUTO_TEST_CASE(lateStartOfOldOwnerIsFenced)
{
    Fixture f(2);
    f.workers.startDelay = 6s;
    f.faultFirstStart(StartFault::Delayed);
    const auto submission = makeSubmission("audit", "k", 1);
    f.submitAndRun(submission, 100ms);
    f.takeOver();
    checkOutcome(f.submitAndWait(submission), {RequestState::Complete, FailureCode::None, 1});
    BOOST_TEST(f.starts(submission) == 1);
    BOOST_TEST(f.workers.staleStarts == 1);
    BOOST_TEST(!f.violated);
}

// Guards R1: a worker that is unreachable during recovery may have started a task that no other
// worker reports, so the request fails.
BOOST_AUTO_TEST_CASE(takeoverWithUnreachableWorkerFails)
{
    Fixture f(2);
    f.workers.startDelay = 12s;
    f.faultFirstStart(StartFault::Delayed);
    const auto submission = makeSubmission("audit", "k", 1);
    f.submitAndRun(submission, 100ms);
    for (auto &[id, worker] : f.workers.workers) {
        worker.reachable = false;
        break;
    }
    f.takeOver();
    checkOutcome(f.submitAndWait(submission), {RequestState::Failed, FailureCode::WorkerLost, 0});
    BOOST_TEST(!f.violated);
}

// Guards R1 and R2: starts in flight stay valid if the lease lapses and returns without another
// owner. A fence would not stop a second start under the same epoch.
BOOST_AUTO_TEST_CASE(lapsedLeaseReturnsWithStartsInFlight)
{
    for (const StartFault fault : {StartFault::AnswerLost, StartFault::Delayed}) {
        Fixture f(2);
        f.workers.startDelay = 5s;
        f.workers.startTimeout = 6s; // The start is still in flight when the lease returns.
        f.faultFirstStart(fault);
        // One slot each: a second start would go to another worker.
        std::map<UpstreamId, Scheduling::UpstreamAvailability> availability;
        for (const auto &[id, upstream] : f.manifest->upstreams)
            availability[id].slots = 1;
        f.owner->scheduler.setAvailability(availability);
        const auto submission = makeSubmission("audit", "k", 2);
        f.submitAndRun(submission, 100ms);
        f.table.down = true; // so that no replica is removed and none takes over
        for (const DaemonId &it : f.ids)
            f.network.setPartitioned(f.owner->identity.daemon, it, true);
        f.run(1600ms);
        BOOST_TEST(!f.owner->ownership.holdsLease(SHARD));
        f.network.restoreAll();
        f.run(1s);
        f.table.down = false;
        f.run(6s);
        BOOST_REQUIRE(f.owner->ownership.holdsLease(SHARD));
        BOOST_TEST(f.owner->ownership.leasedEpoch(SHARD)->value() == 1);
        checkOutcome(f.submitAndWait(submission), {RequestState::Complete, FailureCode::None, 1});
        BOOST_TEST(f.starts(submission, 0) == 1);
        BOOST_TEST(f.starts(submission, 1) == 1);
        BOOST_TEST(!f.violated);
    }
}

// Guards R1: after a process pause that outlasts the lease, the first event may be that a slot
// becomes free, which must not start a task. Pauses at different times produce that order of
// events.
BOOST_AUTO_TEST_CASE(noStartAfterPauseBeyondLease)
{
    for (Base::Duration pauseAfter = 10ms; pauseAfter <= 140ms; pauseAfter += 10ms) {
        Fixture f(1); // one upstream with four slots for the owner
        f.workers.runTime = 140ms;
        const auto submission = makeSubmission("audit", "k", 6);
        f.submitAndRun(submission, pauseAfter);
        JobDaemon *old = f.owner;
        old->timers.pause();
        f.run(3s);
        old->timers.resume();
        f.run(5s);
        f.owner = f.leaseHolder(SHARD);
        BOOST_REQUIRE(f.owner);
        checkOutcome(f.submitAndWait(submission), {RequestState::Complete, FailureCode::None, 1});
        BOOST_TEST(f.workers.staleStarts == 0);
        BOOST_TEST(!f.violated);
    }
}

// Guards R3 and R5: a resubmission before or after completion, or after a takeover, gets the first
// outcome and starts nothing.
BOOST_AUTO_TEST_CASE(resubmissionGetsTheSameAnswer)
{
    for (const char *kind : {"audit", "ack"}) {
        Fixture f;
        const auto submission = makeSubmission(kind, "k", 1);
        f.submitAndRun(submission, 20ms);
        f.submitAndRun(submission, 1s); // before completion
        f.submitAndRun(submission, 1s); // after it
        BOOST_TEST(f.outcomes[RequestState::Complete] == 3);
        f.takeOver();
        checkOutcome(f.submitAndWait(submission), {RequestState::Complete, FailureCode::None, 1});
        BOOST_TEST(f.starts(submission) == 1);
        BOOST_TEST(!f.violated);
    }
}

// Guards R3: a used key with another body is refused without side effects, also after a takeover.
BOOST_AUTO_TEST_CASE(keyConflict)
{
    Fixture f;
    const auto submission = makeSubmission("audit", "k", 1);
    f.submitAndRun(submission, 20ms);
    auto other = submission;
    other.payloads = {"\"other\""};
    other.digest = Jobs::Submission::computeDigest(other.kind, other.payloads);
    BOOST_TEST((Base::failureCode(f.submitAndWait(other).status) == FailureCode::KeyConflict));
    f.takeOver();
    BOOST_TEST((Base::failureCode(f.submitAndWait(other).status) == FailureCode::KeyConflict));
    BOOST_TEST(f.starts(submission) == 1);
}

// Guards R4: a request that misses its deadline is notRun only if no task has started.
BOOST_AUTO_TEST_CASE(deadlineIsNotRunOnlyWithoutStart)
{
    for (const bool starts : {false, true}) {
        Fixture f;
        f.workers.runTime = 20s;
        if (!starts)
            f.workers.chooseStartFault = [](const Jobs::StartOrder &) {
                return StartFault::NotSent;
            };
        const auto submission = makeSubmission("audit", "k", 1);
        f.submitAndRun(submission, 10s);
        // Refused starts are not counted, so the last one may still be in flight.
        checkOutcome(f.submitAndWait(submission),
                     {starts ? RequestState::Failed : RequestState::NotRun,
                      FailureCode::DeadlineExceeded, starts});
        BOOST_TEST(f.starts(submission) == (starts ? 1 : 0));
        BOOST_TEST(!f.violated);
    }
}

// Guards against one stop message per task: cancelling many requests at once sends one message per
// worker.
BOOST_AUTO_TEST_CASE(cancellationsAreBatchedPerWorker)
{
    Fixture f;
    f.workers.runTime = 5s;
    std::vector<Jobs::Submission> submissions;
    for (int i = 0; i < 4; ++i) {
        submissions.push_back(makeSubmission("audit", fmt::format("k{}", i), 2));
        f.submit(*f.owner, submissions.back());
    }
    f.run(500ms);
    for (const auto &it : submissions)
        f.owner->coordinator.cancel(it.id, [](const Jobs::Reply &) {});
    f.run(500ms);
    for (const auto &[id, worker] : f.workers.workers)
        BOOST_TEST(worker.stopMessages == 1);
    for (const auto &it : submissions)
        checkOutcome(f.submitAndWait(it), {RequestState::Failed, FailureCode::Cancelled, 1});
    BOOST_TEST(!f.violated);
}

// Guards R1: an owner whose process was paused beyond its lease must not start requests that it
// accepted before.
BOOST_AUTO_TEST_CASE(replicationRefusedByNewerEpoch)
{
    Fixture f;
    JobDaemon *old = f.owner;
    const auto submission = makeSubmission("audit", "k", 1);
    f.submit(*old, submission);
    old->timers.pause();
    f.run(4s);
    f.owner = f.leaseHolder(SHARD);
    BOOST_REQUIRE(f.owner);
    BOOST_REQUIRE(f.owner != old);
    checkOutcome(f.submitAndWait(submission), {RequestState::Complete, FailureCode::None, 1});
    old->timers.resume();
    f.run(5s);
    BOOST_TEST(!old->ownership.holdsLease(SHARD));
    BOOST_TEST(f.starts(submission) == 1);
    BOOST_TEST(!f.violated);
}

// Guards R1 and R5: after all records of a shard are lost, an unknown key may have run before, so
// its request fails instead of starting.
BOOST_AUTO_TEST_CASE(lostRecordsFailUnknownKeys)
{
    Fixture f;
    f.workers.runTime = 2s;
    const auto submission = makeSubmission("ack", "k", 1);
    f.submitAndRun(submission, 100ms);
    BOOST_TEST(f.starts(submission) == 1);
    for (const DaemonId &it : f.ids)
        f.kill(it);
    f.startAll();
    f.run(20s);
    f.owner = f.leaseHolder(SHARD);
    BOOST_REQUIRE(f.owner);
    const Expected expected{RequestState::Failed, FailureCode::KnowledgeLost, 1};
    checkOutcome(f.submitAndWait(submission), expected);
    f.run(5s);
    f.takeOver(); // The next owner holds all records of a predecessor that had lost some.
    checkOutcome(f.submitAndWait(submission), expected);
    checkOutcome(f.submitAndWait(makeSubmission("ack", "unknown", 1)), expected);
    BOOST_TEST(f.starts(submission) == 1);
}

// Guards R7: after a hand-over, the new owner finishes the tasks in flight.
BOOST_AUTO_TEST_CASE(handOverWithWorkInFlight)
{
    Fixture f;
    f.workers.runTime = 2s;
    const auto submission = makeSubmission("audit", "k", 3);
    f.submitAndRun(submission, 100ms);
    const DaemonId to = f.owner->ownership.requiredReplicas(SHARD).front();
    absl::Status status = Base::makeFailure(FailureCode::Timeout, "no callback");
    f.owner->coordinator.pauseShard(SHARD);
    f.owner->ownership.handOver(SHARD, to, [&](const absl::Status &it) { status = it; });
    f.run(3s);
    BOOST_TEST(status.ok());
    f.owner = f.leaseHolder(SHARD);
    BOOST_REQUIRE(f.owner);
    BOOST_TEST(f.owner->identity.daemon.value() == to.value());
    checkOutcome(f.submitAndWait(submission), {RequestState::Complete, FailureCode::None, 1});
    for (std::size_t i = 0; i < 3; ++i)
        BOOST_TEST(f.starts(submission, i) == 1);
    BOOST_TEST(!f.violated);
}

// Guards the bound on memory: records are erased at the owner and at replicas after the retention
// time.
BOOST_AUTO_TEST_CASE(recordsExpireAfterRetention)
{
    Fixture f;
    const auto submission = makeSubmission("audit", "k", 1);
    f.submitAndRun(submission, 1s);
    BOOST_TEST(f.owner->coordinator.store().count() == 1);
    f.run(f.limits.retention - 10s, 100ms);
    BOOST_TEST(f.owner->coordinator.store().count() == 1);
    f.run(15s, 100ms);
    for (const auto &[id, daemon] : f.daemons)
        BOOST_TEST(daemon->coordinator.store().count() == 0);
}

// Guards R1 and R3 when a key is used again after its retention: replicas that joined late keep the
// old outcome for longer than the owner and must not report it for the new request.
BOOST_AUTO_TEST_CASE(keyIsUsedAgainAfterRetention)
{
    Fixture f;
    const auto submission = makeSubmission("audit", "k", 1);
    f.submitAndRun(submission, 1s);
    f.run(f.limits.retention / 2, 100ms);
    // The replicas restart and receive the outcome again.
    for (const DaemonId &it : f.ids) {
        if (it == f.owner->identity.daemon)
            continue;
        f.start(it);
        f.run(5s);
    }
    BOOST_REQUIRE_EQUAL(f.owner->ownership.requiredReplicas(SHARD).size(), 2);
    f.run(f.limits.retention / 2, 100ms);
    BOOST_REQUIRE_EQUAL(f.owner->coordinator.store().count(), 0);
    for (auto &[id, worker] : f.workers.workers)
        worker.tasks.clear(); // workers drop tasks earlier than owners
    const auto other = makeSubmission("audit", "other", 1);
    auto again = submission;
    f.keys.clear();
    f.workers.fencingStarts.clear();
    again.payloads = other.payloads;
    again.digest = other.digest;
    f.submitAndRun(again, 1s);
    BOOST_TEST(f.starts(again) == 2); // once for each use
    f.takeOver();
    const Jobs::Reply reply = f.submitAndWait(again);
    BOOST_TEST(reply.status.ok());
    BOOST_TEST(Jobs::requestStateName(reply.view.state) == "complete");
}

// Guards R4 for a repeatable request that was submitted to two entry daemons: the second must not
// report notRun after the first has run it.
BOOST_AUTO_TEST_CASE(repeatableAtTwoEntries)
{
    Fixture f;
    const auto submission = makeSubmission("probe", "k", 1);
    JobDaemon &first = *f.daemons.at(DaemonId("a"));
    JobDaemon &second = *f.daemons.at(DaemonId("b"));
    f.submit(first, submission, true);
    f.run(1s);
    BOOST_TEST(f.starts(submission) == 1);
    f.workers.chooseStartFault = [](const Jobs::StartOrder &) { return StartFault::NotSent; };
    Jobs::Reply answer;
    second.coordinator.submit(submission, 20s, [&](const Jobs::Reply &it) { answer = it; });
    f.run(10s);
    BOOST_TEST(Jobs::requestStateName(answer.view.state) != "notRun");
}

// Guards against one stop message per task when many requests are cancelled.
BOOST_AUTO_TEST_CASE(stopsAreBatchedPerUpstream)
{
    TestSupport::ManualTimers timers;
    std::map<std::string, std::vector<std::size_t>> batches;
    Jobs::StopBatcher batcher(timers, 5ms,
                              [&](const Base::UpstreamId &upstream, const auto &tasks) {
                                  batches[upstream.value()].push_back(tasks.size());
                              });
    for (std::uint64_t i = 0; i < 100; ++i)
        batcher.stop(Jobs::TaskName("t" + std::to_string(i)),
                     Base::UpstreamId(i % 2 ? "u1" : "u0"));
    batcher.taskEnded(Jobs::TaskName("t0"));
    timers.advance(20ms);
    BOOST_TEST(batches["u0"] == std::vector<std::size_t>{49}, boost::test_tools::per_element());
    BOOST_TEST(batches["u1"] == std::vector<std::size_t>{50}, boost::test_tools::per_element());
    BOOST_TEST(timers.isEmpty());
    batcher.stop(Jobs::TaskName("t1"), Base::UpstreamId("u2"));
    batcher.flush();
    BOOST_TEST(batches["u2"].size() == 1);
    BOOST_TEST(timers.isEmpty());
}
