// Constants of the base library.
#pragma once

namespace Base::Constants {

/// Limits the cost of logging an error that recurs with every request.
constexpr int MAX_LINES_PER_EVENT_PER_SECOND = 20;

} // namespace Base::Constants
