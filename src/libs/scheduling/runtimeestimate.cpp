// Exponentially weighted moving average and mean deviation.
#include "runtimeestimate.h"

#include "schedulingconstants.h"

#include <algorithm>
#include <cmath>

namespace Scheduling {

/// For admission, an estimate is halved for each half-life without a result, after a grace period
/// of at least MIN_ESTIMATE_AGE_S.
static constexpr std::chrono::seconds ESTIMATE_HALF_LIFE_S{5};
static constexpr std::chrono::seconds MIN_ESTIMATE_AGE_S{1};

static double toMs(Base::Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

static Base::Duration fromMs(double ms)
{
    return std::chrono::duration_cast<Base::Duration>(
        std::chrono::duration<double, std::milli>(ms));
}

RunTimeEstimate::RunTimeEstimate(Base::Duration declared)
    : m_meanMs(toMs(declared.count() > 0 ? declared : Constants::DEFAULT_RUN_TIME_MS))
    , m_logMean(std::log(m_meanMs))
{}

void RunTimeEstimate::add(Base::Duration runTime, double speed, Base::TimePoint now)
{
    const double ms = std::max(toMs(runTime) * speed, 0.001);
    m_count += 1;
    m_lastResult = now;
    const double weight = std::max(Constants::RUN_TIME_NEWEST_WEIGHT, 1 / m_count);
    const double deviation = std::abs(ms - m_meanMs);
    m_deviationMs = m_count > 1 ? m_deviationMs + weight * (deviation - m_deviationMs) : 0;
    m_meanMs += weight * (ms - m_meanMs);
    const double residual = std::log(ms) - m_logMean;
    // The same bound as in SpeedEstimate; with different bounds both would drift together.
    m_logMean += m_count < Constants::RUN_TIME_LEARNED_RESULTS
                     ? weight * residual
                     : weight
                           * std::clamp(residual, -Constants::MAX_SPEED_RESIDUAL,
                                        Constants::MAX_SPEED_RESIDUAL);
}

Base::Duration RunTimeEstimate::mean() const
{
    return fromMs(m_meanMs);
}

double RunTimeEstimate::admissionDiscount(Base::TimePoint now) const
{
    const double floor = 1 / Constants::DECLARED_RUN_TIME_ERROR_FACTOR;
    if (m_count < Constants::RUN_TIME_LEARNED_RESULTS)
        return floor;
    // Slow kinds give results rarely even while their tasks run.
    const double grace = std::max(toMs(MIN_ESTIMATE_AGE_S), 3 * (m_meanMs + m_deviationMs));
    const double idle = std::max(0.0, toMs(now - m_lastResult) - grace);
    return std::max(floor, std::exp2(-idle / toMs(ESTIMATE_HALF_LIFE_S)));
}

Base::Duration RunTimeEstimate::optimisticMean(Base::TimePoint now) const
{
    return fromMs(m_meanMs * admissionDiscount(now));
}

Base::Duration RunTimeEstimate::optimisticUpper(Base::TimePoint now) const
{
    return fromMs((m_meanMs + 2 * m_deviationMs) * admissionDiscount(now));
}

} // namespace Scheduling
