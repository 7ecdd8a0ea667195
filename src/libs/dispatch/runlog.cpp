// Why runs ended without a result.
#include "runlog.h"

#include <base/log.h>

namespace Dispatch {

const char *toString(RunLoss cause)
{
    switch (cause) {
    case RunLoss::ExecutorSilent:
        return "executorSilent";
    case RunLoss::ExecutorRestarted:
        return "executorRestarted";
    case RunLoss::NotRenewed:
        return "notRenewed";
    case RunLoss::NotListed:
        break;
    }
    return "notListed";
}

const char *toString(RunEnd end)
{
    switch (end) {
    case RunEnd::Done:
        return "done";
    case RunEnd::Failed:
        return "failed";
    case RunEnd::Stopped:
        return "stopped";
    case RunEnd::LeaseExpired:
        return "leaseExpired";
    case RunEnd::GangMemberEnded:
        return "gangMemberEnded";
    case RunEnd::GangIncomplete:
        break;
    }
    return "gangIncomplete";
}

void logRunGone(const TaskId &id, const Run &run, const ExecutorState &executor, const char *cause,
                Base::TimePoint now)
{
    const bool isNeeded = run.isClaimed && !run.isCancelled;
    Base::log(isNeeded ? Base::LogLevel::Warning : Base::LogLevel::Info, "runGone",
              {{"task", toString(id)},
               {"run", run.number},
               {"executor", executor.info().id},
               {"lifetime", run.lifetime},
               {"listed", run.isListed ? 1 : 0},
               {"cause", cause},
               {"elapsed", now - run.since},
               {"leaseLeft", executor.leaseEnd() - now}});
}

} // namespace Dispatch
