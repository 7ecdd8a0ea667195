// Wraps xxHash64.
#include "hash.h"

#include <xxhash.h>

namespace Base {

std::uint64_t stableHash(std::string_view data, std::uint64_t seed)
{
    return XXH64(data.data(), data.size(), seed);
}

} // namespace Base
