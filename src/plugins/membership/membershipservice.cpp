// Polls the host list.
#include "membershipservice.h"

#include <base/failure.h>
#include <base/log.h>
#include <base/softassert.h>
#include <kernel/servicenames.h>
#include <kernel/serviceregistry.h>

#include <limits>

namespace Membership {

/// An upstream on a leaving host must get no new work after 3 s; polling may take a third of that.
static constexpr std::chrono::milliseconds POLL_INTERVAL_MS{1000};

MembershipService::MembershipService(const Settings::Runtime &runtime)
    : m_runtime(runtime)
{}

absl::Status MembershipService::start(const Kernel::ServiceRegistry &registry)
{
    m_source = registry.find<Storage::MembershipSource>(Kernel::ServiceNames::PLATFORM_CLIENT);
    m_telemetry = registry.find<Telemetry::TelemetryService>(Kernel::ServiceNames::TELEMETRY);
    EP_ASSERT(m_source && m_telemetry, return Base::makeFailure(Base::FailureCode::Internal,
                                                                "membership: missing service"));
    m_telemetry->metrics().setGauge("endivepath_membership_age_seconds",
                                    "Age of the membership list; NaN before the first list.",
                                    [this] {
                                        const auto value = age();
                                        return value ? std::chrono::duration<double>(*value).count()
                                                     : std::numeric_limits<double>::quiet_NaN();
                                    });
    poll();
    return absl::OkStatus();
}

void MembershipService::stop()
{
    m_runtime.timers.cancel(m_timer);
}

void MembershipService::poll()
{
    m_timer = m_runtime.timers.schedule(POLL_INTERVAL_MS, [this] { poll(); });
    m_source->fetchHosts(
        [this](const absl::Status &status, const std::vector<Storage::HostEntry> &entries) {
            if (!status.ok())
                return;
            std::map<std::string, Storage::HostState> hosts;
            for (const Storage::HostEntry &it : entries)
                hosts[it.host] = it.state;
            m_receivedAt = m_runtime.timers.now();
            if (hosts == m_hosts)
                return;
            m_hosts = std::move(hosts);
            Base::log(Base::LogLevel::Info, "membershipChanged", {{"hosts", m_hosts.size()}});
            EventLog::EventInfo event;
            event.type = EventLog::EventType::MembershipChanged;
            event.detail = static_cast<std::int64_t>(m_hosts.size());
            m_telemetry->record(event);
            for (const Observer &it : m_observers)
                it();
        });
}

Storage::HostState MembershipService::hostState(const std::string &host) const
{
    const auto it = m_hosts.find(host);
    return it == m_hosts.end() ? Storage::HostState::Live : it->second;
}

std::optional<Base::Duration> MembershipService::age() const
{
    if (!m_receivedAt)
        return {};
    return m_runtime.timers.now() - *m_receivedAt;
}

} // namespace Membership
