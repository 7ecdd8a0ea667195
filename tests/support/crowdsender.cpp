// Sending of the parts, one after the other.
#include "crowdsender.h"

#include <asio/buffer.hpp>

#include <utility>

namespace TestSupport {

Sender::Sender(asio::io_context &io, std::uint16_t port, std::vector<SharedText> parts,
               std::size_t repetitions)
    : m_socket(io)
    , m_parts(std::move(parts))
    , m_remaining(m_parts.size() * repetitions)
{
    asio::error_code ec;
    m_socket.connect({asio::ip::make_address("127.0.0.1"), port}, ec);
    m_isDone = bool(ec);
    if (!m_isDone)
        write();
}

void Sender::append(SharedText part)
{
    const bool isIdle = m_remaining == 0;
    m_parts.push_back(std::move(part));
    ++m_remaining;
    if (!isIdle || !m_socket.is_open())
        return;
    m_next = m_parts.size() - 1;
    m_isDone = false;
    write();
}

void Sender::write()
{
    while (m_remaining > 0 && m_offset >= m_parts[m_next]->size()) {
        m_offset = 0;
        m_next = (m_next + 1) % m_parts.size();
        --m_remaining;
    }
    if (m_remaining == 0) {
        m_isDone = true;
        return;
    }
    m_socket.async_write_some(asio::buffer(*m_parts[m_next]) + m_offset,
                              [this, alive = m_isAlive](const asio::error_code &ec, std::size_t n) {
                                  if (!*alive)
                                      return;
                                  m_sentBytes += n;
                                  m_offset += n;
                                  if (ec)
                                      m_isDone = true;
                                  else
                                      write();
                              });
}

} // namespace TestSupport
