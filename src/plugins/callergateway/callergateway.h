// HTTP server for callers.
#pragma once

#include "requestrouter.h"

#include <http/server.h>
#include <kernel/service.h>
#include <settings/runtime.h>

#include <memory>

namespace CallerGateway {

/// Serves the caller interface of docs/protocols.md, and the health and readiness checks of the
/// load balancer. Opens its port last at startup and withdraws readiness first at shutdown.
class CallerGatewayService : public Kernel::Service
{
public:
    explicit CallerGatewayService(const Settings::Runtime &runtime);

    absl::Status start(const Kernel::ServiceRegistry &registry) override;
    /// Withdraws readiness, then waits for the notice period, in which the load balancer redirects
    /// callers to other daemons.
    void drain(std::function<void()> done) override;
    void stop() override;

    bool isReady() const;

private:
    void handle(const Http::Request &request, const Http::Respond &respond);

    const Settings::Runtime m_runtime;
    RequestRouter *m_router = nullptr;
    ManifestService::ManifestHolder *m_manifest = nullptr;
    Cluster::ClusterView *m_cluster = nullptr;
    std::unique_ptr<Http::Server> m_server;
};

} // namespace CallerGateway
