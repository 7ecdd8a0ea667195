// Counts consecutive failures and compares the failure rate with that of the pool.
#include "upstreamhealth.h"

#include <algorithm>

namespace Scheduling {

/// An executor with 8 slots reaches this within a second if tasks take up to a second.
static constexpr int CONSECUTIVE_FAILURES = 5;
/// Detects upstreams that fail most tasks, but not all.
static constexpr double FAILURE_RATE = 0.5;
static constexpr double MIN_RATE_RESULTS = 20;
static constexpr double RATE_NEWEST_WEIGHT = 0.05;
/// Minimum ratio of the failure rate of an ejected upstream to that of the pool.
static constexpr double MIN_RATIO_TO_POOL = 2;
static constexpr std::chrono::seconds FIRST_PROBE_INTERVAL_S{1};
static constexpr std::chrono::seconds MAX_PROBE_INTERVAL_S{30};

bool UpstreamHealth::add(TaskResult result, double poolFailureRate)
{
    if (result == TaskResult::Cancelled)
        return false;
    const double failed = result == TaskResult::Succeeded ? 0 : 1;
    m_resultCount += 1;
    m_failureRate += std::max(RATE_NEWEST_WEIGHT, 1 / m_resultCount) * (failed - m_failureRate);
    if (result == TaskResult::Succeeded) {
        m_consecutiveFailures = 0;
        return false;
    }
    ++m_consecutiveFailures;
    const bool failsAll = m_consecutiveFailures >= CONSECUTIVE_FAILURES;
    const bool failsMost = m_resultCount >= MIN_RATE_RESULTS && m_failureRate > FAILURE_RATE;
    if (failsAll)
        return poolFailureRate * MIN_RATIO_TO_POOL < 1;
    return failsMost && m_failureRate > poolFailureRate * MIN_RATIO_TO_POOL;
}

void UpstreamHealth::eject(Base::TimePoint now)
{
    // If an upstream fails again soon after it was reinstated, its probe interval keeps growing.
    const bool relapsed = m_probeInterval.count() > 0 && now - m_reinstated < m_probeInterval * 4;
    if (m_ejected || relapsed) {
        m_probeInterval = std::min<Base::Duration>(m_probeInterval * 2, MAX_PROBE_INTERVAL_S);
    } else {
        m_probeInterval = FIRST_PROBE_INTERVAL_S;
    }
    m_ejected = true;
    m_nextProbe = now + m_probeInterval;
}

void UpstreamHealth::reinstate(Base::TimePoint now)
{
    m_ejected = false;
    m_reinstated = now;
    m_consecutiveFailures = 0;
    m_failureRate = 0;
    m_resultCount = 0;
}

} // namespace Scheduling
