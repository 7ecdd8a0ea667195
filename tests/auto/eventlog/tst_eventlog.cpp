// Tests of the event log: clock, ring, JSON form and time line.
#include <base/utf8.h>
#include <eventlog/eventjson.h>
#include <eventlog/eventlogconstants.h>
#include <eventlog/eventring.h>
#include <eventlog/timeline.h>
#include <eventlog/timelinereport.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <limits>

using namespace EventLog;
using Base::FailureCode;

struct Fixture
{
    std::int64_t wallMs = 1'000'000;
    HybridClock clock{[this] { return wallMs; }};
    const Base::RequestId request{Base::TeamId("kalkan"), Base::RequestKey("medeu:1")};
    const Base::UpstreamId upstream{"worker-1"};
    const Base::ShardId shard{Base::FailureDomainId("medeu"), Base::ShardIndex(4)};

    EventInfo info(EventType type, std::uint64_t task = 0) const
    {
        return {type,   &request,       Base::TaskIndex(task), &upstream,
                &shard, Base::Epoch(7), FailureCode::None,     25};
    }
};

static std::size_t count(const std::string &text, const std::string &part)
{
    std::size_t n = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++n;
    return n;
}

// Guards against a time line that contradicts the messages between daemons: stamps that repeat or
// go back with the wall clock, receipts stamped before their sending, and peers with a wrong clock
// that move the local one.
BOOST_FIXTURE_TEST_CASE(clockIsMonotonic, Fixture)
{
    constexpr std::uint32_t MAX_COUNTER = std::numeric_limits<std::uint32_t>::max();
    constexpr std::uint64_t BOUND = Constants::MAX_CLOCK_SKEW_MS;
    struct Row
    {
        std::int64_t wallMs;
        std::optional<Stamp> remote;
        Stamp expected;
        std::uint64_t rejected;
    };
    const Row rows[] = {
        {1000, {}, {1000, 0}, 0},
        {1000, {}, {1000, 1}, 0},
        {900, {}, {1000, 2}, 0}, // wall clock goes back
        {1001, {}, {1001, 0}, 0},
        {1001, Stamp{1500, 7}, {1500, 8}, 0},                 // ahead, within the bound
        {1001, Stamp{1200, 9}, {1500, 9}, 0},                 // behind the local clock
        {1001, Stamp{1500, MAX_COUNTER}, {1501, 0}, 0},       // counter overflow
        {1001, Stamp{1001 + BOUND, 0}, {1001 + BOUND, 1}, 0}, // on the bound
        {1001, Stamp{1002 + BOUND, 0}, {1001 + BOUND, 2}, 1}, // beyond the bound
        {-5, Stamp{std::numeric_limits<std::uint64_t>::max(), 0}, {1001 + BOUND, 3}, 2},
        {70'000, {}, {70'000, 0}, 2},
    };
    for (const Row &row : rows) {
        wallMs = row.wallMs;
        const Stamp stamp = row.remote ? clock.merge(*row.remote) : clock.tick();
        BOOST_TEST(stamp.wallMs == row.expected.wallMs);
        BOOST_TEST(stamp.counter == row.expected.counter);
        BOOST_TEST(clock.rejectedStamps() == row.rejected);
    }
}

// Guards against a ring that overwrites the wrong events, miscounts them, or filters wrongly.
BOOST_FIXTURE_TEST_CASE(ringKeepsTheNewestEvents, Fixture)
{
    EventRing ring(Base::DaemonId("d1"), clock, 4);
    for (std::uint64_t task = 0; task < 10; ++task) {
        ++wallMs; // task n is stamped 1'000'001 + n
        ring.record(info(EventType::Started, task));
        const DaemonEvents all = ring.query({});
        BOOST_TEST(all.events.size() == std::min<std::size_t>(task + 1, 4));
        BOOST_TEST(all.overwritten == (task < 4 ? 0 : task - 3));
        BOOST_TEST(all.events.back().task->value() == task);
    }
    ring.record({EventType::LeaseLost});
    const Base::RequestId otherTeam{Base::TeamId("cevallos"), request.key};
    struct Row
    {
        EventFilter filter;
        std::size_t expected;
        std::uint64_t omitted;
    };
    const Row rows[] = {
        {{}, 4, 0},
        {{.request = request}, 3, 0},
        {{.request = otherTeam}, 0, 0},
        {{.upstream = upstream}, 3, 0},
        {{.upstream = Base::UpstreamId("")}, 0, 0},
        {{.fromMs = 1'000'009}, 3, 0},
        {{.toMs = 1'000'009}, 1, 0},
        {{.fromMs = 1'000'009, .toMs = 1'000'010}, 1, 0},
        {{.request = request, .limit = 1}, 1, 2},
        {{.limit = 0}, 0, 4},
    };
    for (const Row &row : rows) {
        const DaemonEvents result = ring.query(row.filter);
        BOOST_TEST(result.events.size() == row.expected);
        BOOST_TEST(result.omitted == row.omitted);
        BOOST_TEST(
            std::is_sorted(result.events.begin(), result.events.end(),
                           [](const Event &a, const Event &b) { return a.stamp < b.stamp; }));
    }
    BOOST_TEST(ring.query({}).events.back().request.key.isEmpty());
    BOOST_TEST(!ring.query({}).events.back().shard.has_value());
}

