// Tests of QueueScheduler.
#include "schedulerfixture.h"

#include <base/failure.h>

#include <boost/test/unit_test.hpp>

#include <set>

using namespace Scheduling;
using namespace TestSupport;
using Base::FailureCode;

// Guards against use of more slots or resources than an upstream declares.
BOOST_AUTO_TEST_CASE(startsNoMoreThanSlotsAndResources)
{
    SchedulerFixture f;
    for (int i = 0; i < 20; ++i)
        f.enqueue("audit");
    BOOST_TEST(f.starter.starts.size() == 8);
    std::map<std::string, int> perUpstream;
    for (const auto &it : f.starter.starts)
        ++perUpstream[it.upstream];
    for (const auto &[id, n] : perUpstream)
        BOOST_TEST(n == 2, id);
    f.scheduler.taskFinished(f.starter.starts[0].task, TaskResult::Succeeded, 100ms);
    BOOST_TEST(f.starter.starts.size() == 9);

    SchedulerFixture gpus;
    const TaskHandle first = gpus.enqueue("gpu");
    gpus.enqueue("gpu");
    BOOST_TEST(gpus.starter.starts.size() == 1);
    gpus.scheduler.taskFinished(first, TaskResult::Succeeded, 100ms);
    BOOST_TEST(gpus.starter.starts.size() == 2);
    BOOST_TEST(gpus.starter.starts[1].upstream == "u0");
}

// Guards against job tasks that start before single requests, and against a kind without a free
// slot that blocks the other kinds.
BOOST_AUTO_TEST_CASE(singlesFirstAndBlockedKindsSkipped)
{
    SchedulerFixture f;
    const TaskHandle gpu = f.enqueue("gpu");
    f.enqueue("gpu");
    f.enqueue("probe");
    BOOST_TEST(f.starter.starts.size() == 2);
    for (int i = 0; i < 6; ++i)
        f.enqueue("probe");
    f.enqueue("audit");
    const TaskHandle probe = f.enqueue("probe");
    BOOST_TEST(f.starter.starts.size() == 8);
    f.scheduler.taskFinished(f.starter.starts[1].task, TaskResult::Succeeded, 100ms);
    BOOST_TEST(f.starter.starts.back().task == probe);
    f.scheduler.taskFinished(gpu, TaskResult::Succeeded, 100ms);
    BOOST_TEST(f.starter.starts.back().upstream == "u0");
}

// Guards against a withdrawn task that starts, and a started task reported as withdrawn.
BOOST_AUTO_TEST_CASE(withdrawOnlyWhileQueued)
{
    SchedulerFixture f;
    for (int i = 0; i < 8; ++i)
        f.enqueue("audit");
    const TaskHandle queued = f.enqueue("audit");
    BOOST_TEST(!f.scheduler.withdraw(f.starter.starts[0].task));
    BOOST_TEST(f.scheduler.withdraw(queued));
    BOOST_TEST(!f.scheduler.withdraw(queued));
    f.scheduler.taskFinished(f.starter.starts[0].task, TaskResult::Cancelled, 1ms);
    BOOST_TEST(f.starter.starts.size() == 8);
    BOOST_TEST(f.scheduler.queuedCount() == 0);
    BOOST_TEST(f.scheduler.startedCount() == 7);
}

// Guards against new work on an upstream that is leaving, is no longer available, or was removed
// from the manifest. Its running tasks must still be accounted for.
BOOST_AUTO_TEST_CASE(leavingUpstreamsGetNoWork)
{
    for (const int variant : {0, 1, 2}) {
        SchedulerFixture f;
        f.enqueue("audit");
        const Base::UpstreamId used(f.starter.starts[0].upstream);
        if (variant == 0)
            f.availability[used].leaving = true;
        else if (variant == 1)
            f.availability.erase(used);
        else
            f.manifest.upstreams.erase(used);
        f.scheduler.setManifest(f.manifest);
        f.scheduler.setAvailability(f.availability);
        for (int i = 0; i < 20; ++i)
            f.enqueue("audit");
        f.scheduler.taskFinished(f.starter.starts[0].task, TaskResult::Succeeded, 100ms);
        BOOST_TEST(f.starter.starts.size() == 7);
        for (std::size_t i = 1; i < f.starter.starts.size(); ++i)
            BOOST_TEST(f.starter.starts[i].upstream != used.value());
    }
}

