// Ring buffer of a daemon's latest events.
#pragma once

#include "event.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

namespace EventLog {

/// Selects events; unset members match every event.
struct EventFilter
{
    std::optional<Base::RequestId> request = {};
    std::optional<Base::UpstreamId> upstream = {};
    std::optional<std::uint64_t> fromMs = {}; // wall time in milliseconds since 1970, inclusive
    std::optional<std::uint64_t> toMs = {};   // exclusive
    std::optional<std::size_t> limit = {};    // the newest events are returned
};

/// Keeps the latest events in memory that is allocated once. Lives on one thread.
class EventRing
{
public:
    /// Keeps up to \a capacity events, about 200 bytes each. \a clock must outlive the ring.
    EventRing(Base::DaemonId daemon, HybridClock &clock, std::size_t capacity);
    ~EventRing();

    /// Stamps and stores an event; overwrites the oldest one if the ring is full. Does not allocate
    /// memory. Returns the event's stamp.
    Stamp record(const EventInfo &info);

    /// The matching events in the order of their stamps. Scans the whole ring.
    DaemonEvents query(const EventFilter &filter) const;

    std::size_t size() const;
    std::size_t capacity() const;
    /// Number of events lost since the daemon's start.
    std::uint64_t overwritten() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace EventLog
