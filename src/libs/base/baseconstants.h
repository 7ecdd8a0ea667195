// Constants of the base library.
#pragma once

#include <cstddef>

namespace Base::Constants {

/// Limits the cost of logging an error that recurs with every request.
constexpr int MAX_LINES_PER_EVENT_PER_SECOND = 20;
/// Longer values are cut.
constexpr std::size_t MAX_LOGGED_VALUE_BYTES = 1000;

} // namespace Base::Constants
