// Ends of connections: those that the ledger demands, and those that callers cause.
#include "meteredsocket.h"

#include "httpconstants.h"

#include <base/log.h>

#include <asio/post.hpp>
#include <sys/ioctl.h>

namespace Http {

static Base::TimePoint now()
{
    return std::chrono::steady_clock::now();
}

bool Connection::hasCallerLeft() const
{
    return m_isEnded || !m_socket || HangupWatch::hasHungUp(m_socket->native_handle());
}

std::size_t Connection::unreadBytes() const
{
    int n = 0;
    if (!m_socket || ioctl(m_socket->native_handle(), FIONREAD, &n) != 0)
        return 0;
    return static_cast<std::size_t>(n);
}

void Connection::end()
{
    if (m_socket && !m_isEnded)
        m_socket->close();
    closed();
}

void Connection::closed()
{
    if (std::exchange(m_isEnded, true))
        return;
    m_ledger->remove(m_number);
    if (const std::shared_ptr<ConnectionTable> table = m_table.lock())
        table->forget(m_id);
}

asio::error_code Connection::readDone(const asio::error_code &ec, const void *data, std::size_t n)
{
    if (!ec && !m_isEnded)
        m_ledger->received(m_number, {static_cast<const char *>(data), n}, now());
    return m_isEnded && !ec ? asio::error::operation_aborted : ec;
}

ConnectionTable::ConnectionTable(asio::io_context &io, std::shared_ptr<ConnectionLedger> ledger,
                                 std::size_t maxConnections, ClosedHandler closed)
    : m_io(io)
    , m_timer(io)
    , m_ledger(std::move(ledger))
    , m_listener(m_ledger->addListener(maxConnections))
    , m_closed(std::move(closed))
{}

void ConnectionTable::start()
{
    // Also without a handler of closed connections: those that clients have closed while a request
    // was open would count until the limit was reached, and idle ones would be closed in their
    // place.
    m_watch = HangupWatch::create(m_io, [this](std::uint64_t id) {
        if (const std::shared_ptr<Connection> connection = find(id))
            connection->end();
    });
    if (!m_watch)
        Base::log(Base::LogLevel::Error, "hangupsNotWatched", {});
    scheduleSweep();
}

void ConnectionTable::stop()
{
    m_isStopped = true;
    m_timer.cancel();
    if (m_watch)
        m_watch->stop();
}

bool ConnectionTable::attach(MeteredSocket &socket, std::uint64_t id)
{
    auto connection = std::make_shared<Connection>(weak_from_this(), m_ledger, id);
    connection->m_socket = &socket;
    socket.m_connection = connection;
    m_connections.emplace(id, connection);
    connection->m_number = m_ledger->add(m_listener, now(), [weak = std::weak_ptr(connection)] {
        if (const std::shared_ptr<Connection> it = weak.lock())
            it->end();
    });
    if (!connection->isEnded() && m_watch && !m_watch->add(socket.native_handle(), id))
        connection->end();
    return !connection->isEnded();
}

std::shared_ptr<Connection> ConnectionTable::find(std::uint64_t id) const
{
    const auto it = m_connections.find(id);
    return it == m_connections.end() ? nullptr : it->second;
}

void ConnectionTable::forget(std::uint64_t id)
{
    // Not at once: the caller may be a function of RESTinio's object for the connection, which is
    // destroyed if the handler drops the last request of it.
    if (m_connections.erase(id) > 0 && m_closed && !m_isStopped)
        asio::post(m_io, [closed = m_closed, id] { closed(id); });
}

void ConnectionTable::scheduleSweep()
{
    m_timer.expires_after(Constants::SWEEP_INTERVAL_MS);
    m_timer.async_wait([weak = weak_from_this()](const asio::error_code &ec) {
        const std::shared_ptr<ConnectionTable> self = weak.lock();
        if (ec || !self)
            return;
        self->sweep();
        self->scheduleSweep();
    });
}

void ConnectionTable::sweep()
{
    m_ledger->closeOverdue(now());
    if (!m_watch)
        return;
    std::vector<std::shared_ptr<Connection>> overfull;
    for (const auto &[id, connection] : m_connections) {
        if (m_ledger->openRequests(connection->number()) >= Constants::MAX_PIPELINED_REQUESTS
            && connection->unreadBytes() > Constants::MAX_UNREAD_BYTES)
            overfull.push_back(connection);
    }
    for (const auto &it : overfull)
        m_ledger->refuse(it->number(), Refusal::UnreadRequests);
}

} // namespace Http
