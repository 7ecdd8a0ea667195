// Validates addresses with inet_pton.
#include "addresses.h"

#include <arpa/inet.h>

#include <charconv>
#include <string>

namespace Settings {

static bool isAddress(int family, std::string_view text)
{
    in6_addr buf{};
    // inet_pton needs a terminated string and stops at a zero byte.
    if (text.find('\0') != std::string_view::npos)
        return false;
    return inet_pton(family, std::string(text).c_str(), &buf) == 1;
}

static bool isPort(std::string_view text)
{
    int port = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), port);
    return ec == std::errc() && end == text.data() + text.size() && text.front() != '0' && port > 0
           && port <= 65535;
}

bool isIpAddress(std::string_view text)
{
    return isAddress(AF_INET, text) || isAddress(AF_INET6, text);
}

bool isUnspecifiedAddress(std::string_view text)
{
    return text == "0.0.0.0" || text == "::";
}

bool isHttpUrl(std::string_view text)
{
    static constexpr std::string_view SCHEME = "http://";
    if (!text.starts_with(SCHEME))
        return false;
    text.remove_prefix(SCHEME.size());
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos)
        return false;
    return isAddress(AF_INET, text.substr(0, colon)) && isPort(text.substr(colon + 1));
}

} // namespace Settings
