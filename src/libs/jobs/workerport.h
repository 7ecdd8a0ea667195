// Interface between the jobs library and workers. docs/protocols.md describes its HTTP form.
#pragma once

#include <absl/status/status.h>
#include <base/ids.h>
#include <base/timers.h>

#include <functional>
#include <string>
#include <vector>

namespace Jobs {

/// Name of a task that is unique in the deployment: "<team>/<key>#<index>".
using TaskName = Base::Id<struct TaskNameTag>;

TaskName taskName(const Base::RequestId &request, std::size_t index);

struct StartOrder
{
    TaskName task;
    std::string shard; // "<domain>/<index>", or empty for a repeatable request
    Base::Epoch epoch;
    Base::KindId kind;
    std::string payload;       // JSON
    Base::Duration timeout{0}; // how long to wait for the worker's answer
};

enum class TaskState {
    Unknown,    ///< The worker does not know the task and may still start it.
    NotStarted, ///< The worker has not started the task and never will.
    Running,
    Done,
    Failed,
    Stopped,
};

/// The state of a task as reported by a worker.
struct TaskReport
{
    TaskName task;
    TaskState state = TaskState::Unknown;
    std::string result; // JSON
};

enum class StartFate {
    Ended,      ///< The task has ended; the report contains its result.
    NotSent,    ///< No byte reached the worker.
    Refused,    ///< The worker did not and will not start it for this order.
    StaleEpoch, ///< Refused, because the shard has a newer owner.
    Known,      ///< The worker already has this task from an earlier order.
    Unknown,    ///< The order may have been received.
};

struct StartReply
{
    StartFate fate = StartFate::Unknown;
    TaskReport report;
};

/// Sends orders to workers. Callbacks run on the event loop, never from within the call. A failed
/// status is peerUnreachable, fateUnknown or unservable (the worker lacks the operation).
class WorkerPort
{
public:
    using StartCallback = std::function<void(const StartReply &)>;
    using ReportsCallback =
        std::function<void(const absl::Status &, const std::vector<TaskReport> &)>;
    /// \a fences: from now on the worker refuses starts of older epochs.
    using FenceCallback =
        std::function<void(const absl::Status &, bool fences, const std::vector<TaskReport> &)>;

    virtual ~WorkerPort() = default;

    virtual void start(const Base::UpstreamId &upstream, const StartOrder &order,
                       StartCallback callback) = 0;
    /// Waits up to \a wait for the end of a task, then reports its state, whichever it is.
    virtual void awaitTask(const Base::UpstreamId &upstream, const TaskName &task,
                           Base::Duration wait, ReportsCallback callback) = 0;
    /// Asks the worker never to start the tasks that it has not started.
    virtual void revoke(const Base::UpstreamId &upstream, const std::vector<TaskName> &tasks,
                        ReportsCallback callback) = 0;
    /// Stops running tasks; their start() and awaitTask() callbacks run as usual.
    virtual void stop(const Base::UpstreamId &upstream, const std::vector<TaskName> &tasks) = 0;
    virtual void fence(const Base::UpstreamId &upstream, const Base::ShardId &shard,
                       Base::Epoch epoch, FenceCallback callback) = 0;
};

std::string shardName(const Base::ShardId &shard);

} // namespace Jobs
