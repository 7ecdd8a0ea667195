// Calls to the HTTP interfaces of daemons with JSON bodies and typed failures.
#pragma once

#include "httpclient.h"
#include "output.h"

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace CommandLine {

/// The answer of a daemon. Without an answer, \a body is null.
struct ApiReply
{
    absl::Status status; // the failure that the daemon or the transport reported
    ExitCode exitCode = ExitCode::Ok;
    nlohmann::json body;
    std::string text; // the body as it was sent
};

class ApiClient
{
public:
    /// \a token may be empty for the callers' interface.
    ApiClient(std::string token, std::chrono::milliseconds timeout);

    /// Sends one request to the daemon at \a baseUrl and interprets the reply.
    ApiReply call(const std::string &method, const std::string &baseUrl, const std::string &path,
                  const std::string &body = {});
    /// The same at the first of \a baseUrls that can be reached. A request that may have arrived is
    /// not sent to the next one.
    ApiReply callAny(const std::string &method, const std::vector<std::string> &baseUrls,
                     const std::string &path, const std::string &body = {});

private:
    HttpClient m_http;
    std::string m_token;
    std::chrono::milliseconds m_timeout;
};

} // namespace CommandLine
