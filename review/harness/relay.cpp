// Connections of the relay: one queue of chunks for each direction.
#include "relay.h"

#include <asio/write.hpp>

#include <array>
#include <deque>
#include <string>
#include <utility>

namespace Review {

using asio::ip::tcp;

static constexpr std::size_t CLIENT = 0; // index of a connection's socket, and of its direction
static constexpr std::size_t SERVER = 1;

struct Relay::Connection
{
    Connection(asio::io_context &io, Relay *owner)
        : sockets{tcp::socket(io), tcp::socket(io)}
        , relay(owner)
    {}

    void close(bool isReset)
    {
        relay = nullptr;
        asio::error_code ec;
        for (tcp::socket &it : sockets) {
            if (isReset)
                it.set_option(asio::socket_base::linger(true, 0), ec);
            it.close(ec);
        }
    }

    std::array<tcp::socket, 2> sockets;
    std::array<std::array<char, 16384>, 2> buffers{};
    std::array<std::deque<std::string>, 2> chunks; // empty string: the sender has closed
    std::array<bool, 2> isWriting{};
    bool isDead = false; // made during a cut
    Relay *relay;        // null once closed
};

Relay::Relay(asio::io_context &io, std::uint16_t listenPort, std::uint16_t targetPort)
    : m_io(io)
    , m_port(listenPort)
    , m_acceptor(io)
    , m_target(asio::ip::make_address("127.0.0.1"), targetPort)
{
    open();
}

Relay::~Relay()
{
    asio::error_code ec;
    m_acceptor.close(ec);
    for (const ConnectionPtr &it : std::exchange(m_connections, {}))
        it->close(true);
}

void Relay::open()
{
    const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), m_port);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    accept();
}

void Relay::setRefusing(bool isRefusing)
{
    if (!isRefusing && !m_acceptor.is_open()) {
        open();
        return;
    }
    asio::error_code ec;
    if (isRefusing)
        m_acceptor.close(ec);
}

int Relay::reset(const std::function<bool()> &isChosen)
{
    int n = 0;
    std::vector<ConnectionPtr> rest;
    for (const ConnectionPtr &it : std::exchange(m_connections, {})) {
        if (!it->relay)
            continue;
        if (!isChosen()) {
            rest.push_back(it);
            continue;
        }
        it->close(true);
        ++n;
    }
    m_connections = std::move(rest);
    return n;
}

void Relay::cut()
{
    m_isCut = true;
}

void Relay::heal()
{
    m_isCut = false;
    for (const ConnectionPtr &it : std::vector(m_connections)) {
        write(it, CLIENT);
        write(it, SERVER);
    }
}

void Relay::accept()
{
    auto connection = std::make_shared<Connection>(m_io, this);
    m_acceptor.async_accept(
        connection->sockets[CLIENT], [this, connection](const asio::error_code &ec) {
            if (ec == asio::error::operation_aborted)
                return;
            accept();
            if (ec)
                return;
            std::erase_if(m_connections, [](const ConnectionPtr &it) { return !it->relay; });
            m_connections.push_back(connection);
            if (m_isCut) {
                connection->isDead = true;
                return;
            }
            connection->sockets[SERVER].async_connect(
                m_target, [connection](const asio::error_code &connectError) {
                    if (!connection->relay)
                        return;
                    if (connectError) {
                        connection->close(true);
                        return;
                    }
                    asio::error_code ignored;
                    for (tcp::socket &it : connection->sockets)
                        it.set_option(tcp::no_delay(true), ignored);
                    read(connection, CLIENT);
                    read(connection, SERVER);
                });
        });
}

void Relay::read(const ConnectionPtr &connection, std::size_t from)
{
    connection->sockets[from].async_read_some(
        asio::buffer(connection->buffers[from]),
        [connection, from](const asio::error_code &ec, std::size_t n) {
            if (!connection->relay)
                return;
            connection->chunks[from].emplace_back(connection->buffers[from].data(), ec ? 0 : n);
            write(connection, from);
            if (!ec)
                read(connection, from);
        });
}

void Relay::write(const ConnectionPtr &connection, std::size_t from)
{
    if (!connection->relay || connection->isDead || connection->isWriting[from]
        || connection->chunks[from].empty() || connection->relay->m_isCut) {
        return;
    }
    const std::string &chunk = connection->chunks[from].front();
    if (chunk.empty()) {
        connection->close(false);
        return;
    }
    connection->isWriting[from] = true;
    asio::async_write(connection->sockets[1 - from], asio::buffer(chunk),
                      [connection, from](const asio::error_code &ec, std::size_t) {
                          if (!connection->relay)
                              return;
                          connection->isWriting[from] = false;
                          if (ec) {
                              connection->close(true);
                              return;
                          }
                          connection->chunks[from].pop_front();
                          write(connection, from);
                      });
}

} // namespace Review
