// Choice by speed and remaining room.
#include "fastestfreeplacement.h"

#include <algorithm>

namespace Dispatch {

/// Speeds that differ by a smaller factor count as equal; then the fuller executor is chosen.
static constexpr double SPEED_TOLERANCE = 1.1;

FastestFreePlacement::FastestFreePlacement(PlacementContext context)
    : m_emptyExecutors(std::move(context))
{}

void FastestFreePlacement::beginPass(const PlacementPass &pass)
{
    m_executors = &pass.executors;
    m_now = pass.now;
    m_tooBig.clear();
    m_emptyExecutors.check(pass.executors, pass.now);
}

ExecutorState *FastestFreePlacement::choose(const WaitingTask &task)
{
    if (task.isSuspect)
        return m_emptyExecutors.choose(*m_executors, task, m_now);
    const Wire::TaskBatch &message = task.batch.message;
    const bool isTooBig = std::any_of(m_tooBig.begin(), m_tooBig.end(), [&](const auto &entry) {
        return entry.first == message.service && entry.second.fits(task.batch.shape);
    });
    if (isTooBig)
        return nullptr;
    ExecutorState *executor = fastestFree(task);
    if (!executor && message.requiredLabel.empty() && message.maxPerExecutor == 0)
        m_tooBig.emplace_back(message.service, task.batch.shape);
    return executor;
}

ExecutorState *FastestFreePlacement::fastestFree(const WaitingTask &task) const
{
    ExecutorState *best = nullptr;
    double bestSpeed = 0;
    std::uint32_t bestRemaining = 0;
    for (auto &[id, executor] : *m_executors) {
        if (!isEligible(executor, task.batch, m_now))
            continue;
        const Resources room = executor.freeResources();
        if (!task.batch.shape.fits(room) || isStepLimitReached(executor, task))
            continue;
        const double speed = speedFor(executor, task.batch.message);
        const std::uint32_t remaining = room.cpuMillis - task.batch.shape.cpuMillis;
        const bool isFaster = speed > bestSpeed * SPEED_TOLERANCE;
        const bool isFuller = speed * SPEED_TOLERANCE >= bestSpeed && remaining < bestRemaining;
        if (!best || isFaster || isFuller) {
            best = &executor;
            bestSpeed = speed;
            bestRemaining = remaining;
        }
    }
    return best;
}

} // namespace Dispatch
