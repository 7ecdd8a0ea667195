// Output of a command: one JSON document, or human-readable text.
#pragma once

#include <absl/status/status.h>
#include <nlohmann/json_fwd.hpp>
#include <settings/faultlist.h>

#include <iosfwd>
#include <string>

namespace CommandLine {

/// Exit codes of the process; documented in docs/commandline.md.
enum class ExitCode {
    Ok = 0,
    CheckFailed = 1, ///< A file is invalid, a job failed or the daemons disagree.
    Usage = 2,       ///< The command line or an input file can't be used.
    Unreachable = 3, ///< No reply, so the result is unknown or there is none.
    Refused = 4      ///< A daemon replied and refused the request.
};

/// The worse of two results, in the order Ok, CheckFailed, Refused, Unreachable, Usage.
ExitCode worse(ExitCode a, ExitCode b);

/// Converts \a failure to {"code", "message"}, as daemons do.
nlohmann::json failureToJson(const absl::Status &failure);

/// One line "path value" for each leaf of \a value, each after \a prefix.
std::string leafLines(const nlohmann::json &value, const std::string &prefix = {});

class Output
{
public:
    Output(std::ostream &out, std::ostream &err, bool jsonMode);

    /// Prints \a value in JSON mode, otherwise \a text as it is.
    void print(const nlohmann::json &value, const std::string &text);
    /// Prints \a value in JSON mode, otherwise its leafLines().
    void printValue(const nlohmann::json &value);
    /// Prints \a failure, with \a faults if there are any, and returns \a code.
    ExitCode fail(ExitCode code, const absl::Status &failure,
                  const Settings::FaultList &faults = {});

private:
    std::ostream &m_out;
    std::ostream &m_err;
    bool m_json;
};

} // namespace CommandLine
