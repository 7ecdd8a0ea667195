// Numbers that are passed to a test program by environment variables.
#pragma once

#include <cstdint>
#include <cstdlib>

namespace TestSupport {

/// The variable \a name, or \a fallback if it is not set.
inline std::uint64_t environmentNumber(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

} // namespace TestSupport
