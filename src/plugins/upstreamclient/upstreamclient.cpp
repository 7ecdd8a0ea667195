// JSON encoding of requests to workers, and decoding of their responses.
#include "upstreamclient.h"

#include <base/failure.h>
#include <base/softassert.h>
#include <kernel/servicenames.h>
#include <kernel/serviceregistry.h>
#include <manifestservice/manifestservice.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace UpstreamClient {

using Base::FailureCode;
using Base::makeFailure;
using Jobs::StartFate;
using Jobs::TaskReport;
using Jobs::TaskState;
using nlohmann::json;

/// An executor accepts about 60 connections, shared by the daemons of its failure domain.
static constexpr long MAX_CONNECTIONS_PER_UPSTREAM = 20;
static constexpr std::chrono::milliseconds REQUEST_TIMEOUT_MS{1500};

UpstreamClientService::UpstreamClientService(const Settings::Runtime &runtime)
    : m_client(runtime.io, MAX_CONNECTIONS_PER_UPSTREAM)
{}

absl::Status UpstreamClientService::start(const Kernel::ServiceRegistry &registry)
{
    auto *manifest = registry.find<ManifestService::ManifestHolder>(Kernel::ServiceNames::MANIFEST);
    EP_ASSERT(manifest, return makeFailure(FailureCode::Internal,
                                           "upstream client: manifest service not found"));
    manifest->observe([this](const ManifestService::ManifestHolder::Snapshot &snapshot) {
        for (const auto &[id, upstream] : snapshot->upstreams)
            m_urls[id] = upstream.url;
    });
    return absl::OkStatus();
}

Http::ClientRequest UpstreamClientService::makeRequest(const Base::UpstreamId &upstream,
                                                       std::string_view method,
                                                       std::string_view path) const
{
    Http::ClientRequest request;
    request.method = method;
    const auto it = m_urls.find(upstream);
    // Connecting to port 0 always fails, so an unknown upstream is reported as unreachable.
    request.url = (it == m_urls.end() ? "http://127.0.0.1:0" : it->second) + std::string(path);
    request.timeout = REQUEST_TIMEOUT_MS;
    return request;
}

static TaskState taskState(const std::string &name)
{
    static const std::map<std::string, TaskState> states{{"notStarted", TaskState::NotStarted},
                                                         {"running", TaskState::Running},
                                                         {"done", TaskState::Done},
                                                         {"failed", TaskState::Failed},
                                                         {"stopped", TaskState::Stopped}};
    const auto it = states.find(name);
    return it == states.end() ? TaskState::Unknown : it->second;
}

static TaskReport makeReport(const json &body)
{
    TaskReport report;
    report.task = Jobs::TaskName(body.value("task", ""));
    report.state = taskState(body.value("state", ""));
    if (const auto it = body.find("result"); it != body.end())
        report.result = it->dump();
    return report;
}

/// Parses {"tasks":[...]}. Fails if the response does not conform to the worker protocol.
static absl::Status readReports(const Http::ClientResponse &response, json &body,
                                std::vector<TaskReport> &reports)
{
    if (!response.status.ok())
        return response.status;
    if (response.httpStatus == 404)
        return makeFailure(FailureCode::Unservable, "the worker does not support the operation");
    body = json::parse(response.body, nullptr, false);
    if (response.httpStatus != 200 || !body.is_object())
        return makeFailure(FailureCode::FateUnknown, "malformed response from a worker");
    try {
        for (const json &it : body.value("tasks", json::array()))
            reports.push_back(makeReport(it));
    } catch (const json::exception &error) {
        return makeFailure(FailureCode::FateUnknown, error.what());
    }
    return absl::OkStatus();
}

static Jobs::StartReply startReply(const Http::ClientResponse &response)
{
    Jobs::StartReply reply;
    if (!response.status.ok()) {
        reply.fate = Base::failureCode(response.status) == FailureCode::PeerUnreachable
                         ? StartFate::NotSent
                         : StartFate::Unknown;
        return reply;
    }
    const json body = json::parse(response.body, nullptr, false);
    if (!body.is_object())
        return reply;
    try {
        if (response.httpStatus == 200) {
            reply.report = makeReport(body);
            if (reply.report.state != TaskState::Unknown)
                reply.fate = StartFate::Ended;
            return reply;
        }
        if (body.value("state", "") != "refused")
            return reply;
        const std::string reason = body.value("reason", "");
        reply.fate = StartFate::Refused;
        if (reason == "staleEpoch") {
            reply.fate = StartFate::StaleEpoch;
        } else if (reason == "known") {
            reply.fate = StartFate::Known;
        } else if (reason == "revoked") {
            reply.fate = StartFate::Ended;
            reply.report.state = TaskState::NotStarted;
        }
    } catch (const json::exception &) {
        reply.fate = StartFate::Unknown;
    }
    return reply;
}

