// The micro-kernel: owns the daemon's services and lets them find each other by name.
#pragma once

#include "service.h"

#include <base/softassert.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Kernel {

/// Owns all services of a daemon. Names are unique.
class ServiceRegistry
{
public:
    /// Adds a service; the order of additions is the order of starting.
    void add(std::string name, std::unique_ptr<Service> service);

    /// The service \a name as the interface T, or null if there is none of that name and type.
    template<class T>
    T *find(std::string_view name) const
    {
        return dynamic_cast<T *>(findService(name));
    }

    /// Starts all services; stops at the first failure and returns it.
    absl::Status startAll();
    /// Drains the started services one after the other in reverse order, then calls \a done.
    void drainAll(std::function<void()> done);
    /// Stops the started services in reverse order.
    void stopAll();

private:
    struct Entry
    {
        std::string name;
        std::unique_ptr<Service> service;
    };

    Service *findService(std::string_view name) const;
    void drainBefore(std::size_t index, std::function<void()> done);

    std::vector<Entry> m_entries;
    std::size_t m_startedCount = 0; // entries before this index are started
};

} // namespace Kernel
