// Validation of UTF-8 text received from callers and peers.
#pragma once

#include <cstddef>
#include <string_view>

namespace Base {

/// Length in bytes of the well-formed UTF-8 sequence at the start of \a text; 0 if there is none.
/// Overlong forms, surrogates and code points above U+10FFFF are not well-formed.
std::size_t utf8SequenceLength(std::string_view text);

} // namespace Base
