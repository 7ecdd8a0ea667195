// Commands that only read local files: validation and comparison.
#include "command.h"

#include <base/failure.h>
#include <manifest/manifestreader.h>
#include <platform/registrations.h>
#include <settings/daemonsettings.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <optional>

namespace CommandLine {

using Base::FailureCode;
using Base::makeFailure;
using nlohmann::json;

/// Reads and validates the manifest in the file \a path. On failure, prints it and sets \a code.
static std::optional<Manifest::Manifest> loadManifest(const std::string &path, Output &output,
                                                      ExitCode &code)
{
    std::string text;
    if (const absl::Status status = readFile(path, text); !status.ok()) {
        code = output.fail(ExitCode::Usage, status);
        return std::nullopt;
    }
    Settings::FaultList faults;
    auto manifest = Manifest::parseManifest(text, faults);
    if (!manifest) {
        code = output.fail(ExitCode::CheckFailed,
                           makeFailure(FailureCode::InvalidManifest,
                                       fmt::format("\"{}\" has {} faults; correct these members",
                                                   path, faults.faults().size())),
                           faults);
    }
    return manifest;
}

static ExitCode checkManifest(const Invocation &invocation, Output &output)
{
    ExitCode code = ExitCode::Ok;
    const std::string &path = invocation.arguments[0];
    const auto manifest = loadManifest(path, output, code);
    if (!manifest)
        return code;
    if (invocation.has("current")) {
        const auto current = loadManifest(invocation.value("current"), output, code);
        if (!current)
            return code;
        Settings::FaultList faults;
        Manifest::checkSuccessor(*current, *manifest, faults);
        if (!faults.isEmpty()) {
            return output.fail(
                ExitCode::CheckFailed,
                makeFailure(faults.faults().front().code,
                            fmt::format("\"{}\" is not a valid successor of the current manifest; "
                                        "correct these members",
                                        path)),
                faults);
        }
    }
    output.print({{"valid", true}, {"revision", manifest->revision.value()}},
                 fmt::format("{}: revision {} is valid\n", path, manifest->revision.value()));
    return ExitCode::Ok;
}

static ExitCode diffManifestFiles(const Invocation &invocation, Output &output)
{
    ExitCode code = ExitCode::Ok;
    const auto from = loadManifest(invocation.arguments[0], output, code);
    if (!from)
        return code;
    const auto to = loadManifest(invocation.arguments[1], output, code);
    if (!to)
        return code;
    const auto lines = Manifest::diffManifests(*from, *to);
    std::string text;
    for (const std::string &it : lines)
        text += it + '\n';
    output.print({{"differences", lines}}, text);
    return ExitCode::Ok;
}

/// Reads the desired state in the file \a path. On failure, prints it and sets \a code.
static std::optional<Dispatch::WrittenState> loadState(const std::string &path, Output &output,
                                                       ExitCode &code)
{
    std::string text;
    if (const absl::Status status = readFile(path, text); !status.ok()) {
        code = output.fail(ExitCode::Usage, status);
        return std::nullopt;
    }
    Settings::FaultList faults;
    auto written = Platform::parseWrittenState(text, faults);
    if (!written) {
        code = output.fail(ExitCode::CheckFailed,
                           makeFailure(FailureCode::InvalidManifest,
                                       fmt::format("\"{}\" has {} faults; correct these members",
                                                   path, faults.faults().size())),
                           faults);
    }
    return written;
}

static const char *severityName(Dispatch::FindingSeverity severity)
{
    return severity == Dispatch::FindingSeverity::Error ? "error" : "warning";
}

static ExitCode checkState(const Invocation &invocation, Output &output)
{
    ExitCode code = ExitCode::Ok;
    const std::string &path = invocation.arguments[0];
    const auto written = loadState(path, output, code);
    if (!written)
        return code;
    std::vector<Dispatch::Finding> findings = Dispatch::checkDesiredState(*written);
    std::vector<std::string> differences;
    if (invocation.has("current")) {
        const auto current = loadState(invocation.value("current"), output, code);
        if (!current)
            return code;
        for (Dispatch::Finding &it : Dispatch::checkSuccessor(*current, *written))
            findings.push_back(std::move(it));
        differences = Dispatch::diffDesiredStates(*current, *written);
    }
    bool isValid = true;
    json list = json::array();
    std::string text;
    for (const Dispatch::Finding &it : findings) {
        isValid &= it.severity != Dispatch::FindingSeverity::Error;
        const char *severity = severityName(it.severity);
        const std::string place = Platform::pathOf(it);
        list.push_back({{"severity", severity}, {"path", place}, {"message", it.message}});
        text += fmt::format("{}: {}: {} {}\n", path, severity, place, it.message);
    }
    for (const std::string &it : differences)
        text += it + '\n';
    const std::uint64_t version = written->state.version.value();
    text += fmt::format("{}: version {} {}\n", path, version, isValid ? "is valid" : "has errors");
    output.print({{"valid", isValid},
                  {"version", version},
                  {"findings", list},
                  {"differences", differences}},
                 text);
    return isValid ? ExitCode::Ok : ExitCode::CheckFailed;
}

static ExitCode checkSettings(const Invocation &invocation, Output &output)
{
    json checked = json::array();
    std::string text;
    for (const std::string &path : invocation.arguments) {
        std::string content;
        if (const absl::Status status = readFile(path, content); !status.ok())
            return output.fail(ExitCode::Usage, status);
        Settings::FaultList faults;
        const auto settings = Settings::parseDaemonSettings(content, faults);
        if (!settings) {
            return output.fail(ExitCode::CheckFailed,
                               makeFailure(FailureCode::InvalidSettings,
                                           fmt::format("\"{}\" has {} faults; correct these "
                                                       "members",
                                                       path, faults.faults().size())),
                               faults);
        }
        checked.push_back({{"file", path}, {"daemon", settings->daemon.value()}});
        text += fmt::format("{}: settings of {} are valid\n", path, settings->daemon.value());
    }
    output.print({{"valid", true}, {"files", checked}}, text);
    return ExitCode::Ok;
}

std::vector<Command> fileCommands()
{
    return {
        {"manifest check",
         "FILE",
         "Check a manifest",
         1,
         1,
         {{"current", "FILE", "Also check that the manifest is a valid successor of this one"}},
         checkManifest},
        {"manifest diff",
         "A B",
         "Show what changes from manifest A to B",
         2,
         2,
         {},
         diffManifestFiles},
        {"state check",
         "FILE",
         "Check a desired state before it is sent",
         1,
         1,
         {{"current", "FILE", "Also compare it with this one, which is in force"}},
         checkState},
        {"settings check", "FILE...", "Check settings of daemons", 1, 1000, {}, checkSettings},
    };
}

} // namespace CommandLine
