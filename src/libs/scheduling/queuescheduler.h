// Scheduler of one daemon: a fair queue in front of a pool of upstreams.
#pragma once

#include "fairqueue.h"
#include "placementpolicy.h"
#include "runtimeestimate.h"
#include "upstreampool.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace Scheduling {

struct AdmissionState;

struct SchedulerOptions
{
    /// Limit for admission. Work that is admitted but not yet queued can exceed it, at most by the
    /// same amount again.
    std::size_t maxQueuedTasks = 200'000;
};

/// Binds tasks to upstreams late: a task is queued until the policy finds a free slot for it.
class QueueScheduler : public TaskScheduler
{
public:
    QueueScheduler(Base::Timers &timers, TaskStarter &starter,
                   std::unique_ptr<PlacementPolicy> policy = makeFastestFreePolicy(),
                   const SchedulerOptions &options = {});
    ~QueueScheduler() override;

    void setManifest(const Manifest::Manifest &manifest) override;
    void
    setAvailability(const std::map<Base::UpstreamId, UpstreamAvailability> &availability) override;
    Admission admit(const AdmissionRequest &request) const override;
    void enqueue(TaskDescription task) override;
    bool withdraw(TaskHandle task) override;
    void taskFinished(TaskHandle task, TaskResult result, Base::Duration runTime) override;
    std::size_t queuedCount() const override { return m_queue.size(); }
    std::size_t startedCount() const override { return m_started.size(); }

    const UpstreamPool &pool() const { return m_pool; }

private:
    struct KindData
    {
        RunTimeEstimate estimate;
        bool declared = true; // in the manifest in force
        bool single = false;
        std::array<double, 2> load{}; // arriving work by class, in ms per ms, as of loadTime
        Base::TimePoint loadTime;
        std::array<std::size_t, 2> queued{}; // tasks by class
    };
    struct TeamData
    {
        bool declared = true;
        std::size_t maxQueuedTasks = 0;
    };
    struct TaskGroup
    {
        KindIndex kind;
        std::vector<UpstreamIndex> excluded; // sorted
        std::size_t queued = 0;
    };
    struct StartedTask
    {
        KindIndex kind;
        UpstreamIndex upstream;
        Manifest::Resources resources;
    };

    TeamIndex teamIndex(const Base::TeamId &id);
    TaskGroupIndex groupIndex(KindIndex kind, const std::vector<Base::UpstreamId> &excluded);
    void releaseGroup(TaskGroupIndex index);
    void addLoad(KindData &kind, TaskClass taskClass);
    double load(const KindData &kind, TaskClass taskClass) const;
    AdmissionState admissionState(const AdmissionRequest &request, KindIndex kind,
                                  TeamIndex team) const;
    PlacementQuery placementQuery(const QueuedTask &task) const;
    void removeFromCounts(const QueuedTask &task);
    void dispatch();
    void dispatchClass(TaskClass taskClass);
    void start(const QueuedTask &task, UpstreamIndex upstream);
    void scheduleWakeUp(Base::TimePoint when);

    Base::Timers &m_timers;
    TaskStarter &m_starter;
    const std::unique_ptr<PlacementPolicy> m_policy;
    const SchedulerOptions m_options;
    UpstreamPool m_pool;
    FairQueue m_queue;
    std::map<Base::KindId, KindIndex> m_kindIndex;
    std::vector<KindData> m_kinds; // never shrinks: tasks of removed kinds may still be running
    std::vector<PoolKind> m_poolKinds;
    std::map<Base::TeamId, TeamIndex> m_teamIndex;
    std::vector<TeamData> m_teams;
    std::map<std::pair<KindIndex, std::vector<UpstreamIndex>>, TaskGroupIndex> m_groupIndex;
    std::vector<TaskGroup> m_groups;
    std::vector<TaskGroupIndex> m_unusedGroups;
    std::vector<bool> m_blocked; // by TaskGroupIndex, within one dispatch
    std::unordered_map<TaskHandle, StartedTask> m_started;
    bool m_dispatching = false;
    bool m_dispatchAgain = false;
    bool m_hasDeferredTasks = false; // the policy deferred a task although a slot is free
    Base::TimePoint m_wakeUp = Base::TimePoint::max(); // max: no timer is set
    Base::TimerId m_wakeUpTimer;
};

} // namespace Scheduling
