// Constructs the event log and registers its gauges.
#include "telemetryservice.h"

namespace Telemetry {

TelemetryService::TelemetryService(const Settings::Runtime &runtime, std::size_t eventCapacity)
    : m_events(runtime.settings.daemon, m_clock, eventCapacity)
    , m_jobTelemetry(m_events, m_metrics, runtime.timers)
{}

absl::Status TelemetryService::start(const Kernel::ServiceRegistry &)
{
    m_metrics.setGauge("endivepath_events_overwritten", "Events lost from the ring.",
                       [this] { return static_cast<double>(m_events.overwritten()); });
    m_metrics.setGauge("endivepath_clock_rejected_stamps",
                       "Stamps of peers that were too far ahead.",
                       [this] { return static_cast<double>(m_clock.rejectedStamps()); });
    return absl::OkStatus();
}

} // namespace Telemetry
