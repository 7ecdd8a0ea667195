// Constants of the base library.
#pragma once

namespace Base::Constants {

/// Bounds the cost of a fault that repeats with every request.
constexpr int MAX_LINES_PER_EVENT_AND_SECOND = 20;

} // namespace Base::Constants
