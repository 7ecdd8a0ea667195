// Renders the time line from the replies of daemons.
#include "timelinereport.h"

#include "eventjson.h"
#include "timeline.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace EventLog {

using Base::FailureCode;

static FailureCode failureInBody(const std::string &body)
{
    const nlohmann::json object = nlohmann::json::parse(body, nullptr, false);
    if (!object.is_object())
        return FailureCode::None;
    const auto it = object.find("failure");
    if (it == object.end() || !it->is_string())
        return FailureCode::None;
    return Base::failureFromName(it->get<std::string>());
}

static DaemonEvents parseReply(const DaemonReply &reply)
{
    DaemonEvents result;
    result.daemon = reply.daemon;
    result.failure = Base::failureCode(reply.status);
    if (result.failure != FailureCode::None)
        return result;
    const absl::Status status = daemonEventsFromJson(reply.body, result);
    if (status.ok())
        return result;
    const FailureCode reported = failureInBody(reply.body);
    result.failure = reported != FailureCode::None ? reported : Base::failureCode(status);
    return result;
}

TimelineReport renderTimeline(const std::vector<DaemonReply> &replies, TimelineFormat format)
{
    std::vector<DaemonEvents> parsedReplies;
    parsedReplies.reserve(replies.size());
    for (const DaemonReply &it : replies)
        parsedReplies.push_back(parseReply(it));
    const Timeline timeline(std::move(parsedReplies));
    return {format == TimelineFormat::Svg ? timeline.toSvg() : timeline.toText(),
            timeline.isComplete()};
}

} // namespace EventLog
