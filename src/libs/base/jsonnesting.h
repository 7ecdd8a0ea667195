// Bound on the nesting of JSON from other parties. The JSON library parses any depth but writes
// recursively, so that a body of a few 100 kB of brackets would overflow the stack.
#pragma once

#include <cstddef>
#include <string_view>

namespace Base {

/// Whether the arrays and objects of the JSON \a text are nested deeper than \a maxDepth. For text
/// that is not JSON the result tells nothing.
bool isNestedDeeper(std::string_view text, std::size_t maxDepth);

} // namespace Base
