// Converts HTTP replies of daemons to typed failures and exit codes.
#include "apiclient.h"

#include <base/failure.h>

#include <fmt/format.h>

#include <utility>

namespace CommandLine {

using Base::FailureCode;
using Base::makeFailure;
using nlohmann::json;

/// Returns how the operator can resolve a failure with \a code, or an empty string.
static std::string hintFor(FailureCode code)
{
    switch (code) {
    case FailureCode::Unauthorized:
        return "check the operator token";
    case FailureCode::VersionMismatch:
        return "get the manifest in force with 'endivepath manifest show', base the change on it "
               "and submit it again";
    case FailureCode::PlacementChanged:
        return "keep domains and shardsPerDomain as they are in the manifest in force";
    case FailureCode::InvalidManifest:
        return "run 'endivepath manifest check' on the file";
    case FailureCode::KeyConflict:
        return "use another key, or submit the same body as before";
    case FailureCode::UnknownKind:
    case FailureCode::UnknownTeam:
        return "see 'endivepath manifest show' for what is declared";
    case FailureCode::PlatformUnavailable:
    case FailureCode::Draining:
    case FailureCode::Starting:
    case FailureCode::Overloaded:
    case FailureCode::HomeUnreachable:
        return "try again later or at another daemon";
    default:
        return {};
    }
}

static absl::Status failureFromReply(const HttpReply &reply, const json &body)
{
    const json failure = body.is_object() ? body.value("failure", json()) : json();
    std::string message = fmt::format("HTTP status {}", reply.status);
    FailureCode code = reply.status == 401 || reply.status == 403 ? FailureCode::Unauthorized
                                                                  : FailureCode::Internal;
    if (failure.is_object() && failure.contains("code") && failure["code"].is_string()) {
        code = Base::failureFromName(failure["code"].get_ref<const std::string &>());
        // Codes that only newer daemons know are kept in the message.
        if (code == FailureCode::Internal)
            message += ' ' + failure["code"].get<std::string>();
        if (failure.contains("message") && failure["message"].is_string())
            message = failure["message"].get<std::string>();
    }
    if (body.is_object() && body.contains("currentRevision"))
        message += fmt::format(" (current revision {})", body["currentRevision"].dump());
    if (body.is_object() && body.contains("faults") && body["faults"].is_array()) {
        for (const json &it : body["faults"])
            message += "; " + it.dump(-1, ' ', false, json::error_handler_t::replace);
    }
    const std::string hint = hintFor(code);
    return makeFailure(code, hint.empty() ? message : message + "; " + hint);
}

ApiClient::ApiClient(std::string token, std::chrono::milliseconds timeout)
    : m_token(std::move(token))
    , m_timeout(timeout)
{}

ApiReply ApiClient::call(const std::string &method, const std::string &baseUrl,
                         const std::string &path, const std::string &body)
{
    HttpReply http;
    const HttpRequest request{method, baseUrl + path, body, m_token, m_timeout};
    if (const absl::Status status = m_http.send(request, http); !status.ok())
        return {status, ExitCode::Unreachable, {}, {}};
    ApiReply reply;
    reply.body = json::parse(http.body, nullptr, false, true);
    const bool success = http.status >= 200 && http.status < 300;
    if (reply.body.is_discarded()) {
        reply.body = json();
        if (success && !http.body.empty()) {
            reply.status = makeFailure(FailureCode::Internal,
                                       fmt::format("{} returned a body that is not JSON; "
                                                   "check that the address is a daemon's",
                                                   request.url));
            reply.exitCode = ExitCode::Refused;
        }
    }
    if (!success) {
        reply.status = failureFromReply(http, reply.body);
        reply.exitCode = ExitCode::Refused;
    }
    reply.text = std::move(http.body);
    return reply;
}

ApiReply ApiClient::callFirstReachable(const std::string &method,
                                       const std::vector<std::string> &baseUrls,
                                       const std::string &path, const std::string &body)
{
    ApiReply reply;
    for (const std::string &it : baseUrls) {
        reply = call(method, it, path, body);
        if (Base::failureCode(reply.status) != FailureCode::PeerUnreachable)
            break;
    }
    return reply;
}

} // namespace CommandLine
