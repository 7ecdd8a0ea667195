// Renders the time line from the answers of daemons, for the command line. The form of an answer is
// documented in eventjson.h. Instead of it, a daemon may answer an error object with the member
// "failure", a name of Base::FailureCode:
//   {"failure": "unauthorized"}
#pragma once

#include <absl/status/status.h>

#include <base/ids.h>

#include <string>
#include <vector>

namespace EventLog {

enum class TimelineFormat { Text, Svg };

/// What came back from one daemon.
struct DaemonReply
{
    Base::DaemonId daemon; // as it was asked
    absl::Status status;   // not OK if there was no answer
    std::string body;      // JSON
};

struct TimelineReport
{
    std::string output;
    bool complete = true; // every daemon answered and no event is missing
};

/// Merges \a replies and renders them. A daemon whose reply is an error or can't be parsed is
/// listed as one without an answer, so that this function always renders what is there.
TimelineReport renderTimeline(const std::vector<DaemonReply> &replies, TimelineFormat format);

} // namespace EventLog
