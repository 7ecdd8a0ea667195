// Escapes untrusted text, such as idempotency keys, for terminals and for SVG.
#pragma once

#include <string>
#include <string_view>

namespace EventLog::Internal {

/// Replaces control characters, backslashes and bytes that are not UTF-8 by \xNN, so that the text
/// stays on one line and can't control a terminal.
std::string escapeText(std::string_view text);

/// Like escapeText(), and also escapes the special characters of XML.
std::string escapeXml(std::string_view text);

} // namespace EventLog::Internal
