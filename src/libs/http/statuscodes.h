// HTTP status codes that are sent or expected.
#pragma once

namespace Http::Status {

constexpr int OK = 200;
constexpr int BAD_REQUEST = 400;
constexpr int NOT_FOUND = 404;
constexpr int BAD_METHOD = 405;
constexpr int CONFLICT = 409;
constexpr int GONE = 410;
/// The request was sent to the wrong server.
constexpr int MISDIRECTED = 421;
constexpr int TOO_MANY = 429;
constexpr int UNAVAILABLE = 503;
constexpr int TIMED_OUT = 504;

} // namespace Http::Status
