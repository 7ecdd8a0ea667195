// Jobs, tasks and executors as the dispatch library sees them.
#pragma once

#include <base/ids.h>
#include <base/timers.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace Dispatch {

using ExecutorId = Base::Id<struct ExecutorIdTag>;
/// Executors that are ordered by one daemon: those of a failure domain, or a part of them.
using GroupId = Base::Id<struct GroupIdTag>;
using JobId = Base::Id<struct JobIdTag>;
using QueueId = Base::Id<struct QueueIdTag>;
using ServiceId = Base::Id<struct ServiceIdTag>;

/// Numbers the starts of a task; rises with each of them.
using RunNumber = Base::Number<struct RunNumberTag>;
/// An executor refuses orders whose token is lower than the highest that it has seen.
using FencingToken = Base::Number<struct FencingTokenTag>;
/// Numbers the ends that one lifetime of an executor lists.
using EndSequence = Base::Number<struct EndSequenceTag>;
/// Distinguishes the lifetimes of one executor id.
using Lifetime = Base::Number<struct LifetimeTag>;

struct Resources
{
    std::uint32_t cpuMillis = 0; // thousandths of a core
    std::uint32_t memoryMb = 0;
    std::uint32_t gpus = 0;

    bool operator==(const Resources &) const = default;

    bool fits(const Resources &room) const
    {
        return cpuMillis <= room.cpuMillis && memoryMb <= room.memoryMb && gpus <= room.gpus;
    }
    Resources &operator+=(const Resources &other)
    {
        cpuMillis += other.cpuMillis;
        memoryMb += other.memoryMb;
        gpus += other.gpus;
        return *this;
    }
    /// What is left after \a used; 0 where more is used than there is.
    Resources minus(const Resources &used) const
    {
        const auto rest = [](std::uint32_t a, std::uint32_t b) { return a > b ? a - b : 0; };
        return {rest(cpuMillis, used.cpuMillis), rest(memoryMb, used.memoryMb),
                rest(gpus, used.gpus)};
    }
    /// How many tasks of \a shape fit into this room.
    std::uint32_t places(const Resources &shape) const;
};

struct TaskId
{
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const TaskId &) const = default; // NOLINT(modernize-use-nullptr)
};

/// Names a task in logs.
std::string toString(const TaskId &task);

/// How a run ended.
enum class RunEnd {
    Done,
    Failed,  ///< Through its own fault or the executor's; counts as an attempt.
    Stopped, ///< On an order.
    Lapsed,  ///< The executor's lease expired.
    Broken,  ///< Another member of its gang ended.
    Alone,   ///< The other members of its gang did not come.
};

/// One step of a job: tasks of one shape.
struct StepSpec
{
    std::uint32_t count = 0;
    Resources shape;                  // of one task
    Base::Duration estimate{0};       // rough run time of one task
    std::vector<std::uint32_t> after; // earlier steps that must be done first
    std::string requiredLabel;        // empty: any executor
    std::string preferredRack;        // empty: none
    std::uint32_t maxPerExecutor = 0; // 0: no bound
};

/// What the desired state says about a queue of jobs.
struct QueuePolicy
{
    QueueId queue;
    ServiceId service;
    std::uint32_t priority = 0; // 0 comes first
    std::uint32_t maxAttempts = 1;
    double stretch = 1;                 // factor on the longest chain of run times
    Base::Duration targetCompletion{0}; // added to it; together they are the objective
    Base::Duration timeout{0};          // how long a request on the queue may take

    bool operator==(const QueuePolicy &) const = default;
};

struct JobSpec
{
    JobId id;
    std::string payload; // passed to every task
    std::vector<StepSpec> steps;
};

/// A registered executor.
struct ExecutorInfo
{
    ExecutorId id;
    std::string address; // host:port
    Base::FailureDomainId domain;
    ServiceId service;
    Resources capacity;
    std::string kind;
    std::string rack;
    bool draining = false; // leaves soon and takes no new work
    bool refusesOverload = false;
    Lifetime lifetime; // 0 if not registered

    bool operator==(const ExecutorInfo &) const = default;
};

} // namespace Dispatch
