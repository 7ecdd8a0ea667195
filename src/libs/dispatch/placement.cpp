// Creation of the placement policies, and properties of executors that all of them use.
#include "placement.h"

#include "fastestfreeplacement.h"
#include "lookaheadplacement.h"

#include <utility>

namespace Dispatch {

/// Speed outside the preferred rack, relative to that inside: the data has to be fetched from
/// there.
static constexpr double OTHER_RACK_SPEED = 0.5;

std::unique_ptr<Placement> makePlacement(PlacementPolicy policy, PlacementContext context)
{
    if (policy == PlacementPolicy::LookAhead)
        return std::make_unique<LookAheadPlacement>(std::move(context));
    return std::make_unique<FastestFreePlacement>(std::move(context));
}

bool isOfferedBy(const ExecutorState &executor, const BatchInfo &batch)
{
    const ExecutorInfo &info = executor.info();
    return info.service.value() == batch.message.service
           && (batch.message.requiredLabel.empty() || info.kind == batch.message.requiredLabel);
}

bool isEligible(const ExecutorState &executor, const BatchInfo &batch, Base::TimePoint now)
{
    return executor.isUsable(now) && isOfferedBy(executor, batch);
}

bool isStepLimitReached(const ExecutorState &executor, const WaitingTask &task)
{
    const std::uint32_t limit = task.batch.message.maxPerExecutor;
    return limit > 0 && executor.runsOfStep(task.id) >= limit;
}

double speedFor(const ExecutorState &executor, const Wire::TaskBatch &batch)
{
    const bool isOtherRack = !batch.rack.empty() && executor.info().rack != batch.rack;
    return executor.speed() * (isOtherRack ? OTHER_RACK_SPEED : 1);
}

} // namespace Dispatch
