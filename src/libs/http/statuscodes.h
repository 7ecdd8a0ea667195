// HTTP status codes that are sent or expected.
#pragma once

namespace Http::Status {

constexpr int OK = 200;
constexpr int BAD_REQUEST = 400;
constexpr int NOT_FOUND = 404;
constexpr int METHOD_NOT_ALLOWED = 405;
constexpr int CONFLICT = 409;
constexpr int GONE = 410;
/// The request was sent to the wrong server.
constexpr int MISDIRECTED_REQUEST = 421;
constexpr int TOO_MANY_REQUESTS = 429;
constexpr int SERVICE_UNAVAILABLE = 503;
constexpr int GATEWAY_TIMEOUT = 504;

} // namespace Http::Status
