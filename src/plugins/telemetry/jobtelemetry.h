// Events and metrics of requests and tasks.
#pragma once

#include <base/timers.h>
#include <eventlog/eventring.h>
#include <jobs/jobobserver.h>
#include <metrics/metricsregistry.h>

#include <unordered_map>
#include <utility>

namespace Telemetry {

/// Records notifications of the jobs library. The injected objects must outlive this one.
class JobTelemetry : public Jobs::JobObserver
{
public:
    JobTelemetry(EventLog::EventRing &events, Metrics::MetricsRegistry &metrics,
                 const Base::Timers &timers);

    void requestAccepted(const Jobs::JobRecord &record) override;
    void requestRefused(const Jobs::Submission &submission, Base::FailureCode reason) override;
    void requestDecided(const Jobs::JobRecord &record) override;
    void taskStarted(const Jobs::JobRecord &record, std::size_t index,
                     const Base::UpstreamId &upstream) override;
    void taskEnded(const Jobs::JobRecord &record, std::size_t index,
                   Base::FailureCode failure) override;
    void recoveryStarted(const Base::ShardId &shard, Base::Epoch epoch) override;
    void recoveryFinished(const Base::ShardId &shard, Base::Epoch epoch) override;

private:
    /// Handles of the metrics that are updated for each task.
    struct KindMetrics
    {
        Metrics::Counter starts;
        Metrics::Counter successes;
        Metrics::Histogram queueing;
    };

    KindMetrics &metricsFor(const Base::KindId &kind);

    EventLog::EventRing &m_events;
    Metrics::MetricsRegistry &m_metrics;
    const Base::Timers &m_timers;
    std::unordered_map<Base::KindId, KindMetrics> m_kinds;            // kinds of accepted requests
    std::pair<const Base::KindId, KindMetrics> *m_lastKind = nullptr; // entry of m_kinds
};

} // namespace Telemetry
