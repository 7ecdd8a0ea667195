// The local copy of a table during outages, after stale reads and after lost history.
#include <storage/tablefollower.h>
#include <support/manualtimers.h>

#include <boost/test/unit_test.hpp>

#include <deque>

using namespace Storage;
using namespace std::chrono_literals;

namespace {

/// Keeps requests pending until the test responds to them.
class FakeFeed : public TableFeed
{
public:
    void readAll(const std::string &, Callback callback) override
    {
        ++reads;
        pending.push_back(std::move(callback));
    }
    void awaitChanges(const std::string &, StoreVersion after, Base::Duration wait,
                      Callback callback) override
    {
        ++waits;
        lastAfter = after;
        lastWait = wait;
        pending.push_back(std::move(callback));
    }
    void respond(const FeedResult &result)
    {
        BOOST_REQUIRE(!pending.empty());
        const Callback callback = std::move(pending.front());
        pending.pop_front();
        callback(result);
    }

    int reads = 0;
    int waits = 0;
    StoreVersion lastAfter;
    Base::Duration lastWait{0};
    std::deque<Callback> pending;
};

TableRow row(const char *key, const char *value, std::uint64_t version, bool isRemoved = false)
{
    return {key, value, StoreVersion(version), isRemoved};
}

FeedResult ok(std::vector<TableRow> rows, std::uint64_t version)
{
    return {FeedStatus::Ok, std::move(rows), StoreVersion(version)};
}

struct FixedPacer : public ReadPacer
{
    void readCompleted(const CompletedRead &read) override { last = read; }
    Base::TimePoint nextRead() const override { return last.answered + delay; }

    Base::Duration delay = 500ms;
    CompletedRead last;
};

struct Fixture
{
    Fixture() { follower.start(); }

