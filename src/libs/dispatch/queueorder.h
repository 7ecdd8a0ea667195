// Interface for the order in which the waiting tasks of a group are offered for placement, and when
// a task is dropped.
#pragma once

#include "batchinfo.h"
#include "dispatchoptions.h"
#include "taskqueue.h"
#include "workshares.h"

#include <memory>

namespace Dispatch {

/// Counters of one group since its claim.
struct QueueOrderCounters
{
    std::uint64_t sharedStarts = 0; // tasks offered first since their priority was behind
    std::uint64_t missed = 0;       // tasks that could not be in time any more while they waited
};

class QueueOrder
{
public:
    using TaskPredicate = std::function<bool(const TaskId &)>;

    virtual ~QueueOrder() = default;

    /// Sets what the order needs to know of a task that is about to be queued. \a hasBegun: it may
    /// have been started before.
    virtual void prepare(TaskQueue::Entry &entry, const BatchInfo &batch, bool hasBegun) const = 0;
    /// The first \a limit tasks in the order in which they are offered, each valid until it is
    /// removed. Those of which \a isWaiting is true are left out.
    virtual std::vector<const TaskQueue::Entry *> head(TaskQueue &queue, std::size_t limit,
                                                       const TaskPredicate &isWaiting,
                                                       Base::TimePoint now) = 0;
    /// \a entry is started, and was removed from \a queue.
    virtual void started(TaskQueue &queue, const TaskQueue::Entry &entry, Base::TimePoint now) = 0;

    virtual QueueOrderCounters counters() const { return {}; }
};

/// Baseline: strict priority, then by the latest start that meets the objective.
class LatestStartOrder : public QueueOrder
{
public:
    void prepare(TaskQueue::Entry &, const BatchInfo &, bool) const override {}
    std::vector<const TaskQueue::Entry *> head(TaskQueue &queue, std::size_t limit,
                                               const TaskPredicate &isWaiting,
                                               Base::TimePoint now) override;
    void started(TaskQueue &, const TaskQueue::Entry &, Base::TimePoint) override {}
};

/// Within a priority, tasks of jobs that have begun come first: seven of eight tasks are worth
/// nothing without the last. A priority that is behind its share comes before higher ones, with as
/// much work as it lacks. Tasks whose job can't end any more before its caller stops waiting
/// expire.
class ByJobOrder : public QueueOrder
{
public:
    void prepare(TaskQueue::Entry &entry, const BatchInfo &batch, bool hasBegun) const override;
    std::vector<const TaskQueue::Entry *> head(TaskQueue &queue, std::size_t limit,
                                               const TaskPredicate &isWaiting,
                                               Base::TimePoint now) override;
    void started(TaskQueue &queue, const TaskQueue::Entry &entry, Base::TimePoint now) override;
    QueueOrderCounters counters() const override { return m_counters; }

private:
    WorkShares m_shares;
    std::set<TaskId> m_shared; // offered out of their order in the last call of head()
    QueueOrderCounters m_counters;
};

std::unique_ptr<QueueOrder> makeQueueOrder(QueueOrderPolicy policy);

} // namespace Dispatch
