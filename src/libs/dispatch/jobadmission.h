// Decides whether a job is admitted, from the wait that is expected for its tasks and the spread of
// their run times. Addresses the load of docs/hard-load.md, of up to 2.6 times the capacity in
// three priorities: jobs that waited in vain until their callers gave up, and the share of the
// lowest priority, 0.79 against 0.90 of the others, under a queue with strict priorities.
#pragma once

#include "dispatchtypes.h"

#include <functional>
#include <map>
#include <optional>

namespace Dispatch {

/// Wait until the last task of a set starts.
struct WaitEstimate
{
    Base::Duration wait{0};
    Base::Duration deviation{0}; // mean absolute deviation
};

/// What is known of a job on its arrival.
struct JobProfile
{
    JobId job;
    ServiceId service;
    std::uint32_t priority = 0;
    Resources shape;         // of a task
    std::uint32_t tasks = 1; // that run at the same time
    Base::Duration chain{0}; // critical path, by the estimates
    Base::Duration objective{0};
    Base::Duration useful{0}; // a later answer is of no use, or the caller has stopped waiting
    double work = 0;          // of all tasks, in thousandths of a core times seconds
};

enum class Admission {
    Admitted,
    NoChance,   ///< The answer would come too late to be of use.
    Proportion, ///< Rejected in proportion, since room is short for a lower priority.
};

/// Performs no I/O. A job is worth 1 up to its objective and a fifth after that. It is rejected if
/// the wait leaves less than a share of what it would be worth on an idle system, so that a job is
/// never rejected for its estimate or its size alone. While a lower priority is without room, an
/// equal share of the higher ones is rejected, which no decision on single jobs would do: their own
/// waits are short because they take the room.
class JobAdmission
{
public:
    using WaitFunction = std::function<std::optional<WaitEstimate>(const JobProfile &)>;

    Admission decide(const JobProfile &job, const WaitEstimate &estimate, Base::TimePoint now);
    /// Whether a job of which nothing has started after \a elapsed is without a chance, though a
    /// task that has waited is served before those that arrive now. \a estimate is for the latter,
    /// \a atAdmission was the expected wait at the arrival of the job.
    static bool isHopeless(const JobProfile &job, const WaitEstimate &estimate,
                           Base::Duration atAdmission, Base::Duration elapsed);
    /// Time in whole seconds until a job that is rejected now could be served, spread over callers.
    Base::Duration retryAfter(const JobProfile &job, const WaitEstimate &estimate) const;
    /// Adjusts the shares to be rejected in proportion; called every PRESSURE_INTERVAL_MS or less
    /// often. \a waitOf is asked for a job of each kind seen in the last seconds.
    void updatePressure(const WaitFunction &waitOf, Base::TimePoint now);

    /// Expected worth of the answer, from 0 to 1.
    static double expectedWorth(const JobProfile &job, const WaitEstimate &estimate);
    /// Share of the jobs of this kind that are rejected in proportion.
    double rejectedShare(const ServiceId &service, std::uint32_t priority) const;

private:
    struct SizeClass
    {
        double offered = 0;
        double admitted = 0;
    };

    struct Kind
    {
        JobProfile typical; // the last job, with the means of sizes and times
        Base::TimePoint lastSeen;
        SizeClass all;
        SizeClass large;
        bool isShortOfRoom = false;     // at present: jobs of this kind wait
        double recentOffered = 0;       // jobs of the last seconds
        double recentWithoutChance = 0; // of these, rejected for the wait
        double pressure = 0;            // share of these, which higher priorities give up too
        double credit = 0;              // rejections in proportion that are due
        WaitEstimate estimate;          // of the typical job
    };

    using Key = std::pair<ServiceId, std::uint32_t>;

    static bool isLarge(const Kind &kind, const JobProfile &job);
    static double requiredShare(const Kind &kind, const JobProfile &job);
    void learn(Kind &kind, const JobProfile &job, Base::TimePoint now);
    const Kind *shortestOfRoom(const ServiceId &service, std::uint32_t priority) const;
    bool isHighest(const ServiceId &service, std::uint32_t priority) const;

    std::map<Key, Kind> m_kinds;
    Base::TimePoint m_lastUpdate;
};

} // namespace Dispatch
