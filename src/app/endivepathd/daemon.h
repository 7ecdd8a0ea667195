// The endivepathd process: event loop, services and shutdown.
#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <base/asiotimers.h>
#include <kernel/serviceregistry.h>
#include <settings/daemonsettings.h>
#include <settings/runtime.h>
#include <telemetry/telemetryservice.h>

namespace Daemon {

/// Creates the services and runs them until the daemon is shut down.
class DaemonProcess
{
public:
    explicit DaemonProcess(Settings::DaemonSettings settings);

    /// Runs until SIGTERM or SIGINT, then drains and returns. A second signal stops it at once.
    absl::Status run();

private:
    void addServices();
    void awaitSignal();
    void beginDrain();

    const Settings::DaemonSettings m_settings;
    asio::io_context m_io{1};
    Base::AsioTimers m_timers{m_io};
    asio::signal_set m_signals{m_io, SIGINT, SIGTERM};
    const Settings::Runtime m_runtime;
    Kernel::ServiceRegistry m_registry;
    Telemetry::TelemetryService *m_telemetry = nullptr; // owned by the registry
    bool m_isDraining = false;
};

} // namespace Daemon