// Guards against a task that is sent again to an upstream that refused it, and one that is queued
// forever because all upstreams refused it.
BOOST_AUTO_TEST_CASE(excludedUpstreams)
{
    SchedulerFixture f;
    std::vector<Base::UpstreamId> excluded;
    for (int i = 0; i < 3; ++i)
        excluded.emplace_back("u" + std::to_string(i));
    f.enqueue("audit", "a", excluded);
    BOOST_TEST(f.starter.starts.back().upstream == "u3");
    f.enqueue("audit", "a", excluded);
    f.enqueue("audit", "a", excluded);
    BOOST_TEST(f.starter.starts.size() == 2);
    f.enqueue("audit"); // not blocked by the task before it
    BOOST_TEST(f.starter.starts.size() == 3);
    excluded.emplace_back("u3");
    f.enqueue("audit", "a", excluded);
    BOOST_TEST(f.starter.starts.size() == 4);
}

// Guards against errors on re-entry: startTask() may report a refusal before it returns.
BOOST_AUTO_TEST_CASE(resultReportedWithinStartTask)
{
    SchedulerFixture f;
    int refusals = 0;
    f.starter.onStart = [&](TaskHandle task, const Base::UpstreamId &) {
        if (++refusals > 3)
            return;
        f.scheduler.taskFinished(task, TaskResult::Refused, 0ms);
        f.enqueue("probe");
    };
    f.enqueue("probe");
    BOOST_TEST(f.starter.starts.size() == 4);
    BOOST_TEST(f.scheduler.startedCount() == 1);
    BOOST_TEST(f.scheduler.queuedCount() == 0);
}

// Guards against an upstream that fails immediately and so attracts all work, against ejection of
// more than half of the upstreams, and against an ejected upstream that is never probed again.
BOOST_AUTO_TEST_CASE(failingUpstreamsAreEjectedAndProbed)
{
    struct Row
    {
        TaskResult result;
        int failing;
        int expectedEjected;
    };
    const Row rows[] = {{TaskResult::Failed, 1, 1},
                        {TaskResult::Refused, 1, 1},
                        {TaskResult::Lost, 1, 1},
                        {TaskResult::Cancelled, 1, 0},
                        {TaskResult::Failed, 3, 2}};
    for (const Row &row : rows) {
        SchedulerFixture f(testManifest(4, 8));
        bool broken = true;
        const auto step = [&] {
            f.enqueue("probe");
            f.enqueue("probe");
            f.timers.advance(10ms);
            const auto starts = std::exchange(f.starter.starts, {});
            for (const auto &it : starts) {
                const bool fails = broken && it.upstream[1] - '0' < row.failing;
                f.scheduler.taskFinished(it.task, fails ? row.result : TaskResult::Succeeded,
                                         fails ? 1ms : 100ms);
            }
            return starts;
        };
        for (int i = 0; i < 90; ++i)
            step();
        BOOST_TEST(f.scheduler.pool().ejectedCount() == row.expectedEjected);
        std::size_t probes = 0;
        for (int i = 0; i < 500 && row.failing == 1; ++i) {
            for (const auto &it : step())
                probes += it.upstream == "u0" ? 1 : 0;
        }
        if (row.expectedEjected == 1)
            BOOST_TEST((probes >= 1 && probes <= 4), probes);
        broken = false;
        for (int i = 0; i < 2000; ++i)
            step();
        BOOST_TEST(f.scheduler.pool().ejectedCount() == 0);
    }
}

