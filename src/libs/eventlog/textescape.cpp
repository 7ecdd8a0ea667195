// Escapes text for terminals and for SVG.
#include "textescape.h"

#include <base/utf8.h>

namespace EventLog::Internal {

/// Whether the well-formed UTF-8 sequence \a text must be escaped: a control character (C0, DEL,
/// C1), a backslash, a line separator, a character that changes the direction of the text, or one
/// that XML 1.0 does not allow.
static bool isUnsafe(std::string_view text)
{
    const auto byteAt = [text](std::size_t i) { return static_cast<unsigned char>(text[i]); };
    if (text.size() == 1)
        return byteAt(0) < 0x20 || byteAt(0) == 0x7f || byteAt(0) == '\\';
    if (text.size() == 2)
        return byteAt(0) == 0xc2 && byteAt(1) < 0xa0;
    if (text.size() != 3)
        return false;
    const unsigned codePoint =
        (byteAt(0) & 0x0fU) << 12 | (byteAt(1) & 0x3fU) << 6 | (byteAt(2) & 0x3fU);
    return (codePoint >= 0x200e && codePoint <= 0x200f)
           || (codePoint >= 0x2028 && codePoint <= 0x202e)
           || (codePoint >= 0x2066 && codePoint <= 0x2069) || codePoint >= 0xfffe;
}

std::string escapeText(std::string_view text)
{
    static constexpr char DIGITS[] = "0123456789abcdef";
    std::string result;
    result.reserve(text.size());
    while (!text.empty()) {
        const std::size_t n = Base::utf8SequenceLength(text);
        const std::string_view sequence = text.substr(0, n > 0 ? n : 1);
        if (n > 0 && !isUnsafe(sequence)) {
            result += sequence;
        } else {
            for (const char c : sequence) {
                result += "\\x";
                result += DIGITS[static_cast<unsigned char>(c) >> 4];
                result += DIGITS[static_cast<unsigned char>(c) & 0xf];
            }
        }
        text.remove_prefix(sequence.size());
    }
    return result;
}

std::string escapeXml(std::string_view text)
{
    std::string result;
    for (const char c : escapeText(text)) {
        switch (c) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        case '\'':
            result += "&#39;";
            break;
        default:
            result += c;
        }
    }
    return result;
}

} // namespace EventLog::Internal
