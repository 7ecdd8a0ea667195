// Record of executors lost under tasks: merging, limits and retention.
#include "executorlosses.h"

#include "dispatchconstants.h"

#include <fmt/format.h>

#include <algorithm>

namespace Dispatch {

const char *toString(LossGrounds grounds)
{
    switch (grounds) {
    case LossGrounds::NoAnswer:
        return "noAnswer";
    case LossGrounds::Disconnected:
        return "disconnected";
    case LossGrounds::OtherLifetime:
        return "otherLifetime";
    case LossGrounds::NotFound:
        break;
    }
    return "notFound";
}

ExecutorLosses::ExecutorLosses(Base::Timers &timers)
    : m_timers(timers)
    , m_lastPrune(timers.now())
{}

Wire::LostRun ExecutorLosses::entryOf(const TaskId &task, const ExecutorLifetime &executor,
                                      Base::TimePoint time) const
{
    const auto ageMs = static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, Base::toMilliseconds(m_timers.now() - time)));
    return {task.job.value(),       task.occurrence,         task.step, task.index,
            executor.first.value(), executor.second.value(), ageMs};
}

void ExecutorLosses::insert(const TaskId &task, const ExecutorLifetime &executor,
                            Base::TimePoint time)
{
    if (!m_losses.contains(task) && m_losses.size() >= Constants::MAX_LOSS_RECORDS) {
        const auto oldest =
            std::min_element(m_losses.begin(), m_losses.end(), [](const auto &a, const auto &b) {
                return a.second.begin()->second < b.second.begin()->second;
            });
        m_losses.erase(oldest);
    }
    auto &executors = m_losses[task];
    // A daemon that has only heard of the executor does not know which lifetime was lost.
    const ExecutorLifetime unknown{executor.first, Lifetime()};
    const auto sameExecutor = executors.lower_bound(unknown);
    const bool isKnown =
        sameExecutor != executors.end() && sameExecutor->first.first == executor.first;
    if (executor.second.value() == 0 && isKnown)
        return;
    executors.erase(unknown);
    executors.try_emplace(executor, time);
}

Wire::LostRuns ExecutorLosses::add(const ExecutorId &executor, Lifetime lifetime,
                                   const std::vector<TaskId> &tasks)
{
    Wire::LostRuns message;
    const Base::TimePoint now = m_timers.now();
    for (const TaskId &it : tasks) {
        insert(it, {executor, lifetime}, now);
        message.runs.push_back(entryOf(it, {executor, lifetime}, now));
    }
    return message;
}

void ExecutorLosses::merge(const Wire::LostRuns &message)
{
    const Base::TimePoint now = m_timers.now();
    for (const Wire::LostRun &it : message.runs) {
        const auto age = std::chrono::milliseconds(
            std::min<std::uint64_t>(it.ageMs, Constants::LOSS_RETENTION_MS.count()));
        insert({JobId(it.job), it.occurrence, it.step, it.index},
               {ExecutorId(it.executor), Lifetime(it.lifetime)}, now - age);
    }
}

std::vector<Wire::LostRuns> ExecutorLosses::messages() const
{
    std::vector<Wire::LostRuns> list;
    for (const auto &[task, executors] : m_losses) {
        for (const auto &[executor, time] : executors) {
            if (list.empty() || list.back().runs.size() >= Constants::MAX_LOSSES_PER_MESSAGE)
                list.emplace_back();
            list.back().runs.push_back(entryOf(task, executor, time));
        }
    }
    return list;
}

std::size_t ExecutorLosses::count(const TaskId &task) const
{
    const auto it = m_losses.find(task);
    return it == m_losses.end() ? 0 : it->second.size();
}

bool ExecutorLosses::isGivenUp(const TaskId &task) const
{
    return count(task) >= Constants::MAX_EXECUTOR_LOSSES;
}

bool ExecutorLosses::hasGivenUpTask(const JobId &job) const
{
    for (auto it = m_losses.lower_bound({job, 0, 0, 0});
         it != m_losses.end() && it->first.job == job; ++it) {
        if (it->second.size() >= Constants::MAX_EXECUTOR_LOSSES)
            return true;
    }
    return false;
}

std::size_t ExecutorLosses::tasksLostWith(const ExecutorId &executor, Lifetime lifetime) const
{
    return static_cast<std::size_t>(
        std::count_if(m_losses.begin(), m_losses.end(), [&](const auto &it) {
            return it.second.contains({executor, lifetime});
        }));
}

std::string ExecutorLosses::describe(const TaskId &task) const
{
    std::string text;
    const auto it = m_losses.find(task);
    if (it == m_losses.end())
        return text;
    for (const auto &[executor, time] : it->second) {
        const auto ageMs = Base::toMilliseconds(m_timers.now() - time);
        text += fmt::format("{}{}@{}/{}ms", text.empty() ? "" : ",", executor.first.value(),
                            executor.second.value(), ageMs);
    }
    return text;
}

void ExecutorLosses::tick()
{
    const Base::TimePoint now = m_timers.now();
    if (now - m_lastPrune < Constants::LOSS_PRUNE_INTERVAL_MS)
        return;
    m_lastPrune = now;
    for (auto &[task, executors] : m_losses) {
        std::erase_if(executors, [now](const auto &it) {
            return now - it.second > Constants::LOSS_RETENTION_MS;
        });
    }
    std::erase_if(m_losses, [](const auto &it) { return it.second.empty(); });
}

} // namespace Dispatch
