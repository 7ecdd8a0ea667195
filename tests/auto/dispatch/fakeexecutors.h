// Simulates executors as the platform specifies them: tokens, leases, listings, and orders that are
// lost, carried out late, or answered out of order. Checks the invariants of an executor.
#pragma once

#include <dispatch/executorport.h>
#include <support/manualtimers.h>

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace DispatchTest {

using namespace Dispatch;
using namespace std::chrono_literals;
using TestSupport::ManualTimers;

/// How an order and its answer are delivered.
struct OrderDelivery
{
    Base::Duration requestDelay{200us};
    Base::Duration answerDelay{200us};
    bool isLost = false; // never arrives
    bool isAnswerLost = false;
    Base::Duration lateBy{0}; // carried out this much later, and not answered
};

class FakeExecutors
{
public:
    static constexpr std::size_t BUDGET_CRASHES = 3;
    static constexpr std::chrono::milliseconds FATAL_RUN_TIME{10};
    static constexpr std::chrono::milliseconds RESTART_TIME{3000};
    static constexpr std::chrono::milliseconds RESIZE_GRACE{1000};

    explicit FakeExecutors(ManualTimers &clock)
        : m_clock(clock)
    {}

    struct ActiveRun
    {
        RunNumber number;
        Resources shape;
        bool isStopping = false;
        std::uint64_t id = 0;
    };

    struct Executor
    {
        ExecutorInfo info;
        bool isUp = true;
        Resources limit; // runs that start must not exceed it
        FencingToken token;
        Base::TimePoint leaseEnd;
        std::map<TaskId, ActiveRun> runs;
        std::map<TaskId, RunNumber> refusedUpTo;
        std::vector<ListedEnd> ended;
        std::uint64_t lastEnd = 0;
        Base::Duration clockOffset{0};
        double clockRate = 1;
        std::vector<std::pair<EndSequence, std::function<void()>>> waitingHolds;
        // By daemon: ends its waiting hold without an answer.
        std::map<std::string, std::function<void()>> breakHold;
    };

    void add(const ExecutorInfo &info)
    {
        Executor executor;
        executor.info = info;
        executor.limit = info.capacity;
        executor.clockOffset = std::chrono::milliseconds(1000 * (m_executors.size() + 1));
        m_executors.emplace(info.id, executor);
    }

    std::vector<ExecutorInfo> infos() const
    {
        std::vector<ExecutorInfo> list;
        for (const auto &[id, executor] : m_executors) {
            if (executor.isUp)
                list.push_back(executor.info);
        }
        return list;
    }

    Executor &at(const ExecutorId &id) { return m_executors.at(id); }
    const Executor &at(const ExecutorId &id) const { return m_executors.at(id); }

    void crash(const ExecutorId &id)
    {
        Executor &executor = at(id);
        executor.isUp = false;
        for (const auto &[task, run] : executor.runs)
            m_running.erase(run.id);
        executor.runs.clear();
        if (isCrashNoticed)
            breakConnections(id);
    }

    /// Resets the connections of the executor on which a hold waits.
    void breakConnections(const ExecutorId &id)
    {
        for (const auto &[daemon, breakHold] : std::exchange(at(id).breakHold, {}))
            m_clock.schedule(1ms, breakHold);
    }

    /// Restarts the executor under the same id, with its state lost.
    void restart(const ExecutorId &id)
    {
        crash(id);
        Executor &executor = at(id);
        const ExecutorInfo info = executor.info;
        const double clockRate = executor.clockRate;
        executor = {};
        executor.info = info;
        executor.clockRate = clockRate;
        executor.info.lifetime = info.lifetime.next();
        executor.limit = info.capacity;
        executor.clockOffset = std::chrono::milliseconds(7);
    }

    /// Changes the capacity. Starts may exceed a smaller one for \a grace.
    void resize(const ExecutorId &id, const Resources &capacity,
                Base::Duration grace = RESIZE_GRACE)
    {
        Executor &executor = at(id);
        executor.info.capacity = capacity;
        if (executor.limit.fits(capacity)) {
            executor.limit = capacity;
            return;
        }
        m_clock.schedule(grace, [this, id, capacity] {
            if (at(id).info.capacity == capacity)
                at(id).limit = capacity;
        });
    }

    bool isReachable(const std::string &daemon, const ExecutorId &id) const
    {
        return m_executors.at(id).isUp && !partitioned.contains({daemon, id});
    }

    std::int64_t clockOf(const Executor &executor) const
    {
        const auto passed = std::chrono::duration_cast<Base::Duration>(
            m_clock.now().time_since_epoch() * executor.clockRate);
        return Base::toMilliseconds(passed + executor.clockOffset);
    }

    /// Whether a task of the job has failed \a maxAttempts times.
    bool mayFail(const JobId &job, std::uint32_t maxAttempts) const
    {
        return std::any_of(failedRuns.begin(), failedRuns.end(), [&](const auto &it) {
            return it.first.job == job && it.second >= maxAttempts;
        });
    }

    /// From now on the executor's clock advances at \a rate.
    void setClockRate(const ExecutorId &id, double rate)
    {
        Executor &executor = at(id);
        executor.clockOffset += std::chrono::duration_cast<Base::Duration>(
            m_clock.now().time_since_epoch() * (executor.clockRate - rate));
        executor.clockRate = rate;
    }

    /// A lease that is sent now must not last longer than LEASE_MS by the executor's clock, however
    /// old the sender's reading of that clock is.
    void checkLeaseEnd(const ExecutorInfo &info, const std::optional<ExecutorTime> &leaseEnd)
    {
        const Executor &executor = at(info.id);
        const bool isKnownLifetime = executor.isUp && executor.info.lifetime == info.lifetime;
        if (!leaseEnd || !isKnownLifetime)
            return;
        const std::int64_t excess = leaseEnd->count() - clockOf(executor) - 1000;
        if (excess > 0)
            violate(fmt::format("lease of {} is {} ms too long", info.id.value(), excess));
    }

    void violate(const std::string &what)
    {
        if (violation.empty())
            violation = what;
    }

    std::optional<OrderResult> checkToken(Executor &executor, FencingToken token)
    {
        OrderResult result;
        result.clock = ExecutorTime(clockOf(executor));
        if (token < executor.token) {
            result.outcome = OrderOutcome::Refused;
            result.refusal = RefusalReason::Fenced;
            return result;
        }
        executor.token = token;
        return std::nullopt;
    }

    void extendLease(Executor &executor, const std::optional<ExecutorTime> &leaseEnd)
    {
        if (!leaseEnd)
            return;
        const std::int64_t now = clockOf(executor);
        const std::int64_t end = std::min<std::int64_t>(leaseEnd->count(), now + 1000);
        if (end <= now)
            return;
        const Base::TimePoint until =
            m_clock.now()
            + std::chrono::duration_cast<Base::Duration>(std::chrono::milliseconds(end - now)
                                                         / executor.clockRate);
        if (until <= executor.leaseEnd)
            return;
        executor.leaseEnd = until;
        m_clock.schedule(until - m_clock.now(), [this, id = executor.info.id, until] {
            Executor &it = at(id);
            if (it.leaseEnd == until) {
                for (const auto &[task, run] : std::map(it.runs))
                    endRun(it, task, RunEnd::LeaseExpired);
            }
        });
    }

    void endRun(Executor &executor, const TaskId &task, RunEnd end)
    {
        const auto it = executor.runs.find(task);
        if (it == executor.runs.end())
            return;
        const RunNumber number = it->second.number;
        m_running.erase(it->second.id);
        executor.runs.erase(it);
        executor.refusedUpTo[task] = std::max(executor.refusedUpTo[task], number);
        executor.ended.push_back({EndSequence(++executor.lastEnd), task, number, end});
        ++endCounts[end];
        if (end == RunEnd::Failed)
            ++failedRuns[task];
        for (auto &[seen, answer] : std::exchange(executor.waitingHolds, {}))
            answer();
    }

    OrderResult start(Executor &executor, const StartOrder &order)
    {
        if (auto refused = checkToken(executor, order.token))
            return *refused;
        OrderResult result;
        result.clock = ExecutorTime(clockOf(executor));
        result.outcome = OrderOutcome::Refused;
        const auto running = executor.runs.find(order.task);
        if (running != executor.runs.end() && running->second.number == order.run) {
            result.outcome = OrderOutcome::Accepted;
            return result;
        }
        const auto refusedUpTo = executor.refusedUpTo.find(order.task);
        if (refusedUpTo != executor.refusedUpTo.end() && order.run <= refusedUpTo->second) {
            extendLease(executor, order.leaseEnd);
            result.refusal = RefusalReason::OldRun;
            return result;
        }
        if (!order.leaseEnd || order.leaseEnd->count() <= clockOf(executor)) {
            result.refusal = RefusalReason::LeaseExpired;
            return result;
        }
        if (isMalformed(order)) {
            ++malformedCount;
            result.refusal = RefusalReason::Other;
            return result;
        }
        if (running != executor.runs.end())
            violate("two runs of a task on one executor: " + toString(order.task));
        extendLease(executor, order.leaseEnd);
        ActiveRun run;
        run.number = order.run;
        run.shape = shapeOf(order);
        run.id = ++m_lastRunId;
        Resources used = run.shape;
        for (const auto &[task, other] : executor.runs)
            used += other.shape;
        if (!used.fits(executor.limit)) {
            std::string what =
                "over capacity: " + executor.info.id.value() + " " + toString(order.task);
            for (const auto &[task, other] : executor.runs)
                what += " " + toString(task) + (other.isStopping ? " (stopping)" : "");
            violate(what);
        }
        for (const auto &[id, other] : m_running) {
            if (other == order.task)
                violate("two runs at one time: " + toString(order.task));
        }
        m_running.emplace(run.id, order.task);
        if (crashedBy[order.task].size() >= BUDGET_CRASHES)
            ++startsBeyondBudget[order.task];
        started.insert(order.task.job);
        ++startsOf[order.task.job];
        ++startCount;
        executor.runs.emplace(order.task, run);
        const auto [duration, end] = chooseRun(order, executor.info);
        m_clock.schedule(
            duration, [this, id = executor.info.id, task = order.task, runId = run.id, how = end] {
                Executor &it = at(id);
                const auto active = it.runs.find(task);
                if (active != it.runs.end() && active->second.id == runId
                    && !active->second.isStopping) {
                    endRun(it, task, how);
                }
            });
        if (isFatal(order))
            scheduleCrash(executor.info.id, order.task, run.id);
        result.outcome = OrderOutcome::Accepted;
        return result;
    }

    /// Crashes the executor by its run \a runId, and restarts it.
    void scheduleCrash(const ExecutorId &id, const TaskId &task, std::uint64_t runId)
    {
        m_clock.schedule(FATAL_RUN_TIME, [this, id, task, runId] {
            const auto active = at(id).runs.find(task);
            if (active == at(id).runs.end() || active->second.id != runId)
                return;
            crashedBy[task].insert({id, at(id).info.lifetime});
            crash(id);
            m_clock.schedule(RESTART_TIME, [this, id] {
                if (!at(id).isUp)
                    restart(id);
            });
        });
    }

    OrderResult stop(Executor &executor, const StopOrder &order)
    {
        if (auto refused = checkToken(executor, order.token))
            return *refused;
        OrderResult result;
        result.clock = ExecutorTime(clockOf(executor));
        result.outcome = OrderOutcome::Accepted;
        const auto running = executor.runs.find(order.task);
        if (running != executor.runs.end() && running->second.number <= order.run) {
            running->second.isStopping = true;
            m_clock.schedule(
                30ms, [this, id = executor.info.id, task = order.task, runId = running->second.id] {
                    Executor &it = at(id);
                    const auto active = it.runs.find(task);
                    if (active != it.runs.end() && active->second.id == runId)
                        endRun(it, task, RunEnd::Stopped);
                });
            return result;
        }
        executor.refusedUpTo[order.task] = std::max(executor.refusedUpTo[order.task], order.run);
        return result;
    }

    HoldResult list(Executor &executor) const
    {
        HoldResult result;
        result.order.outcome = OrderOutcome::Accepted;
        result.order.clock = ExecutorTime(clockOf(executor));
        result.lifetime = executor.info.lifetime;
        for (const auto &[task, run] : executor.runs)
            result.running.push_back({task, run.number});
        result.ended = executor.ended;
        return result;
    }

    ManualTimers &m_clock;
    /// Pairs of daemon and executor that cannot reach each other.
    std::set<std::pair<std::string, ExecutorId>> partitioned;
    std::function<OrderDelivery()> chooseDelivery = [] { return OrderDelivery(); };
    std::function<Resources(const StartOrder &)> shapeOf;
    std::function<std::pair<Base::Duration, RunEnd>(const StartOrder &, const ExecutorInfo &)>
        chooseRun = [](const StartOrder &, const ExecutorInfo &) {
            return std::pair<Base::Duration, RunEnd>(60ms, RunEnd::Done);
        };
    /// Connections break when an executor crashes. Otherwise its silence shows that.
    bool isCrashNoticed = false;
    /// Starts and stops reach only the lifetime that they are meant for, see ExecutorPort.
    /// Otherwise they reach whichever is up.
    bool areOrdersBound = false;
    /// Whether orders use all connections to an executor.
    std::function<bool()> areConnectionsBusy = [] { return false; };
    /// Whether the task crashes its executor.
    std::function<bool(const StartOrder &)> isFatal = [](const StartOrder &) { return false; };
    /// Whether executors refuse to start the task for its order.
    std::function<bool(const StartOrder &)> isMalformed = [](const StartOrder &) { return false; };
    int malformedCount = 0; // refused for that reason
    /// Executors that crashed under each task.
    std::map<TaskId, std::set<std::pair<ExecutorId, Lifetime>>> crashedBy;
    /// Runs of each task that ended as failed.
    std::map<TaskId, std::uint32_t> failedRuns;
    /// Starts of each task after BUDGET_CRASHES executors had crashed under it.
    std::map<TaskId, int> startsBeyondBudget;
    std::set<JobId> started;
    std::map<JobId, int> startsOf;
    std::uint64_t startCount = 0;
    std::map<RunEnd, std::uint64_t> endCounts;
    std::string violation;

private:
    std::map<ExecutorId, Executor> m_executors;
    std::map<std::uint64_t, TaskId> m_running;
    std::uint64_t m_lastRunId = 0;
};

/// Access to the executors from one daemon.
class FakeExecutorPort : public ExecutorPort
{
public:
    FakeExecutorPort(FakeExecutors &executors, Base::Timers &timers, std::string daemon)
        : m_executors(executors)
        , m_timers(&timers)
        , m_daemon(std::move(daemon))
    {}

    /// The daemon has stopped: no more answers are delivered.
    void detach() { m_timers = nullptr; }

    void startTask(const ExecutorInfo &executor, const StartOrder &order,
                   OrderCallback callback) override
    {
        m_executors.checkLeaseEnd(executor, order.leaseEnd);
        if (!isConfirmed(executor.id, order.lifetime)) {
            refuseUnconfirmed(std::move(callback));
            return;
        }
        send<OrderResult>(executor, 200ms, std::move(callback),
                          [this, order](auto &it) { return m_executors.start(it, order); });
    }

    void stopTask(const ExecutorInfo &executor, const StopOrder &order,
                  OrderCallback callback) override
    {
        if (!isConfirmed(executor.id, order.lifetime)) {
            refuseUnconfirmed(std::move(callback));
            return;
        }
        send<OrderResult>(executor, 200ms, std::move(callback),
                          [this, order](auto &it) { return m_executors.stop(it, order); });
    }

    void hold(const ExecutorInfo &executor, const HoldOrder &order, HoldCallback callback) override
    {
        m_executors.checkLeaseEnd(executor, order.leaseEnd);
        const OrderDelivery delivery = m_executors.chooseDelivery();
        const auto answer = makeAnswerCallback<HoldResult>(
            200ms + order.wait,
            [this, id = executor.id, callback = std::move(callback)](const HoldResult &result) {
                if (result.order.outcome == OrderOutcome::Accepted)
                    m_confirmed[id] = result.lifetime;
                callback(result);
            });
        const auto respond = [this, delivery, answer, id = executor.id] {
            const HoldResult result = m_executors.list(m_executors.at(id));
            deliverAnswer(id, delivery, [answer, result] { (*answer)(result); });
        };
        deliverOrder(executor, delivery,
                     [this, order, respond, answer, delivery, id = executor.id] {
                         FakeExecutors::Executor &it = m_executors.at(id);
                         if (auto refused = m_executors.checkToken(it, order.token)) {
                             HoldResult result;
                             result.order = *refused;
                             deliverAnswer(id, delivery, [answer, result] { (*answer)(result); });
                             return;
                         }
                         std::erase_if(it.ended, [&order](const ListedEnd &end) {
                             return end.sequence <= order.seenUpTo;
                         });
                         m_executors.extendLease(it, order.leaseEnd);
                         if (!it.ended.empty() || order.wait.count() == 0) {
                             respond();
                             return;
                         }
                         const auto isDone = std::make_shared<bool>(false);
                         const auto once = [isDone, respond] {
                             if (!std::exchange(*isDone, true))
                                 respond();
                         };
                         it.waitingHolds.emplace_back(order.seenUpTo, once);
                         it.breakHold[m_daemon] = [this, answer] {
                             if (m_timers)
                                 m_timers->schedule(Base::Duration(0),
                                                    [answer] { (*answer)(brokenHold()); });
                         };
                         m_executors.m_clock.schedule(order.wait, once);
                     });
    }

private:
    /// Whether an idle connection leads to \a lifetime for sure.
    bool isConfirmed(const ExecutorId &id, Lifetime lifetime)
    {
        if (!m_executors.areOrdersBound || lifetime.value() == 0)
            return true;
        return m_executors.at(id).info.lifetime == lifetime && m_confirmed[id] == lifetime
               && !m_executors.areConnectionsBusy();
    }

    void refuseUnconfirmed(OrderCallback callback)
    {
        m_timers->schedule(Base::Duration(0), [callback = std::move(callback)] {
            OrderResult result;
            result.outcome = OrderOutcome::Unconfirmed;
            callback(result);
        });
    }

    static HoldResult brokenHold()
    {
        HoldResult result;
        result.order.isDisconnected = true;
        return result;
    }

    template<class Result, class Callback, class Action>
    void send(const ExecutorInfo &executor, Base::Duration timeout, Callback callback,
              Action action)
    {
        const OrderDelivery delivery = m_executors.chooseDelivery();
        const auto answer = makeAnswerCallback<Result>(timeout, std::move(callback));
        deliverOrder(executor, delivery, [this, action, answer, delivery, id = executor.id] {
            const Result result = action(m_executors.at(id));
            deliverAnswer(id, delivery, [answer, result] { (*answer)(result); });
        });
    }

    /// Calls \a callback once, with an unknown outcome if there is no answer within \a timeout.
    template<class Result, class Callback>
    std::shared_ptr<std::function<void(const Result &)>> makeAnswerCallback(Base::Duration timeout,
                                                                            Callback callback)
    {
        const auto isDone = std::make_shared<bool>(false);
        auto answer = std::make_shared<std::function<void(const Result &)>>(
            [isDone, callback](const Result &result) {
                if (!std::exchange(*isDone, true))
                    callback(result);
            });
        m_timers->schedule(timeout, [answer] { (*answer)(Result()); });
        return answer;
    }

    void deliverOrder(const ExecutorInfo &executor, const OrderDelivery &delivery,
                      std::function<void()> action)
    {
        if (delivery.isLost)
            return;
        // Orders name the id only, so they reach whichever lifetime is up when they are sent.
        const Lifetime lifetime = m_executors.at(executor.id).info.lifetime;
        m_executors.m_clock.schedule(
            delivery.requestDelay + delivery.lateBy,
            [this, id = executor.id, lifetime, action, late = delivery.lateBy] {
                // A late order has already reached the executor, so a partition does not affect it.
                const FakeExecutors::Executor &it = m_executors.at(id);
                const bool isDelivered =
                    late.count() > 0 ? it.isUp : m_executors.isReachable(m_daemon, id);
                if (isDelivered && it.info.lifetime == lifetime)
                    action();
            });
    }

    void deliverAnswer(const ExecutorId &id, const OrderDelivery &delivery,
                       std::function<void()> action)
    {
        if (delivery.isAnswerLost || delivery.lateBy.count() > 0)
            return;
        m_executors.m_clock.schedule(delivery.answerDelay, [this, id, action] {
            if (m_timers && m_executors.isReachable(m_daemon, id))
                m_timers->schedule(Base::Duration(0), action);
        });
    }

    FakeExecutors &m_executors;
    Base::Timers *m_timers; // null after detach(); orders sent before that may still arrive
    const std::string m_daemon;
    std::map<ExecutorId, Lifetime> m_confirmed; // that answered the last hold
};

} // namespace DispatchTest
