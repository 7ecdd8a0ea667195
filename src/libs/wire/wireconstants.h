// Constants of the peer protocol.
#pragma once

#include <cstddef>

namespace Wire::Constants {

constexpr std::size_t FRAME_HEADER_BYTES = 4;
/// Large enough for a job of 1,700 tasks with bodies of 4 KiB.
constexpr std::size_t MAX_FRAME_BYTES = 16 * 1024 * 1024;
/// Limits for nesting and for the size of one container in a frame from a peer.
constexpr std::size_t MAX_NESTING = 8;
constexpr std::size_t MAX_CONTAINER_ITEMS = 100'000;
/// Limit for the items of all containers of a frame together. A decoded item takes 24 bytes;
/// without this limit, a frame of 1-byte items took 24 times its size in memory.
constexpr std::size_t MAX_FRAME_ITEMS = 200'000;

} // namespace Wire::Constants
