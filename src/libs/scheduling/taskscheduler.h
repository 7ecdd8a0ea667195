// Interface of the scheduler, which decides which task starts next and where. The scheduler does no
// I/O; it tells a TaskStarter what to start.
#pragma once

#include <absl/status/status.h>
#include <base/ids.h>
#include <base/timers.h>
#include <manifest/manifest.h>

#include <cstdint>
#include <map>
#include <vector>

namespace Scheduling {

/// Chosen by the caller; unique among the queued and running tasks of the scheduler.
using TaskHandle = Base::Number<struct TaskHandleTag>;

/// A task to be queued.
struct TaskDescription
{
    TaskHandle handle;
    Base::TeamId team;
    Base::KindId kind;
    bool single = false; // interactive; starts before the tasks of jobs
    Base::TimePoint deadline;
    std::vector<Base::UpstreamId> excluded; // upstreams that refused the task before
};

/// Outcome of a started task.
enum class TaskResult {
    Succeeded,
    Failed,    ///< It ran and reported an error.
    Refused,   ///< The upstream certainly did not and will not start it.
    Lost,      ///< Its outcome is unknown.
    Cancelled, ///< It was stopped on the caller's request.
};

/// Receives the decisions of the scheduler. Called on the event loop, possibly from within
/// enqueue() and taskFinished().
class TaskStarter
{
public:
    virtual ~TaskStarter() = default;

    virtual void startTask(TaskHandle task, const Base::UpstreamId &upstream) = 0;
};

/// The part of one upstream that this daemon may use at present.
struct UpstreamAvailability
{
    std::uint32_t slots = 0; // this daemon's share
    bool leaving = false;    // takes no new work

    bool operator==(const UpstreamAvailability &) const = default;
};

/// A request to be admitted or refused.
struct AdmissionRequest
{
    Base::TeamId team;
    Base::KindId kind;
    std::uint32_t taskCount = 0;
    Base::TimePoint deadline;
};

/// Result of an admission check. If \a status is not OK, the request must be refused as not run.
struct Admission
{
    absl::Status status; // overloaded, quotaExceeded, deadlineImpossible, unservable
    Base::Duration retryAfter{0};
    Base::Duration expectedResponse{0};
};

class TaskScheduler
{
public:
    virtual ~TaskScheduler() = default;

    /// Sets the kinds, teams and upstreams. Queued and running tasks are kept.
    virtual void setManifest(const Manifest::Manifest &manifest) = 0;
    /// Sets this daemon's shares of the upstreams. It has no slots on upstreams that are missing.
    virtual void
    setAvailability(const std::map<Base::UpstreamId, UpstreamAvailability> &availability) = 0;

    virtual Admission admit(const AdmissionRequest &request) const = 0;
    virtual void enqueue(TaskDescription task) = 0;
    /// Removes a queued task. Returns false if the task was started or is unknown.
    virtual bool withdraw(TaskHandle task) = 0;
    /// Reports the end of a started task, which frees its slot.
    virtual void taskFinished(TaskHandle task, TaskResult result, Base::Duration runTime) = 0;

    virtual std::size_t queuedCount() const = 0;
    virtual std::size_t startedCount() const = 0;
};

} // namespace Scheduling
