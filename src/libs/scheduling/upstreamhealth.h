// Detects upstreams that fail all or most of their tasks.
#pragma once

#include "taskscheduler.h"

namespace Scheduling {

/// Health of one upstream. This class proposes ejection; the UpstreamPool decides and limits the
/// number of ejected upstreams.
class UpstreamHealth
{
public:
    /// Returns true if the upstream should be ejected. \a poolFailureRate is the recent failure
    /// rate of all upstreams: if most tasks fail everywhere, the tasks are at fault, not the
    /// upstream.
    bool add(TaskResult result, double poolFailureRate);

    /// Stops regular use until a probe succeeds. The first probe is due after a second; the
    /// interval doubles with each further one.
    void eject(Base::TimePoint now);
    bool isEjected() const { return m_ejected; }
    Base::TimePoint nextProbe() const { return m_nextProbe; }
    bool isProbeDue(Base::TimePoint now) const { return m_ejected && now >= m_nextProbe; }
    /// Resumes regular use after a successful probe.
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
