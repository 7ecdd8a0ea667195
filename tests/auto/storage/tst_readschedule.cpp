// When a daemon reads the table: readers, statements of peers, interruptions.
#include <storage/readschedule.h>
#include <support/manualtimers.h>

#include <boost/test/unit_test.hpp>

using namespace Storage;
using namespace std::chrono_literals;

namespace {

const Base::DaemonId READER("r1");

struct Fixture
{
    Fixture()
    {
        schedule.setRole(role);
        schedule.setDigest(1);
        timers.advance(1s);
        complete();
    }

    void complete() { schedule.readCompleted({timers.now() - 2ms, timers.now()}); }
    void state(std::uint64_t digest, Base::Duration age, const Base::DaemonId &peer = READER)
    {
        schedule.statementReceived(peer, {digest, age, 100ms}, timers.now());
    }
    /// A reader with this digest states it every 100 ms.
    void advance(Base::Duration duration, std::uint64_t digest)
    {
        for (Base::Duration t{0}; t < duration; t += 100ms) {
            timers.advance(100ms);
            state(digest, 50ms);
        }
    }
    Base::Duration untilNextRead() const { return schedule.nextRead() - timers.now(); }

    TestSupport::ManualTimers timers;
    ReadSchedule schedule;
    ReadSchedule::Role role{500ms, 125ms, false, true};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(readschedule, Fixture)

BOOST_AUTO_TEST_CASE(readsAtMaxAgeWithoutStatements)
{
    BOOST_TEST((untilNextRead() == 500ms));
    role.maxAge = 1s;
    schedule.setRole(role);
    BOOST_TEST((untilNextRead() == 1s));
}

BOOST_AUTO_TEST_CASE(readerReadsOften)
{
    role.isReader = true;
    schedule.setRole(role);
    advance(2s, 1);
    complete();
    BOOST_TEST((untilNextRead() == 125ms));
    role.maxAge = 100ms; // never less often than without the role
    schedule.setRole(role);
    BOOST_TEST((untilNextRead() == 100ms));
}

BOOST_AUTO_TEST_CASE(smallDeploymentIgnoresRolesAndStatements)
{
    role.isReader = true;
    role.usesStatements = false;
    schedule.setRole(role);
    advance(400ms, 1);
    BOOST_TEST((untilNextRead() == 100ms));
}

BOOST_AUTO_TEST_CASE(statementsOfTheSameContentPutOffTheRead)
{
    advance(10s, 1);
    // The reader's read was 50 ms before; the statement may have been held up for 150 ms.
    BOOST_TEST((untilNextRead() == 300ms));
    advance(19'900ms, 1);
    BOOST_TEST((untilNextRead() == 100ms)); // the longest time without an own read
}

// A daemon that does not reach the store must not take its copy for complete.
BOOST_AUTO_TEST_CASE(copyIsCompleteAsOfTheLastReadOrStatement)
{
    const Base::TimePoint read = timers.now() - 2ms;
    BOOST_TEST((schedule.completeAsOf() == read));
    // The age of a statement, its interval, and the time for which it may be held up.
    const Base::Duration stated = 50ms + 100ms + 50ms;
    advance(2s, 1);
    BOOST_TEST((timers.now() - schedule.completeAsOf() == stated));
    timers.advance(5s);
    BOOST_TEST((timers.now() - schedule.completeAsOf() == 5s + stated));
    advance(1s, 2); // a peer has read other content
    BOOST_TEST((schedule.completeAsOf() == read));
    schedule.setDigest(2);
    complete();
    BOOST_TEST((timers.now() - schedule.completeAsOf() == 2ms));
    BOOST_TEST((ReadSchedule().completeAsOf() == Base::TimePoint()));
}

BOOST_AUTO_TEST_CASE(otherContentIsReadAtOnce)
{
    advance(2s, 1);
    advance(100ms, 2);
    BOOST_TEST((untilNextRead() < 0ms));
    schedule.setDigest(2);
    complete();
    BOOST_TEST((untilNextRead() == 500ms));
    advance(1s, 2);
    BOOST_TEST((untilNextRead() == 300ms));
}

// While the content changes all the time, each change is not worth a read of its own.
BOOST_AUTO_TEST_CASE(otherContentIsNotReadMoreOftenThanEveryMaxAge)
{
    advance(2s, 1);
    complete();
    advance(200ms, 2);
    BOOST_TEST((untilNextRead() == 300ms));
    advance(200ms, 1); // another reader, which does not yet know of the change
    BOOST_TEST((untilNextRead() == 100ms));
}

// A daemon that has read a change before the reader must not take the reader's older content for
// confirmation of its own.
BOOST_AUTO_TEST_CASE(readerThatIsBehindConfirmsNothing)
{
    advance(2s, 1);
    schedule.setDigest(2);
    complete();
    state(1, 0ms);
    BOOST_TEST((untilNextRead() == 500ms));
}

BOOST_AUTO_TEST_CASE(readerWithoutTheStoreConfirmsNothingNew)
{
    advance(2s, 1);
    const Base::TimePoint due = schedule.nextRead();
    for (int i = 1; i <= 4; ++i) {
        timers.advance(100ms);
        state(1, 50ms + 100ms * i);
    }
    BOOST_TEST((schedule.nextRead() == due));
}

BOOST_AUTO_TEST_CASE(secondReaderReplacesTheFirst)
{
    const Base::DaemonId second("r2");
    for (int i = 0; i < 20; ++i) {
        timers.advance(100ms);
        state(1, 50ms);
        state(1, 60ms, second);
    }
    for (int i = 0; i < 20; ++i) {
        timers.advance(100ms);
        state(1, 60ms, second);
    }
    BOOST_TEST((untilNextRead() == 290ms));
}

// The clock of a suspended host stands still, so the first statements after it claim that the copy
// is recent.
BOOST_AUTO_TEST_CASE(statementsRightAfterAnInterruptionConfirmNothing)
{
    advance(2s, 1);
    timers.advance(3s);
    complete();
    timers.advance(300ms);
    state(1, 50ms);
    BOOST_TEST((untilNextRead() == 200ms));
    timers.advance(100ms);
    state(1, 150ms); // the same read
    BOOST_TEST((untilNextRead() == 100ms));
    timers.advance(99ms);
    state(1, 60ms); // may still be a statement that was held up
    BOOST_TEST((untilNextRead() == 1ms));
    complete();
    advance(1s, 1);
    BOOST_TEST((untilNextRead() == 300ms));
}

BOOST_AUTO_TEST_CASE(statesTheAgeOfItsLastRead)
{
    BOOST_TEST(!ReadSchedule().statement(timers.now()).has_value());
    timers.advance(100ms);
    schedule.setDigest(7); // of a response that was cut off
    const auto statement = schedule.statement(timers.now());
    BOOST_REQUIRE(statement.has_value());
    BOOST_TEST(statement->digest == 1U);
    BOOST_TEST((statement->age == 102ms));
}

BOOST_AUTO_TEST_SUITE_END()
