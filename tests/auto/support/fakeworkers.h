// Workers that are shared by several simulated daemons and run tasks on the clock of the test, with
// the faults of real ones.
#pragma once

#include "manualtimers.h"

#include <base/failure.h>
#include <jobs/workerport.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace TestSupport {

/// What happens to one start order.
enum class StartFault {
    None,
    NotSent,    ///< Reported as not sent.
    Refused,    ///< The worker refuses it.
    Lost,       ///< It never arrives; its fate is reported as unknown.
    Delayed,    ///< Its fate is reported as unknown; it arrives after startDelay.
    AnswerLost, ///< It arrives at once; its fate is reported as unknown.
};

struct FakeWorker
{
    bool fencing = true;
    bool reachable = true;   // false: no message arrives, running tasks go on
    bool failsTasks = false; // every task reports an error
    int stopMessages = 0;
    struct Task
    {
        std::string shard;
        Jobs::TaskReport report;
        std::vector<std::function<void()>> ended; // called once when the task ends
    };
    std::map<Jobs::TaskName, Task> tasks;
    std::set<Jobs::TaskName> revoked;
    std::map<std::string, Base::Epoch> fences; // by shard name
};

class FakeWorkers
{
public:
    explicit FakeWorkers(ManualTimers &clockOfTest)
        : clock(clockOfTest)
    {}

    /// The result of a correct run of a task with \a payload.
    static std::string resultOf(const std::string &payload) { return "[" + payload + "]"; }

    int startCount(const Jobs::TaskName &task) const
    {
        const auto it = starts.find(task);
        return it == starts.end() ? 0 : it->second;
    }

    ManualTimers &clock;
    std::map<Base::UpstreamId, FakeWorker> workers;
    std::map<Jobs::TaskName, int> starts;        // over all workers
    std::map<Jobs::TaskName, int> fencingStarts; // on workers that fence
    std::uint64_t staleStarts = 0;               // refused because of a fence
    Base::Duration latency = std::chrono::milliseconds(1);
    Base::Duration runTime = std::chrono::milliseconds(100);
    Base::Duration startTimeout = std::chrono::milliseconds(300);
    Base::Duration startDelay = std::chrono::seconds(3);
    std::function<StartFault(const Jobs::StartOrder &)> chooseStartFault;
    std::function<Base::Duration(const Jobs::StartOrder &)> chooseRunTime;
    std::function<bool()> chooseControlLoss; // of awaits, revokes, stops and fences
};

/// The port of one run of a daemon. Orders travel on the clock of the test, so that they arrive
/// even if the process dies; replies come through the timers of the process.
class FakeWorkerPort : public Jobs::WorkerPort
{
public:
    FakeWorkerPort(FakeWorkers &workers, Base::Timers &timers)
        : m_workers(workers)
        , m_timers(timers)
    {}

    void start(const Base::UpstreamId &upstream, const Jobs::StartOrder &order,
               StartCallback callback) override
    {
        using Jobs::StartFate;
        const StartFault fault =
            m_workers.chooseStartFault ? m_workers.chooseStartFault(order) : StartFault::None;
        if (fault == StartFault::NotSent || fault == StartFault::Refused) {
            const StartFate fate =
                fault == StartFault::NotSent ? StartFate::NotSent : StartFate::Refused;
            reply(m_workers.latency, [=] { callback({fate, {}}); });
            return;
        }
        const bool isAnswered = fault == StartFault::None && m_workers.workers[upstream].reachable;
        if (!isAnswered)
            reply(m_workers.startTimeout, [=] { callback({StartFate::Unknown, {}}); });
        if (fault == StartFault::Lost || !m_workers.workers[upstream].reachable)
            return;
        FakeWorkers *workers = &m_workers;
        workers->clock.schedule(
            fault == StartFault::Delayed ? workers->startDelay : workers->latency,
            [=, this, alive = std::weak_ptr(m_alive)] {
                arrive(*workers, upstream, order, [=, this](const Jobs::StartReply &answer) {
                    if (isAnswered && !alive.expired())
                        reply(workers->latency, [=] { callback(answer); });
                });
            });
    }

    void awaitTask(const Base::UpstreamId &upstream, const Jobs::TaskName &task,
                   Base::Duration wait, ReportsCallback callback) override
    {
        const auto failed = [=] { callback(unreachable(), {}); };
        control(upstream, failed, [=, this](FakeWorker &worker) {
            const auto it = worker.tasks.find(task);
            const auto answer = [=, this, &worker] {
                reply(m_workers.latency, [=, report = reportOf(worker, task)] {
                    callback(absl::OkStatus(), {report});
                });
            };
            if (it == worker.tasks.end() || it->second.report.state != Jobs::TaskState::Running) {
                answer();
                return;
            }
            const auto isAnswered = std::make_shared<bool>(false);
            const auto once = [=, alive = std::weak_ptr(m_alive)] {
                if (!alive.expired() && !std::exchange(*isAnswered, true))
                    answer();
            };
            it->second.ended.emplace_back(once);
            m_workers.clock.schedule(wait, once);
        });
    }

