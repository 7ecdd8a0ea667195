// Connections of the relay: one queue of chunks for each direction.
#include "faultrelay.h"

#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <deque>
#include <string>

namespace TestSupport {

using asio::ip::tcp;
using Clock = std::chrono::steady_clock;

/// Nothing more is read from a side while this much from it is held.
static constexpr std::size_t MAX_HELD_BYTES = 256 * 1024;
static constexpr std::size_t CLIENT = 0; // index of a connection's socket, and of its direction
static constexpr std::size_t SERVER = 1;

struct Chunk
{
    std::string bytes; // empty: the sender has closed the connection
    Clock::time_point due;
};

struct FaultRelay::Connection
{
    Connection(asio::io_context &io, FaultRelay *owner)
        : sockets{tcp::socket(io), tcp::socket(io)}
        , timers{asio::steady_timer(io), asio::steady_timer(io)}
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
        for (asio::steady_timer &it : timers)
            it.cancel();
    }

    std::array<tcp::socket, 2> sockets;
    std::array<asio::steady_timer, 2> timers;
    std::array<std::array<char, 16384>, 2> buffers{};
    // By direction, named after the sender.
    std::array<std::deque<Chunk>, 2> chunks;
    std::array<std::size_t, 2> heldBytes{};
    std::array<bool, 2> isReading{};
    std::array<bool, 2> isWriting{};
    bool isDead = false; // silent for good
    FaultRelay *relay;   // null once closed
};

FaultRelay::FaultRelay(asio::io_context &io, std::uint16_t listenPort, std::uint16_t targetPort)
    : m_io(io)
    , m_port(listenPort)
    , m_acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), listenPort))
    , m_target(asio::ip::make_address("127.0.0.1"), targetPort)
{
    accept();
}

FaultRelay::~FaultRelay()
{
    reset();
    asio::error_code ec;
    m_acceptor.close(ec);
}

void FaultRelay::apply(LinkFault fault)
{
    ++m_faults[std::size_t(fault)];
}

void FaultRelay::lift(LinkFault fault, Lift how)
{
    --m_faults[std::size_t(fault)];
    if (how == Lift::Reset) {
        reset();
        return;
    }
    for (const ConnectionPtr &it : std::vector(m_connections)) {
        write(it, CLIENT);
        write(it, SERVER);
    }
}

void FaultRelay::reset()
{
    for (const ConnectionPtr &it : std::exchange(m_connections, {}))
        it->close(true);
}

void FaultRelay::silenceOpen()
{
    for (const ConnectionPtr &it : m_connections)
        it->isDead = true;
}

bool FaultRelay::isHeld(const Connection &connection, std::size_t from) const
{
    const LinkFault oneWay = from == CLIENT ? LinkFault::SilentToServer : LinkFault::SilentToClient;
    return connection.isDead || count(LinkFault::Silent) > 0 || count(oneWay) > 0;
}

void FaultRelay::accept()
{
    auto connection = std::make_shared<Connection>(m_io, this);
    m_acceptor.async_accept(
        connection->sockets[CLIENT], [this, connection](const asio::error_code &ec) {
            if (ec == asio::error::operation_aborted)
                return;
            accept();
            if (ec)
                return;
            if (count(LinkFault::Refused) > 0) {
                connection->close(true);
                return;
            }
            // The packets that open a connection are lost in a cut.
            connection->isDead = count(LinkFault::Silent) > 0;
            std::erase_if(m_connections, [](const ConnectionPtr &it) { return !it->relay; });
            m_connections.push_back(connection);
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

void FaultRelay::read(const ConnectionPtr &connection, std::size_t from)
{
    if (connection->isReading[from] || connection->heldBytes[from] > MAX_HELD_BYTES)
        return;
    connection->isReading[from] = true;
    connection->sockets[from].async_read_some(
        asio::buffer(connection->buffers[from]),
        [connection, from](const asio::error_code &ec, std::size_t n) {
            if (!connection->relay)
                return;
            const bool isSlow = connection->relay->count(LinkFault::Slow) > 0;
            const auto delay = isSlow ? SLOW_DELAY_MS : std::chrono::milliseconds(0);
            connection->chunks[from].push_back(
                {std::string(connection->buffers[from].data(), ec ? 0 : n), Clock::now() + delay});
            connection->heldBytes[from] += n;
            write(connection, from);
            if (ec)
                return; // isReading stays set: nothing follows
            connection->isReading[from] = false;
            read(connection, from);
        });
}

void FaultRelay::write(const ConnectionPtr &connection, std::size_t from)
{
    if (!connection->relay || connection->isWriting[from] || connection->chunks[from].empty()
        || connection->relay->isHeld(*connection, from)) {
        return;
    }
    const Chunk &chunk = connection->chunks[from].front();
    if (chunk.due > Clock::now()) {
        connection->timers[from].expires_at(chunk.due);
        connection->timers[from].async_wait([connection, from](const asio::error_code &ec) {
            if (!ec)
                write(connection, from);
        });
        return;
    }
    if (chunk.bytes.empty()) {
        connection->close(false);
        return;
    }
    connection->isWriting[from] = true;
    asio::async_write(connection->sockets[1 - from], asio::buffer(chunk.bytes),
                      [connection, from](const asio::error_code &ec, std::size_t) {
                          if (!connection->relay)
                              return;
                          connection->isWriting[from] = false;
                          if (ec) {
                              connection->close(true);
                              return;
                          }
                          connection->heldBytes[from] -=
                              connection->chunks[from].front().bytes.size();
                          connection->chunks[from].pop_front();
                          read(connection, from);
                          write(connection, from);
                      });
}

} // namespace TestSupport