// Guards against unjustified refusals, and against admission of requests that can't be answered.
BOOST_AUTO_TEST_CASE(admission)
{
    struct Row
    {
        const char *kind;
        const char *team;
        std::uint32_t tasks;
        Base::Duration deadline;
        int queued;
        FailureCode expected;
    };
    const Row rows[] = {
        {"probe", "a", 1, 1000ms, 0, FailureCode::None},
        {"nothing", "a", 1, 1000ms, 0, FailureCode::UnknownKind},
        {"probe", "nobody", 1, 1000ms, 0, FailureCode::UnknownTeam},
        {"huge", "a", 1, 1000ms, 0, FailureCode::Unservable},
        {"probe", "a", 1, 50ms, 0, FailureCode::DeadlineImpossible},
        {"audit", "a", 501, 60000ms, 0, FailureCode::QuotaExceeded},
        {"audit", "a", 200, 1000ms, 0, FailureCode::Overloaded},
        {"audit", "a", 30, 1000ms, 0, FailureCode::None},
        {"audit", "a", 30, 1000ms, 80, FailureCode::Overloaded},
        {"audit", "a", 30, 5000ms, 80, FailureCode::None},
        {"audit", "b", 10, 1000ms, 80, FailureCode::None}, // the team's share of 3/4 suffices
        {"probe", "a", 1, 1000ms, 80, FailureCode::None},  // starts before the job's tasks
    };
    for (const Row &row : rows) {
        SchedulerFixture f;
        for (int i = 0; i < 80; ++i) { // sets the estimates to 100 ms
            const TaskHandle task = f.enqueue("probe");
            f.scheduler.taskFinished(task, TaskResult::Succeeded, 100ms);
            f.scheduler.taskFinished(f.enqueue("audit"), TaskResult::Succeeded, 100ms);
        }
        for (int i = 0; i < row.queued + (row.queued > 0 ? 8 : 0); ++i)
            f.enqueue("audit");
        const Admission decision = f.admit(row.kind, row.tasks, row.deadline, row.team);
        BOOST_TEST_CONTEXT(row.kind << " " << row.tasks << " queued " << row.queued)
        {
            BOOST_TEST(Base::failureName(Base::failureCode(decision.status))
                       == Base::failureName(row.expected));
            BOOST_TEST((decision.retryAfter > 0ms)
                       == (row.expected == FailureCode::Overloaded
                           || row.expected == FailureCode::QuotaExceeded));
        }
    }
}

// Guards against a declared run time that is too long by a factor of 10 and has all requests
// refused forever, since without results it is never corrected.
BOOST_AUTO_TEST_CASE(wrongDeclaredRunTimeIsCorrected)
{
    SchedulerFixture f;
    f.manifest.kinds[Base::KindId("probe")].declaredRunTime = 5000ms;
    f.manifest.kinds[Base::KindId("probe")].id = Base::KindId("slow");
    f.manifest.kinds[Base::KindId("slow")] = f.manifest.kinds[Base::KindId("probe")];
    f.scheduler.setManifest(f.manifest);
    BOOST_TEST(f.admit("slow", 1).status.ok());
    for (int i = 0; i < 10; ++i)
        f.scheduler.taskFinished(f.enqueue("slow"), TaskResult::Succeeded, 500ms);
    BOOST_TEST(f.admit("slow", 1).status.ok());
    BOOST_TEST(!f.admit("slow", 1, 300ms).status.ok());
    f.timers.advance(60s); // an old estimate must not refuse forever either
    BOOST_TEST(f.admit("slow", 1, 300ms).status.ok());
}

// Guards against a scheduler that does not detect which upstreams are fast.
BOOST_AUTO_TEST_CASE(prefersFastUpstreams)
{
    SchedulerFixture f;
    for (int i = 0; i < 400; ++i) {
        for (int k = 0; k < 8; ++k)
            f.enqueue("probe");
        f.timers.advance(20ms);
        // Tasks may wait for u2; the results of others then start them.
        while (!f.starter.starts.empty()) {
            for (const auto &it : std::exchange(f.starter.starts, {}))
                f.scheduler.taskFinished(it.task, TaskResult::Succeeded,
                                         it.upstream == "u2" ? 50ms : 150ms);
        }
    }
    BOOST_TEST(f.scheduler.startedCount() == 0);
    f.timers.advance(5s);
    f.enqueue("probe");
    BOOST_REQUIRE(f.starter.starts.size() == 1);
    BOOST_TEST(f.starter.starts.back().upstream == "u2");
}
