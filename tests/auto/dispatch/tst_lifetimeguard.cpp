// Tests of orders that are meant for one lifetime of an executor.
// The build defines the module for every file, but only tst_dispatch.cpp may contain main().
#undef BOOST_TEST_MODULE
#include <dispatch/dispatchconstants.h>
#include <dispatch/lifetimeguard.h>

#include <boost/test/unit_test.hpp>

#include <deque>
#include <memory>

using namespace Dispatch;

namespace {

constexpr Lifetime MEANT{1000};
constexpr Lifetime NEXT{2000};

/// Answers holds as the test says. Orders are sent once a hold was answered by their lifetime.
class ScriptedPort : public ExecutorPort
{
public:
    void startTask(const ExecutorInfo &, const StartOrder &order, OrderCallback callback) override
    {
        send(order.lifetime, std::move(callback));
    }
    void stopTask(const ExecutorInfo &, const StopOrder &order, OrderCallback callback) override
    {
        send(order.lifetime, std::move(callback));
    }
    void hold(const ExecutorInfo &, const HoldOrder &order, HoldCallback callback) override
    {
        lastHold = order;
        ++holds;
        answerHold = std::move(callback);
    }

    void answer(const HoldResult &result)
    {
        if (result.order.outcome == OrderOutcome::Accepted && !isTaken)
            confirmed = result.lifetime;
        std::exchange(answerHold, {})(result);
    }

    Lifetime confirmed;
    bool isTaken = false; // another order uses each confirmed connection first
    int holds = 0;
    HoldOrder lastHold;
    HoldCallback answerHold;
    std::vector<Lifetime> sent; // for which the orders that were carried out were meant

private:
    void send(Lifetime lifetime, const OrderCallback &callback)
    {
        OrderResult result;
        const bool isBound = lifetime.value() != 0;
        result.outcome =
            isBound && lifetime != confirmed ? OrderOutcome::Unconfirmed : OrderOutcome::Accepted;
        if (result.outcome == OrderOutcome::Accepted)
            sent.push_back(lifetime);
        callback(result);
    }
};

HoldResult heldBy(Lifetime lifetime)
{
    HoldResult result;
    result.order.outcome = OrderOutcome::Accepted;
    result.lifetime = lifetime;
    return result;
}

HoldResult failedHold(OrderOutcome outcome, RefusalReason refusal = RefusalReason::None,
                      bool isDisconnected = false)
{
    HoldResult result;
    result.order.outcome = outcome;
    result.order.refusal = refusal;
    result.order.isDisconnected = isDisconnected;
    return result;
}

struct Fixture
{
    Fixture()
        : guard(std::make_unique<LifetimeGuard>(port))
    {}

    void start(Lifetime lifetime = MEANT)
    {
        StartOrder order;
        order.token = FencingToken(7);
        order.leaseEnd = ExecutorTime(1000);
        order.lifetime = lifetime;
        guard->startTask({}, order, [this](const OrderResult &it) { results.push_back(it); });
    }

    ScriptedPort port;
    std::unique_ptr<LifetimeGuard> guard;
    std::vector<OrderResult> results;
};

} // namespace

BOOST_AUTO_TEST_SUITE(lifetimeGuard)

BOOST_FIXTURE_TEST_CASE(orderToAConfirmedLifetimeIsSentAtOnce, Fixture)
{
    port.confirmed = MEANT;
    start();
    start({});
    BOOST_TEST(port.holds == 0);
    BOOST_TEST((port.sent == std::vector<Lifetime>{MEANT, {}}));
    BOOST_TEST(guard->counters().confirmations == 0U);
}

