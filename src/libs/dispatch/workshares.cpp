// Decaying sums of started and missed work.
#include "workshares.h"

#include <cmath>

namespace Dispatch {

/// No priority is served less than this fraction of the mean of its service while it has tasks that
/// can still be in time.
static constexpr double GUARANTEED_FRACTION = 0.95;
/// Counts decay to 1/e in this time: longer than the bursts of 4 to 6 s, shorter than the periods
/// of 13 s of an oscillating demand.
static constexpr std::chrono::seconds DECAY_S{10};

WorkShares::Counts WorkShares::decayed(const Counts &counts, Base::TimePoint now)
{
    const double age = std::chrono::duration<double>(now - counts.updated).count();
    const double factor = std::exp(-age / std::chrono::duration<double>(DECAY_S).count());
    return {counts.started * factor, counts.decided * factor, now};
}

void WorkShares::add(const ServiceId &service, std::uint32_t priority, double started,
                     double decided, Base::TimePoint now)
{
    Counts &counts = m_counts[{priority, service}];
    counts = decayed(counts, now);
    counts.started += started;
    counts.decided += decided;
}

void WorkShares::started(const ServiceId &service, std::uint32_t priority, double work,
                         Base::TimePoint now)
{
    add(service, priority, work, work, now);
}

void WorkShares::missed(const ServiceId &service, std::uint32_t priority, double work,
                        Base::TimePoint now)
{
    add(service, priority, 0, work, now);
}

std::vector<WorkShares::Deficit> WorkShares::deficits(Base::TimePoint now) const
{
    std::map<ServiceId, Counts> sums;
    for (const auto &[key, counts] : m_counts) {
        const Counts current = decayed(counts, now);
        sums[key.second].started += current.started;
        sums[key.second].decided += current.decided;
    }
    std::vector<Deficit> result;
    for (const auto &[key, counts] : m_counts) {
        const Counts &sum = sums.at(key.second);
        if (sum.decided <= 0)
            continue;
        const Counts current = decayed(counts, now);
        const double guaranteed =
            GUARANTEED_FRACTION * (sum.started / sum.decided) * current.decided;
        if (current.started < guaranteed)
            result.push_back({key.second, key.first, guaranteed - current.started});
    }
    return result;
}

} // namespace Dispatch
