// Requests to the platform, and mapping of responses to failure codes.
#include "platformclient.h"

#include <base/failure.h>

#include <nlohmann/json.hpp>

namespace PlatformClient {

using Base::FailureCode;
using Base::makeFailure;
using nlohmann::json;

/// Per host. The platform has few entry points, each of which needs few connections.
static constexpr long MAX_CONNECTIONS = 8;

PlatformClientService::PlatformClientService(const Settings::Runtime &runtime)
    : m_settings(runtime.settings)
    , m_client(runtime.io, MAX_CONNECTIONS)
{}

absl::Status PlatformClientService::start(const Kernel::ServiceRegistry &)
{
    return absl::OkStatus();
}

Http::ClientRequest PlatformClientService::makeRequest(std::string_view method,
                                                       std::string_view path) const
{
    Http::ClientRequest request;
    request.method = method;
    request.url = m_settings.platformUrl + std::string(path);
    request.timeout = m_settings.platformTimeout;
    return request;
}

/// Maps the response to a read, which has no effect on the platform.
static absl::Status readStatus(const Http::ClientResponse &response)
{
    if (!response.status.ok())
        return makeFailure(FailureCode::PlatformUnavailable, Base::failureMessage(response.status));
    if (response.httpStatus == 404)
        return makeFailure(FailureCode::UnknownRequest, "object not found on the platform");
    if (response.httpStatus != 200)
        return makeFailure(FailureCode::PlatformUnavailable,
                           "HTTP status " + std::to_string(response.httpStatus));
    return absl::OkStatus();
}

/// Maps the response to a write, which may have taken effect although it failed.
static absl::Status writeStatus(const Http::ClientResponse &response)
{
    if (!response.status.ok()) {
        const bool isSent = Base::failureCode(response.status) != FailureCode::PeerUnreachable;
        return makeFailure(isSent ? FailureCode::FateUnknown : FailureCode::PlatformUnavailable,
                           Base::failureMessage(response.status));
    }
    switch (response.httpStatus) {
    case 200:
        return absl::OkStatus();
    case 409:
        return makeFailure(FailureCode::VersionMismatch,
                           "the row's version differs from the expected one");
    case 503: // the platform rejects the request before it writes
        return makeFailure(FailureCode::PlatformUnavailable, "HTTP status 503");
    default:
        return makeFailure(FailureCode::FateUnknown,
                           "HTTP status " + std::to_string(response.httpStatus));
    }
}

void PlatformClientService::read(std::string_view key, ReadCallback callback)
{
    m_client.send(makeRequest("GET", "/v1/table/" + std::string(key)),
                  [callback = std::move(callback)](const Http::ClientResponse &response) {
                      absl::Status status = readStatus(response);
                      Storage::Row row;
                      if (status.ok()) {
                          const json body = json::parse(response.body, nullptr, false);
                          try {
                              row.value = body.at("value");
                              row.version = body.at("version");
                              row.transaction = body.at("transaction");
                          } catch (const json::exception &error) {
                              status = makeFailure(FailureCode::PlatformUnavailable, error.what());
                          }
                      }
                      callback(status, row);
                  });
}

void PlatformClientService::compareAndSet(Storage::ConditionalWrite write, WriteCallback callback)
{
    Http::ClientRequest request = makeRequest("PUT", "/v1/table/" + write.key);
    request.body = json({{"value", write.value},
                         {"expectedVersion", write.expectedVersion},
                         {"transaction", write.transaction}})
                       .dump();
    m_client.send(std::move(request),
                  [callback = std::move(callback)](const Http::ClientResponse &response) {
                      absl::Status status = writeStatus(response);
                      std::uint64_t version = 0;
                      if (status.ok()) {
                          const json body = json::parse(response.body, nullptr, false);
                          if (body.is_object() && body.contains("version")
                              && body["version"].is_number_unsigned())
                              version = body["version"];
                          else
                              status = makeFailure(FailureCode::FateUnknown, "malformed response");
                      }
                      callback(status, version);
                  });
}

void PlatformClientService::get(std::string_view key, GetCallback callback)
{
    m_client.send(makeRequest("GET", "/v1/objects/" + std::string(key)),
                  [callback = std::move(callback)](Http::ClientResponse response) {
                      const absl::Status status = readStatus(response);
                      callback(status, std::move(response.body));
                  });
}

void PlatformClientService::put(std::string_view key, std::string body, PutCallback callback)
{
    Http::ClientRequest request = makeRequest("PUT", "/v1/objects/" + std::string(key));
    request.body = std::move(body);
    m_client.send(std::move(request),
                  [callback = std::move(callback)](const Http::ClientResponse &response) {
                      callback(writeStatus(response));
                  });
}

static Storage::HostState hostState(const std::string &name)
{
    if (name == "leaving")
        return Storage::HostState::Leaving;
    return name == "dead" ? Storage::HostState::Dead : Storage::HostState::Live;
}

void PlatformClientService::fetchHosts(Callback callback)
{
    m_client.send(makeRequest("GET", "/v1/hosts"),
                  [callback = std::move(callback)](const Http::ClientResponse &response) {
                      absl::Status status = readStatus(response);
                      std::vector<Storage::HostEntry> hosts;
                      if (status.ok()) {
                          const json body = json::parse(response.body, nullptr, false);
                          try {
                              for (const json &it : body.at("hosts"))
                                  hosts.push_back({it.at("host"), hostState(it.at("state"))});
                          } catch (const json::exception &error) {
                              status = makeFailure(FailureCode::PlatformUnavailable, error.what());
                          }
                      }
                      callback(status, hosts);
                  });
}

} // namespace PlatformClient
