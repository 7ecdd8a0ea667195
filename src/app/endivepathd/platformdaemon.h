// The endivepathd process on the users' platform: event loop, services and shutdown.
#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <base/asiotimers.h>
#include <dispatch/executorport.h>
#include <http/client.h>
#include <kernel/serviceregistry.h>
#include <platform/platformsettings.h>
#include <settings/runtime.h>

namespace Daemon {

/// Creates the services and runs them until the daemon is shut down.
class PlatformDaemon
{
public:
    /// The file at \a settingsPath is read again and validated on SIGHUP, with which the platform
    /// announces a change.
    PlatformDaemon(Platform::PlatformSettings settings, std::string settingsPath);

    /// Runs until SIGTERM or SIGINT, then drains and returns. A second signal stops it at once.
    absl::Status run();

private:
    void addServices();
    void awaitSignal();
    void beginDrain();
    void reload();

    const Platform::PlatformSettings m_settings;
    const std::string m_settingsPath;
    asio::io_context m_io{1};
    Base::AsioTimers m_timers{m_io};
    asio::signal_set m_signals{m_io, SIGINT, SIGTERM, SIGHUP};
    const Settings::Runtime m_runtime;
    Http::Client m_executorHttp;
    Http::Client m_storeHttp;
    std::unique_ptr<Dispatch::ExecutorPort> m_executors;
    Kernel::ServiceRegistry m_registry;
    bool m_isDraining = false;
};

/// Reads and validates the settings at \a path. Prints the faults to standard error.
std::optional<Platform::PlatformSettings> readPlatformSettings(const std::string &path);

} // namespace Daemon
