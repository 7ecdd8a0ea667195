// Order by latest start, and order by the progress of jobs and the shares of the priorities.
#include "queueorder.h"

#include <algorithm>

namespace Dispatch {

/// Share of its estimate that a task takes at the best. Estimates and run times are both off by
/// e^0.4; two standard deviations of their product are a factor of 0.3, and the fastest executors
/// have a speed of 1.6.
static constexpr double OPTIMISTIC_SHARE = 0.2;
/// Of each priority that is behind, this fraction (1/n) of the limit is considered: more than start
/// at once in the largest group.
static constexpr std::size_t SHARE_SCAN_RATIO = 8;

std::unique_ptr<QueueOrder> makeQueueOrder(QueueOrderPolicy policy)
{
    if (policy == QueueOrderPolicy::ByJob)
        return std::make_unique<ByJobOrder>();
    return std::make_unique<LatestStartOrder>();
}

std::vector<const TaskQueue::Entry *> LatestStartOrder::head(TaskQueue &queue, std::size_t limit,
                                                             const TaskPredicate &isWaiting,
                                                             Base::TimePoint now)
{
    queue.demoteLate(now);
    return queue.head(limit, isWaiting);
}

void ByJobOrder::prepare(TaskQueue::Entry &entry, const BatchInfo &batch, bool hasBegun) const
{
    const Wire::TaskBatch &message = batch.message;
    // A coordinator of an older version states no numbers.
    if (hasBegun || message.openTasks < message.totalTasks)
        entry.stage = JobStage::Begun;
    entry.expiry = batch.deadline
                   - std::chrono::duration_cast<Base::Duration>(batch.estimate * OPTIMISTIC_SHARE);
}

std::vector<const TaskQueue::Entry *> ByJobOrder::head(TaskQueue &queue, std::size_t limit,
                                                       const TaskPredicate &isWaiting,
                                                       Base::TimePoint now)
{
    for (const TaskQueue::Entry *it : queue.demoteLate(now)) {
        m_shares.missed(it->service, it->priority, it->work(), now);
        ++m_counters.missed;
    }
    m_shared.clear();
    std::vector<const TaskQueue::Entry *> entries;
    std::size_t scanned = 0;
    for (WorkShares::Deficit &deficit : m_shares.deficits(now)) {
        if (scanned >= limit / 2)
            break;
        const auto candidates = queue.inTime(deficit.priority, limit / SHARE_SCAN_RATIO, isWaiting);
        scanned += candidates.size();
        for (const TaskQueue::Entry *it : candidates) {
            if (deficit.work <= 0)
                break;
            if (it->service != deficit.service)
                continue;
            entries.push_back(it);
            m_shared.insert(it->task);
            deficit.work -= it->work();
        }
    }
    const std::vector<const TaskQueue::Entry *> others = queue.head(limit - scanned, isWaiting);
    // Without shares, and if the tasks come first anyway, this is the order of the queue.
    if (std::equal(entries.begin(), entries.end(), others.begin(),
                   others.begin()
                       + static_cast<std::ptrdiff_t>(std::min(entries.size(), others.size())))) {
        m_shared.clear();
        return others;
    }
    for (const TaskQueue::Entry *it : others) {
        if (entries.size() >= limit)
            break;
        if (!m_shared.contains(it->task))
            entries.push_back(it);
    }
    return entries;
}

void ByJobOrder::started(TaskQueue &queue, const TaskQueue::Entry &entry, Base::TimePoint now)
{
    if (now <= entry.objective - entry.estimate)
        m_shares.started(entry.service, entry.priority, entry.work(), now);
    if (m_shared.contains(entry.task))
        ++m_counters.sharedStarts;
    if (entry.stage == JobStage::NotBegun)
        queue.setBegun(entry.task.job);
}

} // namespace Dispatch
