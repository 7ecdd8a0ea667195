// Requests and their outcomes, as exposed to callers.
#pragma once

#include <absl/status/status.h>
#include <base/failure.h>
#include <base/ids.h>
#include <base/timers.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Jobs {

/// A request as received from a caller.
struct Submission
{
    Base::RequestId id;
    Base::KindId kind;
    std::vector<std::string> payloads;                 // JSON, one for each task
    std::optional<std::chrono::milliseconds> deadline; // can only shorten the kind's
    bool nonRepeatable = false;                        // can only restrict a repeatable kind
    bool isFirst = false; // the caller has never sent this key to any daemon before
    std::string digest;   // of kind and payloads

    /// Hex digest over kind and payloads: equal for a resubmission of the same request.
    static std::string computeDigest(const Base::KindId &kind,
                                     const std::vector<std::string> &payloads);
};

enum class RequestState { Pending, Complete, Failed, NotRun };

std::string_view requestStateName(RequestState state);

/// The state of a request. Complete, failed and notRun are final outcomes.
struct RequestView
{
    RequestState state = RequestState::Pending;
    Base::FailureCode failure = Base::FailureCode::None; // the reason of failed and notRun
    std::string message;
    std::vector<std::string> results; // JSON by task; empty unless complete
    Base::Duration retryAfter{0};     // hint with notRun
};

/// If \a status is not OK, the reply does not tell the state of the request: notOwner, noLease,
/// keyConflict, unknownRequest, badRequest and the like.
struct Reply
{
    absl::Status status;
    RequestView view;
};

using ReplyHandler = std::function<void(const Reply &)>;

} // namespace Jobs
