// Estimated run time of the tasks of one kind.
#pragma once

#include <base/timers.h>

namespace Scheduling {

/// Run time on an upstream of speed 1. Starts from the declared run time, which can be wrong by a
/// factor of ten, and is updated with each result.
class RunTimeEstimate
{
public:
    explicit RunTimeEstimate(Base::Duration declared);

    /// Records that a task took \a runTime on an upstream of speed \a speed.
    void add(Base::Duration runTime, double speed, Base::TimePoint now);

    Base::Duration mean() const;
    /// Mean of the logarithm of the run time in milliseconds.
    double logMean() const { return m_logMean; }
    /// Estimate for admission, which is reduced while there are few results or the last one is old.
    /// Otherwise an estimate that is too high could refuse all requests and never be corrected.
    Base::Duration optimisticMean(Base::TimePoint now) const;
    /// Mean plus two mean deviations, about the 95th percentile, reduced in the same way.
    Base::Duration optimisticUpper(Base::TimePoint now) const;
    double resultCount() const { return m_count; }

private:
    double admissionDiscount(Base::TimePoint now) const;

    double m_meanMs;
    double m_deviationMs = 0;
    double m_logMean;
    double m_count = 0;
    Base::TimePoint m_lastResult;
};

} // namespace Scheduling
