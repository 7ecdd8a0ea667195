// Parsed arguments and options of one command, and functions that read the files they name.
#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace CommandLine {

/// Arguments and options of one command. Invalid values give a badRequest failure that tells how to
/// correct them; an option that is not given leaves the output unchanged.
struct Invocation
{
    std::vector<std::string> arguments;
    std::map<std::string, std::vector<std::string>, std::less<>> options;

    bool has(std::string_view option) const { return options.contains(option); }
    /// The last value of \a option, or an empty string.
    std::string value(std::string_view option) const;
    absl::Status readUnsigned(std::string_view option, std::uint64_t min, std::uint64_t max,
                              std::uint64_t &out) const;
};

/// Parses a whole number from \a min to \a max; the failure message names it \a what.
absl::Status parseUnsigned(std::string_view text, std::string_view what, std::uint64_t min,
                           std::uint64_t max, std::uint64_t &out);
absl::Status readFile(const std::string &path, std::string &out);
/// Reads the operator token from --token-file or the environment.
absl::Status readToken(const Invocation &invocation, std::string &out);

} // namespace CommandLine
