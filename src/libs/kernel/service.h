// Interface of the daemon's services.
#pragma once

#include <absl/status/status.h>

#include <functional>

namespace Kernel {

class ServiceRegistry;

/// A component of the daemon. Services are started in the order of their registration, then drained
/// and stopped in reverse order. All functions are called on the daemon's event loop.
class Service
{
public:
    virtual ~Service() = default;

    /// Looks up the required services and starts operation.
    virtual absl::Status start(const ServiceRegistry &registry) = 0;
    /// Finishes or hands over work in progress, then calls \a done exactly once.
    virtual void drain(std::function<void()> done) { done(); }
    /// Releases sockets and timers. No callback may run after it.
    virtual void stop() {}
};

} // namespace Kernel
