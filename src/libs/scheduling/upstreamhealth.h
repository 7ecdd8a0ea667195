// Detects an upstream that fails everything.
#pragma once

#include "taskscheduler.h"

namespace Scheduling {

/// Health of one upstream. Ejection is proposed here and decided by the UpstreamPool, which bounds
/// the number of ejected upstreams.
class UpstreamHealth
{
public:
    /// \a poolFailureRate is the recent share of failures among the results of all upstreams: where
    /// most tasks fail everywhere, the tasks are at fault and not the upstream.
    /// Returns true if the upstream ought to be ejected.
    bool add(TaskResult result, double poolFailureRate);

    /// Stops regular use until a probe succeeds. The first probe is due after a second, each later
    /// one after twice the time.
    void eject(Base::TimePoint now);
    bool isEjected() const { return m_ejected; }
    Base::TimePoint nextProbe() const { return m_nextProbe; }
    bool isProbeDue(Base::TimePoint now) const { return m_ejected && now >= m_nextProbe; }
    /// A probe succeeded.
    void reinstate(Base::TimePoint now);

private:
    int m_consecutiveFailures = 0;
    double m_failureRate = 0;
    double m_resultCount = 0;
    bool m_ejected = false;
    Base::Duration m_probeInterval{0};
    Base::TimePoint m_nextProbe;
    Base::TimePoint m_reinstated;
};

} // namespace Scheduling
