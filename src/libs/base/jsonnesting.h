// Limits the nesting depth of untrusted JSON. The JSON library parses any depth but serializes
// recursively, so that a body of a few 100 kB of brackets would overflow the stack.
#pragma once

#include <cstddef>
#include <string_view>

namespace Base {

/// Whether the arrays and objects of the JSON \a text are nested deeper than \a maxDepth. The
/// result is meaningless if \a text is not valid JSON.
bool isNestedDeeper(std::string_view text, std::size_t maxDepth);

} // namespace Base
