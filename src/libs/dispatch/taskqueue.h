// Tasks that wait for room in one group, in the order in which they are to start.
#pragma once

#include "dispatchtypes.h"

#include <map>
#include <set>
#include <vector>

namespace Dispatch {

/// Order: priority of the queue first, as the desired state gives it; within one priority the
/// earliest objective, so that under overload the requests that can still be in time come first.
/// Tasks whose objective has passed come after all others of their priority.
class TaskQueue
{
public:
    struct Entry
    {
        TaskId task;
        ServiceId service;
        std::uint32_t priority = 0;
        Base::TimePoint objective; // latest end of the job that is in time
        Resources shape;
        Base::Duration estimate{0};
    };

    void add(const Entry &entry, Base::TimePoint now);
    bool remove(const TaskId &task);
    bool isEmpty() const { return m_byTask.empty(); }
    std::size_t size() const { return m_byTask.size(); }

    /// The first \a limit tasks in order.
    std::vector<Entry> head(std::size_t limit) const;

    /// Waiting work by service and priority, in thousandths of a core times seconds.
    struct Load
    {
        ServiceId service;
        std::uint32_t priority = 0;
        double cpuMillisSeconds = 0;
    };
    std::vector<Load> load() const;

private:
    struct Key
    {
        std::uint32_t priority = 0;
        bool isLate = false; // the objective had passed when the task was added
        Base::TimePoint objective;
        std::uint64_t sequence = 0;

        auto operator<=>(const Key &) const = default; // NOLINT(modernize-use-nullptr)
    };

    std::map<Key, Entry> m_ordered;
    std::map<TaskId, Key> m_byTask;                               // same tasks as m_ordered
    std::map<std::pair<ServiceId, std::uint32_t>, double> m_load; // sums over m_ordered
    std::uint64_t m_lastSequence = 0;
};

} // namespace Dispatch
