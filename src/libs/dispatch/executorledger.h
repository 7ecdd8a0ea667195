// What the owner of a group knows about one executor: its clock and lease, what runs there, and how
// fast and how reliable it is.
#pragma once

#include "executorport.h"

#include <scheduling/speedestimate.h>

#include <map>

namespace Dispatch {

enum class RunState {
    Starting,   ///< The start is sent and not answered.
    Unresolved, ///< The start got no answer; it may still be carried out.
    Running,
    Stopping, ///< A stop was sent; the run holds its room until its end is listed.
};

/// One run of a task on the executor. It holds room as long as it is in the ledger.
struct Run
{
    RunNumber number;
    Resources shape; // empty if the run is not claimed
    RunState state = RunState::Starting;
    bool isClaimed = true;    // false: found there, and no coordinator has asked for it yet
    bool isConfirmed = false; // accepted or listed; before that the start may be carried out late
    bool isStopAccepted = false;
    Base::TimePoint since; // start sent, or first listed
    Base::TimePoint stopSent;
    Base::Duration expected{0}; // run time by estimate and speed
    /// Listings that were asked for after this point must show the run, or it is gone.
    std::uint64_t visibleFrom = 0;
};

/// Book-keeping only; sends nothing. One per executor of an owned group.
class ExecutorLedger
{
public:
    explicit ExecutorLedger(ExecutorInfo info);

    const ExecutorInfo &info() const { return m_info; }
    void setInfo(const ExecutorInfo &info) { m_info = info; }

    /// Forgets everything about an earlier lifetime.
    void beginLifetime(Lifetime lifetime);
    Lifetime lifetime() const { return m_lifetime; }
    /// The lifetime of which the ledger tells already, once it is known.
    void setLifetime(Lifetime lifetime) { m_lifetime = lifetime; }

    // Clock and lease.
    void clockSeen(ExecutorTime clock, Base::TimePoint now);
    /// End of a lease of full length that is granted at \a now, on the executor's clock. No value
    /// before the clock was seen.
    std::optional<ExecutorTime> nextLeaseEnd(Base::TimePoint now) const;
    /// An order with a new lease was sent at \a now, whether it arrives or not.
    void leaseSent(Base::TimePoint now);
    /// Nothing that was started before runs after this time unless a new lease is sent.
    Base::TimePoint leaseEnd() const { return m_leaseEnd; }

    // Runs.
    std::map<TaskId, Run> &runs() { return m_runs; }
    const std::map<TaskId, Run> &runs() const { return m_runs; }
    Run *find(const TaskId &task);
    /// Room that is certainly free. Empty while a run of unknown shape is there.
    Resources freeRoom() const;
    /// Runs of the step that \a task belongs to.
    std::uint32_t runsOfStep(const TaskId &task) const;

    // Health.
    void runSucceeded(Base::Duration runTime, double estimateLogMs);
    /// Returns true if the executor is ejected by this failure. Failures of one job count once,
    /// since the job may be at fault.
    bool runFailed(const JobId &job, Base::TimePoint now);
    void backOff(Base::TimePoint until);
    bool isUsable(Base::TimePoint now) const;
    double speed() const { return m_speed.speed(); }

    /// All runs there are known, so that work may be started.
    bool isLooked = false;
    bool isRegistered = true;
    bool isHoldPending = false; // a hold that waits for an end is on its way
    bool isLookPending = false; // a hold that does not wait is on its way
    bool hasUnacknowledgedEnds = false;
    int missedAnswers = 0; // consecutive
    Base::TimePoint nextTry;
    Base::TimePoint lastAnswer; // to a hold under the group's token
    EndSequence seenUpTo;

private:
    ExecutorInfo m_info;
    Lifetime m_lifetime;
    std::optional<ExecutorTime> m_clock; // as of m_clockSeen
    Base::TimePoint m_clockSeen;
    Base::TimePoint m_leaseEnd;
    std::map<TaskId, Run> m_runs;
    Scheduling::SpeedEstimate m_speed;
    int m_consecutiveFailures = 0;
    JobId m_lastFailedJob;
    Base::TimePoint m_unusableUntil;
};

} // namespace Dispatch
