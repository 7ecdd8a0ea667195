// HTTP endpoints for callers.
#include "callergateway.h"

#include <base/failure.h>
#include <base/log.h>
#include <base/softassert.h>
#include <http/connectionledger.h>
#include <kernel/servicenames.h>
#include <kernel/serviceregistry.h>

#include <algorithm>
#include <charconv>

namespace CallerGateway {

using Base::FailureCode;

static constexpr std::int64_t MAX_WAIT_MS = 300'000;

CallerGatewayService::CallerGatewayService(const Settings::Runtime &runtime)
    : m_runtime(runtime)
{}

absl::Status CallerGatewayService::start(const Kernel::ServiceRegistry &registry)
{
    namespace Names = Kernel::ServiceNames;
    m_router = registry.find<RequestRouter>(Names::REQUEST_ROUTER);
    m_manifest = registry.find<ManifestService::ManifestHolder>(Names::MANIFEST);
    m_cluster = registry.find<Cluster::ClusterView>(Names::CLUSTER);
    EP_ASSERT(m_router && m_manifest && m_cluster,
              return Base::makeFailure(FailureCode::Internal, "caller gateway: missing service"));
    const Settings::DaemonSettings &settings = m_runtime.settings;
    Http::ServerOptions options;
    options.address = settings.callers.address;
    options.port = settings.callers.port;
    options.maxBodyBytes = settings.limits.maxBodyBytes;
    options.maxHeaderBytes = settings.limits.maxHeaderBytes;
    options.maxConnections = settings.limits.maxCallerConnections;
    options.ledger = std::make_shared<Http::ConnectionLedger>(settings.limits.traffic);
    m_server = std::make_unique<Http::Server>(
        m_runtime.io, options, [this](const Http::Request &request, const Http::Respond &respond) {
            handle(request, respond);
        });
    return m_server->open();
}

void CallerGatewayService::drain(std::function<void()> done)
{
    m_cluster->setDraining(true);
    Base::log(Base::LogLevel::Info, "readinessWithdrawn",
              {{"notice", Base::Duration(m_runtime.settings.drain.notice)}});
    m_runtime.timers.schedule(m_runtime.settings.drain.notice, std::move(done));
}

void CallerGatewayService::stop()
{
    m_server->close();
}

bool CallerGatewayService::isReady() const
{
    return m_manifest->current() && !m_cluster->isDraining();
}

static RequestRouter::AnswerCallback makeAnswerCallback(const Http::Respond &respond)
{
    return [respond](const HttpAnswer &answer) {
        respond({answer.status, answer.body, "application/json", answer.retryAfterSeconds});
    };
}

static std::chrono::milliseconds waitParameter(const Http::Request &request)
{
    const std::string text = request.parameter("waitMs");
    std::int64_t n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return std::chrono::milliseconds(std::clamp<std::int64_t>(n, 0, MAX_WAIT_MS));
}

void CallerGatewayService::handle(const Http::Request &request, const Http::Respond &respond)
{
    if (request.matches("POST", {"v1", "requests"})) {
        m_router->submit(request.body, makeAnswerCallback(respond));
        return;
    }
    if (request.matches("GET", {"v1", "healthy"})) {
        respond({200, R"({"healthy":true})", "application/json", 0});
        return;
    }
    if (request.matches("GET", {"v1", "ready"})) {
        respond({isReady() ? 200 : 503, isReady() ? R"({"ready":true})" : R"({"ready":false})",
                 "application/json", 0});
        return;
    }
    const bool isQuery = request.matches("GET", {"v1", "requests", "*", "*"});
    const bool isCancel = request.matches("POST", {"v1", "requests", "*", "*", "cancel"});
    if (!isQuery && !isCancel) {
        HttpAnswer answer = makeErrorAnswer(FailureCode::BadRequest, "no such endpoint");
        respond({404, answer.body, "application/json", 0});
        return;
    }
    if (!isValidName(request.path[2]) || !isValidName(request.path[3])) {
        makeAnswerCallback(respond)(
            makeErrorAnswer(FailureCode::BadRequest, "malformed team or key"));
        return;
    }
    const Base::RequestId id{Base::TeamId(request.path[2]), Base::RequestKey(request.path[3])};
    if (isCancel)
        m_router->cancel(id, makeAnswerCallback(respond));
    else
        m_router->query(id, waitParameter(request), makeAnswerCallback(respond));
}

} // namespace CallerGateway
