// Starts, drains and stops the services.
#include "serviceregistry.h"

#include <base/log.h>

#include <utility>

namespace Kernel {

void ServiceRegistry::add(std::string name, std::unique_ptr<Service> service)
{
    EP_ASSERT(service, return);
    EP_ASSERT(!findService(name), return);
    m_entries.push_back({std::move(name), std::move(service)});
}

Service *ServiceRegistry::findService(std::string_view name) const
{
    for (const Entry &it : m_entries) {
        if (it.name == name)
            return it.service.get();
    }
    return nullptr;
}

absl::Status ServiceRegistry::startAll()
{
    for (; m_startedCount < m_entries.size(); ++m_startedCount) {
        const Entry &entry = m_entries[m_startedCount];
        const absl::Status status = entry.service->start(*this);
        if (!status.ok())
            return status;
        Base::log(Base::LogLevel::Debug, "serviceStarted", {{"service", entry.name}});
    }
    return absl::OkStatus();
}

void ServiceRegistry::drainFirst(std::size_t count, std::function<void()> done)
{
    if (count == 0) {
        done();
        return;
    }
    m_entries[count - 1].service->drain([this, count, done = std::move(done)]() mutable {
        drainFirst(count - 1, std::move(done));
    });
}

void ServiceRegistry::drainAll(std::function<void()> done)
{
    drainFirst(m_startedCount, std::move(done));
}

void ServiceRegistry::stopAll()
{
    while (m_startedCount > 0) {
        --m_startedCount;
        m_entries[m_startedCount].service->stop();
    }
}

} // namespace Kernel
