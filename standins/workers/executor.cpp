// Behaviour of one executor.
#include "executor.h"

#include <utility>

namespace WorkerStandin {

using nlohmann::json;

const char *taskStateName(TaskState state)
{
    switch (state) {
    case TaskState::Running:
        return "running";
    case TaskState::Done:
        return "done";
    case TaskState::Failed:
        return "failed";
    case TaskState::Stopped:
        return "stopped";
    case TaskState::Revoked:
        return "notStarted";
    }
    return "unknown";
}

Executor::Executor(Base::Timers &timers, Base::UpstreamId id, std::uint32_t slots, double speed,
                   bool fencing)
    : m_timers(timers)
    , m_id(std::move(id))
    , m_slots(slots)
    , m_speed(speed)
    , m_isFencing(fencing)
{}

StartResult Executor::start(const std::string &name, const json &startRequest,
                            std::function<void()> onEnded)
{
    ++counts.start;
    const std::string shard = startRequest.value("shard", "");
    const std::uint64_t epoch = startRequest.value("epoch", std::uint64_t(0));
    const auto refuse = [this](const char *reason) {
        ++counts.refusedStart;
        return StartResult{false, reason};
    };
    if (faults.refuseAll)
        return refuse("refused");
    if (m_isFencing) {
        if (const auto it = m_fencedEpochs.find(shard);
            it != m_fencedEpochs.end() && epoch < it->second)
            return refuse("staleEpoch");
        if (const auto it = m_tasks.find(name); it != m_tasks.end()) {
            if (it->second.state == TaskState::Revoked)
                return refuse("revoked");
            ++counts.duplicateStart;
            return refuse("known");
        }
    }
    if (m_running >= m_slots)
        return refuse("busy");
    ++m_running;
    Task &task = m_tasks[name];
    task.shard = shard;
    task.epoch = epoch;
    task.state = TaskState::Running;
    ++task.starts;
    task.waiters.push_back(std::move(onEnded));
    const json payload = startRequest.value("payload", json::object());
    const double runMs = payload.is_object() ? payload.value("runMs", 50.0) : 50.0;
    const bool fails = faults.failAll || (payload.is_object() && payload.value("fail", false));
    const std::chrono::duration<double, std::milli> runTime(runMs * faults.slowdown / m_speed);
    task.timer = m_timers.schedule(
        std::chrono::duration_cast<Base::Duration>(runTime), [this, name, payload, fails] {
            if (fails)
                end(name, TaskState::Failed, {{"message", "the task reported an error"}});
            else
                end(name, TaskState::Done, {{"echo", payload}, {"upstream", m_id.value()}});
        });
    return {true, ""};
}

void Executor::end(const std::string &name, TaskState state, json result)
{
    Task &task = m_tasks[name];
    task.state = state;
    task.result = std::move(result);
    --m_running;
    const std::vector<std::function<void()>> waiters = std::exchange(task.waiters, {});
    for (const auto &it : waiters)
        it();
}

bool Executor::awaitTask(const std::string &name, std::function<void()> onEnded)
{
    const auto it = m_tasks.find(name);
    if (it == m_tasks.end())
        return false;
    if (it->second.state != TaskState::Running)
        onEnded();
    else
        it->second.waiters.push_back(std::move(onEnded));
    return true;
}

void Executor::revoke(const std::string &name)
{
    if (!m_tasks.contains(name))
        m_tasks[name].state = TaskState::Revoked;
}

bool Executor::stop(const std::string &name)
{
    const auto it = m_tasks.find(name);
    if (it == m_tasks.end()) {
        m_tasks[name].state = TaskState::Revoked;
        return false;
    }
    if (it->second.state != TaskState::Running)
        return false;
    m_timers.cancel(it->second.timer);
    end(name, TaskState::Stopped, {{"message", "stopped on request"}});
    return true;
}

std::vector<std::string> Executor::fence(const std::string &shard, std::uint64_t epoch)
{
    std::uint64_t &fenced = m_fencedEpochs[shard];
    fenced = std::max(fenced, epoch);
    std::vector<std::string> names;
    for (const auto &[name, task] : m_tasks) {
        if (task.shard == shard)
            names.push_back(name);
    }
    return names;
}

json Executor::report(const std::string &name) const
{
    const auto it = m_tasks.find(name);
    if (it == m_tasks.end())
        return {{"task", name}, {"state", "unknown"}};
    return {
        {"task", name}, {"state", taskStateName(it->second.state)}, {"result", it->second.result}};
}

json Executor::audit() const
{
    json tasks = json::array();
    for (const auto &[name, task] : m_tasks) {
        tasks.push_back({{"task", name},
                         {"state", taskStateName(task.state)},
                         {"starts", task.starts},
                         {"epoch", task.epoch}});
    }
    return {{"upstream", m_id.value()},
            {"tasks", tasks},
            {"messages",
             {{"start", counts.start},
              {"query", counts.query},
              {"revoke", counts.revoke},
              {"stop", counts.stop},
              {"fence", counts.fence},
              {"refusedStart", counts.refusedStart},
              {"duplicateStart", counts.duplicateStart},
              {"uselessStop", counts.uselessStop}}}};
}

} // namespace WorkerStandin
