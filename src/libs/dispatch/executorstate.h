// State of one executor as known to the owner of its group: clock, lease, runs, speed and health.
#pragma once

#include "executorport.h"

#include <scheduling/speedestimate.h>

#include <map>
#include <vector>

namespace Dispatch {

enum class RunState {
    Starting,   ///< The start was sent and has not been answered.
    Unresolved, ///< The start was not answered in time; it may still be carried out.
    Running,
    Stopping, ///< A stop was sent; the run occupies its resources until its end is listed.
};

/// One run of a task on the executor. It occupies resources as long as it is recorded.
struct Run
{
    RunNumber number;
    /// Lifetime of the executor to which the start was sent, or which has listed the run. 0 if it
    /// was not known.
    Lifetime lifetime;
    /// Listed in that lifetime. Until then a later one may have accepted the start, if the executor
    /// does not state its lifetime in listings.
    bool isListed = false;
    Resources shape; // empty if the run is not claimed
    RunState state = RunState::Starting;
    bool isClaimed = true;    // false: found in a listing, and no coordinator has claimed it yet
    bool isConfirmed = false; // accepted or listed; until then the start may be carried out late
    bool isStopAccepted = false;
    bool isCancelled = false; // its task is not needed any more
    Base::TimePoint deadline; // after which no caller waits for it; epoch if not claimed
    bool isAlone = false;     // no other run may start on the executor
    bool isOverdue = false;   // the answer to its start was, and what became of it is not known yet
    bool isStartKnown = true; // false: it may have begun before `since`
    bool isRepeated = false;  // an earlier run of the task has started
    Base::TimePoint since;    // start sent, or first listed
    Base::TimePoint sent;     // start; not set if found in a listing
    Base::TimePoint stopSent;
    Base::Duration expected{0}; // run time, from the estimate and the executor's speed
    /// Number of the first hold whose listing contains the run if it is active.
    std::uint64_t visibleFrom = 0;
};

/// A run that has ended well: its run time over the expected one.
struct EndedPace
{
    JobId job;
    double ratio = 1;
    Base::TimePoint time; // of the end
};

/// Only records state and sends no orders. One per executor of an owned group.
class ExecutorState
{
public:
    explicit ExecutorState(ExecutorInfo info);

    const ExecutorInfo &info() const { return m_info; }
    void setInfo(const ExecutorInfo &info) { m_info = info; }
    /// Whether info() is the registration of the recorded lifetime. Capacity, kind and rack of
    /// another lifetime may be different, so nothing may be placed until its own was read.
    bool isInfoCurrent() const;

    /// Discards everything that is known about the earlier lifetime but the recorded runs.
    /// \a lifetime is 0 if the next one is not known.
    void beginLifetime(Lifetime lifetime);
    /// The last lifetime that is known to have ended.
    Lifetime endedLifetime() const { return m_endedLifetime; }
    /// The recorded lifetime has ended, and no other is known yet.
    bool hasEnded() const { return m_hasEnded; }
    Lifetime lifetime() const { return m_lifetime; }
    /// Sets the lifetime to which the recorded state belongs, once it is known.
    void setLifetime(Lifetime lifetime)
    {
        m_lifetime = lifetime;
        m_hasEnded = false;
    }

    // Clock and lease.
    /// \a lifetime is that to which the answered order was sent.
    void updateClock(ExecutorTime clock, Lifetime lifetime, Base::TimePoint now);
    /// Whether the lease, which holds for all runs there, may be extended. Not while a run may be
    /// active that no coordinator needs: its caller may submit the job again 1.3 s after the loss
    /// of its coordinator, however many owners follow each other until then.
    bool mayExtendLease() const;
    /// Age of the last reading of the clock; 0 if there is none.
    Base::Duration clockAge(Base::TimePoint now) const;
    bool isClockReadingOld(Base::TimePoint now) const;
    /// End, on the executor's clock, of a lease of \a length that is granted at \a now; earlier by
    /// what a slow clock may have lost since its last reading. No value until the clock is known.
    std::optional<ExecutorTime> nextLeaseEnd(Base::TimePoint now, Base::Duration length) const;
    /// An order with a new lease was sent at \a now; it may or may not arrive.
    void leaseSent(Base::TimePoint now);
    /// Unless a new lease is sent, all runs started so far have ended by this time.
    Base::TimePoint leaseEnd() const { return m_leaseEnd; }