// Guards against long keys that overflow the entry, compare equal to each other, or are truncated
// within a character.
BOOST_FIXTURE_TEST_CASE(longKeysAreShortened, Fixture)
{
    EventRing ring(Base::DaemonId("d1"), clock, 1000);
    for (std::size_t n = 0; n < 200; ++n) {
        std::string key = "x";
        while (key.size() < n)
            key += "\u00e9";
        const Base::RequestId longRequest{request.team, Base::RequestKey(key + "a")};
        const Base::RequestId similarRequest{request.team, Base::RequestKey(key + "b")};
        const EventInfo record{EventType::Accepted, &longRequest};
        ring.record(record);
        BOOST_TEST(ring.query({.request = similarRequest}).events.empty());
        const DaemonEvents found = ring.query({.request = longRequest, .limit = 1});
        BOOST_REQUIRE(found.events.size() == 1);
        const std::string &kept = found.events.front().request.key.value();
        BOOST_TEST(kept.size() <= Constants::KEY_CAPACITY_BYTES);
        for (std::size_t at = 0; at < kept.size();) {
            const std::size_t step = Base::utf8SequenceLength(std::string_view(kept).substr(at));
            BOOST_REQUIRE(step > 0);
            at += step;
        }
    }
}

// Guards against peers that are missing from the operator's output or shown as upstreams, also in a
// reused entry.
BOOST_FIXTURE_TEST_CASE(peersAreNotUpstreams, Fixture)
{
    EventRing ring(Base::DaemonId("d1"), clock, 1);
    const Base::DaemonId peer("worker-1"); // the name of an upstream
    EventInfo connected{EventType::PeerConnected};
    connected.peer = &peer;
    ring.record(info(EventType::Started));
    ring.record(connected);
    BOOST_TEST(ring.query({.upstream = upstream}).events.empty());
    DaemonEvents received;
    BOOST_REQUIRE(daemonEventsFromJson(daemonEventsToJson(ring.query({})), received).ok());
    BOOST_REQUIRE(received.events.size() == 1);
    BOOST_CHECK(received.events[0].peer == peer);
    BOOST_CHECK(!received.events[0].upstream);
    BOOST_TEST(count(Timeline({received}).toText(), "peerConnected peer=worker-1") == 1);

    ring.record(info(EventType::Started));
    BOOST_CHECK(!ring.query({}).events.at(0).peer);
    BOOST_CHECK(ring.query({}).events.at(0).upstream == upstream);
}

// Guards against members that are lost in the JSON form, and against malformed replies.
BOOST_FIXTURE_TEST_CASE(jsonRoundTrip, Fixture)
{
    EventRing ring(Base::DaemonId("d1"), clock, 100);
    for (int i = 0; i <= static_cast<int>(EventType::PeerDisconnected); ++i)
        ring.record(info(static_cast<EventType>(i)));
    EventInfo failed{EventType::Refused};
    failed.failure = FailureCode::Overloaded;
    failed.detail = std::numeric_limits<std::int64_t>::min();
    ring.record(failed);
    const DaemonEvents sent = ring.query({});
    DaemonEvents received;
    BOOST_REQUIRE(daemonEventsFromJson(daemonEventsToJson(sent), received).ok());
    BOOST_CHECK(received.events == sent.events);
    BOOST_CHECK(received.daemon == sent.daemon);

    const char *refused[] = {"",
                             "[]",
                             "null",
                             "{",
                             R"({"daemon":"d","overwritten":0})",
                             R"({"daemon":5,"overwritten":0,"events":[]})",
                             R"({"daemon":"d","overwritten":-1,"events":[]})",
                             R"({"daemon":"d","overwritten":0,"events":{}})"};
    for (const char *text : refused)
        BOOST_TEST(
            (Base::failureCode(daemonEventsFromJson(text, received)) == FailureCode::BadRequest),
            text);
    const std::string valid = R"("type":"queued","wallMs":1,"daemon":"d","counter":)";
    const std::string unreadable[] = {"5",
                                      "{}",
                                      "{" + valid + "4294967296}",
                                      "{" + valid + "-1}",
                                      "{" + valid + R"(0,"domain":"x"})",
                                      "{" + valid + R"(0,"detail":9223372036854775808})",
                                      "{" + valid + R"(0,"task":"x"})",
                                      R"({"type":"unheardOf"})"};
    for (const std::string &text : unreadable) {
        const std::string reply =
            R"({"daemon":"d","overwritten":0,"events":[{)" + valid + "0}," + text + "]}";
        BOOST_REQUIRE(daemonEventsFromJson(reply, received).ok());
        BOOST_TEST(received.events.size() == 1);
        BOOST_TEST(received.unreadable == 1);
    }
}

