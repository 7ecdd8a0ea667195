// Tasks that wait for free resources in one group, in scheduling order.
#pragma once

#include "dispatchtypes.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace Dispatch {

/// Progress of the job of a task.
enum class JobStage {
    Begun,    ///< Some of its tasks are done or running.
    NotBegun, ///< Or not known.
};

/// Sorted by the priority of the queue in the desired state, then by the stage of the job, then by
/// the latest start with which the objective can be met. Tasks that cannot meet it any more come
/// after all others of their priority.
class TaskQueue
{
public:
    struct Entry
    {
        TaskId task;
        ServiceId service;
        std::uint32_t priority = 0;
        Base::TimePoint objective; // latest time at which the job is to end
        Resources shape;
        Base::Duration estimate{0};
        JobStage stage = JobStage::NotBegun;
        Base::TimePoint expiry = Base::TimePoint::max(); // after which it need not be started

        /// Estimated work in thousandths of a core times seconds.
        double work() const;
    };

    void add(const Entry &entry, Base::TimePoint now);
    bool remove(const TaskId &task);
    bool isEmpty() const { return m_byTask.empty(); }
    std::size_t size() const { return m_byTask.size(); }

    /// The first \a limit tasks in scheduling order, each valid until it is removed. Those of which
    /// \a isWaiting is true are left out and do not count.
    std::vector<const Entry *>
    head(std::size_t limit, const std::function<bool(const TaskId &)> &isWaiting = {}) const;

    /// Puts the tasks that would miss their objective even if they started at \a now, by their
    /// estimates, behind the others of their priority. Under overload, tasks that are served in the
    /// order of their objectives all become late together. Returns those tasks.
    std::vector<const Entry *> demoteLate(Base::TimePoint now);

    /// The first \a limit tasks of \a priority that can still meet their objective.
    std::vector<const Entry *> inTime(std::uint32_t priority, std::size_t limit,
                                      const std::function<bool(const TaskId &)> &isWaiting) const;

    /// The waiting tasks of \a job get the stage Begun.
    void setBegun(const JobId &job);
    /// Up to \a limit tasks whose expiry has passed, the earliest first.
    std::vector<TaskId> expired(Base::TimePoint now, std::size_t limit) const;

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
        bool isLate = false; // latestStart has passed
        JobStage stage = JobStage::NotBegun;
        Base::TimePoint latestStart; // at which the objective can still be met
        std::uint64_t sequence = 0;

        auto operator<=>(const Key &) const = default; // NOLINT(modernize-use-nullptr)
    };

    const Entry *insert(const Key &key, const Entry &entry);

    std::map<Key, Entry> m_ordered;
    std::map<TaskId, Key> m_byTask;                               // keys in m_ordered
    std::set<std::pair<Base::TimePoint, TaskId>> m_byExpiry;      // of those that expire
    std::map<std::pair<ServiceId, std::uint32_t>, double> m_load; // sums over m_ordered
    std::uint64_t m_lastSequence = 0;
};

} // namespace Dispatch
