// Chooses the groups in which tasks wait that can't start at once. Addresses 30 to 37 daemons with
// the same load reports, which are up to 600 ms old: if all chose the group with the shortest wait,
// it would have the longest one with the next report.
#pragma once

#include "dispatchtypes.h"

#include <optional>
#include <vector>

namespace Dispatch {

/// Takes the better of two random groups among those with similar waits (power of two choices).
/// Performs no I/O.
class QueueChoice
{
public:
    struct Option
    {
        GroupId group;
        bool isRemote = false;      // in another failure domain
        Base::Duration forecast{0}; // wait as forecast, with the work sent since
        Base::Duration offset{0};   // correction by the learned error
        double capacity = 0;        // thousandths of a core at the speed of the executors
    };

    /// Random choices depend on \a seed only.
    QueueChoice(std::vector<Option> options, std::uint64_t seed);

    /// The group for the next task, of \a work thousandths of a core times seconds, and the wait
    /// that is forecast there with the tasks that were placed before. Tasks of one job stay
    /// together while the waits are similar, since each further group costs a message. No value if
    /// there is no group.
    struct Choice
    {
        GroupId group;
        Base::Duration forecast{0};
    };
    std::optional<Choice> next(double work);

private:
    struct Entry
    {
        Option option;
        Base::Duration added{0}; // by the tasks placed so far
    };

    static Base::Duration cost(const Entry &entry);
    Entry &better(const std::vector<Entry *> &entries);

    std::vector<Entry> m_entries;
    std::optional<std::size_t> m_last; // index of the last choice
    std::uint64_t m_state;             // of the random numbers
};

} // namespace Dispatch