BOOST_FIXTURE_TEST_CASE(orderIsSentAfterItsLifetimeIsConfirmed, Fixture)
{
    start();
    BOOST_TEST(results.empty());
    BOOST_TEST(port.holds == 1);
    // Another lifetime may get the hold: it keeps its ends and gets no lease.
    BOOST_TEST(port.lastHold.seenUpTo.value() == 0U);
    BOOST_TEST(!port.lastHold.leaseEnd);
    BOOST_TEST(port.lastHold.wait.count() == 0);
    BOOST_TEST((port.lastHold.token == FencingToken(7)));
    port.answer(heldBy(MEANT));
    BOOST_TEST_REQUIRE(results.size() == 1U);
    BOOST_TEST((results[0].outcome == OrderOutcome::Accepted));
    BOOST_TEST((port.sent == std::vector<Lifetime>{MEANT}));
}

BOOST_FIXTURE_TEST_CASE(orderIsWithheldFromAnotherLifetime, Fixture)
{
    start();
    port.answer(heldBy(NEXT));
    guard->stopTask({}, {{}, {}, FencingToken(7), MEANT},
                    [this](const OrderResult &it) { results.push_back(it); });
    port.answer(heldBy(NEXT));
    BOOST_TEST_REQUIRE(results.size() == 2U);
    for (const OrderResult &it : results) {
        BOOST_TEST((it.outcome == OrderOutcome::OtherLifetime));
        BOOST_TEST((it.lifetime == NEXT));
    }
    BOOST_TEST(port.sent.empty());
    BOOST_TEST(guard->counters().withheld == 2U);
}

BOOST_FIXTURE_TEST_CASE(failedConfirmationsEndTheOrderUnsent, Fixture)
{
    struct Case
    {
        HoldResult confirmation;
        OrderOutcome outcome;
        RefusalReason refusal = RefusalReason::None;
    };
    const Case cases[] = {
        {failedHold(OrderOutcome::Refused, RefusalReason::Fenced), OrderOutcome::Refused,
         RefusalReason::Fenced},
        {failedHold(OrderOutcome::Refused, RefusalReason::Other), OrderOutcome::Unhealthy},
        {failedHold(OrderOutcome::Unhealthy), OrderOutcome::Unhealthy},
        {failedHold(OrderOutcome::OtherLifetime), OrderOutcome::OtherLifetime},
        {failedHold(OrderOutcome::NotSent), OrderOutcome::NotSent},
        {failedHold(OrderOutcome::Unknown), OrderOutcome::Unhealthy},
        {failedHold(OrderOutcome::Unknown, RefusalReason::None, true), OrderOutcome::NotSent},
    };
    for (const Case &it : cases) {
        results.clear();
        start();
        port.answer(it.confirmation);
        BOOST_TEST_REQUIRE(results.size() == 1U);
        BOOST_TEST((results[0].outcome == it.outcome));
        BOOST_TEST((results[0].refusal == it.refusal));
        BOOST_TEST(!results[0].clock);
    }
    BOOST_TEST(port.sent.empty());
}

// An executor that does not state its lifetime in listings would get no orders at all.
BOOST_FIXTURE_TEST_CASE(unstatedLifetimeGetsTheOrder, Fixture)
{
    start();
    port.answer(heldBy({}));
    BOOST_TEST((port.sent == std::vector<Lifetime>{Lifetime()}));
}

BOOST_FIXTURE_TEST_CASE(confirmationsOfAnOrderAreLimited, Fixture)
{
    port.isTaken = true;
    start();
    for (int i = 0; i < Constants::MAX_CONFIRMATIONS; ++i) {
        BOOST_TEST(results.empty());
        port.answer(heldBy(MEANT));
    }
    BOOST_TEST_REQUIRE(results.size() == 1U);
    BOOST_TEST((results[0].outcome == OrderOutcome::Unhealthy));
    BOOST_TEST(port.holds == Constants::MAX_CONFIRMATIONS);
}

BOOST_FIXTURE_TEST_CASE(answersAfterTheGuardHasGoneAreIgnored, Fixture)
{
    start();
    guard.reset();
    port.answer(heldBy(MEANT));
    BOOST_TEST(results.empty());
    BOOST_TEST(port.sent.empty());
}

BOOST_AUTO_TEST_SUITE_END()
