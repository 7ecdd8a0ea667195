// What a command prints: one JSON document, or text for people.
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
    CheckFailed = 1, ///< A file is faulty, a job failed or daemons disagree.
    Usage = 2,       ///< The command line or an input file can't be used.
    Unreachable = 3, ///< No answer, so the result is not known or there is none.
    Refused = 4      ///< A daemon answered and refused.
};

/// The worse of two results, in the order Ok, CheckFailed, Refused, Unreachable, Usage.
ExitCode worse(ExitCode a, ExitCode b);

/// {"code", "message"} of a failure, as daemons write it.
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
