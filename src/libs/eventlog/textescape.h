// Escapes text of unknown origin, such as idempotency keys, for terminals and for SVG.
#pragma once

#include <string>
#include <string_view>

namespace EventLog::Internal {

/// Replaces control characters, backslashes and bytes that are not UTF-8 by \xNN, so that the text
/// stays on its line and can't control a terminal.
std::string escapeText(std::string_view text);

/// As escapeText(), and replaces the characters that have a meaning in XML.
std::string escapeXml(std::string_view text);

} // namespace EventLog::Internal
