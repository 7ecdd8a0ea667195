// Connections of the relay.
#include "tcprelay.h"

#include <asio/write.hpp>

namespace TestSupport {

using asio::ip::tcp;

/// A relayed connection.
struct TcpRelay::Connection
{
    Connection(asio::io_context &io, const TcpRelay *owner)
        : sockets{tcp::socket(io), tcp::socket(io)}
        , relay(owner)
    {}

    void close()
    {
        asio::error_code ec;
        for (tcp::socket &it : sockets)
            it.close(ec);
    }

    std::array<tcp::socket, 2> sockets;
    std::array<std::array<char, 16384>, 2> buffers{};
    const TcpRelay *relay; // null after restore() or the end of the relay
};

TcpRelay::TcpRelay(asio::io_context &io, std::uint16_t listenPort, std::uint16_t targetPort)
    : m_io(io)
    , m_acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), listenPort))
    , m_target(asio::ip::make_address("127.0.0.1"), targetPort)
{
    accept();
}

TcpRelay::~TcpRelay()
{
    restore();
    asio::error_code ec;
    m_acceptor.close(ec);
}

void TcpRelay::restore()
{
    m_isPartitioned = false;
    for (const auto &it : m_connections) {
        it->relay = nullptr;
        it->close();
    }
    m_connections.clear();
}

void TcpRelay::accept()
{
    auto connection = std::make_shared<Connection>(m_io, this);
    m_acceptor.async_accept(connection->sockets[0], [this, connection](const asio::error_code &ec) {
        if (ec == asio::error::operation_aborted)
            return;
        if (!ec) {
            m_connections.push_back(connection);
            // A connection accepted during a partition is not forwarded; restore() closes it.
            if (m_isPartitioned) {
                accept();
                return;
            }
            connection->sockets[1].async_connect(
                m_target, [connection](const asio::error_code &connectError) {
                    if (connectError) {
                        connection->close();
                        return;
                    }
                    pump(connection, 0);
                    pump(connection, 1);
                });
        }
        accept();
    });
}

void TcpRelay::pump(const std::shared_ptr<Connection> &connection, std::size_t from)
{
    connection->sockets[from].async_read_some(
        asio::buffer(connection->buffers[from]),
        [connection, from](const asio::error_code &ec, std::size_t n) {
            // Neither data nor the end of a connection is forwarded during a partition; restore()
            // closes the connection.
            if (connection->relay && connection->relay->m_isPartitioned) {
                if (!ec)
                    pump(connection, from);
                return;
            }
            if (ec || !connection->relay) {
                connection->close();
                return;
            }
            asio::async_write(connection->sockets[1 - from],
                              asio::buffer(connection->buffers[from], n),
                              [connection, from](const asio::error_code &writeError, std::size_t) {
                                  if (writeError)
                                      connection->close();
                                  else
                                      pump(connection, from);
                              });
        });
}

} // namespace TestSupport
