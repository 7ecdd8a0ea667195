// Merged events of several daemons, for operators.
#pragma once

#include "event.h"

#include <string>
#include <vector>

namespace EventLog {

/// Merges the replies of daemons. Events are ordered by stamp, then by daemon; the hybrid clock
/// makes this order consistent with the messages between the daemons.
class Timeline
{
public:
    explicit Timeline(std::vector<DaemonEvents> replies);

    /// All events in order. Of events with the same stamp and daemon only one is kept, because a
    /// daemon may have been queried twice.
    const std::vector<Event> &events() const { return m_events; }
    /// The daemons and their counts of missing events; the events are moved to events().
    const std::vector<DaemonEvents> &daemons() const { return m_daemons; }
    /// Whether every daemon replied and no event is overwritten, omitted or unreadable.
    bool isComplete() const;

    /// One line per daemon with gaps, then one line per event.
    std::string toText() const;
    /// A self-contained SVG document with one lane per daemon and per upstream. A bar spans the run
    /// of a task from started to finished, other events are marks. At most
    /// Constants::MAX_SVG_SHAPES shapes are drawn; the document states how many were omitted.
    std::string toSvg() const;

private:
    std::vector<DaemonEvents> m_daemons;
    std::vector<Event> m_events;
};

namespace Internal {

/// What is missing from the reply of \a daemon, such as "no answer (timeout)"; empty if it is
/// complete.
std::string gapText(const DaemonEvents &daemon);
/// The event without its stamp and daemon; not escaped.
std::string eventText(const Event &event);
/// ISO 8601 in UTC with milliseconds.
std::string wallTimeText(std::uint64_t wallMs);

} // namespace Internal

} // namespace EventLog
