// A TCP relay whose connections can be silenced, delayed, reset or refused.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace TestSupport {

enum class LinkFault {
    Silent,         ///< Bytes are held in both directions; new connections stay silent for good.
    SilentToServer, ///< Requests are held, responses pass.
    SilentToClient, ///< Responses are held, requests pass.
    Slow,           ///< Bytes are delayed.
    Refused,        ///< New connections are closed at once.
};

enum class Lift {
    Deliver, ///< What was held is delivered, late.
    Reset,   ///< The connections are reset, and what was held is lost.
};

/// Relays connections from one loopback port to another. Faults may overlap; each is lifted once.
class FaultRelay
{
public:
    static constexpr std::chrono::milliseconds SLOW_DELAY_MS{80};

    FaultRelay(asio::io_context &io, std::uint16_t listenPort, std::uint16_t targetPort);
    ~FaultRelay();
    FaultRelay(const FaultRelay &) = delete;
    FaultRelay &operator=(const FaultRelay &) = delete;

    std::uint16_t port() const { return m_port; }
    void apply(LinkFault fault);
    void lift(LinkFault fault, Lift how);
    /// Resets all connections.
    void reset();
    /// Open connections deliver nothing further, without a reset; new ones work.
    void silenceOpen();

private:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

    void accept();
    bool isHeld(const Connection &connection, std::size_t from) const;
    static void read(const ConnectionPtr &connection, std::size_t from);
    static void write(const ConnectionPtr &connection, std::size_t from);

    int count(LinkFault fault) const { return m_faults[std::size_t(fault)]; }

    asio::io_context &m_io;
    const std::uint16_t m_port;
    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::endpoint m_target;
    std::array<int, 5> m_faults{}; // number of faults of each kind that are in force
    std::vector<ConnectionPtr> m_connections;
};

} // namespace TestSupport
