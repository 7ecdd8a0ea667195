// Renders the time line from the replies of daemons, for the command line. The form of a reply is
// documented in eventjson.h. A daemon may instead reply with an error object with the member
// "failure", a name of Base::FailureCode:
//   {"failure": "unauthorized"}
#pragma once

#include <absl/status/status.h>

#include <base/ids.h>

#include <string>
#include <vector>

namespace EventLog {

enum class TimelineFormat { Text, Svg };

/// The unparsed reply of one daemon to an event query.
struct DaemonReply
{
    Base::DaemonId daemon; // the daemon that was queried
    absl::Status status;   // not OK if there was no reply
    std::string body;      // JSON
};

struct TimelineReport
{
    std::string output;
    bool complete = true; // every daemon replied and no event is missing
};

/// Merges and renders \a replies. A daemon whose reply is an error or can't be parsed is listed as
/// one that did not reply, so that the events of the others are still rendered.
TimelineReport renderTimeline(const std::vector<DaemonReply> &replies, TimelineFormat format);

} // namespace EventLog
