// The parsed command line of one command, and readers of the files it names.
#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace CommandLine {

/// What one command was called with. The readers return a badRequest failure that states the cure;
/// an option that is not given leaves the output unchanged.
struct Invocation
{
    std::vector<std::string> arguments;
    std::map<std::string, std::vector<std::string>, std::less<>> options;

    bool has(std::string_view option) const { return options.contains(option); }
    /// The last value of \a option, or an empty string.
    std::string value(std::string_view option) const;
    absl::Status readCount(std::string_view option, std::uint64_t min, std::uint64_t max,
                           std::uint64_t &out) const;
};

/// Parses a whole number from \a min to \a max that is called \a what in the failure.
absl::Status parseCount(std::string_view text, std::string_view what, std::uint64_t min,
                        std::uint64_t max, std::uint64_t &out);
absl::Status readFile(const std::string &path, std::string &out);
/// The operators' token from --token-file or the environment.
absl::Status readToken(const Invocation &invocation, std::string &out);

} // namespace CommandLine
