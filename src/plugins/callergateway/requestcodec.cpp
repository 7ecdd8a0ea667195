// Parsing of requests and serialization of answers.
#include "requestcodec.h"

#include <base/failure.h>
#include <base/jsonnesting.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace CallerGateway {

using Base::FailureCode;
using Base::makeFailure;
using nlohmann::json;

/// A deadline or wait of more than a day is taken for a mistake of the caller.
static constexpr std::int64_t MAX_DURATION_MS = 24LL * 3600 * 1000;
/// Serializing a task recurses once per nesting level.
static constexpr std::size_t MAX_NESTING = 100;
static constexpr std::array KNOWN_MEMBERS{
    "team", "key", "kind", "tasks", "deadlineMs", "waitMs", "firstSubmission", "nonRepeatable"};

bool isValidName(std::string_view name)
{
    return !name.empty() && name.size() <= MAX_NAME_BYTES
           && std::all_of(name.begin(), name.end(), [](unsigned char c) {
                  return std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == ':'
                         || c == '~';
              });
}

static absl::Status readName(const json &body, const char *member, std::string &value)
{
    const auto it = body.find(member);
    if (it == body.end() || !it->is_string())
        return makeFailure(FailureCode::BadRequest, fmt::format("/{} must be a string", member));
    value = *it;
    if (!isValidName(value)) {
        return makeFailure(FailureCode::BadRequest,
                           fmt::format("/{} must be 1 to {} characters of A-Z a-z 0-9 - _ . : ~",
                                       member, MAX_NAME_BYTES));
    }
    return absl::OkStatus();
}

static absl::Status readDuration(const json &body, const char *member,
                                 std::optional<std::chrono::milliseconds> &value)
{
    const auto it = body.find(member);
    if (it == body.end())
        return absl::OkStatus();
    if (!it->is_number_unsigned() || it->get<std::uint64_t>() > MAX_DURATION_MS) {
        return makeFailure(FailureCode::BadRequest,
                           fmt::format("/{} must be a whole number of milliseconds from 0 to {}",
                                       member, MAX_DURATION_MS));
    }
    value = std::chrono::milliseconds(it->get<std::int64_t>());
    return absl::OkStatus();
}

static absl::Status readFlag(const json &body, const char *member, bool &value)
{
    const auto it = body.find(member);
    if (it == body.end())
        return absl::OkStatus();
    if (!it->is_boolean())
        return makeFailure(FailureCode::BadRequest, fmt::format("/{} must be a boolean", member));
    value = *it;
    return absl::OkStatus();
}

static absl::Status checkMembers(const json &body)
{
    for (auto it = body.begin(); it != body.end(); ++it) {
        const std::string &member = it.key();
        const bool isKnown = std::any_of(KNOWN_MEMBERS.begin(), KNOWN_MEMBERS.end(),
                                         [&](const char *known) { return member == known; });
        if (!isKnown)
            return makeFailure(FailureCode::BadRequest, fmt::format("/{} is unknown", member));
    }
    return absl::OkStatus();
}

static absl::Status readTasks(const json &body, const Settings::LimitSettings &limits,
                              std::vector<std::string> &payloads)
{
    const auto it = body.find("tasks");
    if (it == body.end() || !it->is_array() || it->empty())
        return makeFailure(FailureCode::BadRequest, "/tasks must be an array of at least one task");
    if (it->size() > limits.maxTasksPerJob) {
        return makeFailure(FailureCode::TooLarge,
                           fmt::format("/tasks has more than {} tasks", limits.maxTasksPerJob));
    }
    payloads.reserve(it->size());
    for (const json &task : *it)
        payloads.push_back(task.dump(-1, ' ', false, json::error_handler_t::replace));
    return absl::OkStatus();
}

