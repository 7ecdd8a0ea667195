// Distinguishes successive processes with the same daemon id.
#pragma once

#include <base/ids.h>

namespace Daemon {

/// Hosts have no persistent storage, so the wall clock distinguishes a restarted daemon from its
/// predecessors.
Base::Incarnation makeIncarnation();

} // namespace Daemon
