// Interface for the choice of the executors on which the waiting tasks of a group are started.
#pragma once

#include "batchinfo.h"
#include "dispatchoptions.h"
#include "executorstate.h"

#include <functional>
#include <memory>

namespace Dispatch {

/// A task in the queue of a group.
struct WaitingTask
{
    const TaskId &id;
    const BatchInfo &batch;
    bool isSuspect = false; // may have crashed an executor, so it has to run alone
};

/// One walk through the queue of a group, in scheduling order.
struct PlacementPass
{
    ExecutorMap &executors;
    Base::TimePoint now;
    std::uint64_t waitingCpuMillis = 0; // needed by the tasks that will be offered
};

/// Counters of one group since its claim.
struct PlacementCounters
{
    std::uint64_t reservations = 0; // of executors for tasks that fit nowhere
    std::uint64_t bypassed = 0;     // tasks that waited while a later one was started
    Base::Duration longestBypass{0};
};

/// What a placement policy needs to know of the group, and tells it.
struct PlacementContext
{
    /// Whether the task is queued and may be started now.
    std::function<bool(const TaskId &)> mayStart;
    /// Expected run time on an executor of speed 1.
    std::function<Base::Duration(const BatchInfo &)> runTime;
    /// The free resources of some executor have changed without a start or an end.
    std::function<void()> loadChanged;
};

/// Sends no orders. The group offers its waiting tasks one by one between beginPass() and
/// endPass(), and starts each task for which an executor was chosen before it offers the next one.
class Placement
{
public:
    virtual ~Placement() = default;

    virtual void beginPass(const PlacementPass &pass) = 0;
    /// Returns null if the task has to wait.
    virtual ExecutorState *choose(const WaitingTask &task) = 0;
    virtual void endPass() {}

    /// Whether \a executor is stated in load reports.
    virtual bool isReported(const ExecutorState &executor, Base::TimePoint now) const
    {
        return executor.isUsable(now);
    }
    /// Resources on which tasks of other daemons may be placed.
    virtual Resources reportedRoom(const ExecutorState &executor) const
    {
        return executor.freeResources();
    }

    virtual PlacementCounters counters() const { return {}; }
};

std::unique_ptr<Placement> makePlacement(PlacementPolicy policy, PlacementContext context);

/// Whether \a executor runs tasks of this service and label.
bool isOfferedBy(const ExecutorState &executor, const BatchInfo &batch);
/// The same, and it is usable at present.
bool isEligible(const ExecutorState &executor, const BatchInfo &batch, Base::TimePoint now);
/// Whether the limit of tasks of one step per executor is reached.
bool isStepLimitReached(const ExecutorState &executor, const WaitingTask &task);
/// Speed for a task that prefers a rack.
double speedFor(const ExecutorState &executor, const Wire::TaskBatch &batch);

} // namespace Dispatch
