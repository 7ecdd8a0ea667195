// Parses addresses with inet_pton.
#include "addresses.h"

#include <arpa/inet.h>

#include <charconv>

namespace Settings {

static bool isAddress(int family, std::string_view text)
{
    in6_addr buf{};
    // inet_pton needs a terminated string and stops at a zero byte.
    if (text.find('\0') != std::string_view::npos)
        return false;
    return inet_pton(family, std::string(text).c_str(), &buf) == 1;
}

/// Returns 0 if \a text is not a port number without leading zeros.
static std::uint16_t parsePort(std::string_view text)
{
    std::uint16_t port = 0;
    const char *const end = text.data() + text.size();
    const auto [next, ec] = std::from_chars(text.data(), end, port);
    return ec == std::errc() && next == end && text.front() != '0' ? port : 0;
}

bool isIpAddress(std::string_view text)
{
    return isAddress(AF_INET, text) || isAddress(AF_INET6, text);
}

bool isUnspecifiedAddress(std::string_view text)
{
    return text == "0.0.0.0" || text == "::";
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos || !isAddress(AF_INET, text.substr(0, colon)))
        return std::nullopt;
    const std::uint16_t port = parsePort(text.substr(colon + 1));
    if (port == 0)
        return std::nullopt;
    return Endpoint{std::string(text.substr(0, colon)), port};
}

std::string toString(const Endpoint &endpoint)
{
    return endpoint.address + ':' + std::to_string(endpoint.port);
}

bool isHttpUrl(std::string_view text)
{
    static constexpr std::string_view SCHEME = "http://";
    if (!text.starts_with(SCHEME))
        return false;
    text.remove_prefix(SCHEME.size());
    return parseEndpoint(text).has_value();
}

} // namespace Settings
