// Executors played by one process: each has slots, a speed and the tasks that it was asked to run.
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

/// A task as its executor remembers it.
struct Task
{
    TaskState state = TaskState::Running;
    std::string shard;
    std::uint64_t epoch = 0;
    std::uint32_t starts = 0; // more than one is a double start
    nlohmann::json result;
    Base::TimerId timer;
    std::vector<std::function<void()>> waiters; // called when the task ends
};

/// Messages by what they were for, and those that served no answer.
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

/// Faults of one executor, set by the control interface.
struct Faults
{
    bool refuseAll = false;
    bool failAll = false;
    bool silent = false;             // receives and runs, never answers
    double slowdown = 1;             // factor on run times
    std::uint32_t answersToLose = 0; // the next starts run and stay unanswered
    std::chrono::milliseconds answerDelay{0};
    std::chrono::milliseconds receiveDelay{0}; // before a start is looked at
};

struct StartVerdict
{
    bool accepted = false;
    std::string reason; // busy, staleEpoch, revoked, known, refused
};

/// One executor. Lives on the process's loop.
class Executor
{
public:
    Executor(Base::Timers &timers, Base::UpstreamId id, std::uint32_t slots, double speed,
             bool fencing);

    StartVerdict start(const std::string &name, const nlohmann::json &order,
                       std::function<void()> ended);
    /// Calls \a ended when the task has ended, at once if it has; returns false if it is unknown.
    bool awaitTask(const std::string &name, std::function<void()> ended);
    /// Makes sure that a task that was not started never will be.
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
