// Decides on arrival whether a request can be answered before its deadline.
#pragma once

#include "taskscheduler.h"

namespace Scheduling {

/// State of the queue and the upstreams that is relevant to one request. Work is measured in
/// milliseconds on an upstream of speed 1, capacity and load in such milliseconds per millisecond.
struct AdmissionState
{
    std::size_t declaredUpstreams = 0; // that can run the kind
    std::size_t listedUpstreams = 0;   // of these: available to the domain, not leaving
    double capacity = 0;               // of this daemon's slots
    double meanSpeed = 1;
    double slowestSpeed = 1;
    double singleLoad = 0;   // arriving load of single requests
    double classLoad = 0;    // arriving load of the request's class
    double meanWorkMs = 0;   // of one task
    double upperWorkMs = 0;  // 95th percentile of one task
    double queuedWorkMs = 0; // of the request's class and classes of higher priority
    double teamWorkMs = 0;   // the part of queuedWorkMs of the request's team and class
    double teamShare = 1;    // weight / sum of the weights of all active teams and this one
    std::size_t queued = 0;
    std::size_t maxQueued = 0;
    std::size_t teamQueued = 0;
    std::size_t teamMaxQueued = 0; // 0: no quota
    bool single = false;
};

/// Admits or refuses \a request. The failure code of a refusal states the reason.
Admission decideAdmission(const AdmissionRequest &request, const AdmissionState &state,
                          Base::TimePoint now);

} // namespace Scheduling
