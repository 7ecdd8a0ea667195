// Tests of FairQueue, RetryBudget, SpeedEstimate and RunTimeEstimate.
#include "schedulerfixture.h"

#include <scheduling/retrybudget.h>

#include <boost/test/unit_test.hpp>

#include <random>

using namespace Scheduling;
using namespace TestSupport;

static const auto anyGroup = [](TaskGroupIndex) { return true; };

static QueuedTask queuedTask(std::uint64_t handle, std::uint64_t team, std::uint64_t group = 0,
                             Base::Duration deadline = 1s, TaskClass taskClass = TaskClass::Job)
{
    return {TaskHandle(handle), taskClass, TeamIndex(team), TaskGroupIndex(group),
            Base::TimePoint(deadline)};
}

// Guards against a wrong order of class, team and deadline.
BOOST_AUTO_TEST_CASE(fairQueueOrder)
{
    FairQueue queue(5);
    BOOST_TEST(queue.push(queuedTask(1, 0, 0, 3s)));
    BOOST_TEST(queue.push(queuedTask(2, 0, 1, 2s)));
    BOOST_TEST(queue.push(queuedTask(3, 0, 0, 1s, TaskClass::Single)));
    BOOST_TEST(!queue.push(queuedTask(3, 0)));
    BOOST_TEST(queue.next(TaskClass::Single, anyGroup)->handle == TaskHandle(3));
    BOOST_TEST(queue.next(TaskClass::Job, anyGroup)->handle == TaskHandle(2));
    BOOST_TEST(queue.next(TaskClass::Job, [](TaskGroupIndex it) { return it.value() == 0; })->handle
               == TaskHandle(1));
    BOOST_TEST(queue.start(TaskHandle(2), 10ms));
    BOOST_TEST(queue.push(queuedTask(4, 1, 0, 9s)));
    // Team 0 was served, team 1 was not. Deadlines are not compared between teams.
    BOOST_TEST(queue.next(TaskClass::Job, anyGroup)->handle == TaskHandle(4));
    BOOST_TEST(queue.withdraw(TaskHandle(4)));
    BOOST_TEST(!queue.withdraw(TaskHandle(4)));
    BOOST_TEST(queue.push(queuedTask(5, 0)));
    BOOST_TEST(queue.push(queuedTask(6, 0)));
    BOOST_TEST(queue.push(queuedTask(7, 0)));
    BOOST_TEST(!queue.push(queuedTask(8, 0))); // full
}

// Guards against unfair shares, and against a team that earns credit while it is idle.
BOOST_AUTO_TEST_CASE(fairQueueShares)
{
    FairQueue queue(10000);
    queue.setWeight(TeamIndex(1), 3);
    std::uint64_t handle = 0;
    const auto fill = [&](std::uint64_t team) {
        for (int i = 0; i < 1000; ++i) {
            ++handle;
            queue.push(queuedTask(handle, team, handle % 3));
        }
    };
    const auto serve = [&](int n) {
        std::map<std::uint64_t, int> served;
        for (int i = 0; i < n; ++i) {
            const auto task = queue.next(TaskClass::Job, anyGroup);
            ++served[task->team.value()];
            queue.start(task->handle, 10ms);
        }
        return served;
    };
    fill(0);
    fill(1);
    auto served = serve(400);
    BOOST_TEST(std::abs(served[0] - 100) <= 2);
    BOOST_TEST(std::abs(served[1] - 300) <= 2);
    fill(2);
    served = serve(500);
    BOOST_TEST(std::abs(served[0] - 100) <= 3);
    BOOST_TEST(std::abs(served[1] - 300) <= 3);
    BOOST_TEST(std::abs(served[2] - 100) <= 3);
    BOOST_TEST(queue.activeWeight(TaskClass::Job) == 5);
}

// Guards against an index that loses or repeats tasks under random operations.
BOOST_AUTO_TEST_CASE(fairQueueRandomOperations)
{
    std::mt19937_64 random(7);
    FairQueue queue(300);
    std::map<std::uint64_t, QueuedTask> model;
    for (std::uint64_t i = 1; i <= 20000; ++i) {
        const auto task =
            queuedTask(i, random() % 9, random() % 4, std::chrono::seconds(random() % 5),
                       random() % 2 ? TaskClass::Job : TaskClass::Single);
        const bool pushed = queue.push(task);
        BOOST_REQUIRE(pushed == (model.size() < 300));
        if (pushed)
            model[i] = task;
        if (random() % 3 == 0 && !model.empty()) {
            const auto it = std::next(model.begin(), static_cast<long>(random() % model.size()));
            BOOST_REQUIRE(queue.withdraw(it->second.handle));
            model.erase(it);
        }
        const TaskGroupIndex closed(random() % 4);
        const auto next =
            queue.next(task.taskClass, [&](TaskGroupIndex group) { return group != closed; });
        const bool expected = std::any_of(model.begin(), model.end(), [&](const auto &it) {
            return it.second.taskClass == task.taskClass && it.second.group != closed;
        });
        BOOST_REQUIRE(next.has_value() == expected);
        if (next && random() % 2) {
            BOOST_REQUIRE(next->group != closed);
            BOOST_REQUIRE(queue.start(next->handle, 5ms));
            BOOST_REQUIRE(model.erase(next->handle.value()) == 1);
        }
        BOOST_REQUIRE(queue.size() == model.size());
    }
}

// Guards against retries that multiply the load of a failing system, and against no retries at all.
BOOST_AUTO_TEST_CASE(retryBudgetIsAFractionOfSuccesses)
{
    RetryBudget budget(0.1, 1, 5);
    Base::TimePoint now{1h};
    const auto retries = [&] {
        int n = 0;
        while (budget.tryRetry(now))
            ++n;
        return n;
    };
    BOOST_TEST(retries() == 5);
    for (int i = 0; i < 31; ++i)
        budget.taskSucceeded();
    BOOST_TEST(retries() == 3);
    now += 2s;
    BOOST_TEST(retries() == 2);
    now += 100s;
    BOOST_TEST(retries() == 5);
}

// Guards against a speed estimate that one stalled task distorts, or that follows a lasting change
// too slowly.
BOOST_AUTO_TEST_CASE(speedFollowsResults)
{
    SpeedEstimate speed;
    const double logMean = std::log(100.0);
    for (int i = 0; i < 200; ++i)
        speed.add(50ms, logMean);
    BOOST_TEST(speed.speed() == 2, boost::test_tools::tolerance(0.02));
    speed.add(50s, logMean);
    BOOST_TEST(speed.speed() == 2, boost::test_tools::tolerance(0.05));
    for (int i = 0; i < 100; ++i)
        speed.add(400ms, logMean);
    BOOST_TEST(speed.speed() == 0.25, boost::test_tools::tolerance(0.2));
}

// Guards against a declared run time, wrong by a factor of 10 either way, that still affects the
// estimate after the first results.
BOOST_AUTO_TEST_CASE(runTimeFollowsResults)
{
    for (const Base::Duration declared : {10ms, 100ms, 1000ms}) {
        RunTimeEstimate estimate(declared);
        const Base::TimePoint now{1h};
        for (int i = 0; i < 40; ++i)
            estimate.add(i % 2 ? 30ms : 70ms, 2, now);
        BOOST_TEST(Base::toMilliseconds(estimate.mean()) == 100, boost::test_tools::tolerance(0.1));
        BOOST_TEST(Base::toMilliseconds(estimate.optimisticUpper(now)) >= 160);
        BOOST_TEST(Base::toMilliseconds(estimate.optimisticMean(now + 1min)) <= 20);
    }
}
