// Keeps the list of hosts last received from the platform.
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

/// Polls the list. While the platform is unavailable, the last list remains valid and its age
/// grows.
class MembershipService : public Kernel::Service
{
public:
    using Observer = std::function<void()>;

    explicit MembershipService(const Settings::Runtime &runtime);

    absl::Status start(const Kernel::ServiceRegistry &registry) override;
    void stop() override;

    /// State of \a host. Hosts that are not in the list are live.
    Storage::HostState hostState(const std::string &host) const;
    /// Time since the last list was received; std::nullopt before the first one.
    std::optional<Base::Duration> age() const;
    /// Calls \a observer after each list that differs from the previous one.
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
