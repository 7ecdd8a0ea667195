// Budgets for what the jobs of callers take, and jobs that no executor can run.
#undef BOOST_TEST_MODULE
#include "dispatchcluster.h"

#include <dispatch/memorybudget.h>

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace Dispatch;
using namespace DispatchTest;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(memory)

// Guards against large objects that keep small ones out, and against shares that are not returned.
BOOST_AUTO_TEST_CASE(largeObjectsTakeHalfOfABudget)
{
    MemoryBudget budget(1000, 10);
    {
        std::vector<MemoryBudget::Share> shares;
        shares.push_back(budget.tryTake(500));
        BOOST_TEST(bool(shares.back()));
        BOOST_TEST(!budget.tryTake(11));
        for (int i = 0; i < 50; ++i)
            shares.push_back(budget.tryTake(10));
        BOOST_TEST(bool(shares.back()));
        BOOST_TEST(budget.usedBytes() == 1000U);
        BOOST_TEST(!budget.tryTake(1));
        BOOST_TEST(budget.refusals() == 2U);
        MemoryBudget::Share moved = std::move(shares.back());
        BOOST_TEST(bool(moved));
        shares.pop_back();
        BOOST_TEST(budget.usedBytes() == 1000U);
        shares.push_back(budget.take(2000));
        BOOST_TEST(budget.usedBytes() == 3000U);
    }
    BOOST_TEST(budget.usedBytes() == 0U);
    BOOST_TEST(bool(budget.tryTake(500)));
}

struct Fixture : DispatchCluster
{
    void start()
    {
        addExecutors("a", 4);
        addDaemon("a0", "a");
        startAll();
        run(3s);
    }
    std::size_t rejections() const { return count(JobOutcome::Rejected); }
};

// Guards against jobs of thousands of tasks that take the memory of their coordinator: a request of
// 100 bytes is enough for each.
BOOST_FIXTURE_TEST_CASE(coordinatorRefusesJobsBeyondItsMemory, Fixture)
{
    options.memory.maxJobBytes = 4'000'000;
    options.memory.maxOpenRequests = 200; // each may have 10,000 bytes
    start();
    for (int i = 0; i < 20; ++i)
        submit("a0", "large" + std::to_string(i), 4000, {4, 1, 0}, 1ms, 600s);
    BOOST_TEST(node("a0").jobs().jobBytes() < 2'000'000U);
    BOOST_TEST(rejections() >= 18U);
    BOOST_TEST(node("a0").jobs().counters().rejectedNoMemory == rejections());
    const std::size_t before = rejections();
    for (int i = 0; i < 10; ++i)
        submit("a0", "ordinary" + std::to_string(i), 8, {1000, 64, 0}, 60ms, 600s);
    BOOST_TEST(rejections() == before);
    run(10s);
    BOOST_TEST(executors.violation == "");
    for (const auto &[id, job] : jobs) {
        if (!job.isAnswered)
            node("a0").jobs().cancel(JobId(id.substr(3, id.rfind('/') - 3)));
    }
    BOOST_TEST(node("a0").jobs().jobBytes() == 0U);
}

// Guards against the same at the owner of a group, which holds tasks of all coordinators; a job of
// which nothing has started is refused, and nothing of it starts later.
BOOST_FIXTURE_TEST_CASE(ownerRefusesTasksBeyondItsMemory, Fixture)
{
    options.memory.maxTaskBytes = 400'000;
    addDaemon("b0", "b");
    start();
    const std::string owner = owners("a").at(0);
    for (int i = 0; i < 40; ++i)
        submit(i % 2 == 0 ? "a0" : "b0", "job" + std::to_string(i), 70, {16000, 64, 0}, 1ms, 600s);
    run(200ms);
    BOOST_TEST(node(owner).taskBytes() <= 400'000U);
    BOOST_TEST(rejections() >= 20U);
    submit("a0", "ordinary", 2, {1000, 64, 0});
    run(30s);
    BOOST_TEST(executors.violation == "");
    BOOST_TEST(node(owner).taskBytes() == 0U);
    BOOST_TEST(count(JobOutcome::Completed) > 0U);
    const std::size_t completed = count(JobOutcome::Completed);
    submit("a0", "afterwards", 2, {1000, 64, 0});
    run(1s);
    BOOST_TEST(count(JobOutcome::Completed) == completed + 1);
}

// Guards against jobs that no executor can run: they waited until they were of no use any more, and
// counted as work ahead of others meanwhile.
BOOST_FIXTURE_TEST_CASE(jobsWithoutExecutorAreRejectedAtOnce, Fixture)
{
    start();
    for (int i = 0; i < 100; ++i)
        submit("a0", "large" + std::to_string(i), 1, {17000, 64, 0}, 20s, 600s);
    BOOST_TEST(rejections() == 100U);
    BOOST_TEST(node("a0").jobs().counters().rejectedNoExecutor == 100U);
    submit("a0", "memory", 1, {1000, 65537, 0});
    submit("a0", "gpu", 1, {1000, 64, 1});
    BOOST_TEST(rejections() == 102U);
    submit("a0", "ordinary", 8);
    run(1s);
    BOOST_TEST(count(JobOutcome::Completed) == 1U);
}

// Guards against the same when the only executor for a job leaves while it waits.
BOOST_FIXTURE_TEST_CASE(jobIsRejectedWhenItsExecutorLeaves, Fixture)
{
    addExecutors("b", 1, 32000);
    start();
    addDaemon("b0", "b");
    startDaemon("b0");
    run(3s);
    submit("a0", "first", 1, {32000, 64, 0}, 900ms, 600s);
    submit("a0", "second", 1, {32000, 64, 0}, 900ms, 600s);
    run(30ms); // a run takes 60 ms
    BOOST_TEST(rejections() == 0U);
    std::vector<ExecutorInfo> infos = executors.infos();
    std::erase_if(infos, [](const auto &it) { return it.capacity.cpuMillis == 32000; });
    for (const auto &[name, daemon] : daemons)
        daemon->node.setExecutors(infos);
    run(200ms);
    BOOST_TEST(rejections() == 1U);
    BOOST_TEST(executors.violation == "");
}

BOOST_AUTO_TEST_SUITE_END()
