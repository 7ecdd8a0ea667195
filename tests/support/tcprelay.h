// A TCP relay that can simulate a network partition.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

namespace TestSupport {

/// Relays connections from one loopback port to another. During a partition connections stay open
/// and no bytes are forwarded, so neither side sees an error.
class TcpRelay
{
public:
    TcpRelay(asio::io_context &io, std::uint16_t listenPort, std::uint16_t targetPort);
    ~TcpRelay();

    void partition() { m_isPartitioned = true; }
    /// Ends the partition and closes all connections, so that the programs reconnect.
    void restore();

private:
    struct Connection;

    void accept();
    static void pump(const std::shared_ptr<Connection> &connection, std::size_t from);

    asio::io_context &m_io;
    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::endpoint m_target;
    bool m_isPartitioned = false;
    std::vector<std::shared_ptr<Connection>> m_connections; // kept until restore(), also if closed
};

} // namespace TestSupport
