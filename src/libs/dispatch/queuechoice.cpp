// Power of two choices among the groups with similar waits.
#include "queuechoice.h"

#include <algorithm>
#include <random>
#include <utility>

namespace Dispatch {

using std::chrono::milliseconds;

/// Added to the waits in other failure domains: two link delays of 1.4 ms for each order and
/// report, messages between failure domains, and reports that are older by 150 ms or more.
static constexpr milliseconds REMOTE_COST_MS{10};
/// Waits that differ by less are similar: load reports are 25 to 50 ms old within a domain.
static constexpr milliseconds SIMILAR_MS{15};
/// The same relative to the shortest wait.
static constexpr double SIMILAR_SHARE = 0.25;

QueueChoice::QueueChoice(std::vector<Option> options, std::uint64_t seed)
    : m_state(seed)
{
    for (Option &it : options)
        m_entries.push_back({std::move(it), {}});
}

Base::Duration QueueChoice::cost(const Entry &entry)
{
    const Base::Duration wait =
        std::max(entry.option.forecast + entry.option.offset + entry.added, Base::Duration(0));
    return wait + (entry.option.isRemote ? REMOTE_COST_MS : milliseconds(0));
}

QueueChoice::Entry &QueueChoice::better(const std::vector<Entry *> &entries)
{
    // Not minstd_rand: its first numbers from neighbouring seeds are alike.
    std::mt19937_64 random(m_state);
    m_state = random();
    const std::size_t first = random() % entries.size();
    if (entries.size() == 1)
        return *entries[first];
    std::size_t second = random() % (entries.size() - 1);
    if (second >= first)
        ++second;
    return cost(*entries[second]) < cost(*entries[first]) ? *entries[second] : *entries[first];
}

std::optional<QueueChoice::Choice> QueueChoice::next(double work)
{
    if (m_entries.empty())
        return std::nullopt;
    Base::Duration shortest = Base::Duration::max();
    for (const Entry &it : m_entries)
        shortest = std::min(shortest, cost(it));
    const Base::Duration limit =
        shortest
        + std::max<Base::Duration>(
            SIMILAR_MS, std::chrono::duration_cast<Base::Duration>(shortest * SIMILAR_SHARE));
    if (!m_last || cost(m_entries[*m_last]) > limit) {
        std::vector<Entry *> similar;
        for (Entry &it : m_entries) {
            if (cost(it) <= limit)
                similar.push_back(&it);
        }
        m_last = static_cast<std::size_t>(&better(similar) - m_entries.data());
    }
    Entry &chosen = m_entries[*m_last];
    Choice choice{chosen.option.group, chosen.option.forecast + chosen.added};
    if (chosen.option.capacity > 0)
        chosen.added += std::chrono::duration_cast<Base::Duration>(
            std::chrono::duration<double>(work / chosen.option.capacity));
    return choice;
}

} // namespace Dispatch
