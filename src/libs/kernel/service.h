// The interface of everything that the daemon starts and stops.
#pragma once

#include <absl/status/status.h>

#include <functional>

namespace Kernel {

class ServiceRegistry;

/// A part of the daemon with a life cycle. It is created, started in the order of registration,
/// then drained and stopped in reverse order. All calls happen on the daemon's loop.
class Service
{
public:
    virtual ~Service() = default;

    /// Looks up the services that this one needs and begins to work.
    virtual absl::Status start(const ServiceRegistry &registry) = 0;
    /// Finishes or hands over work in progress, then calls \a done, once.
    virtual void drain(std::function<void()> done) { done(); }
    /// Releases sockets and timers. No callback may run after it.
    virtual void stop() {}
};

} // namespace Kernel
