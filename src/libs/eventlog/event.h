// Events that a daemon records about its requests, shards, upstreams and peers.
#pragma once

#include "hybridclock.h"

#include <base/failure.h>
#include <base/ids.h>

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace EventLog {

/// The names given by eventTypeName() are part of the operator interface.
enum class EventType : std::uint8_t {
    Accepted,          ///< A request passed admission.
    Queued,            ///< A task or single request waits for a slot.
    Started,           ///< A start was sent to an upstream.
    Finished,          ///< An upstream answered a start, or its result was established.
    Answered,          ///< The caller received the outcome.
    Refused,           ///< The request was answered as not run.
    Retried,           ///< A start that was not executed is retried on another upstream.
    StopRequested,     ///< A stop was sent to an upstream.
    LeaseGained,       ///< The daemon's lease became valid.
    LeaseLost,         ///< The daemon's lease expired.
    EpochChanged,      ///< A shard's epoch changed.
    Replicated,        ///< All replicas acknowledged a record.
    Takeover,          ///< Recovery after a takeover began or, if the detail is 1, ended.
    ManifestApplied,   ///< A manifest came into force; the detail is its revision.
    ManifestRefused,   ///< A manifest was refused; the detail is its revision.
    MembershipChanged, ///< A new membership list; the detail is the number of hosts.
    DrainStarted,      ///< The daemon began to shut down.
    UpstreamEjected,   ///< An upstream receives only probes.
    UpstreamReturned,  ///< An ejected upstream receives work again.
    PeerConnected,     ///< A connection to another daemon is up.
    PeerDisconnected   ///< A connection to another daemon was lost.
};

/// camelCase name of \a type, as it appears in JSON and in the time line.
std::string_view eventTypeName(EventType type);
std::optional<EventType> eventTypeFromName(std::string_view name);

/// An event to be recorded. Refers to the caller's ids, so that recording copies no string.
struct EventInfo
{
    EventType type = EventType::Accepted;
    const Base::RequestId *request = nullptr;
    std::optional<Base::TaskIndex> task = {};
    const Base::UpstreamId *upstream = nullptr;
    const Base::ShardId *shard = nullptr;
    Base::Epoch epoch = {}; // 0 if it does not apply
    Base::FailureCode failure = Base::FailureCode::None;
    std::int64_t detail = 0;
    const Base::DaemonId *peer = nullptr; // ignored if upstream is set
};

/// A recorded event. Ids longer than the ring's inline capacity are shortened; see ShortText.
struct Event
{
    EventType type = EventType::Accepted;
    Stamp stamp;
    Base::DaemonId daemon;
    Base::RequestId request; // empty if the event belongs to no request
    std::optional<Base::TaskIndex> task;
    std::optional<Base::UpstreamId> upstream;
    std::optional<Base::DaemonId> peer;
    std::optional<Base::ShardId> shard;
    Base::Epoch epoch; // 0 if it does not apply
    Base::FailureCode failure = Base::FailureCode::None;
    std::int64_t detail = 0;

    bool operator==(const Event &) const = default;
};

/// One daemon's reply to an event query, or the reason why there is none.
struct DaemonEvents
{
    Base::DaemonId daemon;
    Base::FailureCode failure = Base::FailureCode::None; // None if the daemon replied
    std::uint64_t overwritten = 0; // events of any type that the ring lost since the daemon's start
    std::uint64_t omitted = 0;     // matching events beyond the query's limit
    std::uint64_t unreadable = 0;  // events that this program could not decode
    std::vector<Event> events;
};

} // namespace EventLog
