// Receives events of requests and tasks, for the event log and the metrics.
#pragma once

#include "jobrecord.h"

#include <base/failure.h>

namespace Jobs {

class JobObserver
{
public:
    virtual ~JobObserver() = default;

    virtual void requestAccepted(const JobRecord &) {}
    virtual void requestRefused(const Submission &, Base::FailureCode) {}
    virtual void requestDecided(const JobRecord &) {}
    virtual void taskStarted(const JobRecord &, std::size_t, const Base::UpstreamId &) {}
    virtual void taskEnded(const JobRecord &, std::size_t, Base::FailureCode) {}
    virtual void recoveryStarted(const Base::ShardId &, Base::Epoch) {}
    virtual void recoveryFinished(const Base::ShardId &, Base::Epoch) {}
};

} // namespace Jobs
