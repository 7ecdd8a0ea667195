// Client for the HTTP interfaces of daemons, with JSON bodies and typed failures.
#pragma once

#include "httpclient.h"
#include "output.h"

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace CommandLine {

/// The reply of a daemon. Without a reply, \a body is null.
struct ApiReply
{
    absl::Status status; // the failure that the daemon or the transport reported
    ExitCode exitCode = ExitCode::Ok;
    nlohmann::json body;
    std::string text; // the unparsed body
};

class ApiClient
{
public:
    /// \a token may be empty for the interface for callers, which needs none.
    ApiClient(std::string token, std::chrono::milliseconds timeout);

    /// Sends one request to the daemon at \a baseUrl and interprets the reply.
    ApiReply call(const std::string &method, const std::string &baseUrl, const std::string &path,
                  const std::string &body = {});
    /// Calls the first of \a baseUrls that can be reached. A request that may have arrived is not
    /// sent to the next one.
    ApiReply callFirstReachable(const std::string &method, const std::vector<std::string> &baseUrls,
                                const std::string &path, const std::string &body = {});

private:
    HttpClient m_http;
    std::string m_token;
    std::chrono::milliseconds m_timeout;
};

} // namespace CommandLine
