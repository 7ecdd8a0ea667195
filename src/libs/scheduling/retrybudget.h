// Limits retries to a fraction of the successful tasks.
#pragma once

#include <base/timers.h>

namespace Scheduling {

/// Token bucket. Each success adds a fraction of a retry. A low rate is added over time, so that
/// retries remain possible while few tasks succeed. The balance is limited, and with it the size of
/// a burst of retries.
class RetryBudget
{
public:
    /// \a retriesPerSuccess such as 0.1; \a minimumPerSecond such as 1; \a maxBalance in retries.
    RetryBudget(double retriesPerSuccess, double minimumPerSecond, double maxBalance);

    void taskSucceeded();
    /// Takes one retry from the balance. Returns false if none is left.
    bool tryRetry(Base::TimePoint now);

private:
    const double m_retriesPerSuccess;
    const double m_minimumPerSecond;
    const double m_maxBalance;
    double m_balance;
    Base::TimePoint m_lastRefill;
};

} // namespace Scheduling
