// A TCP relay that can be partitioned like a network link.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

namespace TestSupport {

/// Relays connections from a loopback port to another. While it is partitioned, connections stay
/// open and bytes do not pass, as in a network partition: neither side is told.
class TcpRelay
{
public:
    TcpRelay(asio::io_context &io, std::uint16_t listenPort, std::uint16_t targetPort);
    ~TcpRelay();

    void partition() { m_isPartitioned = true; }
    /// Closes the connections that were partitioned, so that the programs connect anew.
    void restore();

private:
    struct Link;

    void accept();
    static void pump(const std::shared_ptr<Link> &link, std::size_t from);

    asio::io_context &m_io;
    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::endpoint m_target;
    bool m_isPartitioned = false;
    std::vector<std::shared_ptr<Link>> m_links; // kept until restore(), also if closed
};

} // namespace TestSupport
