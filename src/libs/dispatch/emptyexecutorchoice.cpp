// Reservation of an executor whose runs end soon.
#include "emptyexecutorchoice.h"

#include <algorithm>
#include <utility>

namespace Dispatch {

EmptyExecutorChoice::EmptyExecutorChoice(PlacementContext context)
    : m_context(std::move(context))
{}

ExecutorState *EmptyExecutorChoice::choose(ExecutorMap &executors, const WaitingTask &task,
                                           Base::TimePoint now)
{
    ExecutorState *best = nullptr;
    for (auto &[id, executor] : executors) {
        const bool isForOther = executor.isReserved && m_reservation->task != task.id;
        if (!isEligible(executor, task.batch, now) || !executor.runs().empty() || isForOther
            || !task.batch.shape.fits(executor.info().capacity)) {
            continue;
        }
        if (!best || speedFor(executor, task.batch.message) > speedFor(*best, task.batch.message))
            best = &executor;
    }
    if (!best && !m_reservation)
        reserve(executors, task, now);
    return best;
}

/// Reserves the executor whose runs are expected to end first. Without this, other tasks would fill
/// each place that becomes free.
void EmptyExecutorChoice::reserve(ExecutorMap &executors, const WaitingTask &task,
                                  Base::TimePoint now)
{
    ExecutorState *best = nullptr;
    Base::TimePoint bestEnd;
    for (auto &[id, executor] : executors) {
        if (!isEligible(executor, task.batch, now)
            || !task.batch.shape.fits(executor.info().capacity)) {
            continue;
        }
        Base::TimePoint end;
        for (const auto &[other, run] : executor.runs())
            end = std::max(end, run.since + run.expected);
        if (!best || end < bestEnd) {
            best = &executor;
            bestEnd = end;
        }
    }
    if (!best)
        return;
    best->isReserved = true;
    m_reservation = {task.id, best->info().id};
    m_context.loadChanged();
}

void EmptyExecutorChoice::release(ExecutorMap &executors)
{
    if (!m_reservation)
        return;
    const auto executor = executors.find(m_reservation->executor);
    if (executor != executors.end())
        executor->second.isReserved = false;
    m_reservation.reset();
    m_context.loadChanged();
}

void EmptyExecutorChoice::check(ExecutorMap &executors, Base::TimePoint now)
{
    if (!m_reservation)
        return;
    const auto executor = executors.find(m_reservation->executor);
    const bool isUsable = executor != executors.end() && executor->second.isUsable(now);
    if (!m_context.mayStart(m_reservation->task) || !isUsable)
        release(executors);
}

} // namespace Dispatch
