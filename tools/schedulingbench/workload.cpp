// Seeded generation of workloads.
#include "workload.h"

#include <cmath>
#include <random>

namespace SchedulingBench {

using namespace std::chrono_literals;

static constexpr Base::Duration STRAGGLE_START = 4s;
static constexpr double STRAGGLER_FACTOR = 8;
/// Width of the log-normal run times: most are within a factor of three of the median.
static constexpr double WORK_SIGMA = 0.6;
/// A few tasks take several seconds.
static constexpr double LONG_TASK_PROBABILITY = 0.003;
static constexpr double LONG_TASK_FACTOR = 6;

std::string scenarioName(Scenario scenario)
{
    switch (scenario) {
    case Scenario::EqualSpeeds:
        return "equalSpeeds";
    case Scenario::Spread:
        return "spread";
    case Scenario::Stragglers:
        return "stragglers";
    case Scenario::FailingWorker:
        return "failingWorker";
    case Scenario::DeclaredHigh:
        return "declaredHigh";
    case Scenario::DeclaredLow:
        return "declaredLow";
    case Scenario::Burst:
        return "burst";
    }
    return {};
}

double Upstream::speedAt(Base::Duration time) const
{
    return straggler && time >= STRAGGLE_START ? speed / STRAGGLER_FACTOR : speed;
}

Deployment kalkan()
{
    return {"kalkan", 6, 0.2, 20, 200, 150, 250, 2s, 8s};
}

Deployment cevallos()
{
    return {"cevallos", 8, 0.4, 20, 300, 200, 300, 2s, 8s};
}

static Manifest::Manifest makeManifest(const Deployment &deployment, Scenario scenario)
{
    double error = 1;
    if (scenario == Scenario::DeclaredHigh)
        error = 10;
    else if (scenario == Scenario::DeclaredLow)
        error = 0.1;
    Manifest::Manifest manifest;
    const Base::UpstreamGroupId group("executors");
    for (const bool job : {false, true}) {
        Manifest::Kind kind;
        kind.id = Base::KindId(job ? "job" : "single");
        kind.job = job;
        kind.repeatable = !job;
        const double work = job ? deployment.taskWorkMs : deployment.singleWorkMs;
        kind.declaredRunTime = std::chrono::milliseconds(std::lround(work * error));
        kind.resources = {1, 100, 0};
        kind.upstreamGroups = {group};
        manifest.kinds[kind.id] = kind;
    }
    for (int i = 0; i < Workload::UPSTREAMS; ++i) {
        Manifest::Upstream upstream;
        upstream.id = Base::UpstreamId("u" + std::to_string(i));
        upstream.group = group;
        upstream.rack = "rack" + std::to_string(i / deployment.workersPerRack);
        upstream.slots = Workload::SLOTS;
        upstream.resources = {16, 64'000, 0};
        manifest.upstreams[upstream.id] = upstream;
    }
    for (std::size_t i = 0; i < Workload::TEAMS; ++i) {
        const Base::TeamId id("team" + std::to_string(i));
        manifest.teams[id] = {id, 1.0 + static_cast<double>(i % 3), 0, 0};
    }
    return manifest;
}

Workload makeWorkload(const Deployment &deployment, Scenario scenario, double load,
                      std::uint64_t seed)
{
    std::mt19937_64 random(seed * 1000 + static_cast<std::uint64_t>(scenario));
    std::uniform_real_distribution<double> uniform(0, 1);
    std::normal_distribution<double> normal(0, WORK_SIGMA);
    Workload workload;
    workload.scenario = scenario;
    workload.load = load;
    workload.arrivals = load > 1 ? 20s : 12s;
    workload.goodputStart = workload.arrivals - (load > 1 ? 9s : 6s);
    workload.manifest = makeManifest(deployment, scenario);
    for (int i = 0; i < Workload::UPSTREAMS; ++i) {
        Upstream upstream;
        if (scenario != Scenario::EqualSpeeds)
            upstream.speed = 1 + 3 * uniform(random);
        upstream.straggler = scenario == Scenario::Stragglers && i < 2;
        upstream.fails = scenario == Scenario::FailingWorker && i == 0;
        if (!upstream.fails)
            workload.capacity += Workload::SLOTS * upstream.speedAt(workload.arrivals);
        workload.upstreams.push_back(upstream);
    }
    const auto drawWork = [&](double median) {
        const double tail = uniform(random) < LONG_TASK_PROBABILITY ? LONG_TASK_FACTOR : 1;
        return median * std::exp(normal(random)) * tail;
    };
    const double meanFactor = std::exp(WORK_SIGMA * WORK_SIGMA / 2)
                              * (1 + LONG_TASK_PROBABILITY * (LONG_TASK_FACTOR - 1));
    const double logSpan = std::log(static_cast<double>(deployment.maxTasks)
                                    / static_cast<double>(deployment.minTasks));
    const double meanTasks =
        static_cast<double>(deployment.maxTasks - deployment.minTasks) / logSpan;
    // Requests per ms of each class at load 1.
    const double singleRate =
        workload.capacity * deployment.singleShare / (deployment.singleWorkMs * meanFactor);
    const double jobRate = workload.capacity * (1 - deployment.singleShare)
                           / (deployment.taskWorkMs * meanFactor * meanTasks);
    double ms = 0;
    while (true) {
        const bool inBurst =
            ms >= Workload::BURST_START_S / 1ms && ms < Workload::BURST_END_S / 1ms;
        const double factor = scenario == Scenario::Burst && inBurst ? 3 : load;
        ms += -std::log(1 - uniform(random)) / ((singleRate + jobRate) * factor);
        Request request;
        request.arrival = std::chrono::nanoseconds(std::llround(ms * 1e6));
        if (request.arrival >= workload.arrivals)
            break;
        request.team = random() % Workload::TEAMS;
        request.single = uniform(random) * (singleRate + jobRate) < singleRate;
        request.deadline = request.single ? deployment.singleDeadline : deployment.jobDeadline;
        std::size_t n = 1;
        if (!request.single) {
            n = static_cast<std::size_t>(static_cast<double>(deployment.minTasks)
                                         * std::exp(logSpan * uniform(random)));
        }
        for (std::size_t i = 0; i < n; ++i) {
            request.workMs.push_back(
                drawWork(request.single ? deployment.singleWorkMs : deployment.taskWorkMs));
        }
        workload.requests.push_back(std::move(request));
    }
    return workload;
}

} // namespace SchedulingBench