    // Runs.
    std::map<TaskId, Run> &runs() { return m_runs; }
    const std::map<TaskId, Run> &runs() const { return m_runs; }
    Run *find(const TaskId &task);
    /// Resources that are certainly free. None while a run of unknown shape is there, or one that
    /// has to be alone, or the lease, which a start extends, may not be extended.
    Resources freeResources() const;
    /// Whether it is not known of some run whether it has started.
    bool hasOpenStart() const;
    /// Number of runs of the step that \a task belongs to.
    std::uint32_t runsOfStep(const TaskId &task) const;

    // Health.
    void runSucceeded(Base::Duration runTime, double estimateLogMs);
    /// Returns true if this failure ejects the executor. Successive failures of one job count once,
    /// since the job may be at fault.
    bool runFailed(const JobId &job, Base::TimePoint now);
    void backOff(Base::TimePoint until);
    /// It answers, and orders may be sent.
    bool isInService(Base::TimePoint now) const;
    /// The same, and it does not drain.
    bool isUsable(Base::TimePoint now) const;
    double speed() const { return m_speed.speed(); }
    /// The latest of the runs that have ended well, the last one at the end.
    const std::vector<EndedPace> &recentEnds() const { return m_recentEnds; }
    void addEnd(const EndedPace &end);

    /// A current listing was received under the group's token: all runs there are known, and tasks
    /// may be started.
    bool hasListing = false;
    bool isRegistered = true;
    /// Set from the first listing of a lifetime until its registration is read.
    std::optional<Base::TimePoint> awaitsRegistrationSince;
    bool isReserved = false;             // gets no tasks but the one that it is reserved for
    bool isWaitingHoldPending = false;   // a hold that waits for an end is in flight
    bool isImmediateHoldPending = false; // a hold that does not wait is in flight
    bool hasUnacknowledgedEnds = false;
    // Holds. While several of a kind are in flight, the one sent last counts.
    void holdSent(bool isImmediate, std::uint64_t number, Base::TimePoint now);
    void holdEnded(bool isImmediate, std::uint64_t number);
    std::uint64_t lastImmediateHold = 0; // numbers of those sent last
    std::uint64_t lastWaitingHold = 0;
    Base::TimePoint immediateHoldSent;
    std::uint64_t lastAnsweredHold = 0; // highest number of those answered
    /// \a isConclusive: it is certain that the executor takes no orders.
    void answerMissed(Base::TimePoint now, bool isConclusive);
    /// Gets no tasks, since it does not answer.
    bool isSilent() const { return missedAnswers > toleratedMisses; }
    int toleratedMisses = 0;                    // missed answers in a row that do not matter
    int missedAnswers = 0;                      // consecutive
    std::optional<Base::TimePoint> silentSince; // first of the missed answers
    bool isDisconnected = false; // in this silence, it closed, reset or refused a connection
    Base::TimePoint appeared;    // registration or restart noticed
    Base::TimePoint nextTry;
    Base::TimePoint lastAnswer; // to a hold under the group's token
    EndSequence seenUpTo;
    /// Set if it appeared while the group was contested: it may not have seen the token of another
    /// owner, and gets no tasks until another executor has confirmed this owner's token.
    std::optional<Base::TimePoint> unconfirmedSince;

private:
    ExecutorInfo m_info;
    Lifetime m_lifetime;
    Lifetime m_endedLifetime;
    bool m_hasEnded = false;
    std::optional<ExecutorTime> m_clock; // as of m_clockUpdated
    Base::TimePoint m_clockUpdated;
    Base::TimePoint m_leaseEnd;
    std::map<TaskId, Run> m_runs;
    Scheduling::SpeedEstimate m_speed;
    int m_consecutiveFailures = 0;
    JobId m_lastFailedJob;
    Base::TimePoint m_unusableUntil;
    std::vector<EndedPace> m_recentEnds;
};

using ExecutorMap = std::map<ExecutorId, ExecutorState>;

} // namespace Dispatch
