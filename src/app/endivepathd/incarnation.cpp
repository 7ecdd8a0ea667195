// Derives incarnations from the wall clock.
#include "incarnation.h"

#include <chrono>

namespace Daemon {

Base::Incarnation makeIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return Base::Incarnation(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(now).count()));
}

} // namespace Daemon
