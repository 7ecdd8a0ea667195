// The platform's list of hosts, as last received.
#pragma once

#include <kernel/service.h>
#include <settings/runtime.h>
#include <storage/membershipsource.h>
#include <telemetry/telemetryservice.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Membership {

/// Polls the list. While the platform is away the last list stays in force and its age grows.
class MembershipService : public Kernel::Service
{
public:
    using Observer = std::function<void()>;

    explicit MembershipService(const Settings::Runtime &runtime);

    absl::Status start(const Kernel::ServiceRegistry &registry) override;
    void stop() override;

    /// Hosts that the list does not name are live.
    Storage::HostState hostState(const std::string &host) const;
    /// Time since the last list; nothing before the first one.
    std::optional<Base::Duration> age() const;
    /// Called after each list that differs from the one before.
    void observe(Observer observer) { m_observers.push_back(std::move(observer)); }

private:
    void poll();

    const Settings::Runtime m_runtime;
    Storage::MembershipSource *m_source = nullptr;
    Telemetry::TelemetryService *m_telemetry = nullptr;
    std::map<std::string, Storage::HostState> m_hosts;
    std::optional<Base::TimePoint> m_receivedAt;
    std::vector<Observer> m_observers;
    Base::TimerId m_timer;
};

} // namespace Membership
