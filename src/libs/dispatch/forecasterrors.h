// Learned errors of the waits that groups forecast. Addresses what no owner can foresee: load
// reports that are 25 to 600 ms old, tasks that other daemons send meanwhile, tasks of higher
// priorities that arrive later, and orders without an answer.
#pragma once

#include "dispatchtypes.h"

#include <compare>
#include <cstdint>
#include <map>

namespace Dispatch {

/// What the waits of one group, priority and placement were expected to be, against what passed
/// until the tasks were reported as started. Performs no I/O. Errors fade within a second or two,
/// so that after a burst a daemon that admits nothing, and thus observes nothing, starts again.
class ForecastErrors
{
public:
    struct Key
    {
        GroupId group;
        std::uint32_t priority = 0;
        bool isQueued = false; // false: the task was expected to start at once

        auto operator<=>(const Key &) const = default; // NOLINT(modernize-use-nullptr)
    };

    struct Correction
    {
        Base::Duration offset{0};    // to be added to a forecast; may be negative
        Base::Duration deviation{0}; // mean absolute deviation from that
    };

    /// A task waited for \a actual.
    void add(const Key &key, Base::Duration forecast, Base::Duration actual, Base::TimePoint now);
    /// A task has waited for \a waited, and still does. It counts only if the corrected forecast
    /// was shorter: otherwise only the tasks that were fast would count during a rise of the load.
    void addWaiting(const Key &key, Base::Duration forecast, Base::Duration waited,
                    Base::TimePoint now);
    Correction at(const Key &key, Base::TimePoint now) const;
    /// Discards what is known of a group whose owner is lost or has changed.
    void forget(const GroupId &group);

    /// Mean of the corrections of all groups, and of their absolute values, for the metrics.
    Base::Duration meanOffset(Base::TimePoint now) const;
    Base::Duration meanAbsoluteOffset(Base::TimePoint now) const;

private:
    struct Entry
    {
        double offsetMs = 0;
        double deviationMs = 0;
        double count = 0; // of observations, decaying
        Base::TimePoint updated;
    };

    static double retention(const Entry &entry, Base::TimePoint now);

    std::map<Key, Entry> m_entries;
};

} // namespace Dispatch
