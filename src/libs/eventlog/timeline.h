// One order of the events of several daemons, for operators.
#pragma once

#include "event.h"

#include <string>
#include <vector>

namespace EventLog {

/// Merges the answers of daemons. Events are ordered by stamp, then by daemon; the hybrid clock
/// makes this order consistent with the messages between the daemons.
class Timeline
{
public:
    explicit Timeline(std::vector<DaemonEvents> answers);

    /// All events in order. Of events with the same stamp and daemon only one is kept, because a
    /// daemon may have been asked twice.
    const std::vector<Event> &events() const { return m_events; }
    /// The daemons and what they lost; their events are moved to events().
    const std::vector<DaemonEvents> &daemons() const { return m_daemons; }
    /// Whether every daemon answered and none lost or left out an event.
    bool isComplete() const;

    /// One line per daemon with gaps, then one line per event.
    std::string toText() const;
    /// A self-contained SVG document with one lane per daemon and per upstream. A bar spans a task
    /// from started to finished, other events are marks. At most Constants::MAX_SVG_SHAPES shapes
    /// are drawn; the document states how many were left out.
    std::string toSvg() const;

private:
    std::vector<DaemonEvents> m_daemons;
    std::vector<Event> m_events;
};

namespace Internal {

/// What is missing from the answer of \a daemon, such as "no answer (timeout)"; empty if nothing
/// is.
std::string gapText(const DaemonEvents &daemon);
/// The event without its stamp and daemon; not escaped.
std::string eventText(const Event &event);
/// ISO 8601 in UTC with milliseconds.
std::string wallTimeText(std::uint64_t wallMs);

} // namespace Internal

} // namespace EventLog
