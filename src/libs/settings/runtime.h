// What every service of a daemon is built on.
#pragma once

#include "daemonsettings.h"

#include <base/ids.h>
#include <base/timers.h>

namespace asio {
class io_context;
}

namespace Settings {

/// The loop, the clock and the settings of one daemon. Outlives all services.
struct Runtime
{
    asio::io_context &io;
    Base::Timers &timers;
    const DaemonSettings &settings;
    Base::Incarnation incarnation; // of this run
};

} // namespace Settings
