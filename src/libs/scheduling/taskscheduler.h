// Interface between the parts that hold requests and the part that decides which task starts next
// and where. The scheduler does no I/O: it tells a TaskStarter what to start.
#pragma once

#include <absl/status/status.h>
#include <base/ids.h>
#include <base/timers.h>
#include <manifest/manifest.h>

#include <cstdint>
#include <map>
#include <vector>

namespace Scheduling {

/// Chosen by the holder of the task; unique among the tasks that the scheduler knows.
using TaskHandle = Base::Number<struct TaskHandleTag>;

/// A task that waits for a slot.
struct TaskDescription
{
    TaskHandle handle;
    Base::TeamId team;
    Base::KindId kind;
    bool single = false; // a person waits for it; the tasks of jobs come after singles
    Base::TimePoint deadline;
    std::vector<Base::UpstreamId> excluded; // upstreams that refused it before
};

/// What became of a started task.
enum class TaskResult {
    Succeeded,
    Failed,    ///< It ran and reported an error.
    Refused,   ///< The upstream certainly did not and will not start it.
    Lost,      ///< Its fate can't be established.
    Cancelled, ///< It was stopped on the caller's request.
};

/// Receives the scheduler's decisions. Called on the loop, possibly from within enqueue() and
/// taskFinished().
class TaskStarter
{
public:
    virtual ~TaskStarter() = default;

    virtual void startTask(TaskHandle task, const Base::UpstreamId &upstream) = 0;
};

/// What the scheduler may use of one upstream now.
struct UpstreamAvailability
{
    std::uint32_t slots = 0; // this daemon's share
    bool leaving = false;    // takes no new work

    bool operator==(const UpstreamAvailability &) const = default;
};

/// A request that asks for admission.
struct AdmissionRequest
{
    Base::TeamId team;
    Base::KindId kind;
    std::uint32_t taskCount = 0;
    Base::TimePoint deadline;
};

/// The verdict on a request. If \a status is not OK the request must be refused as not run.
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

    /// Sets the kinds, teams and upstreams in force. Tasks that wait or run stay known.
    virtual void setManifest(const Manifest::Manifest &manifest) = 0;
    /// Sets the shares of upstreams; upstreams that are missing have no slots for this daemon.
    virtual void
    setAvailability(const std::map<Base::UpstreamId, UpstreamAvailability> &availability) = 0;

    virtual Admission admit(const AdmissionRequest &request) const = 0;
    virtual void enqueue(TaskDescription task) = 0;
    /// Removes a task that still waits. Returns false if it has been started or is unknown.
    virtual bool withdraw(TaskHandle task) = 0;
    /// Reports the end of a started task, which frees its slot.
    virtual void taskFinished(TaskHandle task, TaskResult result, Base::Duration runTime) = 0;

    virtual std::size_t queuedCount() const = 0;
    virtual std::size_t startedCount() const = 0;
};

} // namespace Scheduling
