// A TCP relay on loopback whose connections can be reset, or held up as by a partition.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace Review {

class Relay
{
public:
    Relay(asio::io_context &io, std::uint16_t listenPort, std::uint16_t targetPort);
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    std::uint16_t port() const { return m_port; }
    /// Resets each open connection for which \a isChosen returns true; returns their number.
    int reset(const std::function<bool()> &isChosen);
    /// Holds the bytes of open connections. Connections made during the cut never get through.
    void cut();
    /// Delivers what was held, as the retransmissions of TCP do.
    void heal();
    /// Refuses connections while \a isRefusing, as a host whose process is down.
    void setRefusing(bool isRefusing);

private:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

    void open();
    void accept();
    static void read(const ConnectionPtr &connection, std::size_t from);
    static void write(const ConnectionPtr &connection, std::size_t from);

    asio::io_context &m_io;
    const std::uint16_t m_port;
    asio::ip::tcp::acceptor m_acceptor;
    const asio::ip::tcp::endpoint m_target;
    bool m_isCut = false;
    std::vector<ConnectionPtr> m_connections;
};

} // namespace Review
