// Event log, hybrid clock and metrics of the daemon.
#pragma once

#include "jobtelemetry.h"

#include <eventlog/eventring.h>
#include <eventlog/hybridclock.h>
#include <kernel/service.h>
#include <metrics/metricsregistry.h>
#include <settings/runtime.h>

namespace Telemetry {

/// Must be registered before the services that record events or metrics. Usable once constructed.
class TelemetryService : public Kernel::Service
{
public:
    /// Takes 20 MB and holds the events of 20 s at 5,000 task starts per second.
    static constexpr std::size_t DEFAULT_EVENT_CAPACITY = 100'000;

    explicit TelemetryService(const Settings::Runtime &runtime,
                              std::size_t eventCapacity = DEFAULT_EVENT_CAPACITY);

    absl::Status start(const Kernel::ServiceRegistry &registry) override;

    EventLog::HybridClock &clock() { return m_clock; }
    const EventLog::EventRing &events() const { return m_events; }
    Metrics::MetricsRegistry &metrics() { return m_metrics; }
    Jobs::JobObserver &jobObserver() { return m_jobTelemetry; }

    void record(const EventLog::EventInfo &event) { m_events.record(event); }

private:
    EventLog::HybridClock m_clock;
    EventLog::EventRing m_events;
    Metrics::MetricsRegistry m_metrics;
    JobTelemetry m_jobTelemetry;
};

} // namespace Telemetry
