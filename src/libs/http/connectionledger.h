// Accounts for what the callers of a process make its HTTP servers hold, and decides whose
// connection is closed. Addresses callers that send or hold too much (docs/hard-load.md, 3.7): a
// body is held until it is complete, so many incomplete ones filled the memory of a small host.
// No I/O.
#pragma once

#include "trafficlimits.h"

#include <base/ids.h>
#include <base/timers.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace Http {

/// Why a connection is closed, or not accepted.
enum class Refusal {
    TooManyConnections,
    SilentTooLong,
    HeaderTooSlow,
    HeaderTooLarge,
    BodyTooSlow,
    BodyTooLarge,
    RequestMalformed,
    ConnectionBytes,
    RequestBytes,
    AnswerBytes,
    UnreadRequests,
    Count
};

/// The cause as it appears in log lines and metrics.
const char *refusalName(Refusal cause);

/// All connections of all HTTP servers that share this object.
///
/// If a budget of the process is exceeded, the connection that holds most is closed, whoever sent
/// last. A connection that holds less than its equal share (maxRequestBytes divided by the number
/// of connections) is therefore never closed for another's bytes. If there are too many
/// connections, one without an open request is closed: of those that never completed a request the
/// oldest, else the one that is idle for the longest time. If that was answered within
/// keptIdleTime, the new one is closed: whoever was served is likely to send again, on a connection
/// whose end it may not have noticed.
class ConnectionLedger
{
public:
    using ConnectionNumber = Base::Number<struct LedgerConnectionTag>;
    using ListenerNumber = Base::Number<struct LedgerListenerTag>;
    /// Closes a connection. Called at most once, and not after remove().
    using Closer = std::function<void()>;

    explicit ConnectionLedger(TrafficLimits limits);

    const TrafficLimits &limits() const { return m_limits; }

    /// A server with at most \a maxConnections connections.
    ListenerNumber addListener(std::size_t maxConnections);
    /// Adds a connection. If there are too many, another one of the listener is closed; or this one
    /// if all others have open requests or had them within keptIdleTime.
    ConnectionNumber add(ListenerNumber listener, Base::TimePoint now, Closer closer);
    void remove(ConnectionNumber connection);
    bool contains(ConnectionNumber connection) const { return m_entries.contains(connection); }

    /// \a bytes were read from the connection.
    void received(ConnectionNumber connection, std::string_view bytes, Base::TimePoint now);
    /// All that was received so far is handed over as a request.
    void requestComplete(ConnectionNumber connection);
    /// The answer of one request, of \a bytes, waits to be sent.
    void answerQueued(ConnectionNumber connection, std::size_t bytes, Base::TimePoint now);
    void answerSent(ConnectionNumber connection, std::size_t bytes, Base::TimePoint now);
    /// Counts the cause, logs it and closes the connection.
    void refuse(ConnectionNumber connection, Refusal cause);
    /// Closes the connections that exceed a time limit. To be called every SWEEP_INTERVAL_MS.
    void closeOverdue(Base::TimePoint now);

    std::uint64_t refusals(Refusal cause) const { return m_refusals[std::size_t(cause)]; }
    /// Requests of the connection that were handed over and are not answered.
    std::size_t openRequests(ConnectionNumber connection) const;
    std::size_t connectionCount() const { return m_entries.size(); }
    std::size_t requestBytes() const { return m_requests.total; }
    std::size_t answerBytes() const { return m_answers.total; }

private:
    enum class Phase { Idle, Header, Body };

    struct Entry
    {
        ListenerNumber listener;
        Closer closer;
        Phase phase = Phase::Idle;
        Base::TimePoint phaseStart;
        Base::TimePoint idleSince; // opened, or last answer sent
        std::size_t newlines = 0;  // consecutive ones at the end of what was received
        std::size_t headerLines = 0;
        std::size_t requestBytes = 0; // estimate of the memory for what is not handed over yet
        std::size_t answerBytes = 0;
        std::size_t openRequests = 0; // handed over and not answered
        bool hasCompleted = false;    // whether any request was complete
    };
    /// What the connections hold of one kind of bytes.
    struct Holdings
    {
        std::size_t total = 0;
        std::set<std::pair<std::size_t, ConnectionNumber>> byBytes; // holders of more than 0
    };
    /// Order in which connections without an open request are closed.
    using ClosingKey = std::tuple<bool, Base::TimePoint, ConnectionNumber>;
    struct Listener
    {
        std::size_t maxConnections = 0;
        std::size_t connections = 0;
        std::set<ClosingKey> closable;
    };

    ConnectionNumber closedFor(ConnectionNumber added, const Listener &listener,
                               Base::TimePoint now) const;
    static ClosingKey closingKey(ConnectionNumber connection, const Entry &entry);
    static void setHeld(Holdings &holdings, ConnectionNumber connection, std::size_t &held,
                        std::size_t bytes);
    static std::size_t cost(Entry &entry, std::string_view bytes);
    void closeLargest(Holdings &holdings, std::size_t limit, Refusal cause);

    const TrafficLimits m_limits;
    std::map<ListenerNumber, Listener> m_listeners;
    std::unordered_map<ConnectionNumber, Entry> m_entries;
    Holdings m_requests;
    Holdings m_answers;
    ConnectionNumber m_lastConnection;
    std::array<std::uint64_t, std::size_t(Refusal::Count)> m_refusals{};
};

} // namespace Http
