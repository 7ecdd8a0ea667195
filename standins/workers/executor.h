// A simulated executor with its slots, its speed and the tasks that it was asked to run.
#pragma once

#include <base/ids.h>
#include <base/timers.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace WorkerStandin {

enum class TaskState { Running, Done, Failed, Stopped, Revoked };

const char *taskStateName(TaskState state);

/// An executor's record of a task.
struct Task
{
    TaskState state = TaskState::Running;
    std::string shard;
    std::uint64_t epoch = 0;
    std::uint32_t starts = 0; // more than one is a double start
    nlohmann::json result;
    Base::TimerId timer;
    std::vector<std::function<void()>> waiters; // called at the end of the task
};

/// Received messages by type, and how many of them had no effect.
struct MessageCounts
{
    std::uint64_t start = 0;
    std::uint64_t query = 0;
    std::uint64_t revoke = 0;
    std::uint64_t stop = 0;
    std::uint64_t fence = 0;
    std::uint64_t refusedStart = 0;
    std::uint64_t duplicateStart = 0;
    std::uint64_t uselessStop = 0; // none of its tasks was running
};

/// Faults injected into one executor through the control interface.
struct Faults
{
    bool refuseAll = false;
    bool failAll = false;
    bool silent = false;               // runs tasks but never responds
    double slowdown = 1;               // factor on run times
    std::uint32_t responsesToDrop = 0; // the next starts run without a response
    std::chrono::milliseconds responseDelay{0};
    std::chrono::milliseconds receiveDelay{0}; // before a start is processed
};

struct StartResult
{
    bool accepted = false;
    std::string reason; // busy, staleEpoch, revoked, known, refused
};

/// One executor. Runs on the event loop of the process.
class Executor
{
public:
    Executor(Base::Timers &timers, Base::UpstreamId id, std::uint32_t slots, double speed,
             bool fencing);

    StartResult start(const std::string &name, const nlohmann::json &startRequest,
                      std::function<void()> onEnded);
    /// Calls \a onEnded at the end of the task, at once if it is over. Returns false if the task is
    /// unknown.
    bool awaitTask(const std::string &name, std::function<void()> onEnded);
    /// Prevents a task that has not been started from being started later.
    void revoke(const std::string &name);
    /// Returns whether the task was running.
    bool stop(const std::string &name);
    std::vector<std::string> fence(const std::string &shard, std::uint64_t epoch);

    nlohmann::json report(const std::string &name) const;
    nlohmann::json audit() const;

    const Base::UpstreamId &id() const { return m_id; }
    bool isFencing() const { return m_isFencing; }
    std::uint32_t freeSlots() const { return m_slots - m_running; }

    Faults faults;
    MessageCounts counts;

private:
    void end(const std::string &name, TaskState state, nlohmann::json result);

    Base::Timers &m_timers;
    Base::UpstreamId m_id;
    std::uint32_t m_slots;
    double m_speed;
    bool m_isFencing;
    std::uint32_t m_running = 0; // at most m_slots
    std::map<std::string, Task> m_tasks;
    std::map<std::string, std::uint64_t> m_fencedEpochs; // shard to the lowest epoch accepted
};

} // namespace WorkerStandin
