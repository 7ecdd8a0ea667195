// HTTP server for operators.
#pragma once

#include <callergateway/callergateway.h>
#include <cluster/clusterview.h>
#include <http/server.h>
#include <jobservice/jobservice.h>
#include <kernel/service.h>
#include <manifestservice/manifestservice.h>
#include <membership/membershipservice.h>
#include <ownershipservice/ownershipservice.h>
#include <settings/runtime.h>
#include <telemetry/telemetryservice.h>

#include <functional>
#include <memory>

namespace OperatorGateway {

/// Serves the operator interface of docs/protocols.md. Every request needs the operator token.
class OperatorGatewayService : public Kernel::Service
{
public:
    /// \a requestDrain starts a graceful shutdown of the daemon.
    OperatorGatewayService(const Settings::Runtime &runtime, std::function<void()> requestDrain);

    absl::Status start(const Kernel::ServiceRegistry &registry) override;
    void stop() override;

private:
    void handle(const Http::Request &request, const Http::Respond &respond);
    bool isAuthorized(const Http::Request &request) const;
    std::string status() const;
    void sendEvents(const Http::Request &request, const Http::Respond &respond) const;
    void submitManifest(const Http::Request &request, const Http::Respond &respond);
    void recoverShard(const Http::Request &request, const Http::Respond &respond);
    static void setLogLevel(const Http::Request &request, const Http::Respond &respond);

    const Settings::Runtime m_runtime;
    std::function<void()> m_requestDrain;
    Cluster::ClusterView *m_cluster = nullptr;
    CallerGateway::RequestRouter *m_router = nullptr;
    JobService::JobServiceImpl *m_jobs = nullptr;
    ManifestService::ManifestHolder *m_manifest = nullptr;
    Membership::MembershipService *m_membership = nullptr;
    OwnershipService::OwnershipServiceImpl *m_ownership = nullptr;
    Telemetry::TelemetryService *m_telemetry = nullptr;
    std::unique_ptr<Http::Server> m_server;
};

} // namespace OperatorGateway
