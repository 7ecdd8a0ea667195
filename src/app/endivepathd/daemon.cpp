// Start order of the daemon's services, signals and drain.
#include "daemon.h"

#include "incarnation.h"

#include <base/failure.h>
#include <base/log.h>
#include <callergateway/callergateway.h>
#include <cluster/clusterview.h>
#include <jobservice/jobservice.h>
#include <kernel/servicenames.h>
#include <manifestservice/manifestservice.h>
#include <membership/membershipservice.h>
#include <operatorgateway/operatorgateway.h>
#include <ownershipservice/ownershipservice.h>
#include <peerlink/peerlink.h>
#include <platformclient/platformclient.h>
#include <upstreamclient/upstreamclient.h>

#include <asio/post.hpp>

#include <memory>
#include <utility>

namespace Daemon {

DaemonProcess::DaemonProcess(Settings::DaemonSettings settings)
    : m_settings(std::move(settings))
    , m_runtime{m_io, m_timers, m_settings, makeIncarnation()}
{}

void DaemonProcess::addServices()
{
    namespace Names = Kernel::ServiceNames;
    const auto add = [this]<class T>(const char *name, std::unique_ptr<T> service) {
        m_registry.add(name, std::move(service));
    };
    auto telemetry = std::make_unique<Telemetry::TelemetryService>(m_runtime);
    m_telemetry = telemetry.get();
    add(Names::TELEMETRY, std::move(telemetry));
    add(Names::PLATFORM_CLIENT, std::make_unique<PlatformClient::PlatformClientService>(m_runtime));
    add(Names::PEER_LINK, std::make_unique<PeerLink::PeerLinkService>(m_runtime));
    add(Names::MANIFEST, std::make_unique<ManifestService::ManifestHolder>(m_runtime));
    add(Names::CLUSTER, std::make_unique<Cluster::ClusterView>(m_runtime));
    add(Names::MEMBERSHIP, std::make_unique<Membership::MembershipService>(m_runtime));
    add(Names::UPSTREAM_CLIENT, std::make_unique<UpstreamClient::UpstreamClientService>(m_runtime));
    // The router drains after the jobs, so that the shards' new owners can answer its callers.
    add(Names::REQUEST_ROUTER, std::make_unique<CallerGateway::RequestRouter>(m_runtime));
    add(Names::OWNERSHIP, std::make_unique<OwnershipService::OwnershipServiceImpl>(m_runtime));
    add(Names::JOBS,
        std::make_unique<JobService::JobServiceImpl>(m_runtime, m_telemetry->jobObserver()));
    add(Names::OPERATOR_GATEWAY, std::make_unique<OperatorGateway::OperatorGatewayService>(
                                     m_runtime, [this] { beginDrain(); }));
    add(Names::CALLER_GATEWAY, std::make_unique<CallerGateway::CallerGatewayService>(m_runtime));
}

absl::Status DaemonProcess::run()
{
    Base::setLogLevel(m_settings.logLevel);
    Base::setLogContext("daemon", m_settings.daemon.value());
    addServices();
    const absl::Status status = m_registry.startAll();
    if (!status.ok()) {
        m_registry.stopAll();
        return status;
    }
    Base::log(Base::LogLevel::Info, "started",
              {{"domain", m_settings.domain},
               {"incarnation", m_runtime.incarnation},
               {"callerPort", m_settings.callers.port}});
    awaitSignal();
    m_io.run();
    m_registry.stopAll();
    Base::log(Base::LogLevel::Info, "stopped", {});
    return absl::OkStatus();
}

void DaemonProcess::awaitSignal()
{
    m_signals.async_wait([this](const asio::error_code &ec, int) {
        if (ec)
            return;
        if (m_isDraining) {
            Base::log(Base::LogLevel::Warning, "secondSignal", {});
            m_io.stop();
            return;
        }
        beginDrain();
        awaitSignal();
    });
}

void DaemonProcess::beginDrain()
{
    if (std::exchange(m_isDraining, true))
        return;
    Base::log(Base::LogLevel::Info, "drainStarted", {});
    m_telemetry->record({.type = EventLog::EventType::DrainStarted});
    m_registry.drainAll([this] {
        // Leaves time for the last responses to be written to their sockets.
        m_timers.schedule(std::chrono::milliseconds(100), [this] { m_io.stop(); });
    });
}

} // namespace Daemon
