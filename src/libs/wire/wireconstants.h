// Constants of the peer protocol.
#pragma once

#include <cstddef>

namespace Wire::Constants {

constexpr std::size_t FRAME_HEADER_BYTES = 4;
/// A job of 1,700 tasks with bodies of 4 KiB fits.
constexpr std::size_t MAX_FRAME_BYTES = 16 * 1024 * 1024;
/// Deepest nesting and largest containers accepted from a peer.
constexpr std::size_t MAX_NESTING = 8;
constexpr std::size_t MAX_CONTAINER_ITEMS = 100'000;

} // namespace Wire::Constants
