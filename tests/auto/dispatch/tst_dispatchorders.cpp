// Tests of answers to orders that arrive late, in any order, or for an earlier lifetime.
// The build defines the module for every file, but only tst_dispatch.cpp may contain main().
#undef BOOST_TEST_MODULE
#include "dispatchcluster.h"

#include <boost/test/unit_test.hpp>

using namespace DispatchTest;

namespace {

/// Keeps the callbacks, so that the test answers each order.
class HeldPort : public ExecutorPort
{
public:
    struct Start
    {
        ExecutorInfo executor;
        OrderCallback callback;
    };

    void startTask(const ExecutorInfo &executor, const StartOrder &,
                   OrderCallback callback) override
    {
        starts.push_back({executor, std::move(callback)});
    }
    void stopTask(const ExecutorInfo &, const StopOrder &, OrderCallback) override { ++stopCount; }
    void hold(const ExecutorInfo &, const HoldOrder &, HoldCallback callback) override
    {
        m_holds.push_back(std::move(callback));
    }
    void answerHolds(const HoldResult &result)
    {
        for (const HoldCallback &it : std::exchange(m_holds, {}))
            it(result);
    }

    std::vector<Start> starts;
    int stopCount = 0;

private:
    std::vector<HoldCallback> m_holds;
};

class RecordingListener : public GroupListener
{
public:
    void tasksReported(const Base::DaemonId &coordinator, const Wire::TaskReports &message) override
    {
        for (const Wire::TaskReport &it : message.reports)
            reports.push_back({coordinator, message.job, Wire::TaskReportState(it.state)});
    }
    void groupFenced(const GroupId &, const ExecutorId &, bool) override {}
    void executorLost(const ExecutorLoss &) override { ++lossCount; }
    void executorAnswered(const ExecutorId &, Lifetime) override {}
    void executorEnded(const ExecutorId &, Lifetime) override {}
    std::set<Base::DaemonId> liveDaemons() const override { return {}; }

    bool has(const char *coordinator, const char *job, Wire::TaskReportState state) const
    {
        return std::any_of(reports.begin(), reports.end(), [&](const Report &it) {
            return it.coordinator.value() == coordinator && it.job == job && it.state == state;
        });
    }

    int lossCount = 0;

private:
    struct Report
    {
        Base::DaemonId coordinator;
        std::string job;
        Wire::TaskReportState state;
    };
    std::vector<Report> reports;
};

/// One owner and one executor.
struct HeldAnswers
{
    HeldAnswers()
        : losses(clock)
    {
        clock.advance(1s);
        info.id = ExecutorId("x");
        info.address = "old";
        info.service = ServiceId("service");
        info.capacity = {16000, 65536, 0};
        info.lifetime = Lifetime(1000);
        group = std::make_unique<ExecutorGroup>(GroupId("g"), FencingToken(1), clock, port, losses,
                                                listener);
        group->setExecutors({info}, clock.now());
        port.answerHolds(listing());
    }

    /// A listing in the registered lifetime.
    HoldResult listing(std::vector<ListedRun> running = {}, std::vector<ListedEnd> ended = {}) const
    {
        HoldResult result;
        result.order.outcome = OrderOutcome::Accepted;
        result.order.clock = ExecutorTime(Base::toMilliseconds(clock.now().time_since_epoch()));
        result.lifetime = info.lifetime;
        result.running = std::move(running);
        result.ended = std::move(ended);
        return result;
    }
    static OrderResult answer(OrderOutcome outcome)
    {
        OrderResult result;
        result.outcome = outcome;
        return result;
    }
    void submit(const char *from, const char *job, const char *label = "")
    {
        Wire::TaskBatch batch;
        batch.group = "g";
        batch.sequence = ++sequence;
        batch.job = job;
        batch.service = "service";
        batch.cpuMillis = 4000;
        batch.memoryMb = 64;
        batch.requiredLabel = label;
        batch.estimateMs = 900;
        batch.objectiveMs = 60'000;
        batch.deadlineMs = 60'000;
        batch.tasks.push_back({0, 1, false, "", 0, 0});
        group->submit(Base::DaemonId(from), batch);
    }

