// Names and log lines of runs that have ended without a result.
#pragma once

#include "executorstate.h"

namespace Dispatch {

/// Why a run is no longer tracked whose end was not listed.
enum class RunLoss {
    ExecutorSilent,    ///< Its lease expired while the executor did not answer.
    ExecutorRestarted, ///< Another lifetime of the executor answers.
    NotRenewed,        ///< Its lease expired since this daemon did not renew it.
    NotListed,         ///< The executor does not list it.
};

const char *toString(RunLoss cause);
const char *toString(RunEnd end);

/// Tells why a task has no run any more, and may be started again. \a cause is a name of one of the
/// above.
void logRunGone(const TaskId &id, const Run &run, const ExecutorState &executor, const char *cause,
                Base::TimePoint now);

} // namespace Dispatch
