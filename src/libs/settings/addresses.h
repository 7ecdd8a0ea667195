// Validation of numeric addresses and URLs. Host names are not accepted: a process must not depend
// on a name service.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Settings {

/// An IP address and a TCP port.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const Endpoint &) const = default;
};

/// Whether \a text is a numeric IPv4 or IPv6 address.
bool isIpAddress(std::string_view text);
/// Whether \a text is the unspecified address (0.0.0.0 or ::), which binds to all interfaces.
bool isUnspecifiedAddress(std::string_view text);
/// Parses \a text of the form IPv4:port, with a port from 1 to 65535 and nothing before or after.
std::optional<Endpoint> parseEndpoint(std::string_view text);
/// The form that parseEndpoint() reads.
std::string toString(const Endpoint &endpoint);
/// Whether \a text has the form http://IPv4:port, without a path.
bool isHttpUrl(std::string_view text);

} // namespace Settings
