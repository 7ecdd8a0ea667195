// Minimum shares of the priorities in the work that is started.
//
// The load that it answers: three priorities that together need more than there is. By strict
// priority the lowest one gets the remainder only: 0.79 of it was served, and 0.90 of the others,
// although its jobs are worth more per core-second than those of the middle one.
#pragma once

#include "dispatchtypes.h"

#include <map>
#include <utility>
#include <vector>

namespace Dispatch {

/// Counts work whose fate is decided: it was started in time, or it missed its objective while
/// waiting. A priority is behind if the share of its work that was started in time is below the
/// guaranteed fraction of that of its whole service. Without overload nothing is missed, and strict
/// priority applies. Older counts decay.
class WorkShares
{
public:
    /// \a work in thousandths of a core times seconds, as in TaskQueue.
    void started(const ServiceId &service, std::uint32_t priority, double work,
                 Base::TimePoint now);
    void missed(const ServiceId &service, std::uint32_t priority, double work, Base::TimePoint now);

    /// A priority that is behind, and the work that it lacks.
    struct Deficit
    {
        ServiceId service;
        std::uint32_t priority = 0;
        double work = 0;
    };
    /// In the order of the priorities.
    std::vector<Deficit> deficits(Base::TimePoint now) const;

private:
    struct Counts
    {
        double started = 0;
        double decided = 0; // started or missed
        Base::TimePoint updated;
    };

    static Counts decayed(const Counts &counts, Base::TimePoint now);
    void add(const ServiceId &service, std::uint32_t priority, double started, double decided,
             Base::TimePoint now);

    std::map<std::pair<std::uint32_t, ServiceId>, Counts> m_counts; // by priority and service
};

} // namespace Dispatch
