// Basic types of the dispatch library: jobs, tasks, executors and resources.
#pragma once

#include <base/ids.h>
#include <base/timers.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Dispatch {

using ExecutorId = Base::Id<struct ExecutorIdTag>;
/// Executors that are controlled by one daemon: those of a failure domain, or some of them.
using GroupId = Base::Id<struct GroupIdTag>;
using JobId = Base::Id<struct JobIdTag>;
using QueueId = Base::Id<struct QueueIdTag>;
using ServiceId = Base::Id<struct ServiceIdTag>;

/// Number of a run of a task; increases with each start.
using RunNumber = Base::Number<struct RunNumberTag>;
/// An executor refuses orders whose token is lower than the highest token that it has seen.
using FencingToken = Base::Number<struct FencingTokenTag>;
/// Sequence number of an ended run, within one lifetime of an executor.
using EndSequence = Base::Number<struct EndSequenceTag>;
/// Distinguishes successive incarnations of an executor with the same id.
using Lifetime = Base::Number<struct LifetimeTag>;

struct Resources
{
    std::uint32_t cpuMillis = 0; // thousandths of a core
    std::uint32_t memoryMb = 0;
    std::uint32_t gpus = 0;

    bool operator==(const Resources &) const = default;

    bool fits(const Resources &available) const
    {
        return cpuMillis <= available.cpuMillis && memoryMb <= available.memoryMb
               && gpus <= available.gpus;
    }
    Resources &operator+=(const Resources &other)
    {
        cpuMillis += other.cpuMillis;
        memoryMb += other.memoryMb;
        gpus += other.gpus;
        return *this;
    }
    /// These resources minus \a used; 0 for each resource of which more is used than available.
    Resources minus(const Resources &used) const
    {
        const auto rest = [](std::uint32_t a, std::uint32_t b) { return a > b ? a - b : 0; };
        return {rest(cpuMillis, used.cpuMillis), rest(memoryMb, used.memoryMb),
                rest(gpus, used.gpus)};
    }
    /// Number of tasks that fit into these resources if each needs \a shape.
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

/// Identifies the task in logs.
std::string toString(const TaskId &task);

/// How a run ended.
enum class RunEnd {
    Done,
    Failed,          ///< The task or the executor failed; counts as an attempt.
    Stopped,         ///< By a stop order.
    LeaseExpired,    ///< The executor's lease expired.
    GangMemberEnded, ///< Another member of its gang ended.
    GangIncomplete,  ///< The other members of its gang did not start.
};

/// One step of a job: tasks with the same resource requirements.
struct StepSpec
{
    std::uint32_t count = 0;
    Resources shape;                  // resources needed by one task
    Base::Duration estimate{0};       // estimated run time of one task
    std::vector<std::uint32_t> after; // steps that must be done before this one
    std::string requiredLabel;        // empty: any executor
    std::string preferredRack;        // empty: none
    std::uint32_t maxPerExecutor = 0; // 0: unlimited
};

/// Settings of a job queue in the desired state.
struct QueuePolicy
{
    QueueId queue;
    ServiceId service;
    std::uint32_t priority = 0; // 0 is the highest
    std::uint32_t maxAttempts = 1;
    double stretch = 1;                 // factor applied to the critical path of a job
    Base::Duration targetCompletion{0}; // added to the product; the sum is the objective
    Base::Duration timeout{0};          // of requests on this queue

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
    bool draining = false;            // about to leave; gets no tasks after lastStart
    bool isFromPreviousOwner = false; // known to the last owner only; gets no new tasks
    bool refusesOverload = false;
    Lifetime lifetime; // 0 if not registered
    /// Time until it leaves with notice, when its registration was written; only in the result of
    /// decoding it.
    std::optional<Base::Duration> leavesIn;
    /// The same on the clock of this daemon, or earlier; none if it does not leave.
    std::optional<Base::TimePoint> leavesAt;
    /// If draining: the last time at which an order to start a task may be sent; none if never.
    std::optional<Base::TimePoint> lastStart;

    bool operator==(const ExecutorInfo &) const = default;
};

} // namespace Dispatch
