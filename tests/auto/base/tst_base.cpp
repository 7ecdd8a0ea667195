// Tests of the base library.
#include <base/failure.h>
#include <base/hash.h>
#include <base/ids.h>
#include <base/utf8.h>
#include <support/manualtimers.h>

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace Base;

// Guards against a failure code that is lost in the conversion to absl::Status and back.
BOOST_AUTO_TEST_CASE(failureCodesRoundTripThroughStatus)
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

// Guards against a hash that changes between builds, which would change the placement of all keys.
BOOST_AUTO_TEST_CASE(stableHashMatchesReferenceValues)
{
    BOOST_TEST(stableHash("") == 0xEF46DB3751D8E999ULL);
    BOOST_TEST(stableHash("a") == 0xD24EC4F1A98C6E5BULL);
}

// Guards against timers that expire out of order or are lost when scheduled from a callback.
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

// Guards against malformed text that is accepted as UTF-8 and breaks JSON, SVG or metrics output.
BOOST_AUTO_TEST_CASE(utf8SequencesAreRecognised)
{
    const std::pair<std::string_view, std::size_t> rows[] = {
        {"", 0},
        {"a", 1},
        {std::string_view("\0", 1), 1},
        {"\x7f", 1},
        {"\x80", 0},     // continuation byte without a lead byte
        {"\xc1\xbf", 0}, // overlong
        {"\xc2\x80", 2},
        {"\xc2", 0}, // truncated
        {"\xc2\x41", 0},
        {"\xe0\x9f\xbf", 0}, // overlong
        {"\xe0\xa0\x80z", 3},
        {"\xe0\xa0", 0},
        {"\xed\x9f\xbf", 3},
        {"\xed\xa0\x80", 0}, // surrogate
        {"\xef\xbf\xbf", 3},
        {"\xf0\x8f\xbf\xbf", 0}, // overlong
        {"\xf0\x90\x80\x80", 4},
        {"\xf0\x90\x80\xc0", 0},
        {"\xf4\x8f\xbf\xbf", 4},
        {"\xf4\x90\x80\x80", 0}, // above U+10FFFF
        {"\xf5\x80\x80\x80", 0},
        {"\xff", 0},
    };
    for (const auto &[text, expected] : rows)
        BOOST_TEST(utf8SequenceLength(text) == expected);
}
