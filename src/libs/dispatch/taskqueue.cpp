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
    const Key key{entry.priority, entry.objective <= now, entry.objective, ++m_lastSequence};
    m_ordered.emplace(key, entry);
    m_byTask.emplace(entry.task, key);
    m_load[{entry.service, entry.priority}] += workOf(entry);
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

std::vector<TaskQueue::Entry> TaskQueue::head(std::size_t limit) const
{
    std::vector<Entry> entries;
    entries.reserve(std::min(limit, m_ordered.size()));
    for (const auto &[key, entry] : m_ordered) {
        if (entries.size() >= limit)
            break;
        entries.push_back(entry);
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
