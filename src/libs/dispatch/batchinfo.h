// Data common to all tasks of a batch, as the owner of a group keeps it.
#pragma once

#include "dispatchtypes.h"
#include "memorybudget.h"

#include <wire/messages.h>

namespace Dispatch {

/// Times are on the clock of this daemon.
struct BatchInfo
{
    Wire::TaskBatch message; // without the list of tasks
    Resources shape;
    Base::Duration estimate{0};
    Base::TimePoint accepted; // when the job was accepted by its coordinator
    Base::TimePoint objective;
    Base::TimePoint deadline;
    MemoryBudget::Share memory; // of the batch and of its tasks, until the last of them has ended
};

} // namespace Dispatch
