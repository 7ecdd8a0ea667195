// Limits retries to a fraction of the successes.
#pragma once

#include <base/timers.h>

namespace Scheduling {

/// Each success earns a part of a retry; a small rate is earned by time, so that retries do not
/// end where little succeeds. The balance is bounded, which bounds a burst of retries.
class RetryBudget
{
public:
    /// \a retriesPerSuccess such as 0.1; \a minimumPerSecond such as 1; \a maxBalance in retries.
    RetryBudget(double retriesPerSuccess, double minimumPerSecond, double maxBalance);

    void taskSucceeded();
    /// Takes one retry from the balance; false if none is left.
    bool tryRetry(Base::TimePoint now);

private:
    const double m_retriesPerSuccess;
    const double m_minimumPerSecond;
    const double m_maxBalance;
    double m_balance;
    Base::TimePoint m_lastEarned;
};

} // namespace Scheduling
