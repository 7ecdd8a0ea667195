// Tests of the mapping from notifications of the jobs library to events and metrics.
#include <support/manualtimers.h>
#include <telemetry/jobtelemetry.h>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <vector>

using namespace std::chrono_literals;
using Base::FailureCode;
using EventLog::Event;
using EventLog::EventType;

namespace {

struct Fixture
{
    Fixture()
    {
        record.id = {Base::TeamId("kalkan"), Base::RequestKey("medeu:1")};
        record.kind = Base::KindId("audit");
        record.shard = {Base::FailureDomainId("medeu"), Base::ShardIndex(5)};
        record.epoch = Base::Epoch(7);
        record.payloads = {"1", "2"};
        record.tasks.resize(2);
        record.tasks[1].upstream = upstream;
        record.acceptedAt = timers.now();
    }

    std::vector<Event> events() { return ring.query({}).events; }

    bool hasLine(const std::string &line) const
    {
        return ('\n' + metrics.toText()).find('\n' + line + '\n') != std::string::npos;
    }

    TestSupport::ManualTimers timers;
    EventLog::HybridClock clock{[] { return 1000; }};
    EventLog::EventRing ring{Base::DaemonId("medeu-1"), clock, 100};
    Metrics::MetricsRegistry metrics;
    Telemetry::JobTelemetry telemetry{ring, metrics, timers};
    const Base::UpstreamId upstream{"worker-3"};
    Jobs::JobRecord record;
};

} // namespace

// Guards against events without the ids by which operators search for them.
BOOST_FIXTURE_TEST_CASE(recordsJobEvents, Fixture)
{
    telemetry.requestAccepted(record);
    timers.advance(2s);
    record.tasks[1].startedAt = timers.now();
    telemetry.taskStarted(record, 1, upstream);
    telemetry.taskEnded(record, 1, FailureCode::TaskFailed);
    timers.advance(3s);
    record.outcome = Jobs::RequestView{Jobs::RequestState::Failed, FailureCode::TaskFailed, {}, {}};
    record.tasks.clear();
    telemetry.requestDecided(record);

    const std::vector<Event> found = events();
    const EventType types[] = {EventType::Accepted, EventType::Started, EventType::Finished,
                               EventType::Answered};
    BOOST_REQUIRE(found.size() == std::size(types));
    for (std::size_t i = 0; i < found.size(); ++i) {
        const bool isOfTask = i == 1 || i == 2;
        BOOST_TEST_CONTEXT("event " << i)
        {
            BOOST_TEST((found[i].type == types[i]));
            BOOST_TEST((found[i].request == record.id));
            BOOST_TEST((found[i].shard == record.shard));
            BOOST_TEST(found[i].epoch == record.epoch);
            BOOST_TEST(
                (found[i].task == (isOfTask ? std::optional(Base::TaskIndex(1)) : std::nullopt)));
            BOOST_TEST((found[i].upstream == (isOfTask ? std::optional(upstream) : std::nullopt)));
            BOOST_TEST((found[i].failure == (i < 2 ? FailureCode::None : FailureCode::TaskFailed)));
        }
    }
    BOOST_TEST(hasLine(R"(endivepath_task_starts_total{kind="audit"} 1)"));
    BOOST_TEST(hasLine(R"(endivepath_task_ends_total{kind="audit",outcome="taskFailed"} 1)"));
    BOOST_TEST(hasLine(R"(endivepath_task_ends_total{kind="audit",outcome="succeeded"} 0)"));
    BOOST_TEST(
        hasLine(R"(endivepath_requests_total{kind="audit",team="kalkan",outcome="failed"} 1)"));
    BOOST_TEST(hasLine(
        R"(endivepath_response_seconds_sum{kind="audit",team="kalkan",outcome="failed"} 5)"));
    BOOST_TEST(hasLine(R"(endivepath_task_queueing_seconds_sum{kind="audit"} 2)"));
}

// Guards against times that are measured from the start of the host, for records of other daemons
// that have no acceptance time, and against counting a task's queueing time again after a refused
// start.
BOOST_FIXTURE_TEST_CASE(omitsUnknownTimes, Fixture)
{
    telemetry.taskStarted(record, 1, upstream);
    record.tasks[1].refusals = 1;
    telemetry.taskStarted(record, 1, upstream);
    BOOST_TEST(hasLine(R"(endivepath_task_queueing_seconds_count{kind="audit"} 1)"));

    record.acceptedAt.reset();
    record.tasks[1].refusals = 0;
    telemetry.taskStarted(record, 1, upstream);
    record.outcome = Jobs::RequestView{Jobs::RequestState::Complete, FailureCode::None, {}, {}};
    telemetry.requestDecided(record);
    BOOST_TEST(hasLine(R"(endivepath_task_queueing_seconds_count{kind="audit"} 1)"));
    BOOST_TEST(hasLine(R"(endivepath_task_starts_total{kind="audit"} 3)"));
    BOOST_TEST(metrics.toText().find("endivepath_response_seconds") == std::string::npos);
    BOOST_TEST(metrics.total("endivepath_requests") == 1);
}

// Guards against events that name a shard for requests that run at their entry daemon.
BOOST_FIXTURE_TEST_CASE(recordsLocalRequestsWithoutShard, Fixture)
{
    record.shard = {};
    telemetry.requestAccepted(record);
    BOOST_TEST(!events().at(0).shard.has_value());
    BOOST_TEST(events().at(0).epoch == Base::Epoch());
}

// Guards against refusals that are recorded without their reason.
BOOST_FIXTURE_TEST_CASE(recordsRefusals, Fixture)
{
    Jobs::Submission submission;
    submission.id = record.id;
    telemetry.requestRefused(submission, FailureCode::QuotaExceeded);
    const std::vector<Event> found = events();
    BOOST_REQUIRE(found.size() == 1);
    BOOST_TEST((found[0].type == EventType::Refused));
    BOOST_TEST((found[0].request == record.id));
    BOOST_TEST((found[0].failure == FailureCode::QuotaExceeded));
    BOOST_TEST(
        hasLine(R"(endivepath_admission_refusals_total{team="kalkan",reason="quotaExceeded"} 1)"));
}

// Guards against events that do not distinguish the end of a recovery from its start.
BOOST_FIXTURE_TEST_CASE(recordsTakeovers, Fixture)
{
    telemetry.recoveryStarted(record.shard, Base::Epoch(8));
    telemetry.recoveryFinished(record.shard, Base::Epoch(8));
    const std::vector<Event> found = events();
    BOOST_REQUIRE(found.size() == 2);
    for (std::size_t i = 0; i < found.size(); ++i) {
        BOOST_TEST((found[i].type == EventType::Takeover));
        BOOST_TEST((found[i].shard == record.shard));
        BOOST_TEST(found[i].epoch == Base::Epoch(8));
        BOOST_TEST(found[i].detail == static_cast<std::int64_t>(i));
    }
}