void UpstreamClientService::start(const Base::UpstreamId &upstream, const Jobs::StartOrder &order,
                                  StartCallback callback)
{
    Http::ClientRequest request = makeRequest(upstream, "POST", "/v1/tasks");
    // The payload is JSON already and is inserted unchanged.
    request.body = fmt::format(R"({{"task":{},"shard":{},"epoch":{},"kind":{},"payload":{}}})",
                               json(order.task.value()).dump(), json(order.shard).dump(),
                               order.epoch.value(), json(order.kind.value()).dump(), order.payload);
    request.timeout = order.timeout;
    request.idempotent = false;
    m_client.send(std::move(request),
                  [callback = std::move(callback)](const Http::ClientResponse &response) {
                      callback(startReply(response));
                  });
}

static std::string escapeQuery(std::string_view text)
{
    std::string escaped;
    for (const char c : text) {
        if (std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.')
            escaped += c;
        else
            escaped += fmt::format("%{:02X}", static_cast<unsigned char>(c));
    }
    return escaped;
}

void UpstreamClientService::awaitTask(const Base::UpstreamId &upstream, const Jobs::TaskName &task,
                                      Base::Duration wait, ReportsCallback callback)
{
    Http::ClientRequest request =
        makeRequest(upstream, "GET",
                    fmt::format("/v1/tasks?task={}&waitMs={}", escapeQuery(task.value()),
                                Base::toMilliseconds(wait)));
    request.timeout = wait + REQUEST_TIMEOUT_MS;
    m_client.send(
        std::move(request), [callback = std::move(callback)](const Http::ClientResponse &response) {
            const json body = json::parse(response.body, nullptr, false);
            if (!response.status.ok() || response.httpStatus != 200 || !body.is_object()) {
                callback(makeFailure(FailureCode::FateUnknown, "no valid response from the worker"),
                         {});
                return;
            }
            callback(absl::OkStatus(), {makeReport(body)});
        });
}

static json taskListJson(const std::vector<Jobs::TaskName> &tasks)
{
    json names = json::array();
    for (const Jobs::TaskName &it : tasks)
        names.push_back(it.value());
    return {{"tasks", names}};
}

void UpstreamClientService::revoke(const Base::UpstreamId &upstream,
                                   const std::vector<Jobs::TaskName> &tasks,
                                   ReportsCallback callback)
{
    Http::ClientRequest request = makeRequest(upstream, "POST", "/v1/revoke");
    request.body = taskListJson(tasks).dump();
    m_client.send(std::move(request),
                  [callback = std::move(callback)](const Http::ClientResponse &response) {
                      json body;
                      std::vector<TaskReport> reports;
                      const absl::Status status = readReports(response, body, reports);
                      callback(status, reports);
                  });
}

void UpstreamClientService::stop(const Base::UpstreamId &upstream,
                                 const std::vector<Jobs::TaskName> &tasks)
{
    Http::ClientRequest request = makeRequest(upstream, "POST", "/v1/stop");
    request.body = taskListJson(tasks).dump();
    m_client.send(std::move(request), [](const Http::ClientResponse &) {});
}

void UpstreamClientService::fence(const Base::UpstreamId &upstream, const Base::ShardId &shard,
                                  Base::Epoch epoch, FenceCallback callback)
{
    Http::ClientRequest request = makeRequest(upstream, "POST", "/v1/fence");
    request.body = json({{"shard", Jobs::shardName(shard)}, {"epoch", epoch.value()}}).dump();
    m_client.send(std::move(request),
                  [callback = std::move(callback)](const Http::ClientResponse &response) {
                      json body;
                      std::vector<TaskReport> reports;
                      const absl::Status status = readReports(response, body, reports);
                      callback(status, status.ok() && body.value("fenced", false), reports);
                  });
}

} // namespace UpstreamClient
