// Queue of tasks, ordered by class, fair share of the teams and deadline.
#pragma once

#include "schedulingtypes.h"
#include "taskscheduler.h"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace Scheduling {

/// One task in a FairQueue.
struct QueuedTask
{
    TaskHandle handle;
    TaskClass taskClass = TaskClass::Job;
    TeamIndex team;
    TaskGroupIndex group;
    Base::TimePoint deadline;
};

/// Bounded queue. Within a class, teams are served by start-time fair queueing: each team has a
/// virtual time that advances by cost / weight when one of its tasks starts, and the team with the
/// lowest virtual time is next. Within a team, the earliest deadline is next. Tasks are indexed by
/// (class, task group, team), so that a group that cannot start now is skipped as a whole.
/// Operations cost O(log n) in queued tasks and teams, times the number of groups.
class FairQueue
{
public:
    explicit FairQueue(std::size_t maxTasks);

    /// The default weight is 1. \a weight must be positive.
    void setWeight(TeamIndex team, double weight);
    double weight(TeamIndex team) const;

    /// Returns false if the queue is full or already holds the handle.
    bool push(const QueuedTask &task);
    /// Removes a task without charging its team. Returns false if it is not in the queue.
    bool withdraw(TaskHandle handle);
    /// Returns the next task of \a taskClass among the groups that \a canStart accepts.
    std::optional<QueuedTask> next(TaskClass taskClass,
                                   const std::function<bool(TaskGroupIndex)> &canStart) const;
    /// Removes a task that starts and charges its team \a cost in slot time.
    bool start(TaskHandle handle, Base::Duration cost);

    const QueuedTask *find(TaskHandle handle) const;
    std::size_t size() const { return m_tasks.size(); }
    std::size_t size(TaskClass taskClass) const { return band(taskClass).count; }
    std::size_t size(TaskClass taskClass, TaskGroupIndex group) const;
    std::size_t size(TaskClass taskClass, TeamIndex team) const;
    std::size_t size(TeamIndex team) const;
    /// Sum of the weights of the teams that have queued tasks of \a taskClass.
    double activeWeight(TaskClass taskClass) const { return band(taskClass).activeWeight; }
    bool isActive(TaskClass taskClass, TeamIndex team) const;

private:
    using DeadlineKey = std::pair<Base::TimePoint, std::uint64_t>;
    using TeamKey = std::pair<double, TeamIndex>;
    struct GroupQueue
    {
        std::set<TeamKey> teams; // teams with tasks in this group, by virtual time
        std::size_t count = 0;
    };
    struct TeamQueue
    {
        double virtualTime = 0;
        std::size_t count = 0;
        std::map<TaskGroupIndex, std::map<DeadlineKey, TaskHandle>> byGroup; // no empty maps
    };
    /// Tasks of one class.
    struct Band
    {
        double virtualTime = 0; // highest start tag so far; never decreases
        double activeWeight = 0;
        std::size_t count = 0;
        std::map<TaskGroupIndex, GroupQueue> groups; // no empty groups
        std::vector<TeamQueue> teams;
    };
    struct Entry
    {
        QueuedTask task;
        std::uint64_t sequence = 0;
    };

    Band &band(TaskClass taskClass) { return m_bands[static_cast<std::size_t>(taskClass)]; }
    const Band &band(TaskClass taskClass) const
    {
        return m_bands[static_cast<std::size_t>(taskClass)];
    }
    static void setVirtualTime(Band &band, TeamIndex team, double virtualTime);
    void ensureTeam(TeamIndex team);
    void remove(const Entry &entry);

    const std::size_t m_maxTasks;
    std::uint64_t m_lastSequence = 0;
    std::array<Band, 2> m_bands;
    std::vector<double> m_weights;
    std::unordered_map<TaskHandle, Entry> m_tasks;
};

} // namespace Scheduling
