// Exponentially weighted moving average of the logarithm of the speed.
#include "speedestimate.h"

#include "schedulingconstants.h"

#include <algorithm>
#include <cmath>

namespace Scheduling {

int SpeedEstimate::bucketOf(double logSpeed)
{
    const double steps = logSpeed / Constants::SPEED_STEP + Constants::SPEED_BUCKETS / 2.0;
    return std::clamp(static_cast<int>(std::floor(steps)), 0, Constants::SPEED_BUCKETS - 1);
}

double SpeedEstimate::bucketSpeed(int bucket)
{
    return std::exp((bucket - Constants::SPEED_BUCKETS / 2.0) * Constants::SPEED_STEP);
}

void SpeedEstimate::add(Base::Duration runTime, double kindLogMean)
{
    const double ms = std::max(std::chrono::duration<double, std::milli>(runTime).count(), 0.001);
    m_count += 1;
    const double weight = std::max(Constants::SPEED_NEWEST_WEIGHT, 1 / (m_count + 1));
    const double residual = kindLogMean - std::log(ms) - m_logSpeed;
    m_logSpeed +=
        weight
        * std::clamp(residual, -Constants::MAX_SPEED_RESIDUAL, Constants::MAX_SPEED_RESIDUAL);
    m_speed = std::exp(m_logSpeed);
    m_bucket = bucketOf(m_logSpeed);
}

} // namespace Scheduling