// Guards against a time line in the wrong order, missing events that are not reported, and
// duplicate events.
BOOST_FIXTURE_TEST_CASE(timelineMergesDaemons, Fixture)
{
    HybridClock otherClock([this] { return wallMs - 500; });
    EventRing ring(Base::DaemonId("d1"), clock, 8);
    EventRing otherRing(Base::DaemonId("d2"), otherClock, 2);
    // d2's wall clock is behind, but its events follow messages from d1.
    otherClock.merge(ring.record(info(EventType::Accepted)));
    otherRing.record(info(EventType::Replicated));
    otherClock.merge(ring.record(info(EventType::Started)));
    otherRing.record(info(EventType::Takeover));
    otherRing.record(info(EventType::Finished));
    const std::string body = daemonEventsToJson(ring.query({}));
    const std::vector<DaemonReply> replies{
        {Base::DaemonId("d2"), {}, daemonEventsToJson(otherRing.query({}))},
        {Base::DaemonId("d1"), {}, body},
        {Base::DaemonId("d1"), {}, body},
        {Base::DaemonId("d3"), Base::makeFailure(FailureCode::Timeout, ""), ""},
        {Base::DaemonId("d4"), {}, R"({"failure":"unauthorized"})"},
        {Base::DaemonId("d5"), {}, "<html>"}};
    const TimelineReport text = renderTimeline(replies, TimelineFormat::Text);
    BOOST_TEST(!text.complete);
    const char *inOrder[] = {"6 daemons, 4 events\n",
                             "d2: 1 events overwritten\n",
                             "d3: no answer (timeout)\n",
                             "d4: no answer (unauthorized)\n",
                             "d5: no answer (badRequest)\n",
                             "Z+0 d1 accepted kalkan/medeu:1 task=0",
                             " d1 started ",
                             " d2 takeover ",
                             " d2 finished ",
                             "shard=medeu/4"};
    std::size_t at = 0;
    for (const char *part : inOrder) {
        at = text.output.find(part, at);
        BOOST_REQUIRE_MESSAGE(at != std::string::npos, part << " missing in\n" << text.output);
    }
    BOOST_TEST(renderTimeline({replies[1]}, TimelineFormat::Text).complete);

    // Started at d1, finished at d2: one bar in the lane of d1, one in the lane of the upstream.
    const std::string svg = renderTimeline(replies, TimelineFormat::Svg).output;
    BOOST_TEST(count(svg, "class=\"done\"") == 2);
    BOOST_TEST(count(svg, "class=\"open\"") == 0);
    BOOST_TEST(count(svg, ">daemon d") == 5);
    BOOST_TEST(count(svg, ">upstream worker-1<") == 1);
    BOOST_TEST(count(svg, "d3: no answer (timeout)") == 1);
}

// Guards against callers' keys that control the operator's terminal or browser, and against SVG
// documents too large to open.
BOOST_AUTO_TEST_CASE(outputIsEscapedAndBounded)
{
    DaemonEvents hostile;
    hostile.daemon = Base::DaemonId("<script>alert('1')</script>");
    Event event;
    event.daemon = hostile.daemon;
    event.type = EventType::Started;
    event.request = {Base::TeamId("a&b\"<!--"),
                     Base::RequestKey("\x1b[2J\n\xff\xc0\x80\xed\xa0\x80\u202e\u0085]]>")};
    event.upstream = Base::UpstreamId("</text><image href='x'>");
    event.stamp = {std::numeric_limits<std::uint64_t>::max(), 0};
    hostile.events = {event, {}};
    const Timeline timeline({hostile});
    for (const std::string &output : {timeline.toText(), timeline.toSvg()}) {
        for (const char *bad : {"\x1b", "\xff", "\xc0", "\xed\xa0", "\u202e", "\u0085"})
            BOOST_TEST(count(output, bad) == 0);
    }
    BOOST_TEST(count(timeline.toText(), "\n") == 3);
    for (const char *bad : {"<script", "<image", "<!--", "]]>"})
        BOOST_TEST(count(timeline.toSvg(), bad) == 0);
    BOOST_TEST(count(timeline.toSvg(), "</text>") == count(timeline.toSvg(), "<text "));

    DaemonEvents many;
    for (std::size_t i = 0; i < 2 * Constants::MAX_SVG_SHAPES; ++i) {
        event.stamp = {i / 100, static_cast<std::uint32_t>(i % 100)};
        event.task = Base::TaskIndex(i);
        many.events.push_back(event);
    }
    const std::string svg = Timeline({many}).toSvg();
    BOOST_TEST(count(svg, "class=\"open\"") == Constants::MAX_SVG_SHAPES);
    BOOST_TEST(count(svg, "60000 shapes left out") == 1);
}
