// Names of the event types.
#include "event.h"

#include <algorithm>
#include <array>

namespace EventLog {

// In the order of the enumeration.
static constexpr std::array<std::string_view, 21> NAMES{
    "accepted",          "queued",       "started",         "finished",         "answered",
    "refused",           "retried",      "stopRequested",   "leaseGained",      "leaseLost",
    "epochChanged",      "replicated",   "takeover",        "manifestApplied",  "manifestRefused",
    "membershipChanged", "drainStarted", "upstreamEjected", "upstreamReturned", "peerConnected",
    "peerDisconnected"};

static_assert(NAMES.size() == static_cast<std::size_t>(EventType::PeerDisconnected) + 1);

std::string_view eventTypeName(EventType type)
{
    return NAMES[static_cast<std::size_t>(type)];
}

std::optional<EventType> eventTypeFromName(std::string_view name)
{
    const auto it = std::find(NAMES.begin(), NAMES.end(), name);
    if (it == NAMES.end())
        return std::nullopt;
    return static_cast<EventType>(it - NAMES.begin());
}

} // namespace EventLog
