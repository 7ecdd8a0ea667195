// Learned speed of one upstream relative to the others.
#pragma once

#include <base/timers.h>

namespace Scheduling {

/// Speed 1 is the speed for which the run times of the kinds hold; 2 is twice as fast. The mean is
/// taken over logarithms, which makes it robust to single long tasks.
class SpeedEstimate
{
public:
    /// A task took \a runTime; \a kindLogMean is the mean logarithm of its kind's run time in ms at
    /// speed 1.
    void add(Base::Duration runTime, double kindLogMean);

    double speed() const { return m_speed; }
    /// Step of the speed on a logarithmic scale; higher is faster.
    int bucket() const { return m_bucket; }
    /// Lowest speed of \a bucket.
    static double bucketSpeed(int bucket);

private:
    double m_logSpeed = 0;
    double m_speed = 1;
    double m_count = 0;
    int m_bucket = bucketOf(0);

    static int bucketOf(double logSpeed);
};

} // namespace Scheduling
