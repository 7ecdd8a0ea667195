// Learned run time of the tasks of one kind.
#pragma once

#include <base/timers.h>

namespace Scheduling {

/// Run time on an upstream of speed 1. Starts at the declared run time, which can be wrong by a
/// factor of ten, and follows the results.
class RunTimeEstimate
{
public:
    explicit RunTimeEstimate(Base::Duration declared);

    /// A task took \a runTime on an upstream of speed \a speed.
    void add(Base::Duration runTime, double speed, Base::TimePoint now);

    Base::Duration mean() const;
    /// Mean of the logarithm of the run time in milliseconds.
    double logMean() const { return m_logMean; }
    /// For admission: a low estimate while little is known or the last result is old, since
    /// refusing everything on a wrong estimate would leave it wrong for ever.
    Base::Duration cautiousMean(Base::TimePoint now) const;
    /// Mean plus two mean deviations, about the 95th percentile, with the same caution.
    Base::Duration cautiousUpper(Base::TimePoint now) const;
    double resultCount() const { return m_count; }

private:
    double caution(Base::TimePoint now) const;

    double m_meanMs;
    double m_deviationMs = 0;
    double m_logMean;
    double m_count = 0;
    Base::TimePoint m_lastResult;
};

} // namespace Scheduling
