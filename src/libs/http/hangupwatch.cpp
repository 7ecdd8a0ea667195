// An epoll instance whose descriptor is watched by the event loop.
#include "hangupwatch.h"

#include <asio/io_context.hpp>

#include <poll.h>
#include <sys/epoll.h>

#include <array>
#include <utility>

namespace Http {

static constexpr std::size_t EVENTS_PER_CALL = 64;

HangupWatch::HangupWatch(asio::io_context &io, int epoll, Handler handler)
    : m_epoll(io, epoll)
    , m_handler(std::move(handler))
{}

std::shared_ptr<HangupWatch> HangupWatch::create(asio::io_context &io, Handler handler)
{
    const int epoll = epoll_create1(EPOLL_CLOEXEC);
    if (epoll < 0)
        return {};
    const std::shared_ptr<HangupWatch> watch(new HangupWatch(io, epoll, std::move(handler)));
    watch->wait();
    return watch;
}

void HangupWatch::stop()
{
    m_isStopped = true;
    asio::error_code ec;
    m_epoll.close(ec);
}

bool HangupWatch::add(int fd, std::uint64_t connection)
{
    epoll_event event{};
    // EPOLLHUP and EPOLLERR are always reported.
    event.events = EPOLLRDHUP | EPOLLONESHOT;
    event.data.u64 = connection;
    return !m_isStopped && epoll_ctl(m_epoll.native_handle(), EPOLL_CTL_ADD, fd, &event) == 0;
}

void HangupWatch::wait()
{
    m_epoll.async_wait(asio::posix::stream_descriptor::wait_read,
                       [weak = weak_from_this()](const asio::error_code &ec) {
                           const std::shared_ptr<HangupWatch> self = weak.lock();
                           if (!self || ec || self->m_isStopped)
                               return;
                           self->report();
                           if (!self->m_isStopped)
                               self->wait();
                       });
}

void HangupWatch::report()
{
    std::array<epoll_event, EVENTS_PER_CALL> events{};
    int n = 0;
    do {
        n = epoll_wait(m_epoll.native_handle(), events.data(), static_cast<int>(events.size()), 0);
        for (int i = 0; i < n && !m_isStopped; ++i)
            m_handler(events[static_cast<std::size_t>(i)].data.u64);
    } while (n > 0 && !m_isStopped);
}

bool HangupWatch::hasHungUp(int fd)
{
    pollfd entry{fd, POLLRDHUP, 0};
    return ::poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

} // namespace Http
