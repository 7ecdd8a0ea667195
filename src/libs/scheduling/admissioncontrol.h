// Decides at once whether a request can be answered before its deadline.
#pragma once

#include "taskscheduler.h"

namespace Scheduling {

/// State of the queue and of the upstreams as one request sees them. Work is in milliseconds on an
/// upstream of speed 1, capacity and load are in such milliseconds per millisecond.
struct AdmissionState
{
    std::size_t declaredUpstreams = 0; // that may ever run the kind
    std::size_t listedUpstreams = 0;   // of these, available to this domain and not leaving
    double capacity = 0;               // of this daemon's slots
    double meanSpeed = 1;
    double slowestSpeed = 1;
    double singleLoad = 0;   // arriving load of single requests
    double classLoad = 0;    // arriving load of the request's class
    double meanWorkMs = 0;   // of one task
    double upperWorkMs = 0;  // 95th percentile of one task
    double queuedWorkMs = 0; // of the request's class and the classes before it
    double teamWorkMs = 0;   // the part of queuedWorkMs of the request's team and class
    double teamShare = 1;    // weight over the weights of all active teams, this one included
    std::size_t queued = 0;
    std::size_t maxQueued = 0;
    std::size_t teamQueued = 0;
    std::size_t teamMaxQueued = 0; // 0: no quota
    bool single = false;
};

/// The verdict on \a request in \a state. A refusal carries the reason as its failure code.
Admission decideAdmission(const AdmissionRequest &request, const AdmissionState &state,
                          Base::TimePoint now);

} // namespace Scheduling