    void revoke(const Base::UpstreamId &upstream, const std::vector<Jobs::TaskName> &tasks,
                ReportsCallback callback) override
    {
        const auto failed = [=] { callback(unreachable(), {}); };
        control(upstream, failed, [=, this](FakeWorker &worker) {
            std::vector<Jobs::TaskReport> reports;
            for (const Jobs::TaskName &it : tasks) {
                if (worker.fencing && !worker.tasks.contains(it))
                    worker.revoked.insert(it);
                reports.push_back(reportOf(worker, it));
            }
            reply(m_workers.latency, [=] { callback(absl::OkStatus(), reports); });
        });
    }

    void stop(const Base::UpstreamId &upstream, const std::vector<Jobs::TaskName> &tasks) override
    {
        control(
            upstream, [] {},
            [=](FakeWorker &worker) {
                ++worker.stopMessages;
                for (const Jobs::TaskName &it : tasks)
                    end(worker, it, Jobs::TaskState::Stopped, {});
            });
    }

    void fence(const Base::UpstreamId &upstream, const Base::ShardId &shard, Base::Epoch epoch,
               FenceCallback callback) override
    {
        const auto failed = [=] { callback(unreachable(), false, {}); };
        control(upstream, failed, [=, this](FakeWorker &worker) {
            const std::string name = Jobs::shardName(shard);
            Base::Epoch &fence = worker.fences[name];
            fence = std::max(fence, epoch);
            std::vector<Jobs::TaskReport> reports;
            for (const auto &[task, it] : worker.tasks) {
                if (it.shard == name)
                    reports.push_back(it.report);
            }
            const bool fences = worker.fencing;
            reply(m_workers.latency, [=] { callback(absl::OkStatus(), fences, reports); });
        });
    }

private:
    static absl::Status unreachable()
    {
        return Base::makeFailure(Base::FailureCode::PeerUnreachable, "fake");
    }

    static Jobs::TaskReport reportOf(const FakeWorker &worker, const Jobs::TaskName &task)
    {
        if (const auto it = worker.tasks.find(task); it != worker.tasks.end())
            return it->second.report;
        return {task,
                worker.revoked.contains(task) ? Jobs::TaskState::NotStarted
                                              : Jobs::TaskState::Unknown,
                {}};
    }

    static void end(FakeWorker &worker, const Jobs::TaskName &task, Jobs::TaskState state,
                    const std::string &result)
    {
        const auto it = worker.tasks.find(task);
        if (it == worker.tasks.end() || it->second.report.state != Jobs::TaskState::Running)
            return;
        it->second.report.state = state;
        it->second.report.result = result;
        for (const auto &call : std::exchange(it->second.ended, {}))
            call();
    }

    static void arrive(FakeWorkers &workers, const Base::UpstreamId &upstream,
                       const Jobs::StartOrder &order,
                       const std::function<void(const Jobs::StartReply &)> &answer)
    {
        using Jobs::StartFate;
        FakeWorker &worker = workers.workers[upstream];
        if (worker.fencing && !order.shard.empty() && worker.fences[order.shard] > order.epoch) {
            ++workers.staleStarts;
            answer({StartFate::StaleEpoch, {}});
            return;
        }
        if (worker.revoked.contains(order.task)) {
            answer({StartFate::Refused, {}});
            return;
        }
        // A repeatable request may be run again; a task of a shard is known by its name.
        if (worker.tasks.contains(order.task)) {
            answer({StartFate::Known, {}});
            return;
        }
        ++workers.starts[order.task];
        if (worker.fencing)
            ++workers.fencingStarts[order.task];
        FakeWorker::Task &task = worker.tasks[order.task];
        task.shard = order.shard;
        task.report = {order.task, Jobs::TaskState::Running, {}};
        task.ended.emplace_back([&worker, answer, name = order.task] {
            answer({StartFate::Ended, reportOf(worker, name)});
        });
        const Base::Duration runTime =
            workers.chooseRunTime ? workers.chooseRunTime(order) : workers.runTime;
        workers.clock.schedule(
            runTime, [&worker, name = order.task, result = FakeWorkers::resultOf(order.payload)] {
                end(worker, name,
                    worker.failsTasks ? Jobs::TaskState::Failed : Jobs::TaskState::Done, result);
            });
    }

    /// Runs \a effect at the worker, unless the message is lost, in which case \a failed is called.
    void control(const Base::UpstreamId &upstream, std::function<void()> failed,
                 std::function<void(FakeWorker &)> effect)
    {
        const bool isLost = m_workers.chooseControlLoss && m_workers.chooseControlLoss();
        FakeWorkers *workers = &m_workers;
        workers->clock.schedule(workers->latency, [=, this, alive = std::weak_ptr(m_alive)] {
            if (alive.expired())
                return;
            FakeWorker &worker = workers->workers[upstream];
            if (isLost || !worker.reachable)
                reply(workers->startTimeout, failed);
            else
                effect(worker);
        });
    }

    void reply(Base::Duration delay, std::function<void()> callback)
    {
        m_timers.schedule(delay, std::move(callback));
    }

    FakeWorkers &m_workers;
    Base::Timers &m_timers;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // expires with the process
};

} // namespace TestSupport