    ManualTimers clock;
    HeldPort port;
    RecordingListener listener;
    ExecutorLosses losses;
    ExecutorInfo info;
    std::unique_ptr<ExecutorGroup> group;
    std::uint64_t sequence = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(orders, HeldAnswers)

// The late answer to a start for an earlier lifetime, from another executor at its former address,
// ended the present one, and its runs were started a second time.
BOOST_AUTO_TEST_CASE(answerToAnEarlierLifetimeEndsThePresentOne)
{
    submit("c", "a");
    BOOST_REQUIRE(port.starts.size() == 1U);
    info.lifetime = Lifetime(2000);
    info.address = "new";
    group->setExecutors({info}, clock.now());
    port.answerHolds(listing());
    clock.advance(60ms);
    group->tick();
    port.answerHolds(listing());
    submit("c", "b");
    BOOST_REQUIRE(port.starts.size() == 2U);
    BOOST_TEST(port.starts[1].executor.address == "new");
    port.starts[1].callback(answer(OrderOutcome::Accepted));
    clock.advance(20ms);
    port.answerHolds(listing({{{JobId("b"), 0, 0, 0}, RunNumber(1)}}));
    port.starts[0].callback(answer(OrderOutcome::OtherLifetime));
    clock.advance(1ms);
    BOOST_TEST(!listener.has("c", "b", Wire::TaskReportState::Lost));
    BOOST_TEST(listener.lossCount == 0);
}

// Guards against a queue of tasks that no executor of the group can run: it counted as work ahead
// of others. Also when their executor gets a smaller one as its successor.
BOOST_AUTO_TEST_CASE(tasksWithoutExecutorAreReturned)
{
    submit("c", "label", "none");
    submit("c", "run");
    submit("c", "waiting1");
    submit("c", "waiting2");
    submit("c", "waiting3");
    submit("c", "waiting4");
    BOOST_TEST(port.starts.size() == 4U);
    clock.advance(60ms);
    group->tick();
    clock.advance(1ms);
    BOOST_TEST(listener.has("c", "label", Wire::TaskReportState::Returned));
    BOOST_TEST(group->queuedCount() == 1U);
    info.capacity.cpuMillis = 3000;
    group->setExecutors({info}, clock.now());
    clock.advance(60ms);
    group->tick();
    clock.advance(1ms);
    BOOST_TEST(listener.has("c", "waiting4", Wire::TaskReportState::Returned));
    BOOST_TEST(!listener.has("c", "run", Wire::TaskReportState::Returned));
    BOOST_TEST(group->load().queues.empty());
}

// The end of a run that had been dropped with its coordinator was not reported to the next one,
// whose job then waited for its deadline.
BOOST_AUTO_TEST_CASE(failedEndOfADroppedTaskIsNotReported)
{
    submit("c1", "a");
    BOOST_REQUIRE(port.starts.size() == 1U);
    port.starts[0].callback(answer(OrderOutcome::Accepted));
    const TaskId task{JobId("a"), 0, 0, 0};
    port.answerHolds(listing({{task, RunNumber(1)}}));
    group->coordinatorLost(Base::DaemonId("c1"));
    BOOST_TEST(port.stopCount == 1);
    submit("c2", "a");
    clock.advance(10ms);
    port.answerHolds(listing({}, {{EndSequence(1), task, RunNumber(1), RunEnd::Failed}}));
    clock.advance(50ms);
    BOOST_TEST(listener.has("c2", "a", Wire::TaskReportState::Failed));
}

// An executor that had started again under its id as a smaller kind was filled by the registration
// of its earlier lifetime, and got tasks that required the label of that one.
BOOST_AUTO_TEST_CASE(executorIsFilledByTheRegistrationOfAnEarlierLifetime)
{
    info.kind = "b";
    group->setExecutors({info}, clock.now());
    info.lifetime = Lifetime(2000);
    clock.advance(10s); // the clock of an idle executor is read
    group->tick();
    port.answerHolds(listing()); // ends the recorded lifetime
    group->tick();
    port.answerHolds(listing());
    for (const char *it : {"a", "b", "c", "d"})
        submit("c", it, "b");
    submit("c", "e");
    BOOST_TEST(port.starts.empty());
    BOOST_TEST(group->load().executors.empty());
    info.kind = "a";
    info.capacity = {6000, 65536, 0};
    group->setExecutors({info}, clock.now());
    BOOST_TEST(port.starts.size() == 1U); // of 4000, and without a label
    BOOST_TEST(group->queuedCount() == 4U);
}

// The store may return a registration that is older than the lifetime that answers, as after an
// outage, or none that states a lifetime.
BOOST_AUTO_TEST_CASE(onlyTheRegistrationOfTheRecordedLifetimeCounts)
{
    ExecutorState state(info);
    BOOST_TEST(state.isInfoCurrent());
    state.beginLifetime(Lifetime()); // another executor answers at its address
    BOOST_TEST(!state.isInfoCurrent());
    state.setLifetime(Lifetime(2000));
    BOOST_TEST(!state.isInfoCurrent());
    state.setInfo(info);
    BOOST_TEST(!state.isInfoCurrent());
    info.lifetime = Lifetime(2000);
    state.setInfo(info);
    BOOST_TEST(state.isInfoCurrent());
    info.lifetime = Lifetime();
    state.setInfo(info);
    BOOST_TEST(state.isInfoCurrent());
}

BOOST_AUTO_TEST_SUITE_END()
