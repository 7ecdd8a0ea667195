// Replays crowds of callers against the ledger, without a network.
#include <http/connectionledger.h>

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace Http;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
    ConnectionLedger::ConnectionNumber add()
    {
        return ledger.add(listener, now, [this] { ++closedCount; });
    }
    std::vector<ConnectionLedger::ConnectionNumber> add(int n)
    {
        std::vector<ConnectionLedger::ConnectionNumber> result;
        for (int i = 0; i < n; ++i) {
            now += 1ms;
            result.push_back(add());
        }
        return result;
    }

    Base::TimePoint now;
    ConnectionLedger ledger{{.maxRequestBytes = 100'000,
                             .maxConnectionBytes = 50'000,
                             .maxAnswerBytes = 10'000,
                             .headerTimeout = 10s,
                             .bodyTimeout = 30s,
                             .idleTimeout = 60s}};
    const ConnectionLedger::ListenerNumber listener = ledger.addListener(10);
    int closedCount = 0;
};

const std::string HEADER = "POST / HTTP/1.1\r\n\r\n";

} // namespace

// Guards against a crowd that makes the process close the connections of others.
BOOST_FIXTURE_TEST_CASE(largestHolderIsClosed, Fixture)
{
    const auto crowd = add(9);
    const auto ordinary = add();
    for (const auto it : crowd)
        ledger.received(it, HEADER + std::string(10'500, 'x'), now);
    BOOST_TEST(closedCount == 0);
    ledger.received(ordinary, HEADER + std::string(9000, 'x'), now); // less than its share
    BOOST_TEST(closedCount == 1);
    BOOST_TEST(ledger.contains(ordinary));
    BOOST_TEST(ledger.refusals(Refusal::RequestBytes) == 1U);
    ledger.requestComplete(ordinary);
    for (const auto it : crowd)
        ledger.remove(it);
    BOOST_TEST(ledger.requestBytes() == 0U);
}

// Guards against small chunks that take more memory than their bytes, and an endless request.
BOOST_FIXTURE_TEST_CASE(connectionHasABudget, Fixture)
{
    const auto small = add();
    ledger.received(small, HEADER, now);
    for (int i = 0; i < 1400; ++i)
        ledger.received(small, "1\r\nx\r\n", now);
    BOOST_TEST(!ledger.contains(small)); // 8,400 bytes
    const auto plain = add();
    ledger.received(plain, HEADER + std::string(49'000, 'x'), now);
    BOOST_TEST(ledger.contains(plain));
    BOOST_TEST(ledger.refusals(Refusal::ConnectionBytes) == 1U);
}

// Guards against silent connections that keep callers out.
BOOST_FIXTURE_TEST_CASE(silentConnectionsGiveWay, Fixture)
{
    const auto open = add(4);
    for (const auto it : open)
        ledger.requestComplete(it);
    const auto idle = add();
    ledger.requestComplete(idle);
    ledger.answerQueued(idle, 10, now);
    const Base::TimePoint answered = now;
    const auto silent = add(5);
    const auto later = add(5);
    for (const auto it : silent)
        BOOST_TEST(!ledger.contains(it));
    BOOST_TEST(ledger.contains(idle));
    for (const auto it : later)
        ledger.requestComplete(it);
    // The idle connection gives way once it has been idle for a while, and not before.
    now = answered + 4999ms;
    BOOST_TEST(!ledger.contains(add()));
    BOOST_TEST(ledger.contains(idle));
    const auto last = add(1); // a millisecond later
    BOOST_TEST(!ledger.contains(idle));
    ledger.requestComplete(last[0]);
    BOOST_TEST(!ledger.contains(add())); // all others have open requests
    BOOST_TEST(ledger.connectionCount() == 10U);
}

// Guards against answers that pile up, and callers that take too long.
BOOST_FIXTURE_TEST_CASE(answersAndTimesAreLimited, Fixture)
{
    const auto reader = add();
    const auto other = add();
    for (const auto it : {reader, other}) {
        ledger.requestComplete(it);
        ledger.answerQueued(it, it == reader ? 6000 : 5000, now);
    }
    BOOST_TEST(!ledger.contains(reader));
    ledger.answerSent(other, 5000, now);
    BOOST_TEST(ledger.answerBytes() == 0U);
    const auto header = add();
    ledger.received(header, "GET", now);
    const auto body = add();
    ledger.received(body, HEADER, now);
    now += 11s;
    ledger.closeOverdue(now);
    BOOST_TEST(!ledger.contains(header));
    now += 20s;
    ledger.closeOverdue(now);
    BOOST_TEST(!ledger.contains(body));
    BOOST_TEST(ledger.contains(other));
    now += 30s;
    ledger.closeOverdue(now);
    BOOST_TEST(!ledger.contains(other));
    BOOST_TEST(ledger.refusals(Refusal::SilentTooLong) == 0U); // has been served
}
