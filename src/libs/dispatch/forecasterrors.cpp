// Means that decay with time as well as with each observation.
#include "forecasterrors.h"

#include <algorithm>
#include <cmath>

namespace Dispatch {

using FloatMs = std::chrono::duration<double, std::milli>;

/// Time constant of the decay. Bursts last 4 to 6 s, and callers wait 1.5 s: an error of the last
/// burst must not reject the jobs after it.
static constexpr FloatMs DECAY_MS{700};
/// Observations that a mean spans at most.
static constexpr double MAX_COUNT = 12;
/// Observations without an error that an empty entry is taken to have: a single late task does not
/// set the mean.
static constexpr double PRIOR_COUNT = 2;
/// A single observation counts at most this much: longer than any caller waits.
static constexpr double MAX_ERROR_MS = 2000;
/// Without observations, forecasts are expected to be off by this: the interval of load reports.
static constexpr double MIN_DEVIATION_MS = 10;

static Base::Duration toDuration(double ms)
{
    return std::chrono::duration_cast<Base::Duration>(FloatMs(ms));
}

double ForecastErrors::retention(const Entry &entry, Base::TimePoint now)
{
    return std::exp(-FloatMs(now - entry.updated) / DECAY_MS);
}

void ForecastErrors::add(const Key &key, Base::Duration forecast, Base::Duration actual,
                         Base::TimePoint now)
{
    Entry &entry = m_entries[key];
    const double kept = entry.count > 0 ? retention(entry, now) : 0;
    entry.offsetMs *= kept;
    entry.deviationMs *= kept;
    entry.count = std::min(entry.count * kept + 1, MAX_COUNT);
    entry.updated = now;
    const double error =
        std::clamp(FloatMs(actual - forecast).count(), -MAX_ERROR_MS, MAX_ERROR_MS);
    const double weight = 1 / (entry.count + PRIOR_COUNT);
    entry.offsetMs += weight * (error - entry.offsetMs);
    entry.deviationMs += weight * (std::abs(error - entry.offsetMs) - entry.deviationMs);
}

void ForecastErrors::addWaiting(const Key &key, Base::Duration forecast, Base::Duration waited,
                                Base::TimePoint now)
{
    if (waited > forecast + at(key, now).offset)
        add(key, forecast, waited, now);
}

ForecastErrors::Correction ForecastErrors::at(const Key &key, Base::TimePoint now) const
{
    const auto it = m_entries.find(key);
    if (it == m_entries.end())
        return {Base::Duration(0), toDuration(MIN_DEVIATION_MS)};
    const double kept = retention(it->second, now);
    return {toDuration(it->second.offsetMs * kept),
            toDuration(std::max(it->second.deviationMs * kept, MIN_DEVIATION_MS))};
}

void ForecastErrors::forget(const GroupId &group)
{
    std::erase_if(m_entries, [&group](const auto &it) { return it.first.group == group; });
}

Base::Duration ForecastErrors::meanOffset(Base::TimePoint now) const
{
    double sum = 0;
    for (const auto &[key, it] : m_entries)
        sum += it.offsetMs * retention(it, now);
    return toDuration(m_entries.empty() ? 0 : sum / static_cast<double>(m_entries.size()));
}

Base::Duration ForecastErrors::meanAbsoluteOffset(Base::TimePoint now) const
{
    double sum = 0;
    for (const auto &[key, it] : m_entries)
        sum += std::abs(it.offsetMs) * retention(it, now);
    return toDuration(m_entries.empty() ? 0 : sum / static_cast<double>(m_entries.size()));
}

} // namespace Dispatch
