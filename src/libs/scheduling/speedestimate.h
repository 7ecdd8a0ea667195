// Estimated speed of one upstream relative to the others.
#pragma once

#include <base/timers.h>

namespace Scheduling {

/// The run times of the kinds refer to speed 1; speed 2 is twice as fast. The mean is taken over
/// logarithms, which makes it robust against single long tasks.
class SpeedEstimate
{
public:
    /// Records that a task took \a runTime. \a kindLogMean is the mean logarithm of the run time of
    /// its kind, in ms at speed 1.
    void add(Base::Duration runTime, double kindLogMean);

    double speed() const { return m_speed; }
    /// Index of the speed on a logarithmic scale; higher is faster.
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
