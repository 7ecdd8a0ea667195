// HTTP endpoints for operators.
#include "operatorgateway.h"

#include <base/failure.h>
#include <base/log.h>
#include <base/softassert.h>
#include <eventlog/eventjson.h>
#include <kernel/servicenames.h>
#include <kernel/serviceregistry.h>

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

#include <charconv>

namespace OperatorGateway {

using Base::FailureCode;
using nlohmann::json;

/// A manifest with 2,800 upstreams takes about 1 MB.
static constexpr std::uint32_t MAX_BODY_BYTES = 8U << 20;
static constexpr std::uint32_t MAX_CONNECTIONS = 64;
/// Limits how long an event query blocks the event loop.
static constexpr std::size_t MAX_EVENTS_PER_REPLY = 10'000;

OperatorGatewayService::OperatorGatewayService(const Settings::Runtime &runtime,
                                               std::function<void()> requestDrain)
    : m_runtime(runtime)
    , m_requestDrain(std::move(requestDrain))
{}

absl::Status OperatorGatewayService::start(const Kernel::ServiceRegistry &registry)
{
    namespace Names = Kernel::ServiceNames;
    m_cluster = registry.find<Cluster::ClusterView>(Names::CLUSTER);
    m_router = registry.find<CallerGateway::RequestRouter>(Names::REQUEST_ROUTER);
    m_jobs = registry.find<JobService::JobServiceImpl>(Names::JOBS);
    m_manifest = registry.find<ManifestService::ManifestHolder>(Names::MANIFEST);
    m_membership = registry.find<Membership::MembershipService>(Names::MEMBERSHIP);
    m_ownership = registry.find<OwnershipService::OwnershipServiceImpl>(Names::OWNERSHIP);
    m_telemetry = registry.find<Telemetry::TelemetryService>(Names::TELEMETRY);
    EP_ASSERT(m_cluster && m_router && m_jobs && m_manifest && m_membership && m_ownership
                  && m_telemetry,
              return Base::makeFailure(FailureCode::Internal, "operator gateway: missing service"));
    Http::ServerOptions options;
    options.address = m_runtime.settings.operators.address;
    options.port = m_runtime.settings.operators.port;
    options.maxBodyBytes = MAX_BODY_BYTES;
    options.maxConnections = MAX_CONNECTIONS;
    m_server = std::make_unique<Http::Server>(
        m_runtime.io, options, [this](const Http::Request &request, const Http::Respond &respond) {
            handle(request, respond);
        });
    return m_server->open();
}

void OperatorGatewayService::stop()
{
    m_server->close();
}

static Http::Response jsonResponse(int status, const json &body)
{
    return {status, body.dump(), "application/json", 0};
}

static Http::Response failureResponse(int status, FailureCode code, const std::string &message)
{
    return jsonResponse(status,
                        {{"failure", {{"code", Base::failureName(code)}, {"message", message}}}});
}

bool OperatorGatewayService::isAuthorized(const Http::Request &request) const
{
    const std::string expected = "Bearer " + m_runtime.settings.operatorToken;
    const std::string &given = request.authorization;
    return given.size() == expected.size()
           && CRYPTO_memcmp(given.data(), expected.data(), expected.size()) == 0;
}

void OperatorGatewayService::handle(const Http::Request &request, const Http::Respond &respond)
{
    if (!isAuthorized(request)) {
        respond(failureResponse(401, FailureCode::Unauthorized, "missing or wrong operator token"));
        return;
    }
    if (request.matches("GET", {"v1", "status"})) {
        respond({200, status(), "application/json", 0});
    } else if (request.matches("GET", {"v1", "events"})) {
        sendEvents(request, respond);
    } else if (request.matches("GET", {"v1", "metrics"})) {
        respond({200, m_telemetry->metrics().toText(), "text/plain; version=0.0.4", 0});
    } else if (request.matches("GET", {"v1", "manifest"})) {
        if (m_manifest->current())
            respond({200, m_manifest->body(), "application/json", 0});
        else
            respond(failureResponse(404, FailureCode::Starting, "no manifest is in force yet"));
    } else if (request.matches("POST", {"v1", "manifest"})) {
        submitManifest(request, respond);
    } else if (request.matches("POST", {"v1", "drain"})) {
        respond(jsonResponse(202, {{"draining", true}}));
        m_requestDrain();
    } else if (request.matches("POST", {"v1", "shards", "*", "*", "recover"})) {
        recoverShard(request, respond);
    } else if (request.matches("PUT", {"v1", "log-level"})) {
        setLogLevel(request, respond);
    } else {
        respond(failureResponse(404, FailureCode::BadRequest, "no such endpoint"));
    }
}

std::string OperatorGatewayService::status() const
{
    json shards = json::array();
    if (const Ownership::ShardOwnership *ownership = m_ownership->ownership()) {
        for (std::size_t i = 0; i < m_ownership->shardCount(); ++i) {
            const Base::ShardIndex shard(i);
            const auto owner = ownership->knownOwner(shard);
            json replicas = json::array();
            for (const Base::DaemonId &it : ownership->requiredReplicas(shard))
                replicas.push_back(it.value());
            shards.push_back({{"shard", i},
                              {"owner", owner ? owner->daemon.value() : ""},
                              {"epoch", owner ? owner->epoch.value() : 0},
                              {"leased", ownership->holdsLease(shard)},
                              {"replicas", replicas}});
        }
    }
    json peers = json::array();
    for (const auto &[daemon, state] : m_cluster->peers()) {
        peers.push_back({{"daemon", daemon.value()},
                         {"alive", m_cluster->isAlive(daemon)},
                         {"revision", state.revision.value()},
                         {"draining", state.isDraining}});
    }
    const auto membershipAge = m_membership->age();
    return json({{"daemon", m_runtime.settings.daemon.value()},
                 {"domain", m_runtime.settings.domain.value()},
                 {"incarnation", m_runtime.incarnation.value()},
                 {"manifestRevision", m_manifest->revision().value()},
                 {"refusedRevision", m_manifest->refusedRevision().value()},
                 {"draining", m_cluster->isDraining()},
                 {"activeRequests", m_jobs->coordinator().activeCount()},
                 {"records", m_jobs->coordinator().store().count()},
                 {"recordBytes", m_jobs->coordinator().store().bytes()},
                 {"queuedTasks", m_jobs->scheduler().queuedCount()},
                 {"startedTasks", m_jobs->scheduler().startedCount()},
                 {"waitingCallers", m_router->waitingCount()},
                 {"membershipAgeMs", membershipAge ? Base::toMilliseconds(*membershipAge) : -1},
                 {"shards", shards},
                 {"peers", peers}})
        .dump();
}

static bool parseNumber(const std::string &text, std::uint64_t &number)
{
    const char *end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, number);
    return ec == std::errc() && rest == end;
}

