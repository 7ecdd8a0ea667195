// QueueScheduler with a manifest of four upstreams and a starter that records the starts.
#pragma once

#include <scheduling/queuescheduler.h>
#include <support/manualtimers.h>

#include <functional>
#include <string>
#include <vector>

namespace TestSupport {

using namespace std::chrono_literals;

struct RecordingStarter : Scheduling::TaskStarter
{
    struct Start
    {
        Scheduling::TaskHandle task;
        std::string upstream;
    };

    void startTask(Scheduling::TaskHandle task, const Base::UpstreamId &upstream) override
    {
        starts.push_back({task, upstream.value()});
        if (onStart)
            onStart(task, upstream);
    }

    std::vector<Start> starts;
    std::function<void(Scheduling::TaskHandle, const Base::UpstreamId &)> onStart;
};

/// Kinds probe (single), audit (job), gpu (needs an accelerator, which only u0 has) and huge (needs
/// more memory than any upstream has); teams a (weight 1) and b (weight 3).
inline Manifest::Manifest testManifest(int upstreams = 4, std::uint32_t slots = 2)
{
    Manifest::Manifest manifest;
    const Base::UpstreamGroupId group("g");
    const auto addKind = [&](const char *id, bool job, const Manifest::Resources &resources) {
        Manifest::Kind kind;
        kind.id = Base::KindId(id);
        kind.job = job;
        kind.deadline = 1000ms;
        kind.declaredRunTime = 100ms;
        kind.resources = resources;
        kind.upstreamGroups = {group};
        manifest.kinds[kind.id] = kind;
    };
    addKind("probe", false, {1, 10, 0});
    addKind("audit", true, {1, 10, 0});
    addKind("gpu", false, {1, 10, 1});
    addKind("huge", true, {1, 1e6, 0});
    for (int i = 0; i < upstreams; ++i) {
        Manifest::Upstream upstream;
        upstream.id = Base::UpstreamId("u" + std::to_string(i));
        upstream.group = group;
        upstream.rack = "r" + std::to_string(i % 2);
        upstream.slots = slots;
        upstream.resources = {16, 1000, i == 0 ? 1.0 : 0.0};
        manifest.upstreams[upstream.id] = upstream;
    }
    manifest.teams[Base::TeamId("a")] = {Base::TeamId("a"), 1, 10, 500};
    manifest.teams[Base::TeamId("b")] = {Base::TeamId("b"), 3, 10, 500};
    return manifest;
}

struct SchedulerFixture
{
    explicit SchedulerFixture(const Manifest::Manifest &testedManifest = testManifest())
        : manifest(testedManifest)
        , scheduler(timers, starter)
    {
        scheduler.setManifest(manifest);
        for (const auto &[id, upstream] : manifest.upstreams)
            availability[id] = {upstream.slots, false};
        scheduler.setAvailability(availability);
    }

    Scheduling::TaskHandle enqueue(const char *kind, const char *team = "a",
                                   std::vector<Base::UpstreamId> excluded = {})
    {
        lastHandle = lastHandle.next();
        const bool single = !manifest.kinds.at(Base::KindId(kind)).job;
        scheduler.enqueue({lastHandle, Base::TeamId(team), Base::KindId(kind), single,
                           timers.now() + 1000ms, std::move(excluded)});
        return lastHandle;
    }

    Scheduling::Admission admit(const char *kind, std::uint32_t tasks,
                                Base::Duration deadline = 1000ms, const char *team = "a") const
    {
        return scheduler.admit(
            {Base::TeamId(team), Base::KindId(kind), tasks, timers.now() + deadline});
    }

    TestSupport::ManualTimers timers;
    RecordingStarter starter;
    Manifest::Manifest manifest;
    Scheduling::QueueScheduler scheduler;
    std::map<Base::UpstreamId, Scheduling::UpstreamAvailability> availability;
    Scheduling::TaskHandle lastHandle;
};

} // namespace TestSupport
