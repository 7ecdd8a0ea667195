// JSON form of events for the operator interface.
//
// An event is an object. Members that do not apply are absent:
//   {"type": "started", "wallMs": 1790000000123, "counter": 0, "daemon": "entry-1",
//    "team": "kalkan", "key": "medeu:4711", "task": 3, "upstream": "worker-7",
//    "domain": "medeu", "shard": 5, "epoch": 12, "failure": "timeout", "detail": 250}
// Events of peers have the member "peer", a daemon id.
// "failure" is a name of Base::FailureCode; "domain" and "shard" appear together.
//
// The reply of one daemon is
//   {"daemon": "entry-1", "overwritten": 120, "omitted": 0, "events": [...]}
// "overwritten" counts the events that the daemon's ring lost since its start, "omitted" the
// matching events beyond the query's limit (absent means 0).
#pragma once

#include "event.h"

#include <absl/status/status.h>
#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace EventLog {

nlohmann::json eventToJson(const Event &event);
/// Errors: badRequest.
absl::Status eventFromJson(const nlohmann::json &json, Event &event);

/// The reply of one daemon as JSON text. Bytes that are not UTF-8 become U+FFFD.
std::string daemonEventsToJson(const DaemonEvents &daemonEvents);
/// Parses the reply of one daemon. An event that can't be decoded, for example of a type that only
/// a later version knows, is counted as unreadable. Errors: badRequest.
absl::Status daemonEventsFromJson(std::string_view text, DaemonEvents &daemonEvents);

} // namespace EventLog
