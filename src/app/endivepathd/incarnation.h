// Tells the runs of one daemon id apart.
#pragma once

#include <base/ids.h>

namespace Daemon {

/// Hosts keep nothing, so the wall clock tells a restarted daemon from its earlier runs.
Base::Incarnation makeIncarnation();

} // namespace Daemon
