// Maps notifications of the jobs library to events and metrics.
#include "jobtelemetry.h"

#include <string>

namespace Telemetry {

using Base::FailureCode;
using EventLog::EventInfo;
using EventLog::EventType;

static constexpr char TASK_ENDS[] = "endivepath_task_ends";
static constexpr char TASK_ENDS_HELP[] = "Ends of tasks, by kind and result.";

/// Detail of a Takeover event that marks the end of a recovery; it is 0 at the start.
static constexpr std::int64_t RECOVERY_FINISHED = 1;

static std::string taskOutcome(FailureCode failure)
{
    return failure == FailureCode::None ? "succeeded" : std::string(Base::failureName(failure));
}

static EventInfo makeEvent(EventType type, const Jobs::JobRecord &record)
{
    EventInfo event;
    event.type = type;
    event.request = &record.id;
    if (!record.isLocal()) {
        event.shard = &record.shard;
        event.epoch = record.epoch;
    }
    return event;
}

JobTelemetry::JobTelemetry(EventLog::EventRing &events, Metrics::MetricsRegistry &metrics,
                           const Base::Timers &timers)
    : m_events(events)
    , m_metrics(metrics)
    , m_timers(timers)
{}

JobTelemetry::KindMetrics &JobTelemetry::metricsFor(const Base::KindId &kind)
{
    // Consecutive tasks often belong to the same job, and comparing is faster than hashing.
    if (m_lastKind && m_lastKind->first == kind)
        return m_lastKind->second;
    const auto [it, isNew] = m_kinds.try_emplace(kind);
    m_lastKind = &*it;
    if (isNew) {
        it->second.starts = m_metrics.counter(
            "endivepath_task_starts", "Starts sent to upstreams, by kind.", {.kind = kind.value()});
        it->second.successes =
            m_metrics.counter(TASK_ENDS, TASK_ENDS_HELP,
                              {.kind = kind.value(), .outcome = taskOutcome(FailureCode::None)});
        it->second.queueing = m_metrics.histogram(
            "endivepath_task_queueing_seconds",
            "Time from the acceptance of a request to the first start of each of its tasks.",
            {.kind = kind.value()});
    }
    return it->second;
}

void JobTelemetry::requestAccepted(const Jobs::JobRecord &record)
{
    EventInfo event = makeEvent(EventType::Accepted, record);
    event.detail = static_cast<std::int64_t>(record.payloads.size());
    m_events.record(event);
}

void JobTelemetry::requestRefused(const Jobs::Submission &submission, FailureCode reason)
{
    EventInfo event;
    event.type = EventType::Refused;
    event.request = &submission.id;
    event.failure = reason;
    m_events.record(event);
    m_metrics
        .counter(
            "endivepath_admission_refusals", "Requests that admission refused, by reason.",
            {.team = submission.id.team.value(), .reason = std::string(Base::failureName(reason))})
        .add();
}

void JobTelemetry::requestDecided(const Jobs::JobRecord &record)
{
    if (!record.outcome)
        return;
    EventInfo event = makeEvent(EventType::Answered, record);
    event.failure = record.outcome->failure;
    m_events.record(event);
    const Metrics::Labels labels{.kind = record.kind.value(),
                                 .team = record.id.team.value(),
                                 .outcome =
                                     std::string(Jobs::requestStateName(record.outcome->state))};
    m_metrics.counter("endivepath_requests", "Decided requests, by outcome.", labels).add();
    if (record.acceptedAt) {
        m_metrics
            .histogram("endivepath_response_seconds",
                       "Time from the acceptance of a request to its outcome.", labels)
            .observe(m_timers.now() - *record.acceptedAt);
    }
}

void JobTelemetry::taskStarted(const Jobs::JobRecord &record, std::size_t index,
                               const Base::UpstreamId &upstream)
{
    EventInfo event = makeEvent(EventType::Started, record);
    event.task = Base::TaskIndex(index);
    event.upstream = &upstream;
    m_events.record(event);
    KindMetrics &metrics = metricsFor(record.kind);
    metrics.starts.add();
    // Uses the start time in the record: reading the clock again would take half as long as
    // recording the event.
    if (record.acceptedAt && index < record.tasks.size() && record.tasks[index].refusals == 0)
        metrics.queueing.observe(record.tasks[index].startedAt - *record.acceptedAt);
}

void JobTelemetry::taskEnded(const Jobs::JobRecord &record, std::size_t index, FailureCode failure)
{
    EventInfo event = makeEvent(EventType::Finished, record);
    event.task = Base::TaskIndex(index);
    if (index < record.tasks.size())
        event.upstream = &record.tasks[index].upstream;
    event.failure = failure;
    m_events.record(event);
    if (failure == FailureCode::None) {
        metricsFor(record.kind).successes.add();
        return;
    }
    m_metrics
        .counter(TASK_ENDS, TASK_ENDS_HELP,
                 {.kind = record.kind.value(), .outcome = taskOutcome(failure)})
        .add();
}

void JobTelemetry::recoveryStarted(const Base::ShardId &shard, Base::Epoch epoch)
{
    m_events.record({.type = EventType::Takeover, .shard = &shard, .epoch = epoch});
}

void JobTelemetry::recoveryFinished(const Base::ShardId &shard, Base::Epoch epoch)
{
    m_events.record({.type = EventType::Takeover,
                     .shard = &shard,
                     .epoch = epoch,
                     .detail = RECOVERY_FINISHED});
}

} // namespace Telemetry
