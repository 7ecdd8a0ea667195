// Measures QueueScheduler with the wall clock; time within the scheduler is virtual.
#include "decisioncost.h"

#include "virtualtimers.h"

#include <scheduling/queuescheduler.h>

#include <random>

namespace SchedulingBench {

using namespace std::chrono_literals;
using namespace Scheduling;

static constexpr std::size_t TEAMS = 220;
static constexpr std::size_t UPSTREAMS = 2800;
static constexpr std::size_t KINDS = 6;
static constexpr std::uint32_t SLOTS = 8;
static constexpr std::size_t WAITING = 100'000;
static constexpr std::size_t OPERATIONS = 200'000;

namespace {

struct Starter : TaskStarter
{
    void startTask(TaskHandle task, const Base::UpstreamId &) override { running.push_back(task); }

    std::vector<TaskHandle> running;
};

} // namespace

static Manifest::Manifest makeManifest()
{
    Manifest::Manifest manifest;
    const Base::UpstreamGroupId group("g");
    for (std::size_t i = 0; i < KINDS; ++i) {
        Manifest::Kind kind;
        kind.id = Base::KindId("k" + std::to_string(i));
        kind.job = i % 2 == 1;
        kind.declaredRunTime = 100ms;
        kind.resources = {1, 10, 0};
        kind.upstreamGroups = {group};
        manifest.kinds[kind.id] = kind;
    }
    for (std::size_t i = 0; i < UPSTREAMS; ++i) {
        Manifest::Upstream upstream;
        upstream.id = Base::UpstreamId("upstream" + std::to_string(i));
        upstream.group = group;
        upstream.rack = "rack" + std::to_string(i / 8);
        upstream.slots = SLOTS;
        upstream.resources = {64, 128'000, 0};
        manifest.upstreams[upstream.id] = upstream;
    }
    for (std::size_t i = 0; i < TEAMS; ++i) {
        const Base::TeamId id("team" + std::to_string(i));
        manifest.teams[id] = {id, 1.0 + static_cast<double>(i % 4), 0, 0};
    }
    return manifest;
}

void printDecisionCost(std::FILE *out)
{
    using Clock = std::chrono::steady_clock;
    std::mt19937_64 random(1);
    VirtualTimers timers;
    Starter starter;
    QueueScheduler scheduler(timers, starter);
    const Manifest::Manifest manifest = makeManifest();
    scheduler.setManifest(manifest);
    std::map<Base::UpstreamId, UpstreamAvailability> availability;
    for (const auto &[id, upstream] : manifest.upstreams)
        availability[id] = {upstream.slots, false};
    scheduler.setAvailability(availability);
    std::vector<Base::TeamId> teams;
    for (const auto &it : manifest.teams)
        teams.push_back(it.first);
    std::vector<Base::KindId> kinds;
    for (const auto &it : manifest.kinds)
        kinds.push_back(it.first);
    std::uint64_t handle = 0;
    const auto enqueue = [&] {
        ++handle;
        const std::size_t kind = random() % KINDS;
        scheduler.enqueue({TaskHandle(handle),
                           teams[random() % TEAMS],
                           kinds[kind],
                           kind % 2 == 0,
                           timers.now() + std::chrono::milliseconds(random() % 10'000),
                           {}});
    };
    const auto finish = [&] {
        const std::size_t i = random() % starter.running.size();
        const TaskHandle task = starter.running[i];
        starter.running[i] = starter.running.back();
        starter.running.pop_back();
        scheduler.taskFinished(task, TaskResult::Succeeded,
                               std::chrono::milliseconds(20 + random() % 150));
    };
    const auto nsSince = [](Clock::time_point start, std::size_t n) {
        return static_cast<double>((Clock::now() - start) / 1ns) / static_cast<double>(n);
    };
    for (std::size_t i = 0; i < WAITING + UPSTREAMS * SLOTS; ++i)
        enqueue();
    double enqueueNs = 0;
    double finishNs = 0;
    double admitNs = 0;
    double withdrawNs = 0;
    constexpr std::size_t BATCH = 1000;
    constexpr std::size_t BATCHES = OPERATIONS / BATCH;
    for (std::size_t i = 0; i < BATCHES; ++i) {
        auto start = Clock::now();
        for (std::size_t k = 0; k < BATCH; ++k)
            finish();
        finishNs += nsSince(start, OPERATIONS);
        const std::uint64_t first = handle;
        start = Clock::now();
        for (std::size_t k = 0; k < BATCH * 2; ++k)
            enqueue();
        enqueueNs += nsSince(start, OPERATIONS * 2);
        start = Clock::now();
        for (std::size_t k = 0; k < BATCH; ++k)
            scheduler.withdraw(TaskHandle(first + 1 + 2 * k));
        withdrawNs += nsSince(start, OPERATIONS);
        start = Clock::now();
        for (std::size_t k = 0; k < BATCH; ++k)
            scheduler.admit({teams[k % TEAMS], kinds[k % KINDS], 100, timers.now() + 8s});
        admitNs += nsSince(start, OPERATIONS);
    }
    std::fprintf(
        out,
        "Cost of one operation with %zu waiting and %zu running tasks, %zu teams and %zu "
        "upstreams:\nfinish and start the next %.0f ns, enqueue %.0f ns, withdraw %.0f ns, "
        "admit %.0f ns\n",
        scheduler.queuedCount(), scheduler.startedCount(), TEAMS, UPSTREAMS, finishNs, enqueueNs,
        withdrawNs, admitNs);
}

} // namespace SchedulingBench
