// A TCP relay that can be cut like a network link.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

namespace TestSupport {

/// Relays connections from a loopback port to another. While it is cut, connections stay open and
/// bytes do not pass, as with a partition: neither side is told.
class TcpRelay
{
public:
    TcpRelay(asio::io_context &io, std::uint16_t listenPort, std::uint16_t targetPort);
    ~TcpRelay();

    void cut() { m_isCut = true; }
    /// Closes the connections that were cut, so that the programs connect anew.
    void restore();

private:
    struct Link;

    void accept();
    static void pump(const std::shared_ptr<Link> &link, std::size_t from);

    asio::io_context &m_io;
    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::endpoint m_target;
    bool m_isCut = false;
    std::vector<std::shared_ptr<Link>> m_links; // kept until restore(), also if closed
};

} // namespace TestSupport
