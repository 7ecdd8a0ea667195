// Validation of numeric addresses and URLs. Host names are not accepted: a process must not depend
// on a name service.
#pragma once

#include <string_view>

namespace Settings {

/// Whether \a text is a numeric IPv4 or IPv6 address.
bool isIpAddress(std::string_view text);
/// Whether \a text is the unspecified address (0.0.0.0 or ::), which binds to all interfaces.
bool isUnspecifiedAddress(std::string_view text);
/// Whether \a text has the form http://IPv4:port, without a path.
bool isHttpUrl(std::string_view text);

} // namespace Settings
