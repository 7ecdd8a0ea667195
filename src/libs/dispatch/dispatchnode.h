// The dispatcher of one daemon: its jobs, the groups that it owns, and the load of all groups.
#pragma once

#include "dispatchconstants.h"
#include "executorgroup.h"
#include "groupdirectory.h"
#include "groupownership.h"
#include "jobcancellation.h"
#include "jobcoordinator.h"
#include "lifetimeguard.h"
#include "registrationexchange.h"

#include <wire/peerport.h>

#include <memory>
#include <set>

namespace Dispatch {

/// Adds to the state messages what this daemon knows of the executors' registrations, and evaluates
/// what its peers state.
class StateListener
{
public:
    virtual ~StateListener() = default;

    virtual void addToState(Wire::DispatchState &state) = 0;
    virtual void stateReceived(const Base::DaemonId &peer, const Wire::DispatchState &state) = 0;
};

/// Connects the dispatch components of this daemon with each other and with those of other daemons.
/// Performs no I/O itself; all calls are made on one event loop.
class DispatchNode : public Wire::PeerListener,
                     private GroupListener,
                     private GroupOwnershipListener,
                     private GroupSender,
                     private CancellationNetwork
{
public:
    /// \a executors and \a peers must outlive the node.
    DispatchNode(Base::DaemonId self, const Base::FailureDomainId &domain, Base::Timers &timers,
                 ExecutorPort &executors, Wire::PeerPort &peers,
                 const DispatchOptions &options = {});
    ~DispatchNode() override;

    /// Starts the periodic calls of tick().
    void start();
    /// Timers and answers to orders have no effect after this.
    void stop();

    /// See GroupOwnership::setCapacity().
    void setCapacity(std::uint32_t cpuMillis) { m_ownership.setCapacity(cpuMillis); }
    /// See GroupOwnership::setDaemonNumber().
    void setDaemonNumber(std::uint64_t number) { m_ownership.setDaemonNumber(number); }
    /// \a listener may be null. It must stay valid until stop().
    void setStateListener(StateListener *listener) { m_stateListener = listener; }
    /// Sets the registered executors of the whole deployment.
    void setExecutors(const std::vector<ExecutorInfo> &executors);
    /// The list of executors contains all that had registered at \a time. Until the first call, it
    /// is taken to be complete at any time.
    void setListCompleteAsOf(Base::TimePoint time);
    /// Lets other daemons take over the owned groups; the jobs of this daemon continue.
    void beginDrain();

    JobCoordinator &jobs() { return m_jobs; }
    JobCancellation &cancellation() { return m_cancellation; }
    /// Memory for the tasks at the owned groups, as estimated.
    std::size_t taskBytes() const { return m_taskMemory->usedBytes(); }
    const ExecutorLosses &losses() const { return m_losses; }
    const LifetimeGuardCounters &lifetimeGuardCounters() const { return m_port.counters(); }
    const std::map<GroupId, std::unique_ptr<ExecutorGroup>> &ownedGroups() const { return m_owned; }
    /// Whether at least one group with executors has an owner.
    bool canServe() const;
    bool isLargeDeployment() const { return m_connections.size() > Constants::MAX_GOSSIP_PEERS; }
    /// See GroupOwnership::rankInDomain().
    std::size_t rankInDomain() const { return m_ownership.rankInDomain(); }

    void peerMessageReceived(const Wire::PeerIdentity &from, const Wire::Message &message) override;
    void peerConnected(const Wire::PeerIdentity &peer) override;
    void peerDisconnected(const Wire::PeerIdentity &peer) override;

private:
    void tasksReported(const Base::DaemonId &coordinator,
                       const Wire::TaskReports &reports) override;
    void groupFenced(const GroupId &group, const ExecutorId &executor, bool wasAccepted) override;
    void executorLost(const ExecutorLoss &loss) override;
    void executorAnswered(const ExecutorId &executor, Lifetime lifetime) override;
    void executorEnded(const ExecutorId &executor, Lifetime lifetime) override;
    std::set<Base::DaemonId> liveDaemons() const override;
    void groupClaimed(const GroupId &group, FencingToken token) override;
    void groupLost(const GroupId &group) override;
    void groupOwnerChanged(const GroupId &group) override;
    void peerLost(const Base::DaemonId &peer) override;
    void tasksDropped(const Base::DaemonId &peer) override;
    void probeGroup(const GroupId &group) override;
    bool sendToOwner(const GroupId &group, const Wire::Message &message) override;
    bool isOwnerReachable(const GroupId &group) const override;
    bool sendClaimsEnd(const GroupId &group, std::uint64_t firstSequence) override;
    Daemons cancellationDaemons() const override;
    bool sendCancellation(const Base::DaemonId &peer, const Wire::Message &message) override;
    bool stopTasksOf(const JobId &job) override;

    /// The last report of a group's load.
    struct LoadReport
    {
        FencingToken token;
        std::uint64_t version = 0;
        Base::TimePoint time;
    };

    void post(std::function<void()> action);
    void applyExecutors(const std::vector<ExecutorInfo> &executors);
    void exchangeRegistrations();
    void sendRegistrations(const Base::DaemonId &peer, const Wire::RegistrationsRequest &request);
    std::set<Base::DaemonId> peersWith(std::uint32_t feature) const;
    void broadcast(const ExecutorLosses::Message &message);
    void stateReceived(const Wire::PeerIdentity &from, const Wire::DispatchState &state);
    void handleMessage(const Base::DaemonId &from, const Wire::Message &message);
    /// Peers to which load reports are sent equally often.
    enum class LoadAudience { Local, Remote, RemoteSmall };

    bool sendState(const Base::DaemonId &peer, std::uint64_t connections, std::uint64_t rounds,
                   const std::vector<Wire::GroupClaimsEnd> &claimsEnds = {});
    std::uint64_t roundsBetweenStates(const Base::DaemonId &peer,
                                      const std::set<Base::DaemonId> &owners) const;
    void sendStates(bool isForAll);
    LoadAudience audienceOf(const Base::DaemonId &peer) const;
    Base::Duration loadInterval(LoadAudience audience) const;
    void sendLoads();
    void sendLoadBeforeReturns(const Base::DaemonId &coordinator, const GroupId &id);
    void sendLoad(const ExecutorGroup &group, const std::set<LoadAudience> &audiences);
    bool isDue(LoadReport &last, const ExecutorGroup &group, Base::Duration interval) const;
    void tick();
    GroupId groupOf(const ExecutorInfo &executor) const;
    void divideDomains(const std::vector<ExecutorInfo> &executors);
    void rememberRunTimes(const Wire::GroupLoad &load);
    Wire::GroupMembers membersOf(const GroupId &id, const ExecutorGroup &group) const;
    void sendMembers(const GroupId &id, const ExecutorGroup &group);
    void updateGroup(const GroupId &id, ExecutorGroup &group);
    bool areMessagesStale() const;
    void claimTasksAt(const Base::DaemonId &owner);
    void claimsEnded(const Base::DaemonId &coordinator, const Wire::GroupClaimsEnd &end);

    const Base::DaemonId m_self;
    Base::Timers &m_timers;
    LifetimeGuard m_port;
    Wire::PeerPort &m_peers;
    const DispatchOptions m_options;
    StateListener *m_stateListener = nullptr;
    GroupOwnership m_ownership;
    GroupDirectory m_directory;
    ExecutorLosses m_losses;
    const std::shared_ptr<MemoryBudget> m_taskMemory; // of m_owned
    JobCoordinator m_jobs;
    JobCancellation m_cancellation;
    RegistrationExchange m_exchange;
    std::vector<ExecutorInfo> m_registered; // as set by setExecutors()
    std::map<GroupId, std::unique_ptr<ExecutorGroup>> m_owned;
    /// By group, as published last by its owner: the start for this daemon when it becomes the
    /// owner.
    std::map<GroupId, std::vector<Wire::RunTimeProfile>> m_runTimes;
    // Groups that were lost during a call of their own methods; destroyed from the event loop.
    std::vector<std::unique_ptr<ExecutorGroup>> m_retired;
    std::map<GroupId, std::vector<ExecutorInfo>> m_executors;
    std::map<GroupId, Base::TimePoint> m_listChanged; // last addition or removal of an id
    Base::TimePoint m_listCompleteAsOf = Base::TimePoint::max();
    // As sent by the group's last owner, whose list may be newer than that of this daemon.
    std::map<GroupId, Wire::GroupMembers> m_members;
    std::map<GroupId, Wire::GroupMembers> m_sentMembers;                // of owned groups
    std::map<std::pair<GroupId, LoadAudience>, LoadReport> m_sentLoads; // Local: all if not large
    std::set<Base::DaemonId> m_smallPeers;                              // see GroupOwnership
    std::map<Base::DaemonId, std::uint64_t> m_connections;              // number made to each peer
    std::map<Base::DaemonId, std::pair<Base::Incarnation, std::uint64_t>> m_peerConnections;
    std::map<Base::DaemonId, std::uint32_t> m_peerFeatures; // as stated on the last connection
    std::set<Base::DaemonId> m_droppedClaims; // peers with batches dropped since their last claims
    std::map<Base::FailureDomainId, std::size_t> m_groupCounts; // by domain; never decrease
    std::uint64_t m_stateRound = 0;
    Base::TimerId m_tickTimer;
    Base::TimePoint m_lastTick;
    Base::TimePoint m_staleUntil; // messages delayed by a pause arrive until then
    Base::TimePoint m_lastStates;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace Dispatch
