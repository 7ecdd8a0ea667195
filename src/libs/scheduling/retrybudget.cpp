// Token bucket that is refilled by successes and over time.
#include "retrybudget.h"

#include <algorithm>

namespace Scheduling {

RetryBudget::RetryBudget(double retriesPerSuccess, double minimumPerSecond, double maxBalance)
    : m_retriesPerSuccess(retriesPerSuccess)
    , m_minimumPerSecond(minimumPerSecond)
    , m_maxBalance(maxBalance)
    , m_balance(maxBalance)
{}

void RetryBudget::taskSucceeded()
{
    m_balance = std::min(m_maxBalance, m_balance + m_retriesPerSuccess);
}

bool RetryBudget::tryRetry(Base::TimePoint now)
{
    if (m_lastRefill != Base::TimePoint()) {
        const double seconds = std::chrono::duration<double>(now - m_lastRefill).count();
        m_balance = std::min(m_maxBalance, m_balance + seconds * m_minimumPerSecond);
    }
    m_lastRefill = now;
    if (m_balance < 1)
        return false;
    m_balance -= 1;
    return true;
}

} // namespace Scheduling
