// Tests of the base library.
#include <base/failure.h>
#include <base/hash.h>
#include <base/ids.h>
#include <support/manualtimers.h>

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace Base;

// Guards against a code that loses its type on the way through absl::Status.
BOOST_AUTO_TEST_CASE(failureCodesSurviveStatus)
{
    for (int i = 1; i <= static_cast<int>(FailureCode::Internal); ++i) {
        const auto code = static_cast<FailureCode>(i);
        const absl::Status status = makeFailure(code, "explanation");
        BOOST_TEST(!status.ok());
        BOOST_TEST(static_cast<int>(failureCode(status)) == i);
        BOOST_TEST(static_cast<int>(failureFromName(failureName(code))) == i);
        BOOST_TEST(failureMessage(status) == "explanation");
    }
}

// Guards against a hash that changes between builds: placement would move every key.
BOOST_AUTO_TEST_CASE(stableHashHasPublishedValues)
{
    BOOST_TEST(stableHash("") == 0xEF46DB3751D8E999ULL);
    BOOST_TEST(stableHash("a") == 0xD24EC4F1A98C6E5BULL);
}

// Guards against timers that run out of order or that are lost when set from a callback.
BOOST_AUTO_TEST_CASE(manualTimersRunInOrder)
{
    TestSupport::ManualTimers timers;
    std::vector<int> order;
    timers.schedule(std::chrono::milliseconds(20), [&] { order.push_back(2); });
    timers.schedule(std::chrono::milliseconds(10), [&] {
        order.push_back(1);
        timers.schedule(std::chrono::milliseconds(5), [&] { order.push_back(15); });
    });
    const TimerId cancelled =
        timers.schedule(std::chrono::milliseconds(1), [&] { order.push_back(0); });
    timers.cancel(cancelled);
    timers.advance(std::chrono::milliseconds(30));
    BOOST_TEST(order == (std::vector<int>{1, 15, 2}), boost::test_tools::per_element());
}
