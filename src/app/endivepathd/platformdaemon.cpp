// Start order of the services on the users' platform, signals, reload and drain.
#include "platformdaemon.h"

#include "incarnation.h"

#include <base/log.h>
#include <dispatchservice/dispatchservice.h>
#include <kernel/servicenames.h>
#include <peerlink/peerlink.h>
#include <platform/executorclient.h>
#include <platform/platformservice.h>
#include <telemetry/telemetryservice.h>

#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <utility>

namespace Daemon {

/// An executor accepts at most 64 connections from all daemons together. A daemon needs one for a
/// pending listing and a few for orders.
static constexpr long MAX_CONNECTIONS_PER_EXECUTOR = 12;
/// One for each of the three feeds, and some for writes.
static constexpr long MAX_STORE_CONNECTIONS = 6;
/// Covers the last few seconds; the hosts have little memory.
static constexpr std::size_t EVENT_CAPACITY = 1000;

static PeerLink::LinkOptions linkOptions()
{
    PeerLink::LinkOptions options;
    options.reconnectDelay = std::chrono::milliseconds(100);
    // A packet lost in a network partition is retransmitted after 1 s; reconnecting is faster.
    options.connectTimeout = std::chrono::milliseconds(400);
    // State messages are sent every 100 ms, or every 600 ms at most in a large deployment.
    options.idleTimeout = std::chrono::milliseconds(1000);
    options.writeTimeout = std::chrono::milliseconds(1000);
    options.acceptUnlisted = true;
    return options;
}

std::optional<Platform::PlatformSettings> readPlatformSettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << "endivepathd: can't read settings file " << path << '\n';
        return std::nullopt;
    }
    std::stringstream text;
    text << file.rdbuf();
    Settings::FaultList faults;
    auto settings = Platform::parsePlatformSettings(text.str(), faults);
    for (const Settings::Fault &it : faults.faults())
        std::cerr << path << ": " << it.path << ": " << it.message << '\n';
    return settings;
}

PlatformDaemon::PlatformDaemon(Platform::PlatformSettings settings, std::string settingsPath)
    : m_settings(std::move(settings))
    , m_settingsPath(std::move(settingsPath))
    , m_runtime{m_io, m_timers, m_settings.daemon, makeIncarnation()}
    , m_executorHttp(m_io, MAX_CONNECTIONS_PER_EXECUTOR)
    , m_storeHttp(m_io, MAX_STORE_CONNECTIONS)
    , m_executors(std::make_unique<Platform::ExecutorClient>(m_executorHttp))
{}

void PlatformDaemon::addServices()
{
    namespace Names = Kernel::ServiceNames;
    m_registry.add(Names::TELEMETRY,
                   std::make_unique<Telemetry::TelemetryService>(m_runtime, EVENT_CAPACITY));
    m_registry.add(Names::PEER_LINK,
                   std::make_unique<PeerLink::PeerLinkService>(m_runtime, linkOptions()));
    m_registry.add(Names::DISPATCH, std::make_unique<DispatchService::DispatchServiceImpl>(
                                        m_runtime, *m_executors, m_settings.dispatch));
    m_registry.add(Names::PLATFORM,
                   std::make_unique<Platform::PlatformService>(m_runtime, m_settings, m_storeHttp));
}

absl::Status PlatformDaemon::run()
{
    Base::setLogLevel(m_settings.daemon.logLevel);
    Base::setLogStream(Base::LogStream::StandardOutput);
    Base::setLogContext("daemon", m_settings.daemon.daemon.value());
    addServices();
    const absl::Status status = m_registry.startAll();
    if (!status.ok()) {
        m_registry.stopAll();
        return status;
    }
    Base::log(Base::LogLevel::Info, "started",
              {{"domain", m_settings.daemon.domain}, {"incarnation", m_runtime.incarnation}});
    awaitSignal();
    m_io.run();
    m_registry.stopAll();
    Base::log(Base::LogLevel::Info, "stopped", {});
    return absl::OkStatus();
}

void PlatformDaemon::awaitSignal()
{
    m_signals.async_wait([this](const asio::error_code &ec, int signal) {
        if (ec)
            return;
        if (signal == SIGHUP) {
            reload();
        } else if (m_isDraining) {
            Base::log(Base::LogLevel::Warning, "secondSignal", {});
            m_io.stop();
            return;
        } else {
            beginDrain();
        }
        awaitSignal();
    });
}

void PlatformDaemon::reload()
{
    // Addresses and identity are fixed for the lifetime of the process; everything that may change
    // comes from the store. The file is only validated.
    const bool isValid = readPlatformSettings(m_settingsPath).has_value();
    Base::log(Base::LogLevel::Info, "settingsReloaded", {{"valid", isValid ? 1 : 0}});
}

void PlatformDaemon::beginDrain()
{
    if (std::exchange(m_isDraining, true))
        return;
    Base::log(Base::LogLevel::Info, "drainStarted", {});
    m_registry.drainAll([this] {
        // Leaves time for the last responses to be written to their sockets.
        m_timers.schedule(std::chrono::milliseconds(100), [this] { m_io.stop(); });
    });
}

} // namespace Daemon