absl::Status parseSubmission(std::string_view text, const Settings::LimitSettings &limits,
                             ParsedSubmission &parsed)
{
    if (text.size() > limits.maxBodyBytes)
        return makeFailure(FailureCode::TooLarge, "the body is too large");
    if (Base::isNestedDeeper(text, MAX_NESTING)) {
        return makeFailure(FailureCode::TooLarge,
                           fmt::format("the body is nested deeper than {} levels", MAX_NESTING));
    }
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object())
        return makeFailure(FailureCode::BadRequest, "the body must be a JSON object");
    std::string team;
    std::string key;
    std::string kind;
    Jobs::Submission &submission = parsed.submission;
    for (const absl::Status &status :
         {checkMembers(body), readName(body, "team", team), readName(body, "key", key),
          readName(body, "kind", kind), readTasks(body, limits, submission.payloads),
          readDuration(body, "deadlineMs", submission.deadline),
          readDuration(body, "waitMs", parsed.wait),
          readFlag(body, "firstSubmission", parsed.isFirst),
          readFlag(body, "nonRepeatable", submission.nonRepeatable)}) {
        if (!status.ok())
            return status;
    }
    submission.id = {Base::TeamId(team), Base::RequestKey(key)};
    submission.kind = Base::KindId(kind);
    submission.isFirst = parsed.isFirst;
    submission.digest = Jobs::Submission::computeDigest(submission.kind, submission.payloads);
    return absl::OkStatus();
}

static int httpStatus(FailureCode code)
{
    switch (code) {
    case FailureCode::BadRequest:
        return 400;
    case FailureCode::Unauthorized:
        return 401;
    case FailureCode::UnknownKind:
    case FailureCode::UnknownTeam:
    case FailureCode::UnknownRequest:
        return 404;
    case FailureCode::KeyConflict:
        return 409;
    case FailureCode::TooLarge:
        return 413;
    case FailureCode::Overloaded:
    case FailureCode::QuotaExceeded:
    case FailureCode::DeadlineImpossible:
        return 429;
    default:
        return 503;
    }
}

static int httpStatus(const Jobs::RequestView &view)
{
    switch (view.state) {
    case Jobs::RequestState::Complete:
        return 200;
    case Jobs::RequestState::Pending:
        return 202;
    case Jobs::RequestState::Failed:
        return 500;
    case Jobs::RequestState::NotRun:
        return httpStatus(view.failure);
    }
    return 500;
}

static std::string failureJson(FailureCode code, std::string_view message)
{
    return json({{"code", Base::failureName(code)}, {"message", message}})
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

HttpAnswer makeErrorAnswer(FailureCode code, std::string_view message)
{
    HttpAnswer answer;
    answer.status = httpStatus(code);
    answer.body = fmt::format(R"({{"failure":{}}})", failureJson(code, message));
    return answer;
}

/// For the header Retry-After, rounded up to whole seconds.
static std::uint32_t toRetryAfterSeconds(Base::Duration retryAfter)
{
    return static_cast<std::uint32_t>((Base::toMilliseconds(retryAfter) + 999) / 1000);
}

HttpAnswer makeAnswer(const Base::RequestId &id, const Jobs::Reply &reply)
{
    if (!reply.status.ok()) {
        HttpAnswer error =
            makeErrorAnswer(Base::failureCode(reply.status), Base::failureMessage(reply.status));
        error.retryAfterSeconds = toRetryAfterSeconds(reply.view.retryAfter);
        return error;
    }
    const Jobs::RequestView &view = reply.view;
    HttpAnswer answer;
    answer.status = httpStatus(view);
    answer.body = fmt::format(R"({{"team":{},"key":{},"state":"{}")", json(id.team.value()).dump(),
                              json(id.key.value()).dump(), Jobs::requestStateName(view.state));
    if (view.failure != FailureCode::None)
        answer.body += fmt::format(R"(,"failure":{})", failureJson(view.failure, view.message));
    if (view.retryAfter > Base::Duration(0)) {
        const auto retryMs = Base::toMilliseconds(view.retryAfter);
        answer.body += fmt::format(R"(,"retryAfterMs":{})", retryMs);
        answer.retryAfterSeconds = toRetryAfterSeconds(view.retryAfter);
    }
    if (view.state == Jobs::RequestState::Complete) {
        // Results are JSON already.
        answer.body += R"(,"results":[)";
        for (std::size_t i = 0; i < view.results.size(); ++i) {
            if (i > 0)
                answer.body += ',';
            answer.body += view.results[i].empty() ? "null" : view.results[i];
        }
        answer.body += ']';
    }
    answer.body += '}';
    return answer;
}

} // namespace CallerGateway