    TestSupport::ManualTimers timers;
    FakeFeed feed;
    FixedPacer pacer;
    int changes = 0;
    TableFollower follower{feed, timers, "table", {}, [this] { ++changes; }, &pacer};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(tablefollower, Fixture)

BOOST_AUTO_TEST_CASE(readsThenFollows)
{
    feed.respond(ok({row("a", "1", 3)}, 5));
    BOOST_TEST(follower.hasSnapshot());
    BOOST_TEST(feed.lastAfter.value() == 5U);
    feed.respond(ok({row("a", "2", 6), row("b", "1", 7)}, 7));
    BOOST_TEST(follower.rows().at("a").value == "2");
    BOOST_TEST(follower.rows().size() == 2U);
    BOOST_TEST(changes == 2);
}

// Each store request is paid for, so changes are coalesced before the next one.
BOOST_AUTO_TEST_CASE(changesAreCoalesced)
{
    feed.respond(ok({}, 5));
    feed.respond(ok({row("a", "1", 6)}, 6));
    BOOST_TEST(feed.waits == 1);
    timers.advance(499ms);
    BOOST_TEST(feed.waits == 1);
    timers.advance(1ms);
    BOOST_TEST(feed.waits == 2);
    feed.respond(ok({}, 6)); // after a response without changes the next request follows at once
    BOOST_TEST(feed.waits == 3);
}

// Guards against a stale snapshot, which may be seconds old when it replaces a lost history: no row
// may revert to an older version, and no removed row may reappear.
// A daemon that begins to own a group needs the changes that it left unread until then.
BOOST_AUTO_TEST_CASE(shorterDelayEndsTheCurrentOne)
{
    pacer.delay = 2000ms;
    feed.respond(ok({}, 5));
    feed.respond(ok({row("a", "1", 6)}, 6));
    timers.advance(600ms);
    BOOST_TEST(feed.waits == 1);
    pacer.delay = 500ms;
    follower.checkPace();
    BOOST_TEST(feed.waits == 2);
    timers.advance(2000ms);
    BOOST_TEST(feed.waits == 2); // the ended delay has no further effect
    feed.respond(ok({row("a", "2", 7)}, 7));
    pacer.delay = 1000ms;
    timers.advance(999ms);
    BOOST_TEST(feed.waits == 2);
    timers.advance(1ms);
    BOOST_TEST(feed.waits == 3);
}

// The time may move while the follower waits for it.
BOOST_AUTO_TEST_CASE(readIsPutOffWhenThePacerPutsItOff)
{
    feed.respond(ok({}, 5));
    feed.respond(ok({row("a", "1", 6)}, 6));
    timers.advance(400ms);
    pacer.delay = 700ms;
    timers.advance(299ms);
    BOOST_TEST(feed.waits == 1);
    timers.advance(1ms);
    BOOST_TEST(feed.waits == 2);
}

// Guards against a connection that became unusable during a long delay and held up the next read
// for seconds: the request after a delay is given up soon.
BOOST_AUTO_TEST_CASE(firstRequestAfterADelayIsShort)
{
    feed.respond(ok({}, 5));
    BOOST_TEST((feed.lastWait == 2000ms));
    feed.respond(ok({row("a", "1", 6)}, 6));
    timers.advance(500ms);
    BOOST_TEST((feed.lastWait == 300ms));
    feed.respond(ok({}, 6));
    BOOST_TEST((feed.lastWait == 2000ms));
}

// Guards against reading every renewal after all, only later: the changes since a long time ago
// contain each version of each row.
BOOST_AUTO_TEST_CASE(tableIsReadAfterALongDelay)
{
    feed.respond(ok({}, 5));
    feed.respond(ok({row("a", "1", 6), row("b", "1", 7)}, 7));
    pacer.delay = 2000ms;
    timers.advance(2000ms);
    BOOST_TEST(feed.waits == 2);
    feed.respond(ok({row("a", "2", 8)}, 8));
    pacer.delay = 2001ms;
    timers.advance(2001ms);
    BOOST_TEST(feed.waits == 2);
    BOOST_TEST(feed.reads == 2);
    feed.respond(ok({row("a", "9", 30)}, 31));
    BOOST_TEST(follower.rows().at("a").value == "9");
    BOOST_TEST(!follower.rows().contains("b"));
    BOOST_TEST(feed.waits == 3);
    BOOST_TEST(feed.lastAfter.value() == 31U);
}

// A long response may have been cut off by the store: what follows is read at once, and only then
// is the copy complete.
BOOST_AUTO_TEST_CASE(longResponseIsContinued)
{
    feed.respond(ok({}, 5));
    timers.advance(10ms);
    std::vector<TableRow> rows;
    for (std::uint64_t i = 0; i < 500; ++i)
        rows.push_back(row(std::to_string(i).c_str(), "1", 6 + i));
    feed.respond(ok(std::move(rows), 505));
    BOOST_TEST(feed.waits == 2);
    BOOST_TEST((pacer.last.answered != timers.now()));
    feed.respond(ok({row("a", "1", 506)}, 506));
    BOOST_TEST((pacer.last.answered == timers.now()));
    BOOST_TEST(feed.waits == 2);
}

BOOST_AUTO_TEST_CASE(staleReadChangesNothing)
{
    feed.respond(ok({row("a", "old", 3), row("gone", "x", 2)}, 5));
    feed.respond(ok({row("a", "new", 8), row("gone", "", 9, true), row("fresh", "y", 10)}, 10));
    timers.advance(500ms);
    feed.respond({FeedStatus::HistoryGone, {}, {}});
    BOOST_TEST(feed.reads == 2);
    feed.respond(ok({row("a", "old", 3), row("gone", "x", 2)}, 6));
    BOOST_TEST(follower.rows().at("a").value == "new");
    BOOST_TEST(!follower.rows().contains("gone"));
    BOOST_TEST(follower.rows().contains("fresh"));
    // Following continues from the older version, so that no change in between is missed.
    BOOST_TEST(feed.lastAfter.value() == 6U);
}

BOOST_AUTO_TEST_CASE(rowMissingFromANewerSnapshotIsRemoved)
{
    feed.respond(ok({row("a", "1", 3)}, 5));
    feed.respond({FeedStatus::HistoryGone, {}, {}});
    feed.respond(ok({}, 9));
    BOOST_TEST(follower.rows().empty());
    BOOST_TEST(changes == 2);
}

// Guards against requests without pause to a store that has discarded its history again whenever it
// is asked, or that does not wait for changes.
BOOST_AUTO_TEST_CASE(responsesWithoutProgressAreSpaced)
{
    feed.respond(ok({}, 5));
    for (int i = 0; i < 4; ++i) {
        feed.respond({FeedStatus::HistoryGone, {}, {}});
        if (i > 0) {
            BOOST_TEST(feed.reads == 1 + i);
            timers.advance(500ms);
        }
        BOOST_TEST(feed.reads == 2 + i);
        feed.respond(ok({}, 5));
    }
    for (int i = 0; i < 4; ++i) {
        const int waits = feed.waits;
        feed.respond(ok({row("a", "1", 4)}, 5));
        BOOST_TEST(feed.waits == waits);
        timers.advance(500ms);
        BOOST_TEST(feed.waits == waits + 1);
    }
    // A response that was waited for is followed by the next request at once.
    timers.advance(2000ms);
    const int waits = feed.waits;
    feed.respond(ok({}, 5));
    BOOST_TEST(feed.waits == waits + 1);
}

// A position that the store does not know would hide all later changes.
BOOST_AUTO_TEST_CASE(positionAheadOfTheStoreIsReadAgain)
{
    feed.respond(ok({row("a", "1", 3)}, 1000));
    feed.respond(ok({}, 8));
    timers.advance(500ms);
    BOOST_TEST(feed.reads == 2);
    feed.respond(ok({row("a", "2", 8)}, 8));
    BOOST_TEST(feed.lastAfter.value() == 8U);
    BOOST_TEST(follower.rows().at("a").value == "2");
}

BOOST_AUTO_TEST_CASE(outageIsRetriedWithBackoff)
{
    feed.respond({});
    BOOST_TEST(feed.reads == 1);
    timers.advance(100ms);
    BOOST_TEST(feed.reads == 2);
    feed.respond({});
    timers.advance(100ms);
    BOOST_TEST(feed.reads == 2);
    timers.advance(100ms);
    BOOST_TEST(feed.reads == 3);
    BOOST_TEST((follower.age() >= 300ms));
    feed.respond(ok({}, 1));
    BOOST_TEST((follower.age() == 0ms));
}

BOOST_AUTO_TEST_SUITE_END()
