// Soft assertions: a failed check is logged with file and line, then the given action is executed.
// With EP_SOFT_ASSERT=abort in the environment, as in tests, the process aborts instead.
#pragma once

namespace Base {

void reportSoftAssert(const char *condition, const char *file, int line);

} // namespace Base

/// Checks \a cond; if it is false, reports it and executes \a action (return, continue, ...).
#define EP_ASSERT(cond, action) \
    if (cond) [[likely]] { \
    } else { \
        ::Base::reportSoftAssert(#cond, __FILE__, __LINE__); \
        action; \
    } \
    do { \
    } while (0)
