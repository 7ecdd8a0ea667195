// A connection of a crowd of callers that send too much.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace TestSupport {

using SharedText = std::shared_ptr<const std::string>;

/// Sends its parts as far as the daemon reads them, reads no answer, and
/// stays open.
class Sender
{
public:
    Sender(asio::io_context &io, std::uint16_t port, std::vector<SharedText> parts,
           std::size_t repetitions);

    ~Sender() { *m_isAlive = false; }
    Sender(const Sender &) = delete;
    Sender &operator=(const Sender &) = delete;

    /// Sends \a part as well.
    void append(SharedText part);

    bool isDone() const { return m_isDone; }
    std::size_t sentBytes() const { return m_sentBytes; }

private:
    void write();

    asio::ip::tcp::socket m_socket;
    std::vector<SharedText> m_parts;
    std::size_t m_remaining = 0; // parts, with their repetitions
    std::size_t m_next = 0;      // part
    std::size_t m_offset = 0;    // in that part
    std::size_t m_sentBytes = 0;
    bool m_isDone = false;
    // Writes end after the object is destroyed.
    const std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace TestSupport
