// The socket type of the HTTP server: tells the ledger what is received, and can be closed from
// outside, whatever RESTinio does with the connection.
#pragma once

#include "connectionledger.h"
#include "hangupwatch.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <restinio/all.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Http {

class MeteredSocket;
class ConnectionTable;

/// A connection that RESTinio has accepted. RESTinio owns its socket.
class Connection
{
public:
    Connection(std::weak_ptr<ConnectionTable> table, std::shared_ptr<ConnectionLedger> ledger,
               std::uint64_t id)
        : m_table(std::move(table))
        , m_ledger(std::move(ledger))
        , m_id(id)
    {}

    ConnectionLedger &ledger() const { return *m_ledger; }
    ConnectionLedger::ConnectionNumber number() const { return m_number; }
    bool isEnded() const { return m_isEnded; }
    /// Whether the caller has closed or reset the connection.
    bool hasCallerLeft() const;
    /// Bytes that the kernel holds, since RESTinio does not read.
    std::size_t unreadBytes() const;
    /// Closes the socket. Reads and writes in progress are aborted, which RESTinio takes as its own
    /// doing; its object for the connection is freed with the last request of it.
    void end();
    /// Returns the result of a read that RESTinio gets.
    asio::error_code readDone(const asio::error_code &ec, const void *data, std::size_t n);

private:
    friend class ConnectionTable;
    friend class MeteredSocket;
    void closed();

    const std::weak_ptr<ConnectionTable> m_table;
    const std::shared_ptr<ConnectionLedger> m_ledger; // outlives the server
    const std::uint64_t m_id;                         // RESTinio's
    ConnectionLedger::ConnectionNumber m_number;
    MeteredSocket *m_socket = nullptr; // null once it is destroyed
    bool m_isEnded = false;            // the socket is closed, and that was reported
};

/// The connections of one server.
class ConnectionTable : public std::enable_shared_from_this<ConnectionTable>
{
public:
    using ClosedHandler = std::function<void(std::uint64_t connection)>;

    /// \a closed may be empty; the ends of connections are watched for only if it is not.
    ConnectionTable(asio::io_context &io, std::shared_ptr<ConnectionLedger> ledger,
                    std::size_t maxConnections, ClosedHandler closed);

    void start();
    /// Stops the watch and the time limits, so that they do not keep the event loop running.
    void stop();
    /// Returns false if the connection is refused.
    bool attach(MeteredSocket &socket, std::uint64_t id);
    std::shared_ptr<Connection> find(std::uint64_t id) const;
    void forget(std::uint64_t id);

private:
    void scheduleSweep();
    void sweep();

    asio::io_context &m_io;
    asio::steady_timer m_timer;
    const std::shared_ptr<ConnectionLedger> m_ledger;
    const ConnectionLedger::ListenerNumber m_listener;
    const ClosedHandler m_closed;
    std::shared_ptr<HangupWatch> m_watch;
    bool m_isStopped = false; // ends of connections are not reported any more
    std::unordered_map<std::uint64_t, std::shared_ptr<Connection>> m_connections;
};

/// A TCP socket that counts what it receives. RESTinio moves it until attach() is called.
class MeteredSocket : public asio::ip::tcp::socket
{
public:
    using Tcp = asio::ip::tcp::socket;

    MeteredSocket(asio::io_context &io, std::shared_ptr<ConnectionTable> table)
        : Tcp(io)
        , m_table(std::move(table))
    {}
    /// \a other can accept another connection afterwards.
    MeteredSocket(MeteredSocket &&other) noexcept
        : Tcp(std::move(other))
        , m_table(other.m_table) // NOLINT(performance-move-constructor-init): other keeps it
        , m_connection(std::exchange(other.m_connection, {}))
    {
        if (m_connection)
            m_connection->m_socket = this;
    }
    MeteredSocket &operator=(MeteredSocket &&) = delete;
    /// RESTinio drops a connection without closing it if the handler drops its only open request.
    ~MeteredSocket()
    {
        if (!m_connection)
            return;
        m_connection->m_socket = nullptr;
        m_connection->closed();
    }

    bool attach(std::uint64_t id) { return m_table->attach(*this, id); }

    // The names that RESTinio calls.
    template<class Buffers, class Handler>
    void async_read_some(const Buffers &buffers, Handler &&handler) // NOLINT: library's name
    {
        const void *data = asio::buffer_sequence_begin(buffers)->data();
        Tcp::async_read_some(
            buffers, [connection = m_connection, data, handler = std::forward<Handler>(handler)](
                         const asio::error_code &ec, std::size_t n) mutable {
                const asio::error_code result = connection ? connection->readDone(ec, data, n) : ec;
                handler(result, n);
            });
    }
    void close()
    {
        asio::error_code ec;
        Tcp::close(ec);
        if (m_connection)
            m_connection->closed();
    }

private:
    friend class ConnectionTable;

    std::shared_ptr<ConnectionTable> m_table;
    std::shared_ptr<Connection> m_connection; // set by ConnectionTable::attach()
};

/// Called by RESTinio for each connection that it has accepted.
template<class RestinioConnection, class StartRead, class Failed>
void prepare_connection_and_start_read( // NOLINT: the library's name
    MeteredSocket &socket, RestinioConnection &connection, StartRead startRead, Failed failed)
{
    if (socket.attach(connection.connection_id()))
        startRead();
    else
        failed(asio::error::make_error_code(asio::error::connection_aborted));
}

} // namespace Http

// RESTinio's way to pass a parameter to the sockets that it creates, as it does for TLS.
namespace restinio {

template<class Settings>
class socket_type_dependent_settings_t<Settings, Http::MeteredSocket> // NOLINT: library's name
{
protected:
    ~socket_type_dependent_settings_t() = default;

public:
    socket_type_dependent_settings_t() = default;
    socket_type_dependent_settings_t(socket_type_dependent_settings_t &&) noexcept = default;

    void setConnectionTable(std::shared_ptr<Http::ConnectionTable> table)
    {
        m_table = std::move(table);
    }
    const std::shared_ptr<Http::ConnectionTable> &connectionTable() const { return m_table; }

private:
    std::shared_ptr<Http::ConnectionTable> m_table;
};

namespace impl {

template<>
class socket_supplier_t<Http::MeteredSocket> // NOLINT: the library's name
{
protected:
    template<class Settings>
    socket_supplier_t(const Settings &settings, asio::io_context &io)
    {
        const std::size_t n = settings.concurrent_accepts_count();
        m_sockets.reserve(n);
        while (m_sockets.size() < n)
            m_sockets.emplace_back(io, settings.connectionTable());
    }

    Http::MeteredSocket &socket(std::size_t i) { return m_sockets.at(i); }
    // NOLINTBEGIN(readability-identifier-naming): the library's names
    Http::MeteredSocket move_socket(std::size_t i) { return std::move(m_sockets.at(i)); }
    std::size_t concurrent_accept_sockets_count() const noexcept { return m_sockets.size(); }
    // NOLINTEND(readability-identifier-naming)

private:
    std::vector<Http::MeteredSocket> m_sockets;
};

} // namespace impl

} // namespace restinio
