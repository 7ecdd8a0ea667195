// Hashes that are the same on every host and in every version. Placement depends on that, so
// std::hash, which may differ between builds, can't be used for it.
#pragma once

#include <cstdint>
#include <string_view>

namespace Base {

/// xxHash64 of \a data under \a seed.
std::uint64_t stableHash(std::string_view data, std::uint64_t seed = 0);

} // namespace Base
