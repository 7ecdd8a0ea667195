// Objects shared by all services of a daemon.
#pragma once

#include "daemonsettings.h"

#include <base/ids.h>
#include <base/timers.h>

namespace asio {
class io_context;
}

namespace Settings {

/// The event loop, the timers and the settings of one daemon. Outlives all services.
struct Runtime
{
    asio::io_context &io;
    Base::Timers &timers;
    const DaemonSettings &settings;
    Base::Incarnation incarnation; // of this process
};

} // namespace Settings
