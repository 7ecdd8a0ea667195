// Validates UTF-8 sequences.
#include "utf8.h"

namespace Base {

std::size_t utf8SequenceLength(std::string_view text)
{
    if (text.empty())
        return 0;
    const auto byteAt = [text](std::size_t i) { return static_cast<unsigned char>(text[i]); };
    const unsigned first = byteAt(0);
    if (first < 0x80)
        return 1;
    std::size_t n = 0;
    // The range of the second byte excludes overlong forms, surrogates and code points over
    // U+10FFFF.
    unsigned low = 0x80;
    unsigned high = 0xbf;
    if (first >= 0xc2 && first <= 0xdf) {
        n = 2;
    } else if (first >= 0xe0 && first <= 0xef) {
        n = 3;
        low = first == 0xe0 ? 0xa0 : low;
        high = first == 0xed ? 0x9f : high;
    } else if (first >= 0xf0 && first <= 0xf4) {
        n = 4;
        low = first == 0xf0 ? 0x90 : low;
        high = first == 0xf4 ? 0x8f : high;
    } else {
        return 0;
    }
    if (text.size() < n || byteAt(1) < low || byteAt(1) > high)
        return 0;
    for (std::size_t i = 2; i < n; ++i) {
        if ((byteAt(i) & 0xc0) != 0x80)
            return 0;
    }
    return n;
}

} // namespace Base
