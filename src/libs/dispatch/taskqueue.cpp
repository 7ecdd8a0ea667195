// Ordered set of waiting tasks with incrementally updated load sums.
#include "taskqueue.h"

#include <algorithm>

namespace Dispatch {

double TaskQueue::Entry::work() const
{
    return shape.cpuMillis * std::chrono::duration<double>(estimate).count();
}

void TaskQueue::add(const Entry &entry, Base::TimePoint now)
{
    remove(entry.task);
    const Base::TimePoint latestStart = entry.objective - entry.estimate;
    insert({entry.priority, latestStart < now, entry.stage, latestStart, ++m_lastSequence}, entry);
    m_load[{entry.service, entry.priority}] += entry.work();
    if (entry.expiry != Base::TimePoint::max())
        m_byExpiry.emplace(entry.expiry, entry.task);
}

const TaskQueue::Entry *TaskQueue::insert(const Key &key, const Entry &entry)
{
    m_byTask[entry.task] = key;
    return &m_ordered.emplace(key, entry).first->second;
}

std::vector<const TaskQueue::Entry *> TaskQueue::demoteLate(Base::TimePoint now)
{
    std::vector<const Entry *> late;
    for (auto it = m_ordered.begin(); it != m_ordered.end();) {
        const Key key = it->first;
        if (!key.isLate && key.latestStart < now) {
            const Entry entry = it->second;
            it = m_ordered.erase(it);
            late.push_back(
                insert({key.priority, true, key.stage, key.latestStart, key.sequence}, entry));
            continue;
        }
        // All others of this priority and stage are either in time or already behind.
        it = m_ordered.upper_bound(
            {key.priority, key.isLate, key.stage, Base::TimePoint::max(), UINT64_MAX});
    }
    return late;
}

std::vector<const TaskQueue::Entry *>
TaskQueue::inTime(std::uint32_t priority, std::size_t limit,
                  const std::function<bool(const TaskId &)> &isWaiting) const
{
    std::vector<const Entry *> entries;
    auto it = m_ordered.lower_bound({priority, false, JobStage::Begun, Base::TimePoint::min(), 0});
    for (; it != m_ordered.end() && entries.size() < limit; ++it) {
        if (it->first.priority != priority || it->first.isLate)
            break;
        if (!isWaiting || !isWaiting(it->second.task))
            entries.push_back(&it->second);
    }
    return entries;
}

void TaskQueue::setBegun(const JobId &job)
{
    for (auto it = m_byTask.lower_bound({job, 0, 0, 0});
         it != m_byTask.end() && it->first.job == job; ++it) {
        if (it->second.stage == JobStage::Begun)
            continue;
        // The entry keeps its address: it may be in the result of head().
        auto node = m_ordered.extract(it->second);
        it->second.stage = JobStage::Begun;
        node.key() = it->second;
        node.mapped().stage = JobStage::Begun;
        m_ordered.insert(std::move(node));
    }
}

std::vector<TaskId> TaskQueue::expired(Base::TimePoint now, std::size_t limit) const
{
    std::vector<TaskId> tasks;
    for (const auto &[expiry, task] : m_byExpiry) {
        if (expiry > now || tasks.size() >= limit)
            break;
        tasks.push_back(task);
    }
    return tasks;
}

bool TaskQueue::remove(const TaskId &task)
{
    const auto it = m_byTask.find(task);
    if (it == m_byTask.end())
        return false;
    const auto ordered = m_ordered.find(it->second);
    const Entry &entry = ordered->second;
    const auto load = m_load.find({entry.service, entry.priority});
    load->second -= entry.work();
    m_byExpiry.erase({entry.expiry, task});
    m_ordered.erase(ordered);
    m_byTask.erase(it);
    // Rounding errors in the sums would accumulate if they were never reset.
    if (m_byTask.empty())
        m_load.clear();
    return true;
}

std::vector<const TaskQueue::Entry *>
TaskQueue::head(std::size_t limit, const std::function<bool(const TaskId &)> &isWaiting) const
{
    std::vector<const Entry *> entries;
    entries.reserve(std::min(limit, m_ordered.size()));
    for (const auto &[key, entry] : m_ordered) {
        if (entries.size() >= limit)
            break;
        if (!isWaiting || !isWaiting(entry.task))
            entries.push_back(&entry);
    }
    return entries;
}

std::vector<TaskQueue::Load> TaskQueue::load() const
{
    std::vector<Load> loads;
    for (const auto &[key, work] : m_load) {
        if (work > 0)
            loads.push_back({key.first, key.second, work});
    }
    return loads;
}

} // namespace Dispatch
