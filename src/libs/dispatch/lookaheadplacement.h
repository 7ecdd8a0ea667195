// Placement by what waits and by the runs that end soon.
//
// The load that it answers: tasks of 16 to 24 cores, of which one of 20 does not fit beside one of
// 16 on an executor of 32 cores. With the baseline, a large task is bypassed by all smaller ones
// behind it, without a bound; tasks that would be on time anywhere take the fastest executors; and
// tasks are started on executors that leave before they end.
#pragma once

#include "emptyexecutorchoice.h"
#include "roomoutlook.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Dispatch {

/// For the first tasks that fit nowhere, the executor on which each will fit earliest is reserved.
/// Later tasks may use such an executor if they fit beside the reserved task, or are expected to
/// end before it starts. Reservations are checked and planned again in each pass, so one whose
/// executor became unusable is released at once.
class LookAheadPlacement : public Placement
{
public:
    explicit LookAheadPlacement(PlacementContext context);

    void beginPass(const PlacementPass &pass) override;
    ExecutorState *choose(const WaitingTask &task) override;
    void endPass() override;

    Resources reportedRoom(const ExecutorState &executor) const override;
    PlacementCounters counters() const override { return m_counters; }

    /// Number of executors that are reserved at present for tasks that fit nowhere.
    std::size_t reservationCount() const { return m_reservations.size(); }

private:
    /// An executor that may get tasks in this pass.
    struct View
    {
        ExecutorState *executor = nullptr;
        RoomOutlook outlook;
    };

    struct Reservation
    {
        TaskId task;
        ExecutorId executor;
        Resources shape;
        Base::TimePoint start;  // when the task is expected to fit
        Resources spare;        // free beside the task at that time
        bool isVisited = false; // the task has been offered in this pass
        bool isOverdue = false; // it has been bypassed for too long
    };

    /// A task that was offered in this pass and has to wait.
    struct Bypassed
    {
        TaskId task;
        std::string service;
        std::optional<Base::TimePoint> since; // when a later task was first started
    };

    /// A task of this or a larger shape, and as long or longer, does not fit anywhere.
    struct Refusal
    {
        std::string service;
        Resources shape;
        Base::Duration expected{0}; // 0: however short it is
    };

    View *viewOf(const ExecutorId &executor);
    Reservation *reservationOf(const TaskId &task);
    const Reservation *reservationOn(const ExecutorId &executor) const;
    bool isRefused(const WaitingTask &task) const;
    void addRefusal(const WaitingTask &task, Base::Duration expected);
    bool mayUse(const View &view, const WaitingTask &task, Base::Duration runTime) const;
    View *bestView(const WaitingTask &task, Base::Duration expected);
    Base::TimePoint neededBy(const WaitingTask &task, Base::Duration expected) const;
    void noteStart(const WaitingTask &task);
    void logBypass(const WaitingTask &task) const;
    void noteWaiting(const WaitingTask &task);
    void plan(const WaitingTask &task, bool isOverdue);
    std::size_t reservationLimit() const;
    std::vector<Reservation>::reverse_iterator newestReplaceable();
    bool makeRoomForOverdue();
    void release(const TaskId &task);

    const PlacementContext m_context;
    EmptyExecutorChoice m_emptyExecutors;
    std::vector<Reservation> m_reservations;           // at most one per task and per executor
    std::vector<Bypassed> m_waiting;                   // in this pass, in the order of the queue
    std::map<TaskId, Base::TimePoint> m_bypassedSince; // as of the last pass
    PlacementCounters m_counters;

    // Of the current pass.
    ExecutorMap *m_executors = nullptr;
    Base::TimePoint m_now;
    std::vector<View> m_views;
    std::vector<Refusal> m_refusals;
    bool m_isContended = false; // more is waiting than there is room for
    double m_maxSpeed = 1;
};

} // namespace Dispatch
