// Notices that peers have closed or reset their connections, without reading from these.
#pragma once

#include <asio/posix/stream_descriptor.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace asio {
class io_context;
}

namespace Http {

/// Watches sockets with an epoll instance of its own. RESTinio reads no further while a connection
/// has as many open requests as it may have, and Asio reports no end of a stream behind unread
/// bytes; EPOLLRDHUP does both.
class HangupWatch : public std::enable_shared_from_this<HangupWatch>
{
public:
    using Handler = std::function<void(std::uint64_t connection)>;

    /// Returns null if there is no descriptor for it.
    static std::shared_ptr<HangupWatch> create(asio::io_context &io, Handler handler);

    /// Calls the handler with \a connection at most once, when the peer has shut down its side or
    /// reset the connection. The watch ends when \a fd is closed. Returns false if \a fd can't be
    /// watched.
    bool add(int fd, std::uint64_t connection);
    void stop();

    /// Whether the peer of \a fd has shut down its side or reset the connection. Doesn't block.
    static bool hasHungUp(int fd);

private:
    HangupWatch(asio::io_context &io, int epoll, Handler handler);
    void wait();
    void report();

    asio::posix::stream_descriptor m_epoll;
    Handler m_handler;
    bool m_isStopped = false;
};

} // namespace Http