void OperatorGatewayService::sendEvents(const Http::Request &request,
                                        const Http::Respond &respond) const
{
    EventLog::EventFilter filter;
    filter.limit = MAX_EVENTS_PER_REPLY;
    if (request.query.contains("team") != request.query.contains("key")) {
        respond(failureResponse(400, FailureCode::BadRequest,
                                "parameters team and key must be given together"));
        return;
    }
    if (request.query.contains("key")) {
        filter.request = {Base::TeamId(request.parameter("team")),
                          Base::RequestKey(request.parameter("key"))};
    }
    if (request.query.contains("upstream"))
        filter.upstream = Base::UpstreamId(request.parameter("upstream"));
    if (request.query.contains("sinceMs")) {
        std::uint64_t sinceMs = 0;
        if (!parseNumber(request.parameter("sinceMs"), sinceMs)) {
            respond(failureResponse(400, FailureCode::BadRequest,
                                    "parameter sinceMs must be a number"));
            return;
        }
        filter.fromMs = sinceMs;
    }
    respond({200, EventLog::daemonEventsToJson(m_telemetry->events().query(filter)),
             "application/json", 0});
}

void OperatorGatewayService::submitManifest(const Http::Request &request,
                                            const Http::Respond &respond)
{
    std::uint64_t parent = 0;
    if (!parseNumber(request.parameter("parent"), parent)) {
        respond(failureResponse(400, FailureCode::BadRequest, "parameter parent must be a number"));
        return;
    }
    m_manifest->submit(request.body, Base::Revision(parent),
                       [respond](const ManifestService::SubmitResult &result) {
                           json body{{"currentRevision", result.currentRevision.value()}};
                           if (result.status.ok()) {
                               respond(jsonResponse(200, body));
                               return;
                           }
                           const FailureCode code = Base::failureCode(result.status);
                           body["failure"] = {{"code", Base::failureName(code)},
                                              {"message", Base::failureMessage(result.status)}};
                           for (const Settings::Fault &it : result.faults) {
                               body["faults"].push_back({{"path", it.path},
                                                         {"code", Base::failureName(it.code)},
                                                         {"message", it.message}});
                           }
                           const bool isConflict = code == FailureCode::VersionMismatch;
                           const bool isInvalid = code == FailureCode::InvalidManifest
                                                  || code == FailureCode::PlacementChanged;
                           respond(jsonResponse(isConflict ? 409 : isInvalid ? 400 : 503, body));
                       });
}

void OperatorGatewayService::recoverShard(const Http::Request &request,
                                          const Http::Respond &respond)
{
    std::uint64_t index = 0;
    const bool isValid = parseNumber(request.path[3], index) && m_ownership->ownership()
                         && index < m_ownership->shardCount()
                         && request.path[2] == m_runtime.settings.domain.value();
    if (!isValid) {
        respond(failureResponse(400, FailureCode::BadRequest,
                                "not a shard of this daemon's failure domain"));
        return;
    }
    m_ownership->ownership()->recoverShard(
        Base::ShardIndex(index), [respond](const absl::Status &status) {
            if (status.ok()) {
                respond(jsonResponse(200, {{"recovered", true}}));
                return;
            }
            respond(failureResponse(503, Base::failureCode(status), Base::failureMessage(status)));
        });
}

void OperatorGatewayService::setLogLevel(const Http::Request &request, const Http::Respond &respond)
{
    const json body = json::parse(request.body, nullptr, false);
    Base::LogLevel level = Base::LogLevel::Info;
    if (!body.is_object() || !body.contains("level") || !body["level"].is_string()
        || !Base::parseLogLevel(body["level"].get<std::string>(), level)) {
        respond(failureResponse(400, FailureCode::BadRequest,
                                "level must be debug, info, warning or error"));
        return;
    }
    Base::setLogLevel(level);
    respond(jsonResponse(200, {{"level", body["level"]}}));
}

} // namespace OperatorGateway
