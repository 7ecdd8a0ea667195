// Checks of numeric addresses and URLs. Names are not accepted: a process must not depend on a
// name service.
#pragma once

#include <string_view>

namespace Settings {

/// Whether \a text is a numeric IPv4 or IPv6 address.
bool isIpAddress(std::string_view text);
/// Whether \a text is the address that stands for all addresses of the host (0.0.0.0 or ::).
bool isUnspecifiedAddress(std::string_view text);
/// Whether \a text has the form http://IPv4:port, without a path.
bool isHttpUrl(std::string_view text);

} // namespace Settings
