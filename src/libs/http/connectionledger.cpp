// Budgets, time limits, and the choice of the connection that is closed.
#include "connectionledger.h"

#include "httpconstants.h"

#include <base/log.h>

#include <algorithm>
#include <iterator>
#include <vector>

namespace Http {

using Base::LogLevel;
using Base::TimePoint;

static constexpr const char *REFUSAL_NAMES[] = {
    "tooManyConnections", "silentTooLong",     "headerTooSlow",         "headerTooLarge",
    "bodyTooSlow",        "bodyTooLarge",      "requestMalformed",      "connectionOverBudget",
    "requestsOverBudget", "answersOverBudget", "tooManyUnreadRequests",
};
static_assert(std::size(REFUSAL_NAMES) == std::size_t(Refusal::Count));

const char *refusalName(Refusal cause)
{
    return REFUSAL_NAMES[std::size_t(cause)];
}

ConnectionLedger::ConnectionLedger(TrafficLimits limits)
    : m_limits(limits)
{}

ConnectionLedger::ListenerNumber ConnectionLedger::addListener(std::size_t maxConnections)
{
    const ListenerNumber number(m_listeners.size() + 1);
    m_listeners[number].maxConnections = maxConnections;
    return number;
}

ConnectionLedger::ClosingKey ConnectionLedger::closingKey(ConnectionNumber connection,
                                                          const Entry &entry)
{
    return {entry.hasCompleted, entry.idleSince, connection};
}

ConnectionLedger::ConnectionNumber ConnectionLedger::add(ListenerNumber number, TimePoint now,
                                                         Closer closer)
{
    const ConnectionNumber connection = m_lastConnection = m_lastConnection.next();
    Entry entry;
    entry.listener = number;
    entry.closer = std::move(closer);
    entry.idleSince = now;
    Listener &listener = m_listeners[number];
    ++listener.connections;
    listener.closable.insert(closingKey(connection, entry));
    m_entries.emplace(connection, std::move(entry));
    if (listener.connections > listener.maxConnections)
        refuse(closedFor(connection, listener, now), Refusal::TooManyConnections);
    return connection;
}

/// The connection that gives way to \a added, which may be that itself.
ConnectionLedger::ConnectionNumber
ConnectionLedger::closedFor(ConnectionNumber added, const Listener &listener, TimePoint now) const
{
    const auto first = listener.closable.begin();
    const ConnectionNumber oldest = std::get<ConnectionNumber>(*first);
    if (oldest != added)
        return oldest;
    // All others have completed requests.
    const auto idle = std::next(first);
    const bool isIdle = idle != listener.closable.end()
                        && now - std::get<TimePoint>(*idle) >= m_limits.keptIdleTime;
    return isIdle ? std::get<ConnectionNumber>(*idle) : added;
}

void ConnectionLedger::remove(ConnectionNumber connection)
{
    const auto it = m_entries.find(connection);
    if (it == m_entries.end())
        return;
    Entry &entry = it->second;
    setHeld(m_requests, connection, entry.requestBytes, 0);
    setHeld(m_answers, connection, entry.answerBytes, 0);
    Listener &listener = m_listeners[entry.listener];
    listener.closable.erase(closingKey(connection, entry));
    --listener.connections;
    m_entries.erase(it);
}

void ConnectionLedger::setHeld(Holdings &holdings, ConnectionNumber connection, std::size_t &held,
                               std::size_t bytes)
{
    if (held > 0)
        holdings.byBytes.erase({held, connection});
    holdings.total += bytes;
    holdings.total -= held;
    held = bytes;
    if (held > 0)
        holdings.byBytes.emplace(held, connection);
}

/// Memory that the parser takes for \a bytes. Besides the bytes it records each header field and
/// each chunk, in vectors that double.
std::size_t ConnectionLedger::cost(Entry &entry, std::string_view bytes)
{
    std::size_t n = bytes.size();
    std::size_t headerBytes = 0;
    if (entry.phase == Phase::Header) {
        while (headerBytes < bytes.size() && entry.newlines < 2) {
            const char c = bytes[headerBytes++];
            if (c == '\n') {
                ++entry.newlines;
                // The parser refuses further lines.
                n += entry.headerLines++ < Constants::MAX_HEADER_FIELDS
                         ? Constants::HEADER_LINE_COST_BYTES
                         : 0;
            } else if (c != '\r') {
                entry.newlines = 0;
            }
        }
    }
    n += static_cast<std::size_t>(
             std::count(bytes.begin() + std::ptrdiff_t(headerBytes), bytes.end(), '\n'))
         * Constants::BODY_LINE_COST_BYTES;
    return n;
}

void ConnectionLedger::received(ConnectionNumber connection, std::string_view bytes, TimePoint now)
{
    const auto it = m_entries.find(connection);
    if (it == m_entries.end() || bytes.empty())
        return;
    Entry &entry = it->second;
    if (entry.phase == Phase::Idle) {
        entry.phase = Phase::Header;
        entry.phaseStart = now;
        entry.newlines = 0;
        entry.headerLines = 0;
    }
    const std::size_t held = entry.requestBytes + cost(entry, bytes);
    if (entry.phase == Phase::Header && entry.newlines >= 2) {
        entry.phase = Phase::Body;
        entry.phaseStart = now;
    }
    setHeld(m_requests, connection, entry.requestBytes, held);
    if (held > m_limits.maxConnectionBytes) {
        refuse(connection, Refusal::ConnectionBytes);
        return;
    }
    closeLargest(m_requests, m_limits.maxRequestBytes, Refusal::RequestBytes);
}

void ConnectionLedger::closeLargest(Holdings &holdings, std::size_t limit, Refusal cause)
{
    while (holdings.total > limit && !holdings.byBytes.empty())
        refuse(holdings.byBytes.rbegin()->second, cause);
}

void ConnectionLedger::requestComplete(ConnectionNumber connection)
{
    const auto it = m_entries.find(connection);
    if (it == m_entries.end())
        return;
    Entry &entry = it->second;
    m_listeners[entry.listener].closable.erase(closingKey(connection, entry));
    setHeld(m_requests, connection, entry.requestBytes, 0);
    entry.phase = Phase::Idle;
    entry.hasCompleted = true;
    ++entry.openRequests;
}

void ConnectionLedger::answerQueued(ConnectionNumber connection, std::size_t bytes, TimePoint now)
{
    const auto it = m_entries.find(connection);
    if (it == m_entries.end())
        return;
    Entry &entry = it->second;
    if (entry.openRequests > 0 && --entry.openRequests == 0) {
        entry.idleSince = now;
        m_listeners[entry.listener].closable.insert(closingKey(connection, entry));
    }
    setHeld(m_answers, connection, entry.answerBytes, entry.answerBytes + bytes);
    closeLargest(m_answers, m_limits.maxAnswerBytes, Refusal::AnswerBytes);
}

void ConnectionLedger::answerSent(ConnectionNumber connection, std::size_t bytes, TimePoint now)
{
    const auto it = m_entries.find(connection);
    if (it == m_entries.end())
        return;
    Entry &entry = it->second;
    setHeld(m_answers, connection, entry.answerBytes,
            entry.answerBytes - std::min(bytes, entry.answerBytes));
    if (entry.openRequests > 0)
        return;
    std::set<ClosingKey> &closable = m_listeners[entry.listener].closable;
    closable.erase(closingKey(connection, entry));
    entry.idleSince = now;
    closable.insert(closingKey(connection, entry));
}

void ConnectionLedger::refuse(ConnectionNumber connection, Refusal cause)
{
    const auto it = m_entries.find(connection);
    if (it == m_entries.end())
        return;
    const Entry &entry = it->second;
    // Callers keep connections open for as long as they are allowed to.
    const bool isOrdinary = cause == Refusal::SilentTooLong && entry.hasCompleted;
    m_refusals[std::size_t(cause)] += isOrdinary ? 0 : 1;
    Base::log(isOrdinary ? LogLevel::Debug : LogLevel::Warning, refusalName(cause),
              {{"listener", entry.listener},
               {"connections", m_entries.size()},
               {"held", entry.requestBytes},
               {"heldByAll", m_requests.total},
               {"answers", entry.answerBytes}});
    const Closer closer = std::move(it->second.closer);
    remove(connection);
    closer();
}

std::size_t ConnectionLedger::openRequests(ConnectionNumber connection) const
{
    const auto it = m_entries.find(connection);
    return it == m_entries.end() ? 0 : it->second.openRequests;
}

void ConnectionLedger::closeOverdue(TimePoint now)
{
    std::vector<std::pair<ConnectionNumber, Refusal>> overdue;
    for (const auto &[connection, entry] : m_entries) {
        if (entry.phase == Phase::Header) {
            if (now - entry.phaseStart > m_limits.headerTimeout)
                overdue.emplace_back(connection, Refusal::HeaderTooSlow);
        } else if (entry.phase == Phase::Body) {
            if (now - entry.phaseStart > m_limits.bodyTimeout)
                overdue.emplace_back(connection, Refusal::BodyTooSlow);
        } else if (entry.openRequests == 0 && now - entry.idleSince > m_limits.idleTimeout) {
            overdue.emplace_back(connection, Refusal::SilentTooLong);
        }
    }
    for (const auto &[connection, cause] : overdue)
        refuse(connection, cause);
}

} // namespace Http
