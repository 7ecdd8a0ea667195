// Connections of the relay.
#include "tcprelay.h"

#include <asio/write.hpp>

namespace TestSupport {

using asio::ip::tcp;

/// A relayed connection.
struct TcpRelay::Link
{
    Link(asio::io_context &io, const TcpRelay *owner)
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
    const TcpRelay *relay; // null once it is gone
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
    for (const auto &it : m_links) {
        it->relay = nullptr;
        it->close();
    }
    m_links.clear();
}

void TcpRelay::accept()
{
    auto link = std::make_shared<Link>(m_io, this);
    m_acceptor.async_accept(link->sockets[0], [this, link](const asio::error_code &ec) {
        if (ec == asio::error::operation_aborted)
            return;
        if (!ec) {
            m_links.push_back(link);
            // A connection attempt during the partition stays without an answer until restore().
            if (m_isPartitioned) {
                accept();
                return;
            }
            link->sockets[1].async_connect(m_target, [link](const asio::error_code &connectError) {
                if (connectError) {
                    link->close();
                    return;
                }
                pump(link, 0);
                pump(link, 1);
            });
        }
        accept();
    });
}

void TcpRelay::pump(const std::shared_ptr<Link> &link, std::size_t from)
{
    link->sockets[from].async_read_some(
        asio::buffer(link->buffers[from]), [link, from](const asio::error_code &ec, std::size_t n) {
            // Bytes and ends of connections do not pass a partition; restore() closes the
            // connection.
            if (link->relay && link->relay->m_isPartitioned) {
                if (!ec)
                    pump(link, from);
                return;
            }
            if (ec || !link->relay) {
                link->close();
                return;
            }
            asio::async_write(link->sockets[1 - from], asio::buffer(link->buffers[from], n),
                              [link, from](const asio::error_code &writeError, std::size_t) {
                                  if (writeError)
                                      link->close();
                                  else
                                      pump(link, from);
                              });
        });
}

} // namespace TestSupport
