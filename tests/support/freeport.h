// Ports for the programs of a deployment under test.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <unistd.h>

#include <cstdint>
#include <stdexcept>

namespace TestSupport {

/// Below the range from which the kernel takes the ports of outgoing connections, which could take
/// a port between this check and the start of its program.
inline std::uint16_t freePort()
{
    static unsigned next = unsigned(getpid()) * 64;
    asio::io_context io;
    for (int i = 0; i < 2000; ++i) {
        const auto port = std::uint16_t(10'000 + next++ % 20'000);
        asio::ip::tcp::acceptor acceptor(io);
        asio::error_code ec;
        acceptor.open(asio::ip::tcp::v4());
        acceptor.bind({asio::ip::make_address("127.0.0.1"), port}, ec);
        if (!ec)
            return port;
    }
    throw std::runtime_error("no free port");
}

} // namespace TestSupport
