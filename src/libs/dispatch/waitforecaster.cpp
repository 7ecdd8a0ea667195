// Event-driven simulation of the placements of one group, with read-only probes for the waits.
#include "waitforecaster.h"

#include "dispatchconstants.h"

#include <algorithm>
#include <optional>

namespace Dispatch {

using Constants::milliseconds;

/// Queued tasks that are simulated; the work of the others counts against the whole capacity.
static constexpr std::size_t MAX_SIMULATED_TASKS = 64;
/// Ends of runs that are simulated. 40 executors with two runs each and 64 tasks need 144.
static constexpr int MAX_SIMULATED_ENDS = 256;
/// Longer waits are not told apart: no caller waits that long.
static constexpr milliseconds MAX_WAIT_MS{10'000};
/// Weight that the sizes seen before keep with each task: about the last hundred tasks count.
static constexpr double SIZE_RETENTION = 0.99;
static constexpr std::size_t MAX_SIZES = 32;
static constexpr std::uint32_t SIZE_STEP_CPU_MILLIS = 1000;
static constexpr double TYPICAL_SHARE = 0.5;
static constexpr double LARGE_SHARE = 0.95;
/// Expected remaining time of a run relative to its elapsed time, once that is beyond its estimate:
/// that of a log-normal run time with the spread of runs and estimates, e^0.57.
static constexpr double REMAINING_SHARE = 0.3;
/// From the time-out of a start until a listing and a stop have proved that it can't start any
/// more.
static constexpr milliseconds START_RESOLUTION_MS{180};
/// Remaining time of a run that a previous owner started, of which only the listing is known:
/// between those of priorities 0 and 1.
static constexpr milliseconds UNKNOWN_RUN_MS{100};
/// A stopped run ends within this: `stopTimeoutMs` of the platform.
static constexpr milliseconds STOP_MS{50};
/// An executor that has missed one answer is back after this.
static constexpr milliseconds SILENCE_MS{110};
/// Share of the owner's lag that remains with each observation without a lag.
static constexpr double LAG_RETENTION = 0.8;

void WaitForecaster::taskSeen(const ServiceId &service, std::uint32_t priority,
                              const Resources &shape)
{
    Sizes &sizes = m_sizes[{service, priority}];
    for (auto &[cores, it] : sizes)
        it.weight *= SIZE_RETENTION;
    Size &size = sizes[(shape.cpuMillis + SIZE_STEP_CPU_MILLIS - 1) / SIZE_STEP_CPU_MILLIS];
    size.shape = shape;
    size.weight += 1;
    if (sizes.size() <= MAX_SIZES)
        return;
    sizes.erase(std::min_element(sizes.begin(), sizes.end(), [](const auto &a, const auto &b) {
        return a.second.weight < b.second.weight;
    }));
}

void WaitForecaster::lagObserved(Base::Duration delay)
{
    m_lag = std::max(delay, std::chrono::duration_cast<Base::Duration>(m_lag * LAG_RETENTION));
}

Resources WaitForecaster::quantile(const Sizes &sizes, double share)
{
    double total = 0;
    for (const auto &[cores, it] : sizes)
        total += it.weight;
    Resources shape;
    double sum = 0;
    for (const auto &[cores, it] : sizes) {
        shape = it.shape;
        sum += it.weight;
        if (sum >= total * share)
            break;
    }
    return shape;
}

class WaitForecaster::Simulation
{
public:
    struct Probe
    {
        ServiceId service;
        std::uint32_t priority = 0;
        Resources shape;
        std::optional<Base::TimePoint> start;
        std::size_t position = 0; // number of the simulated tasks that come before it
    };

    Simulation(Base::TimePoint now, Base::Duration lag)
        : m_now(now)
        , m_lag(lag)
    {}

    void addExecutor(const ExecutorState &executor);
    void addTasks(const TaskQueue &queue);
    void addProbe(const ServiceId &service, std::uint32_t priority, const Resources &shape);
    void run();

    const std::vector<Probe> &probes() const { return m_probes; }
    /// Until \a probe could start. No value if no executor can ever take it.
    std::optional<Base::Duration> wait(const Probe &probe) const;
    bool hasTasks() const { return !m_tasks.empty(); }

private:
    struct Place
    {
        ServiceId service;
        Resources capacity;
        Resources available;
        double speed = 1;
    };
    struct Task
    {
        ServiceId service;
        std::uint32_t priority = 0;
        Resources shape;
        Base::Duration estimate{0};
        bool isLate = false; // comes after new tasks of its priority
        bool isStarted = false;
    };
    struct End
    {
        Base::TimePoint time;
        std::size_t place = 0;
        Resources shape;

        bool operator<(const End &other) const { return time > other.time; } // the first on top
    };

    void addEnd(Base::TimePoint time, std::size_t place, const Resources &shape);
    Base::TimePoint endOf(const Run &run) const;
    void placeAt(std::size_t index, Base::TimePoint time);
    bool isDone() const;
    double capacityOf(const ServiceId &service) const;

    const Base::TimePoint m_now;
    const Base::Duration m_lag;
    std::vector<Place> m_places;
    std::vector<End> m_ends; // a heap
    std::vector<Task> m_tasks;
    std::vector<Probe> m_probes; // in the order of their positions
    std::size_t m_open = 0;      // tasks that are not started
    Base::TimePoint m_last;      // time of the last simulated end
    // Work of the queued tasks that are not simulated, in thousandths of a core times seconds.
    std::map<std::pair<ServiceId, std::uint32_t>, double> m_rest;
};

void WaitForecaster::Simulation::addEnd(Base::TimePoint time, std::size_t place,
                                        const Resources &shape)
{
    m_ends.push_back({time, place, shape});
    std::push_heap(m_ends.begin(), m_ends.end());
}

Base::TimePoint WaitForecaster::Simulation::endOf(const Run &run) const
{
    const Base::Duration elapsed = m_now - run.since;
    switch (run.state) {
    case RunState::Unresolved:
        return m_now + START_RESOLUTION_MS;
    case RunState::Stopping:
        return m_now + STOP_MS;
    case RunState::Starting:
    case RunState::Running:
        break;
    }
    if (run.expected.count() == 0)
        return m_now + m_lag + UNKNOWN_RUN_MS;
    // The end is noticed later by the owner's lag.
    return m_now + m_lag
           + std::max(run.expected - elapsed,
                      std::chrono::duration_cast<Base::Duration>(elapsed * REMAINING_SHARE));
}

/// Executors that are silent or have backed off are taken to be back later; those that leave, or
/// hold a run that no coordinator has claimed, give no room.
void WaitForecaster::Simulation::addExecutor(const ExecutorState &executor)
{
    const ExecutorInfo &info = executor.info();
    if (!executor.hasListing || !executor.isRegistered || info.draining || info.isFromPreviousOwner
        || executor.isReserved || executor.unconfirmedSince) {
        return;
    }
    Base::TimePoint usableFrom = m_now;
    if (executor.silentSince)
        usableFrom += std::max<Base::Duration>(SILENCE_MS, m_now - *executor.silentSince);
    else if (!executor.isUsable(m_now))
        usableFrom += Constants::BACK_OFF_MS;
    if (!executor.mayExtendLease())
        usableFrom += STOP_MS;
    const bool isAlone = std::any_of(executor.runs().begin(), executor.runs().end(),
                                     [](const auto &it) { return it.second.isAlone; });
    const std::size_t index = m_places.size();
    Resources used;
    Base::TimePoint last = usableFrom;
    for (const auto &[task, run] : executor.runs()) {
        used += run.shape;
        last = std::max(last, endOf(run));
        if (!isAlone)
            addEnd(std::max(usableFrom, endOf(run)), index, run.shape);
    }
    Resources available = info.capacity.minus(used);
    if (isAlone || usableFrom > m_now) {
        addEnd(isAlone ? last : usableFrom, index, isAlone ? info.capacity : available);
        available = {};
    }
    m_places.push_back({info.service, info.capacity, available, executor.speed()});
}

void WaitForecaster::Simulation::addTasks(const TaskQueue &queue)
{
    for (const TaskQueue::Load &it : queue.load())
        m_rest[{it.service, it.priority}] = it.cpuMillisSeconds;
    for (const TaskQueue::Entry *it : queue.head(MAX_SIMULATED_TASKS)) {
        m_tasks.push_back({it->service, it->priority, it->shape, it->estimate,
                           it->objective - it->estimate < m_now, false});
        m_rest[{it->service, it->priority}] -=
            it->shape.cpuMillis * std::chrono::duration<double>(it->estimate).count();
    }
    m_open = m_tasks.size();
}

/// A new task comes after those of its priority that can still be on time, whose objectives are
/// mostly earlier, and before the late ones.
void WaitForecaster::Simulation::addProbe(const ServiceId &service, std::uint32_t priority,
                                          const Resources &shape)
{
    Probe probe{service, priority, shape, {}, 0};
    for (std::size_t i = 0; i < m_tasks.size(); ++i) {
        const Task &it = m_tasks[i];
        if (it.priority < priority || (it.priority == priority && !it.isLate))
            probe.position = i + 1;
    }
    const auto after =
        std::upper_bound(m_probes.begin(), m_probes.end(), probe,
                         [](const Probe &a, const Probe &b) { return a.position < b.position; });
    m_probes.insert(after, probe);
}

/// Fills one executor in the order of the queue; a task that does not fit is bypassed, as by
/// ExecutorGroup::placeQueued().
void WaitForecaster::Simulation::placeAt(std::size_t index, Base::TimePoint time)
{
    Place &place = m_places[index];
    auto probe = m_probes.begin();
    for (std::size_t i = 0; i <= m_tasks.size(); ++i) {
        for (; probe != m_probes.end() && probe->position == i; ++probe) {
            if (!probe->start && probe->service == place.service
                && probe->shape.fits(place.available)) {
                probe->start = time;
            }
        }
        if (i == m_tasks.size() || place.available.cpuMillis == 0)
            return;
        Task &task = m_tasks[i];
        if (task.isStarted || task.service != place.service || !task.shape.fits(place.available))
            continue;
        task.isStarted = true;
        --m_open;
        place.available = place.available.minus(task.shape);
        addEnd(time + m_lag
                   + std::chrono::duration_cast<Base::Duration>(task.estimate / place.speed),
               index, task.shape);
    }
}

bool WaitForecaster::Simulation::isDone() const
{
    return std::all_of(m_probes.begin(), m_probes.end(),
                       [](const Probe &it) { return it.start.has_value(); });
}

void WaitForecaster::Simulation::run()
{
    m_last = m_now;
    for (std::size_t i = 0; i < m_places.size(); ++i)
        placeAt(i, m_now);
    for (int i = 0; i < MAX_SIMULATED_ENDS && !m_ends.empty() && !isDone(); ++i) {
        std::pop_heap(m_ends.begin(), m_ends.end());
        const End end = m_ends.back();
        m_ends.pop_back();
        m_last = end.time;
        m_places[end.place].available += end.shape;
        placeAt(end.place, end.time);
    }
}

double WaitForecaster::Simulation::capacityOf(const ServiceId &service) const
{
    double capacity = 0;
    for (const Place &it : m_places) {
        if (it.service == service)
            capacity += it.capacity.cpuMillis * it.speed;
    }
    return capacity;
}

std::optional<Base::Duration> WaitForecaster::Simulation::wait(const Probe &probe) const
{
    const double capacity = capacityOf(probe.service);
    const bool isPossible =
        capacity > 0 && std::any_of(m_places.begin(), m_places.end(), [&probe](const Place &it) {
            return it.service == probe.service && probe.shape.fits(it.capacity);
        });
    if (!isPossible)
        return std::nullopt;
    double rest = 0;
    for (const auto &[key, work] : m_rest) {
        if (key.first == probe.service && key.second <= probe.priority)
            rest += std::max(work, 0.0);
    }
    const Base::Duration wait = probe.start.value_or(m_last) - m_now
                                + std::chrono::duration_cast<Base::Duration>(
                                    std::chrono::duration<double>(rest / capacity));
    return std::min<Base::Duration>(wait, MAX_WAIT_MS);
}

std::vector<Wire::WaitForecast>
WaitForecaster::forecast(const std::map<ExecutorId, ExecutorState> &executors,
                         const TaskQueue &queue, Base::TimePoint now) const
{
    Simulation simulation(now, m_lag);
    for (const auto &[id, executor] : executors)
        simulation.addExecutor(executor);
    simulation.addTasks(queue);
    for (const auto &[key, sizes] : m_sizes) {
        const Resources typical = quantile(sizes, TYPICAL_SHARE);
        const Resources large = quantile(sizes, LARGE_SHARE);
        simulation.addProbe(key.first, key.second, typical);
        if (large.cpuMillis > typical.cpuMillis)
            simulation.addProbe(key.first, key.second, large);
    }
    simulation.run();
    std::vector<Wire::WaitForecast> result;
    bool isWaiting = simulation.hasTasks();
    for (const auto &it : simulation.probes()) {
        const auto wait = simulation.wait(it);
        if (!wait)
            continue;
        isWaiting |= wait->count() > 0;
        result.push_back({it.service.value(), it.priority, it.shape.cpuMillis,
                          static_cast<std::uint32_t>(Base::toMilliseconds(*wait + m_lag))});
    }
    if (!isWaiting)
        result.clear();
    return result;
}

} // namespace Dispatch
