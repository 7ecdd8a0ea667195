// Drives the scheduler with arrivals, starts and results on the virtual clock.
#include "experiment.h"

#include "virtualtimers.h"

#include <scheduling/queuescheduler.h>
#include <scheduling/retrybudget.h>

#include <unordered_map>

namespace SchedulingBench {

using namespace std::chrono_literals;
using namespace Scheduling;

/// In-domain round trips are below 1 ms.
static constexpr Base::Duration ONE_WAY_DELAY = 250us;
static constexpr Base::Duration TIME_TO_FAIL = 5ms;

static double toMs(Base::Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

static Base::Duration fromMs(double ms)
{
    return std::chrono::nanoseconds(static_cast<std::int64_t>(ms * 1e6));
}

namespace {

class Experiment : public TaskStarter
{
public:
    Experiment(const Workload &workload, std::unique_ptr<PlacementPolicy> policy)
        : m_workload(workload)
        , m_scheduler(m_timers, *this, std::move(policy))
        , m_start(m_timers.now())
        , m_pending(workload.requests.size())
    {
        m_scheduler.setManifest(workload.manifest);
        std::map<Base::UpstreamId, UpstreamAvailability> availability;
        for (const auto &[id, upstream] : workload.manifest.upstreams)
            availability[id] = {upstream.slots, false};
        m_scheduler.setAvailability(availability);
        for (std::size_t i = 0; i < workload.upstreams.size(); ++i)
            m_upstreamIndex[Base::UpstreamId("u" + std::to_string(i))] = i;
        m_result.answers.resize(workload.requests.size());
    }

    RunResult run()
    {
        scheduleArrival(0);
        m_timers.runUntil(m_start + Workload::RUN_S);
        return std::move(m_result);
    }

    void startTask(TaskHandle handle, const Base::UpstreamId &id) override
    {
        const Task &task = m_tasks.at(handle);
        const Upstream &upstream = m_workload.upstreams[m_upstreamIndex.at(id)];
        const Base::Duration time = m_timers.now() - m_start + ONE_WAY_DELAY;
        const double workMs = m_workload.requests[task.request].workMs[task.index];
        const Base::Duration run =
            upstream.fails ? TIME_TO_FAIL : fromMs(workMs / upstream.speedAt(time));
        const TaskResult result = upstream.fails ? TaskResult::Failed : TaskResult::Succeeded;
        m_timers.schedule(run + 2 * ONE_WAY_DELAY,
                          [this, handle, result, run, id] { finish(handle, result, run, id); });
    }

private:
    struct Task
    {
        std::size_t request = 0;
        std::size_t index = 0;
    };
    struct PendingRequest
    {
        std::size_t left = 0;
        std::vector<TaskHandle> handles;
        std::vector<Base::UpstreamId> excluded; // single requests only
    };

    void scheduleArrival(std::size_t index)
    {
        if (index >= m_workload.requests.size())
            return;
        const Base::TimePoint at = m_start + m_workload.requests[index].arrival;
        m_timers.schedule(at - m_timers.now(), [this, index] {
            arrive(index);
            scheduleArrival(index + 1);
        });
    }

    void arrive(std::size_t index)
    {
        const Request &request = m_workload.requests[index];
        const Base::TeamId team("team" + std::to_string(request.team));
        const Base::KindId kind(request.single ? "single" : "job");
        const Base::TimePoint deadline = m_timers.now() + request.deadline;
        const auto n = static_cast<std::uint32_t>(request.workMs.size());
        if (!m_scheduler.admit({team, kind, n, deadline}).status.ok()) {
            m_result.answers[index].outcome = Outcome::Refused;
            return;
        }
        PendingRequest &pending = m_pending[index];
        pending.left = n;
        m_timers.schedule(request.deadline, [this, index] {
            if (m_pending[index].left > 0)
                end(index, Outcome::Late);
        });
        for (std::size_t i = 0; i < n; ++i)
            enqueue(index, i);
    }

    void enqueue(std::size_t index, std::size_t task)
    {
        const Request &request = m_workload.requests[index];
        m_lastHandle = m_lastHandle.next();
        m_tasks[m_lastHandle] = {index, task};
        m_pending[index].handles.push_back(m_lastHandle);
        m_scheduler.enqueue({m_lastHandle, Base::TeamId("team" + std::to_string(request.team)),
                             Base::KindId(request.single ? "single" : "job"), request.single,
                             m_start + request.arrival + request.deadline,
                             m_pending[index].excluded});
    }

    void finish(TaskHandle handle, TaskResult result, Base::Duration run,
                const Base::UpstreamId &upstream)
    {
        const Task task = m_tasks.at(handle);
        m_tasks.erase(handle);
        m_scheduler.taskFinished(handle, result, run);
        PendingRequest &pending = m_pending[task.request];
        if (pending.left == 0)
            return; // failed or late before
        if (result == TaskResult::Succeeded) {
            m_retries.taskSucceeded();
            if (--pending.left == 0)
                answer(task.request, Outcome::Complete);
            return;
        }
        const bool single = m_workload.requests[task.request].single;
        if (single && m_retries.tryRetry(m_timers.now())) {
            pending.excluded.push_back(upstream);
            enqueue(task.request, task.index);
        } else {
            end(task.request, Outcome::Failed);
        }
    }

    void end(std::size_t index, Outcome outcome)
    {
        PendingRequest &pending = m_pending[index];
        pending.left = 0;
        for (const TaskHandle it : pending.handles) {
            if (m_scheduler.withdraw(it))
                m_tasks.erase(it);
        }
        answer(index, outcome);
    }

    void answer(std::size_t index, Outcome outcome)
    {
        const Base::Duration response =
            m_timers.now() - m_start - m_workload.requests[index].arrival;
        m_result.answers[index] = {outcome, toMs(response)};
    }

    const Workload &m_workload;
    VirtualTimers m_timers;
    QueueScheduler m_scheduler;
    RetryBudget m_retries{0.1, 10, 100};
    const Base::TimePoint m_start;
    std::vector<PendingRequest> m_pending;
    std::map<Base::UpstreamId, std::size_t> m_upstreamIndex;
    std::unordered_map<TaskHandle, Task> m_tasks;
    TaskHandle m_lastHandle;
    RunResult m_result;
};

} // namespace

RunResult runScheduler(const Workload &workload, std::unique_ptr<PlacementPolicy> policy)
{
    return Experiment(workload, std::move(policy)).run();
}

} // namespace SchedulingBench
