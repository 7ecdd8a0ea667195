// Implements the Timers interface with an Asio event loop and the steady clock.
#pragma once

#include "timers.h"

#include <memory>

namespace asio {
class io_context;
}

namespace Base {

/// Timers of the daemon's event loop. Use it only on the thread of that loop.
class AsioTimers : public Timers
{
public:
    explicit AsioTimers(asio::io_context &io);
    ~AsioTimers() override;

    TimePoint now() const override;
    TimerId schedule(Duration delay, std::function<void()> callback) override;
    void cancel(TimerId id) override;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace Base
