// Replays a workload through the central queue.
#include "ideal.h"

#include <algorithm>
#include <array>
#include <deque>
#include <limits>
#include <queue>

namespace SchedulingBench {

namespace {

struct WaitingTask
{
    std::size_t request = 0;
    double workMs = 0;
};

struct Slot
{
    std::size_t upstream = 0;
    double freeAtMs = 0;
    // By class; EarliestFinish only.
    std::array<std::deque<WaitingTask>, 2> bound{};
    std::array<double, 2> boundMs{};
};

class Ideal
{
public:
    Ideal(const Workload &workload, IdealRule rule)
        : m_workload(workload)
        , m_rule(rule)
        , m_speeds(workload.upstreams.size())
        , m_left(workload.requests.size())
    {
        for (std::size_t i = 0; i < workload.upstreams.size(); ++i) {
            for (std::uint32_t k = 0; k < Workload::SLOTS && !workload.upstreams[i].fails; ++k)
                m_slots.push_back({i, 0, {}, {}});
        }
        m_result.answers.resize(workload.requests.size());
        double tasks = 0;
        double sum = 0;
        for (const Request &it : workload.requests) {
            for (const double work : it.workMs) {
                m_loads[it.single ? 0 : 1] += work / toMs(workload.arrivals);
                sum += work;
            }
            tasks += static_cast<double>(it.workMs.size());
        }
        m_meanWork = sum / tasks;
    }

    RunResult run()
    {
        std::size_t next = 0;
        while (next < m_workload.requests.size() || !m_ends.empty()) {
            const double arrival = next < m_workload.requests.size()
                                       ? toMs(m_workload.requests[next].arrival)
                                       : std::numeric_limits<double>::infinity();
            if (!m_ends.empty() && m_ends.top() <= arrival) {
                m_now = m_ends.top();
                m_ends.pop();
            } else {
                m_now = arrival;
                const Request &request = m_workload.requests[next];
                m_left[next] = request.workMs.size();
                for (const double it : request.workMs)
                    m_queue[request.single ? 0 : 1].push_back({next, it});
                ++next;
            }
            dispatch();
        }
        return std::move(m_result);
    }

private:
    static double toMs(Base::Duration duration)
    {
        return std::chrono::duration<double, std::milli>(duration).count();
    }

    double speed(const Slot &slot) const { return m_speeds[slot.upstream]; }

    void start(Slot &slot, const WaitingTask &task)
    {
        slot.freeAtMs = m_now + task.workMs / speed(slot);
        m_ends.push(slot.freeAtMs);
        RunResult::Answer &answer = m_result.answers[task.request];
        const double arrival = toMs(m_workload.requests[task.request].arrival);
        answer.responseMs = std::max(answer.responseMs, slot.freeAtMs - arrival);
        if (--m_left[task.request] == 0)
            answer.outcome = Outcome::Complete;
    }

    void dispatch()
    {
        const auto time = std::chrono::nanoseconds(static_cast<std::int64_t>(m_now * 1e6));
        for (std::size_t i = 0; i < m_speeds.size(); ++i)
            m_speeds[i] = m_workload.upstreams[i].speedAt(time);
        if (m_rule == IdealRule::EarliestFinish) {
            for (std::size_t i = 0; i < 2; ++i) {
                for (const WaitingTask &it : m_queue[i])
                    bindToEarliestFinish(it, i);
                m_queue[i].clear();
            }
            startBound();
            return;
        }
        startOnFastest();
    }

    /// Whether a task of class \a index had better wait for a slot that is faster than \a slot.
    bool isWaitBetter(std::size_t index, const Slot &slot, double workMs) const
    {
        double faster = 0;
        double fasterSlots = 0;
        for (const Slot &it : m_slots) {
            if (speed(it) > speed(slot)) {
                faster += speed(it);
                fasterSlots += 1;
            }
        }
        const double load = m_loads[0] + (index == 1 ? m_loads[1] : 0);
        const double waiting =
            static_cast<double>(m_queue[0].size() + (index == 1 ? m_queue[1].size() : 0));
        const double gain = workMs / speed(slot) - workMs * fasterSlots / std::max(faster, 0.001);
        return faster > load && waiting * m_meanWork / (faster - load) < gain;
    }

    void startOnFastest()
    {
        for (std::size_t index = 0; index < m_queue.size(); ++index) {
            auto &queue = m_queue[index];
            while (!queue.empty()) {
                Slot *best = nullptr;
                for (Slot &it : m_slots) {
                    if (it.freeAtMs <= m_now && (!best || speed(it) > speed(*best)))
                        best = &it;
                }
                if (!best)
                    return;
                if (m_rule == IdealRule::SpareCapacity
                    && isWaitBetter(index, *best, queue.front().workMs)) {
                    break;
                }
                start(*best, queue.front());
                queue.pop_front();
            }
        }
    }

    /// Binds a task on arrival. Job tasks may be delayed by single requests that come later.
    void bindToEarliestFinish(const WaitingTask &task, std::size_t queue)
    {
        Slot *best = nullptr;
        double bestEnd = std::numeric_limits<double>::infinity();
        for (Slot &it : m_slots) {
            const double ahead = it.boundMs[0] + (queue == 1 ? it.boundMs[1] : 0);
            const double end = std::max(m_now, it.freeAtMs) + (ahead + task.workMs) / speed(it);
            if (end < bestEnd) {
                best = &it;
                bestEnd = end;
            }
        }
        best->bound[queue].push_back(task);
        best->boundMs[queue] += task.workMs;
    }

    void startBound()
    {
        for (Slot &it : m_slots) {
            for (std::size_t queue = 0; queue < 2 && it.freeAtMs <= m_now; ++queue) {
                if (it.bound[queue].empty())
                    continue;
                it.boundMs[queue] -= it.bound[queue].front().workMs;
                start(it, it.bound[queue].front());
                it.bound[queue].pop_front();
            }
        }
    }

    const Workload &m_workload;
    const IdealRule m_rule;
    double m_now = 0;
    std::vector<double> m_speeds; // now, by upstream
    std::vector<Slot> m_slots;
    std::array<std::deque<WaitingTask>, 2> m_queue;
    std::priority_queue<double, std::vector<double>, std::greater<>> m_ends;
    std::array<double, 2> m_loads{}; // arriving work by class, in ms per ms
    double m_meanWork = 0;
    std::vector<std::size_t> m_left;
    RunResult m_result;
};

} // namespace

RunResult runIdeal(const Workload &workload, IdealRule rule)
{
    return Ideal(workload, rule).run();
}

} // namespace SchedulingBench
