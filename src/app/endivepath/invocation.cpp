// Reads option values and files.
#include "invocation.h"

#include "commandlineconstants.h"

#include <base/failure.h>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace CommandLine {

using Base::FailureCode;
using Base::makeFailure;

std::string Invocation::value(std::string_view option) const
{
    const auto it = options.find(option);
    return it == options.end() || it->second.empty() ? std::string() : it->second.back();
}

absl::Status parseUnsigned(std::string_view text, std::string_view what, std::uint64_t min,
                           std::uint64_t max, std::uint64_t &out)
{
    std::uint64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (text.empty() || ec != std::errc() || end != text.data() + text.size() || n < min
        || n > max) {
        return makeFailure(FailureCode::BadRequest,
                           fmt::format("{} must be a whole number from {} to {}, not \"{}\"", what,
                                       min, max, text));
    }
    out = n;
    return absl::OkStatus();
}

absl::Status Invocation::readUnsigned(std::string_view option, std::uint64_t min, std::uint64_t max,
                                      std::uint64_t &out) const
{
    if (!has(option))
        return absl::OkStatus();
    return parseUnsigned(value(option), fmt::format("--{}", option), min, max, out);
}

absl::Status readFile(const std::string &path, std::string &out)
{
    // Opening a directory as a file succeeds, but reads as empty.
    std::error_code ec;
    std::ifstream file(path, std::ios::binary);
    if (!file || std::filesystem::is_directory(path, ec)) {
        return makeFailure(FailureCode::BadRequest,
                           fmt::format("can't read \"{}\"; check the path and permissions", path));
    }
    std::stringstream buf;
    buf << file.rdbuf();
    out = buf.str();
    return absl::OkStatus();
}

absl::Status readToken(const Invocation &invocation, std::string &out)
{
    std::string token;
    if (invocation.has("token-file")) {
        const absl::Status status = readFile(invocation.value("token-file"), token);
        if (!status.ok())
            return status;
    } else if (const char *variable = std::getenv(Constants::TOKEN_VARIABLE)) {
        token = variable;
    }
    while (!token.empty() && (token.back() == '\n' || token.back() == '\r'))
        token.pop_back();
    if (token.empty()) {
        return makeFailure(FailureCode::Unauthorized,
                           fmt::format("no operator token; set {} or give --token-file FILE",
                                       Constants::TOKEN_VARIABLE));
    }
    // A control character would end the HTTP header early.
    const auto isControl = [](unsigned char c) { return c < 0x20 || c == 0x7f; };
    if (std::any_of(token.begin(), token.end(), isControl)) {
        return makeFailure(FailureCode::Unauthorized,
                           "the operator token contains control characters; put it on one line");
    }
    out = std::move(token);
    return absl::OkStatus();
}

} // namespace CommandLine
