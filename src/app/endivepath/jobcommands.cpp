// Commands that call a daemon at its caller port.
#include "apiclient.h"
#include "command.h"
#include "commandlineconstants.h"

#include <base/failure.h>
#include <settings/addresses.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace CommandLine {

using Base::FailureCode;
using Base::makeFailure;
using nlohmann::json;

/// Options that all job commands share.
struct JobTarget
{
    std::vector<std::string> callers;
    std::string team;
    std::string key;
    std::uint64_t waitMs = 0;
    std::uint64_t timeoutMs = Constants::DEFAULT_TIMEOUT_MS;

    std::string path() const
    {
        return fmt::format("/v1/requests/{}/{}", percentEncoded(team), percentEncoded(key));
    }
};

static absl::Status readTarget(const Invocation &invocation, JobTarget &target)
{
    for (const char *it : {"caller", "team", "key"}) {
        if (invocation.value(it).empty())
            return makeFailure(FailureCode::BadRequest, fmt::format("--{} is required", it));
    }
    target.callers = invocation.options.find("caller")->second;
    for (const std::string &it : target.callers) {
        if (!Settings::isHttpUrl(it)) {
            return makeFailure(FailureCode::BadRequest,
                               fmt::format("--caller must have the form http://IPv4:port, not "
                                           "\"{}\"",
                                           it));
        }
    }
    target.team = invocation.value("team");
    target.key = invocation.value("key");
    const absl::Status status =
        invocation.readUnsigned("wait-ms", 0, Constants::MAX_TIMEOUT_MS, target.waitMs);
    if (!status.ok())
        return status;
    return invocation.readUnsigned("timeout-ms", 1, Constants::MAX_TIMEOUT_MS, target.timeoutMs);
}

static ExitCode exitCodeForState(const json &body)
{
    const json state = body.value("state", json());
    if (state == "complete")
        return ExitCode::Ok;
    if (state == "failed")
        return ExitCode::CheckFailed;
    if (state == "notRun")
        return ExitCode::Refused;
    // A pending request counts as success, unless the daemon can't reach the request's home.
    const json failure = body.value("failure", json());
    const bool unknown = failure.is_object() && failure.value("code", json()) == "homeUnreachable";
    return unknown ? ExitCode::Unreachable : ExitCode::Ok;
}

static ExitCode callAndPrint(const JobTarget &target, Output &output, const std::string &method,
                             const std::string &path, const std::string &body = {})
{
    // The daemon may delay its reply by up to waitMs.
    ApiClient client({}, std::chrono::milliseconds(target.waitMs + target.timeoutMs));
    const ApiReply reply = client.callFirstReachable(method, target.callers, path, body);
    // A reply with a state is printed whatever its HTTP status; others fail on error statuses.
    if (reply.body.is_object() && reply.body.contains("state")) {
        output.printValue(reply.body);
        return exitCodeForState(reply.body);
    }
    if (!reply.status.ok())
        return output.fail(reply.exitCode, reply.status);
    output.printValue(reply.body);
    return ExitCode::Ok;
}

static ExitCode submitJob(const Invocation &invocation, Output &output)
{
    JobTarget target;
    absl::Status status = readTarget(invocation, target);
    std::string text;
    if (status.ok())
        status = readFile(invocation.arguments[0], text);
    std::uint64_t deadlineMs = 0;
    if (status.ok())
        status = invocation.readUnsigned("deadline-ms", 1, Constants::MAX_TIMEOUT_MS, deadlineMs);
    if (status.ok() && invocation.value("kind").empty())
        status = makeFailure(FailureCode::BadRequest, "--kind is required");
    if (!status.ok())
        return output.fail(ExitCode::Usage, status);
    const json tasks = json::parse(text, nullptr, false, true);
    if (!tasks.is_array() || tasks.empty()) {
        return output.fail(ExitCode::CheckFailed,
                           makeFailure(FailureCode::BadRequest,
                                       fmt::format("\"{}\" must contain a JSON array with one item "
                                                   "for each task",
                                                   invocation.arguments[0])));
    }
    json body{{"team", target.team},
              {"key", target.key},
              {"kind", invocation.value("kind")},
              {"tasks", tasks},
              {"waitMs", target.waitMs}};
    if (deadlineMs > 0)
        body["deadlineMs"] = deadlineMs;
    if (invocation.has("first-submission"))
        body["firstSubmission"] = true;
    return callAndPrint(target, output, "POST", "/v1/requests",
                        body.dump(-1, ' ', false, json::error_handler_t::replace));
}

static ExitCode showJob(const Invocation &invocation, Output &output)
{
    JobTarget target;
    if (const absl::Status status = readTarget(invocation, target); !status.ok())
        return output.fail(ExitCode::Usage, status);
    return callAndPrint(target, output, "GET",
                        fmt::format("{}?waitMs={}", target.path(), target.waitMs));
}

static ExitCode cancelJob(const Invocation &invocation, Output &output)
{
    JobTarget target;
    if (const absl::Status status = readTarget(invocation, target); !status.ok())
        return output.fail(ExitCode::Usage, status);
    return callAndPrint(target, output, "POST", target.path() + "/cancel");
}

/// Returns the options of all job commands, followed by \a options.
static std::vector<Option> withCommonOptions(std::vector<Option> options)
{
    std::vector<Option> result{
        {"caller", "URL", "Caller port of a daemon, http://IPv4:port; may be repeated"},
        {"team", "T", "Team of the request"},
        {"key", "K", "Idempotency key of the request"},
        {"timeout-ms", "N", "Reply timeout in ms, added to --wait-ms (default 5000)"}};
    result.insert(result.end(), options.begin(), options.end());
    return result;
}

std::vector<Command> jobCommands()
{
    const Option wait{"wait-ms", "N", "Let the daemon wait up to N ms for the outcome (default 0)"};
    return {
        {"job submit", "FILE", "Submit a request with the tasks in a file", 1, 1,
         withCommonOptions(
             {{"kind", "KIND", "Request kind"},
              wait,
              {"deadline-ms", "N", "Deadline in ms, shorter than the kind's"},
              {"first-submission", "", "Confirm that this key was never submitted before"}}),
         submitJob},
        {"job status", "", "Print the state or outcome of a request", 0, 0,
         withCommonOptions({wait}), showJob},
        {"job cancel", "", "Cancel a request", 0, 0, withCommonOptions({}), cancelJob},
    };
}

} // namespace CommandLine
