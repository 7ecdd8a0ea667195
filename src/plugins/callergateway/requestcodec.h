// JSON encoding of requests and answers, as specified in docs/protocols.md.
#pragma once

#include <jobs/request.h>
#include <settings/daemonsettings.h>

#include <absl/status/status.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace CallerGateway {

/// A submission, and the members that only the entry daemon uses: the one that the caller sent it
/// to.
struct ParsedSubmission
{
    Jobs::Submission submission;
    std::optional<std::chrono::milliseconds> wait; // how long the caller waits for the outcome
    bool isFirst = false;                          // the caller has never sent this key before
};

/// Maximum length of team names, keys and kinds.
constexpr std::size_t MAX_NAME_BYTES = 200;

/// Errors: badRequest, tooLarge.
absl::Status parseSubmission(std::string_view body, const Settings::LimitSettings &limits,
                             ParsedSubmission &parsed);

/// Returns whether \a name is a valid team name, key or kind: letters, digits and "-_.:~".
bool isValidName(std::string_view name);

struct HttpAnswer
{
    int status = 200;
    std::string body;
    std::uint32_t retryAfterSeconds = 0;
};

HttpAnswer makeAnswer(const Base::RequestId &id, const Jobs::Reply &reply);
/// Returns an answer without the state of a request.
HttpAnswer makeErrorAnswer(Base::FailureCode code, std::string_view message);

} // namespace CallerGateway
