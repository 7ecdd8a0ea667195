// Timers based on Asio: one steady_timer per pending callback, keyed by id.
#include "asiotimers.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <unordered_map>
#include <utility>

namespace Base {

struct AsioTimers::Private
{
    explicit Private(asio::io_context &ioContext)
        : io(ioContext)
    {}

    asio::io_context &io;
    TimerId lastId;
    std::unordered_map<TimerId, asio::steady_timer> pending;
};

AsioTimers::AsioTimers(asio::io_context &io)
    : m_d(std::make_unique<Private>(io))
{}

AsioTimers::~AsioTimers() = default;

TimePoint AsioTimers::now() const
{
    return std::chrono::steady_clock::now();
}

TimerId AsioTimers::schedule(Duration delay, std::function<void()> callback)
{
    const TimerId id = m_d->lastId.next();
    m_d->lastId = id;
    auto [it, inserted] = m_d->pending.try_emplace(id, m_d->io, delay);
    it->second.async_wait([this, id, callback = std::move(callback)](const asio::error_code &ec) {
        // A cancelled timer must not touch the object, which may be gone.
        if (ec == asio::error::operation_aborted)
            return;
        // The handler of a timer that expired before cancel() is still queued, but its id is no
        // longer pending.
        if (m_d->pending.erase(id) == 0)
            return;
        callback();
    });
    return id;
}

void AsioTimers::cancel(TimerId id)
{
    m_d->pending.erase(id);
}

} // namespace Base
