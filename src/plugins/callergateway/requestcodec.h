// JSON form of requests and answers, as docs/protocols.md describes it.
#pragma once

#include <jobs/request.h>
#include <settings/daemonsettings.h>

#include <absl/status/status.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace CallerGateway {

/// A submission with what concerns only the entry daemon.
struct ParsedSubmission
{
    Jobs::Submission submission;
    std::optional<std::chrono::milliseconds> wait; // how long the caller waits for the outcome
    bool isFirst = false;                          // the caller has never sent this key before
};

/// The longest team name and key.
constexpr std::size_t MAX_NAME_BYTES = 200;

/// Errors: badRequest, tooLarge.
absl::Status parseSubmission(std::string_view body, const Settings::LimitSettings &limits,
                             ParsedSubmission &parsed);

/// Team names and keys consist of letters, digits and "-_.:~".
bool isValidName(std::string_view name);

struct HttpAnswer
{
    int status = 200;
    std::string body;
    std::uint32_t retryAfterSeconds = 0;
};

HttpAnswer makeAnswer(const Base::RequestId &id, const Jobs::Reply &reply);
/// An answer that states no outcome.
HttpAnswer makeErrorAnswer(Base::FailureCode code, std::string_view message);

} // namespace CallerGateway
