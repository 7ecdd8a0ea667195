// Estimates the response time from the queued work, the capacity and the team's share of it.
#include "admissioncontrol.h"

#include <base/failure.h>

#include <algorithm>

namespace Scheduling {

/// Factor on the estimated queueing time. Without it most answers would be late, because work that
/// is admitted but not yet queued is not counted, and because estimates can be too low.
static constexpr double WAIT_SAFETY_FACTOR = 1.25;
/// Assumed lower bound of the fraction of the capacity that single requests leave to jobs.
static constexpr double MIN_JOB_CAPACITY = 0.05;
/// Lower bound of the fraction of the capacity that the load leaves free. The load is an average
/// in which a short burst looks like lasting load.
static constexpr double MIN_SPARE_CAPACITY = 0.1;
/// Upper bound of the time until lent slots, or the slots of a lost daemon, are usable again.
static constexpr std::chrono::milliseconds SLOT_RETURN_MS{3000};
static constexpr std::chrono::milliseconds MIN_RETRY_AFTER_MS{100};
static constexpr std::chrono::milliseconds MAX_RETRY_AFTER_MS{30'000};
static constexpr std::chrono::milliseconds DEFAULT_RETRY_AFTER_MS{1000};

static Base::Duration fromMs(double ms)
{
    return std::chrono::duration_cast<Base::Duration>(
        std::chrono::duration<double, std::milli>(ms));
}

static Admission refuse(Base::FailureCode code, const char *message, Base::Duration retryAfter)
{
    return {Base::makeFailure(code, message), retryAfter, Base::Duration(0)};
}

/// Estimated time until the last task of \a request starts, in ms.
static double waitMs(const AdmissionRequest &request, const AdmissionState &state)
{
    const double ownWork = request.taskCount * state.meanWorkMs;
    double capacity = state.capacity;
    if (!state.single)
        capacity = std::max(capacity - state.singleLoad, capacity * MIN_JOB_CAPACITY);
    // If nothing is queued, the first tasks start at once in free slots.
    const double freeSlotWork =
        state.queuedWorkMs > 0 ? 0 : capacity / state.meanSpeed * state.meanWorkMs;
    // Under fair queueing, later arrivals of other teams can start first. They take at most the
    // load's fraction of the capacity, and always leave the team its share.
    const double spare = std::max(capacity - state.classLoad, capacity * MIN_SPARE_CAPACITY);
    const double queueOrderWork = (state.queuedWorkMs + ownWork) * capacity / spare;
    const double teamShareWork = (state.teamWorkMs + ownWork) / state.teamShare;
    return std::max(0.0, std::min(queueOrderWork, teamShareWork) - freeSlotWork) / capacity;
}

Admission decideAdmission(const AdmissionRequest &request, const AdmissionState &state,
                          Base::TimePoint now)
{
    using Base::FailureCode;
    if (state.declaredUpstreams == 0) {
        return refuse(FailureCode::Unservable,
                      "no declared upstream has the kind's group and resources", {});
    }
    if (state.listedUpstreams == 0) {
        return refuse(FailureCode::Overloaded, "no upstream for the kind is available",
                      DEFAULT_RETRY_AFTER_MS);
    }
    if (state.teamMaxQueued > 0 && state.teamQueued + request.taskCount > state.teamMaxQueued) {
        return refuse(FailureCode::QuotaExceeded, "the team's queued tasks would exceed its quota",
                      DEFAULT_RETRY_AFTER_MS);
    }
    const Base::Duration left = request.deadline - now;
    const Base::Duration run =
        fromMs(state.upperWorkMs / std::max(state.slowestSpeed, 0.5 * state.meanSpeed));
    if (run > left) {
        return refuse(FailureCode::DeadlineImpossible,
                      "the run time of one task exceeds the time to the deadline", {});
    }
    if (state.capacity <= 0) {
        if (run + SLOT_RETURN_MS > left || state.queued + request.taskCount > state.maxQueued) {
            return refuse(FailureCode::Overloaded, "this daemon has no slots for the kind",
                          DEFAULT_RETRY_AFTER_MS);
        }
        return {absl::OkStatus(), {}, run};
    }
    const Base::Duration wait = fromMs(waitMs(request, state) * WAIT_SAFETY_FACTOR);
    const Base::Duration retryAfter =
        std::clamp<Base::Duration>(wait + run - left, MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
    if (state.queued + request.taskCount > state.maxQueued)
        return refuse(FailureCode::Overloaded, "the queue is full", retryAfter);
    if (wait + run > left) {
        return refuse(FailureCode::Overloaded, "the queue is too long for the deadline",
                      retryAfter);
    }
    return {absl::OkStatus(), {}, wait + run};
}

} // namespace Scheduling
