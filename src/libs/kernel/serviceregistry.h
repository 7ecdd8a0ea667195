// Registry of the daemon's services, which look each other up by name.
#pragma once

#include "service.h"

#include <base/softassert.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Kernel {

/// Owns all services of a daemon and manages their life cycle. Names are unique.
class ServiceRegistry
{
public:
    /// Adds a service. Services are started in the order in which they were added.
    void add(std::string name, std::unique_ptr<Service> service);

    /// Returns the service \a name as interface T, or null if no service has that name and type.
    template<class T>
    T *find(std::string_view name) const
    {
        return dynamic_cast<T *>(findService(name));
    }

    /// Starts all services; returns the first failure without starting the rest.
    absl::Status startAll();
    /// Drains the started services one by one in reverse order, then calls \a done.
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
    /// Drains the first \a count services in reverse order.
    void drainFirst(std::size_t count, std::function<void()> done);

    std::vector<Entry> m_entries;
    std::size_t m_startedCount = 0; // entries before this index are started
};

} // namespace Kernel
