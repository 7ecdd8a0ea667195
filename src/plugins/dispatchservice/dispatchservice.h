// Connects the dispatch library with the other daemons and with the executors.
#pragma once

#include <dispatch/executorgroup.h>
#include <dispatch/groupdirectory.h>
#include <dispatch/grouprights.h>
#include <dispatch/jobcoordinator.h>
#include <kernel/service.h>
#include <peerlink/peerlink.h>
#include <settings/runtime.h>
#include <telemetry/telemetryservice.h>

#include <memory>

namespace DispatchService {

/// Owns the jobs of this daemon, the groups that it orders, and its view of all groups.
class DispatchServiceImpl : public Kernel::Service,
                            public Wire::PeerListener,
                            private Dispatch::GroupListener,
                            private Dispatch::RightsListener,
                            private Dispatch::GroupSender
{
public:
    /// \a port must outlive the service.
    DispatchServiceImpl(const Settings::Runtime &runtime, Dispatch::ExecutorPort &port);
    ~DispatchServiceImpl() override;

    absl::Status start(const Kernel::ServiceRegistry &registry) override;
    void stop() override;

    /// Other daemons take the owned groups over; jobs go on.
    void beginDrain();

    /// A number that no other daemon has had, higher than those of earlier daemons.
    void setDaemonNumber(std::uint64_t number) { m_rights.setDaemonNumber(number); }
    /// The registered executors of the whole deployment.
    void setExecutors(const std::vector<Dispatch::ExecutorInfo> &executors);

    Dispatch::JobCoordinator &jobs() { return m_jobs; }
    /// Whether any executor can be reached through some group.
    bool canServe() const;

    void peerMessageReceived(const Wire::PeerIdentity &from, const Wire::Message &message) override;
    void peerConnected(const Wire::PeerIdentity &peer) override;
    void peerDisconnected(const Wire::PeerIdentity &peer) override;

private:
    void tasksReported(const Base::DaemonId &coordinator,
                       const Wire::TaskReports &reports) override;
    void groupFenced(const Dispatch::GroupId &group, bool wasAccepted) override;
    void groupClaimed(const Dispatch::GroupId &group, Dispatch::FencingToken token) override;
    void groupLost(const Dispatch::GroupId &group) override;
    void groupOwnerChanged(const Dispatch::GroupId &group) override;
    void peerLost(const Base::DaemonId &peer) override;
    void tasksDropped(const Base::DaemonId &peer) override;
    void probeGroup(const Dispatch::GroupId &group) override;
    bool sendToOwner(const Dispatch::GroupId &group, const Wire::Message &message) override;

    void post(std::function<void()> action);
    void stateReceived(const Wire::PeerIdentity &from, const Wire::DispatchState &state);
    void handleMessage(const Base::DaemonId &from, const Wire::Message &message);
    void sendStates();
    void sendLoads();
    void tick();
    void claimTasksAt(const Base::DaemonId &owner);
    void addGauges();

    const Settings::Runtime m_runtime;
    Dispatch::ExecutorPort &m_port;
    PeerLink::PeerLinkService *m_link = nullptr;
    Telemetry::TelemetryService *m_telemetry = nullptr;
    Dispatch::GroupRights m_rights;
    Dispatch::GroupDirectory m_directory;
    Dispatch::JobCoordinator m_jobs;
    std::map<Dispatch::GroupId, std::unique_ptr<Dispatch::ExecutorGroup>> m_owned;
    // Groups that were lost in a call of their own; destroyed from the loop.
    std::vector<std::unique_ptr<Dispatch::ExecutorGroup>> m_retired;
    std::map<Dispatch::GroupId, std::vector<Dispatch::ExecutorInfo>> m_executors;
    std::map<Base::DaemonId, std::uint64_t> m_connections; // made to each peer
    std::map<Base::DaemonId, std::pair<Base::Incarnation, std::uint64_t>> m_peerConnections;
    Base::TimerId m_tickTimer;
    Base::TimePoint m_lastTick;
    Base::TimePoint m_lastStates;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace DispatchService
