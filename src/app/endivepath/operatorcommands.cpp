// Commands that call daemons at their operator ports.
#include "apiclient.h"
#include "command.h"
#include "commandlineconstants.h"

#include <base/failure.h>
#include <base/log.h>
#include <eventlog/timelinereport.h>
#include <manifest/manifestreader.h>
#include <settings/addresses.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>
#include <set>

namespace CommandLine {

using Base::FailureCode;
using Base::makeFailure;
using nlohmann::json;

/// The daemons to call, and a client with the operator token.
struct Target
{
    std::vector<std::string> daemons;
    std::unique_ptr<ApiClient> client;
};

static absl::Status openTarget(const Invocation &invocation, Target &target)
{
    const auto it = invocation.options.find("daemon");
    if (it == invocation.options.end()) {
        return makeFailure(FailureCode::BadRequest,
                           "no daemon given; add --daemon http://IPv4:port (operator port)");
    }
    target.daemons = it->second;
    for (const std::string &url : target.daemons) {
        if (!Settings::isHttpUrl(url)) {
            return makeFailure(FailureCode::BadRequest,
                               fmt::format("--daemon must have the form http://IPv4:port, not "
                                           "\"{}\"",
                                           url));
        }
    }
    std::uint64_t timeoutMs = Constants::DEFAULT_TIMEOUT_MS;
    absl::Status status =
        invocation.readUnsigned("timeout-ms", 1, Constants::MAX_TIMEOUT_MS, timeoutMs);
    std::string token;
    if (status.ok())
        status = readToken(invocation, token);
    if (status.ok())
        target.client = std::make_unique<ApiClient>(token, std::chrono::milliseconds(timeoutMs));
    return status;
}

/// Calls every daemon. Returns an array of {"address", "reply" or "failure"} and sets \a code to
/// the worst exit code.
static json callAll(const Target &target, const std::string &method, const std::string &path,
                    const std::string &body, ExitCode &code)
{
    json results = json::array();
    for (const std::string &it : target.daemons) {
        const ApiReply reply = target.client->call(method, it, path, body);
        code = worse(code, reply.exitCode);
        if (reply.status.ok())
            results.push_back({{"address", it}, {"reply", reply.body}});
        else
            results.push_back({{"address", it}, {"failure", failureToJson(reply.status)}});
    }
    return results;
}

/// Calls every daemon and prints the replies.
static ExitCode callAllAndPrint(const Invocation &invocation, Output &output,
                                const std::string &method, const std::string &path,
                                const std::string &body = {})
{
    Target target;
    if (const absl::Status status = openTarget(invocation, target); !status.ok())
        return output.fail(ExitCode::Usage, status);
    ExitCode code = ExitCode::Ok;
    const json results = callAll(target, method, path, body, code);
    std::string text;
    for (const json &it : results) {
        text += it["address"].get<std::string>() + '\n';
        text += leafLines(it.contains("reply") ? it["reply"] : it["failure"], "  ");
    }
    output.print(results, text);
    return code;
}

static ExitCode submitManifest(const Invocation &invocation, Output &output)
{
    Target target;
    absl::Status status = openTarget(invocation, target);
    std::string text;
    if (status.ok())
        status = readFile(invocation.arguments[0], text);
    if (!status.ok())
        return output.fail(ExitCode::Usage, status);
    Settings::FaultList faults;
    const auto manifest = Manifest::parseManifest(text, faults);
    if (!manifest) {
        return output.fail(
            ExitCode::CheckFailed,
            makeFailure(FailureCode::InvalidManifest,
                        "the manifest is invalid and was not sent; correct these members"),
            faults);
    }
    std::uint64_t parent = manifest->revision.value() - 1;
    status = invocation.readUnsigned("parent", 0, manifest->revision.value() - 1, parent);
    if (!status.ok())
        return output.fail(ExitCode::Usage, status);
    const ApiReply reply = target.client->callFirstReachable(
        "POST", target.daemons, fmt::format("/v1/manifest?parent={}", parent), text);
    if (!reply.status.ok())
        return output.fail(reply.exitCode, reply.status);
    output.print({{"submitted", true}, {"revision", manifest->revision.value()}},
                 fmt::format("revision {} is accepted; 'endivepath manifest status' shows where it "
                             "is in force\n",
                             manifest->revision.value()));
    return ExitCode::Ok;
}

static ExitCode showManifest(const Invocation &invocation, Output &output)
{
    Target target;
    if (const absl::Status status = openTarget(invocation, target); !status.ok())
        return output.fail(ExitCode::Usage, status);
    const ApiReply reply = target.client->callFirstReachable("GET", target.daemons, "/v1/manifest");
    if (!reply.status.ok())
        return output.fail(reply.exitCode, reply.status);
    // Both formats can be edited and submitted again; text output keeps the comments.
    output.print(reply.body, reply.text.ends_with('\n') ? reply.text : reply.text + '\n');
    return ExitCode::Ok;
}

static ExitCode showManifestStatus(const Invocation &invocation, Output &output)
{
    Target target;
    if (const absl::Status status = openTarget(invocation, target); !status.ok())
        return output.fail(ExitCode::Usage, status);
    ExitCode code = ExitCode::Ok;
    json daemons = json::array();
    std::string text;
    std::set<json> revisions;
    for (const json &it : callAll(target, "GET", "/v1/status", {}, code)) {
        json entry{{"address", it["address"]}};
        if (it.contains("failure")) {
            entry["failure"] = it["failure"];
            text += fmt::format("{} {}\n", it["address"].get<std::string>(),
                                it["failure"]["message"].get<std::string>());
        } else {
            const json &reply = it["reply"];
            entry["revision"] =
                reply.is_object() ? reply.value("manifestRevision", json()) : json();
            revisions.insert(entry["revision"]);
            text += fmt::format("{} revision {}\n", it["address"].get<std::string>(),
                                entry["revision"].dump());
        }
        daemons.push_back(entry);
    }
    if (revisions.size() > 1) {
        code = worse(code, ExitCode::CheckFailed);
        text += "the daemons hold different revisions; repeat the command, and check the log of "
                "a daemon whose revision stays older\n";
    }
    output.print(
        {{"inAgreement", revisions.size() == 1 && code == ExitCode::Ok}, {"daemons", daemons}},
        text);
    return code;
}

static ExitCode showStatus(const Invocation &invocation, Output &output)
{
    return callAllAndPrint(invocation, output, "GET", "/v1/status");
}

static ExitCode drain(const Invocation &invocation, Output &output)
{
    const auto it = invocation.options.find("daemon");
    if (it != invocation.options.end() && it->second.size() > 1) {
        return output.fail(
            ExitCode::Usage,
            makeFailure(FailureCode::BadRequest,
                        "drain accepts only one --daemon; drain daemons one at a time so "
                        "that their shards can be handed over"));
    }
    return callAllAndPrint(invocation, output, "POST", "/v1/drain");
}

static ExitCode recoverShard(const Invocation &invocation, Output &output)
{
    std::uint64_t shard = 0;
    if (const absl::Status status = parseUnsigned(invocation.arguments[1], "SHARD", 0, 1023, shard);
        !status.ok()) {
        return output.fail(ExitCode::Usage, status);
    }
    if (!invocation.has("confirm-hosts-down")) {
        return output.fail(ExitCode::Usage,
                           makeFailure(FailureCode::BadRequest,
                                       "recovery while a listed replica still runs can start tasks "
                                       "twice; make sure that all their hosts are down, then add "
                                       "--confirm-hosts-down"));
    }
    Target target;
    if (const absl::Status status = openTarget(invocation, target); !status.ok())
        return output.fail(ExitCode::Usage, status);
    const std::string path =
        fmt::format("/v1/shards/{}/{}/recover", percentEncoded(invocation.arguments[0]), shard);
    const ApiReply reply = target.client->callFirstReachable("POST", target.daemons, path);
    if (!reply.status.ok())
        return output.fail(reply.exitCode, reply.status);
    output.printValue(reply.body.is_null() ? json{{"recovered", true}} : reply.body);
    return ExitCode::Ok;
}

static ExitCode setLogLevel(const Invocation &invocation, Output &output)
{
    Base::LogLevel level = Base::LogLevel::Info;
    const std::string &name = invocation.arguments[0];
    if (!Base::parseLogLevel(name, level)) {
        return output.fail(
            ExitCode::Usage,
            makeFailure(FailureCode::BadRequest, "LEVEL must be debug, info, warning or error"));
    }
    return callAllAndPrint(invocation, output, "PUT", "/v1/log-level",
                           json{{"level", name}}.dump());
}

static ExitCode showTimeline(const Invocation &invocation, Output &output)
{
    if (invocation.has("team") != invocation.has("key")) {
        return output.fail(ExitCode::Usage, makeFailure(FailureCode::BadRequest,
                                                        "--team and --key must be given together"));
    }
    const std::string format = invocation.has("format") ? invocation.value("format") : "text";
    if (format != "text" && format != "svg") {
        return output.fail(ExitCode::Usage,
                           makeFailure(FailureCode::BadRequest, "--format must be text or svg"));
    }
    Target target;
    if (const absl::Status status = openTarget(invocation, target); !status.ok())
        return output.fail(ExitCode::Usage, status);
    std::uint64_t sinceMs = 0;
    if (const absl::Status status = invocation.readUnsigned("since-ms", 0, UINT64_MAX, sinceMs);
        !status.ok()) {
        return output.fail(ExitCode::Usage, status);
    }
    std::string query;
    for (const auto &[option, parameter] : {std::pair{"team", "team"},
                                            {"key", "key"},
                                            {"upstream", "upstream"},
                                            {"since-ms", "sinceMs"}}) {
        if (!invocation.has(option))
            continue;
        query += query.empty() ? '?' : '&';
        query += fmt::format("{}={}", parameter, percentEncoded(invocation.value(option)));
    }
    std::vector<EventLog::DaemonReply> replies;
    ExitCode code = ExitCode::Ok;
    for (const std::string &it : target.daemons) {
        const ApiReply reply = target.client->call("GET", it, "/v1/events" + query);
        code = worse(code, reply.exitCode);
        replies.push_back({Base::DaemonId(it), reply.status, reply.text});
    }
    const EventLog::TimelineReport report = EventLog::renderTimeline(
        replies, format == "svg" ? EventLog::TimelineFormat::Svg : EventLog::TimelineFormat::Text);
    output.print({{"complete", report.complete}, {"timeline", report.output}}, report.output);
    return code;
}

/// Returns the options of all operator commands, followed by \a options.
static std::vector<Option> withCommonOptions(std::vector<Option> options)
{
    std::vector<Option> result{
        {"daemon", "URL", "Operator port of a daemon, http://IPv4:port; may be repeated"},
        {"token-file", "FILE", "File with the operator token; default is EP_OPERATOR_TOKEN"},
        {"timeout-ms", "N", "Reply timeout in ms (default 5000)"}};
    result.insert(result.end(), options.begin(), options.end());
    return result;
}

std::vector<Command> operatorCommands()
{
    return {
        {"manifest submit", "FILE", "Submit a manifest to one of the daemons", 1, 1,
         withCommonOptions(
             {{"parent", "N", "Revision that it is based on (default: the file's revision - 1)"}}),
         submitManifest},
        {"manifest show", "", "Print the manifest in force", 0, 0, withCommonOptions({}),
         showManifest},
        {"manifest status", "", "Compare the revisions of all given daemons", 0, 0,
         withCommonOptions({}), showManifestStatus},
        {"status", "", "Print the state of all given daemons", 0, 0, withCommonOptions({}),
         showStatus},
        {"drain", "", "Shut a daemon down gracefully", 0, 0, withCommonOptions({}), drain},
        {"shard recover", "DOMAIN SHARD", "Recover a shard without its lost records", 2, 2,
         withCommonOptions(
             {{"confirm-hosts-down", "", "Confirm that the hosts of all its replicas are down"}}),
         recoverShard},
        {"log-level", "LEVEL", "Set the log level of all given daemons", 1, 1,
         withCommonOptions({}), setLogLevel},
        {"timeline", "", "Print recorded events of all given daemons", 0, 0,
         withCommonOptions({{"team", "T", "Only the request of this team and --key"},
                            {"key", "K", "Only the request with this key"},
                            {"upstream", "U", "Only events of this upstream"},
                            {"since-ms", "N", "Only events since this time in ms"},
                            {"format", "FORMAT", "text or svg (default text)"}}),
         showTimeline},
    };
}

} // namespace CommandLine
