// JSON form of events.
#include "eventjson.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <utility>

namespace EventLog {

using Base::FailureCode;
using Base::makeFailure;
using nlohmann::json;

json eventToJson(const Event &event)
{
    json result{{"type", eventTypeName(event.type)},
                {"wallMs", event.stamp.wallMs},
                {"counter", event.stamp.counter},
                {"daemon", event.daemon.value()}};
    if (!event.request.team.isEmpty() || !event.request.key.isEmpty()) {
        result["team"] = event.request.team.value();
        result["key"] = event.request.key.value();
    }
    if (event.task)
        result["task"] = event.task->value();
    if (event.upstream)
        result["upstream"] = event.upstream->value();
    if (event.peer)
        result["peer"] = event.peer->value();
    if (event.shard) {
        result["domain"] = event.shard->domain.value();
        result["shard"] = event.shard->index.value();
    }
    if (event.epoch != Base::Epoch())
        result["epoch"] = event.epoch.value();
    if (event.failure != FailureCode::None)
        result["failure"] = Base::failureName(event.failure);
    if (event.detail != 0)
        result["detail"] = event.detail;
    return result;
}

/// Reads members of an object and records whether one of them had a wrong type or was missing.
class MemberReader
{
public:
    explicit MemberReader(const json &object)
        : m_object(object)
    {}

    std::string text(const char *name, bool required)
    {
        const json *it = find(name, required);
        if (!it)
            return {};
        if (!it->is_string())
            m_ok = false;
        return it->is_string() ? it->get<std::string>() : std::string();
    }

    std::uint64_t number(const char *name, bool required)
    {
        const json *it = find(name, required);
        if (!it)
            return 0;
        if (!it->is_number_unsigned())
            m_ok = false;
        return it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
    }

    std::int64_t signedNumber(const char *name)
    {
        const json *it = find(name, false);
        if (!it)
            return 0;
        const bool fits = it->is_number_integer()
                          && (!it->is_number_unsigned()
                              || it->get<std::uint64_t>()
                                     <= std::uint64_t(std::numeric_limits<std::int64_t>::max()));
        m_ok = m_ok && fits;
        return fits ? it->get<std::int64_t>() : 0;
    }

    bool has(const char *name) const { return m_object.contains(name); }
    bool isOk() const { return m_ok; }

private:
    const json *find(const char *name, bool required)
    {
        const auto it = m_object.find(name);
        if (it != m_object.end())
            return &*it;
        m_ok = m_ok && !required;
        return nullptr;
    }

    const json &m_object;
    bool m_ok = true;
};

absl::Status eventFromJson(const json &object, Event &event)
{
    if (!object.is_object())
        return makeFailure(FailureCode::BadRequest, "event is not a JSON object");
    MemberReader reader(object);
    const std::optional<EventType> type = eventTypeFromName(reader.text("type", true));
    if (!type)
        return makeFailure(FailureCode::BadRequest, "unknown event type");
    Event result;
    result.type = *type;
    const std::uint64_t counter = reader.number("counter", true);
    result.stamp = {reader.number("wallMs", true), static_cast<std::uint32_t>(counter)};
    result.daemon = Base::DaemonId(reader.text("daemon", true));
    result.request = {Base::TeamId(reader.text("team", false)),
                      Base::RequestKey(reader.text("key", false))};
    if (reader.has("task"))
        result.task = Base::TaskIndex(reader.number("task", true));
    if (reader.has("upstream"))
        result.upstream = Base::UpstreamId(reader.text("upstream", true));
    if (reader.has("peer"))
        result.peer = Base::DaemonId(reader.text("peer", true));
    if (reader.has("shard") || reader.has("domain"))
        result.shard = Base::ShardId{Base::FailureDomainId(reader.text("domain", true)),
                                     Base::ShardIndex(reader.number("shard", true))};
    result.epoch = Base::Epoch(reader.number("epoch", false));
    if (reader.has("failure"))
        result.failure = Base::failureFromName(reader.text("failure", true));
    result.detail = reader.signedNumber("detail");
    if (!reader.isOk() || counter > std::numeric_limits<std::uint32_t>::max())
        return makeFailure(FailureCode::BadRequest,
                           "event has a missing member or one of the wrong type");
    event = std::move(result);
    return absl::OkStatus();
}

std::string daemonEventsToJson(const DaemonEvents &daemonEvents)
{
    json events = json::array();
    for (const Event &it : daemonEvents.events)
        events.push_back(eventToJson(it));
    const json result{{"daemon", daemonEvents.daemon.value()},
                      {"overwritten", daemonEvents.overwritten},
                      {"omitted", daemonEvents.omitted},
                      {"events", std::move(events)}};
    return result.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::Status daemonEventsFromJson(std::string_view text, DaemonEvents &daemonEvents)
{
    const json object = json::parse(text, nullptr, false);
    if (!object.is_object())
        return makeFailure(FailureCode::BadRequest, "reply is not a JSON object");
    MemberReader reader(object);
    DaemonEvents result;
    result.daemon = Base::DaemonId(reader.text("daemon", true));
    result.overwritten = reader.number("overwritten", true);
    result.omitted = reader.number("omitted", false);
    const auto events = object.find("events");
    if (!reader.isOk() || events == object.end() || !events->is_array())
        return makeFailure(FailureCode::BadRequest,
                           "reply has a missing member or one of the wrong type");
    for (const json &it : *events) {
        Event event;
        if (eventFromJson(it, event).ok())
            result.events.push_back(std::move(event));
        else
            ++result.unreadable;
    }
    daemonEvents = std::move(result);
    return absl::OkStatus();
}

} // namespace EventLog
