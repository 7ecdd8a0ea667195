// Choice of an executor for a task that has to run alone.
#pragma once

#include "placement.h"

#include <optional>

namespace Dispatch {

/// A task that may have crashed an executor runs alone: it takes no other tasks with it, and if it
/// loses the next executor too, no other task can have been the cause. If no executor is empty, one
/// is reserved, at most one at a time.
class EmptyExecutorChoice
{
public:
    explicit EmptyExecutorChoice(PlacementContext context);

    /// Releases the reservation if its task or its executor can't use it any more.
    void check(ExecutorMap &executors, Base::TimePoint now);
    ExecutorState *choose(ExecutorMap &executors, const WaitingTask &task, Base::TimePoint now);
    bool isReserving() const { return m_reservation.has_value(); }

private:
    void reserve(ExecutorMap &executors, const WaitingTask &task, Base::TimePoint now);
    void release(ExecutorMap &executors);

    /// An executor that gets no tasks until it is empty, for a queued task that has to run alone.
    struct Reservation
    {
        TaskId task;
        ExecutorId executor;
    };

    const PlacementContext m_context;
    std::optional<Reservation> m_reservation;
};

} // namespace Dispatch
