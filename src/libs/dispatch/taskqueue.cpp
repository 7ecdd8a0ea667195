// Ordered set of waiting tasks with incrementally updated load sums.
#include "taskqueue.h"

#include <algorithm>

namespace Dispatch {

static double workOf(const TaskQueue::Entry &entry)
{
    return entry.shape.cpuMillis * std::chrono::duration<double>(entry.estimate).count();
}

void TaskQueue::add(const Entry &entry, Base::TimePoint now)
{
    remove(entry.task);
    const Base::TimePoint latestStart = entry.objective - entry.estimate;
    insert({entry.priority, latestStart < now, latestStart, ++m_lastSequence}, entry);
    m_load[{entry.service, entry.priority}] += workOf(entry);
}

void TaskQueue::insert(const Key &key, const Entry &entry)
{
    m_ordered.emplace(key, entry);
    m_byTask[entry.task] = key;
}

void TaskQueue::demoteLate(Base::TimePoint now)
{
    for (auto it = m_ordered.begin(); it != m_ordered.end();) {
        const Key key = it->first;
        if (!key.isLate && key.latestStart < now) {
            const Entry entry = it->second;
            it = m_ordered.erase(it);
            insert({key.priority, true, key.latestStart, key.sequence}, entry);
            continue;
        }
        // All others of this priority are either in time or already behind.
        it = m_ordered.upper_bound({key.priority, true, Base::TimePoint::max(), UINT64_MAX});
    }
}

bool TaskQueue::remove(const TaskId &task)
{
    const auto it = m_byTask.find(task);
    if (it == m_byTask.end())
        return false;
    const auto ordered = m_ordered.find(it->second);
    const Entry &entry = ordered->second;
    const auto load = m_load.find({entry.service, entry.priority});
    load->second -= workOf(entry);
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
