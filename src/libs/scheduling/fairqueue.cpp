// Start-time fair queueing over tasks indexed by class, task group and team.
#include "fairqueue.h"

#include <base/softassert.h>

#include <algorithm>

namespace Scheduling {

/// Limits how much slot time per unit of weight a team catches up on after a time without free
/// slots for its kinds. Without the limit it would starve the other teams while it catches up.
static constexpr double MAX_LAG_MS = 1000;

FairQueue::FairQueue(std::size_t maxTasks)
    : m_maxTasks(maxTasks)
{}

void FairQueue::ensureTeam(TeamIndex team)
{
    if (team.value() < m_weights.size())
        return;
    m_weights.resize(team.value() + 1, 1.0);
    for (Band &it : m_bands)
        it.teams.resize(team.value() + 1);
}

void FairQueue::setWeight(TeamIndex team, double weight)
{
    EP_ASSERT(weight > 0, return );
    ensureTeam(team);
    for (Band &it : m_bands) {
        if (at(it.teams, team).count > 0)
            it.activeWeight += weight - at(m_weights, team);
    }
    at(m_weights, team) = weight;
}

double FairQueue::weight(TeamIndex team) const
{
    return team.value() < m_weights.size() ? at(m_weights, team) : 1.0;
}

void FairQueue::setVirtualTime(Band &band, TeamIndex team, double virtualTime)
{
    TeamQueue &queue = at(band.teams, team);
    for (const auto &[group, tasks] : queue.byGroup) {
        std::set<TeamKey> &teams = band.groups.at(group).teams;
        auto node = teams.extract({queue.virtualTime, team});
        node.value().first = virtualTime;
        teams.insert(std::move(node));
    }
    queue.virtualTime = virtualTime;
}

bool FairQueue::push(const QueuedTask &task)
{
    if (m_tasks.size() >= m_maxTasks)
        return false;
    const auto [it, inserted] = m_tasks.emplace(task.handle, Entry{task, m_lastSequence + 1});
    if (!inserted)
        return false;
    ++m_lastSequence;
    ensureTeam(task.team);
    Band &band = this->band(task.taskClass);
    TeamQueue &queue = at(band.teams, task.team);
    if (queue.count == 0) {
        // A team earns no credit while it has no queued tasks.
        queue.virtualTime = std::max(queue.virtualTime, band.virtualTime);
        band.activeWeight += at(m_weights, task.team);
    }
    GroupQueue &group = band.groups[task.group];
    auto &tasks = queue.byGroup[task.group];
    if (tasks.empty())
        group.teams.emplace(queue.virtualTime, task.team);
    tasks.emplace(DeadlineKey{task.deadline, m_lastSequence}, task.handle);
    ++queue.count;
    ++group.count;
    ++band.count;
    return true;
}

void FairQueue::remove(const Entry &entry)
{
    const QueuedTask &task = entry.task;
    Band &band = this->band(task.taskClass);
    TeamQueue &queue = at(band.teams, task.team);
    const auto group = band.groups.find(task.group);
    const auto tasks = queue.byGroup.find(task.group);
    tasks->second.erase({task.deadline, entry.sequence});
    if (tasks->second.empty()) {
        queue.byGroup.erase(tasks);
        group->second.teams.erase({queue.virtualTime, task.team});
    }
    if (--group->second.count == 0)
        band.groups.erase(group);
    if (--queue.count == 0)
        band.activeWeight -= at(m_weights, task.team);
    if (--band.count == 0)
        band.activeWeight = 0; // clears accumulated rounding errors
}

bool FairQueue::withdraw(TaskHandle handle)
{
    const auto it = m_tasks.find(handle);
    if (it == m_tasks.end())
        return false;
    remove(it->second);
    m_tasks.erase(it);
    return true;
}

std::optional<QueuedTask> FairQueue::next(TaskClass taskClass,
                                          const std::function<bool(TaskGroupIndex)> &canStart) const
{
    const Band &band = this->band(taskClass);
    const Entry *best = nullptr;
    TeamKey bestTeam;
    for (const auto &[group, queue] : band.groups) {
        const TeamKey &team = *queue.teams.begin();
        if (best && team > bestTeam)
            continue;
        if (!canStart(group))
            continue;
        const TaskHandle handle = at(band.teams, team.second).byGroup.at(group).begin()->second;
        const Entry &entry = m_tasks.at(handle);
        if (best && team == bestTeam
            && std::pair(best->task.deadline, best->sequence)
                   <= std::pair(entry.task.deadline, entry.sequence)) {
            continue;
        }
        best = &entry;
        bestTeam = team;
    }
    return best ? std::optional(best->task) : std::nullopt;
}

bool FairQueue::start(TaskHandle handle, Base::Duration cost)
{
    const auto it = m_tasks.find(handle);
    if (it == m_tasks.end())
        return false;
    const QueuedTask task = it->second.task;
    remove(it->second);
    m_tasks.erase(it);
    Band &band = this->band(task.taskClass);
    const double costMs = std::chrono::duration<double, std::milli>(cost).count();
    const double tag =
        std::max(at(band.teams, task.team).virtualTime, band.virtualTime - MAX_LAG_MS);
    band.virtualTime = std::max(band.virtualTime, tag);
    setVirtualTime(band, task.team, tag + costMs / at(m_weights, task.team));
    return true;
}

const QueuedTask *FairQueue::find(TaskHandle handle) const
{
    const auto it = m_tasks.find(handle);
    return it == m_tasks.end() ? nullptr : &it->second.task;
}

std::size_t FairQueue::size(TaskClass taskClass, TaskGroupIndex group) const
{
    const Band &band = this->band(taskClass);
    const auto it = band.groups.find(group);
    return it == band.groups.end() ? 0 : it->second.count;
}

std::size_t FairQueue::size(TaskClass taskClass, TeamIndex team) const
{
    const Band &band = this->band(taskClass);
    return team.value() < band.teams.size() ? at(band.teams, team).count : 0;
}

std::size_t FairQueue::size(TeamIndex team) const
{
    return size(TaskClass::Single, team) + size(TaskClass::Job, team);
}

bool FairQueue::isActive(TaskClass taskClass, TeamIndex team) const
{
    return size(taskClass, team) > 0;
}

} // namespace Scheduling
