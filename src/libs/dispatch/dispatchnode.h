// The dispatch of one daemon: its jobs, the groups that it orders, and its view of all groups.
#pragma once

#include "dispatchconstants.h"
#include "executorgroup.h"
#include "groupdirectory.h"
#include "grouprights.h"
#include "jobcoordinator.h"

#include <wire/peerport.h>

#include <memory>

namespace Dispatch {

/// Passes messages between the parts of this daemon and those of others. Does no input or output of
/// its own; all calls happen on one loop.
class DispatchNode : public Wire::PeerListener,
                     private GroupListener,
                     private RightsListener,
                     private GroupSender
{
public:
    /// \a executors and \a peers must outlive the node.
    DispatchNode(Base::DaemonId self, const Base::FailureDomainId &domain, Base::Timers &timers,
                 ExecutorPort &executors, Wire::PeerPort &peers);
    ~DispatchNode() override;

    /// Calls tick() from now on.
    void start();
    /// No timer and no answer to an order has an effect after this.
    void stop();

    /// See GroupRights::setCapacity().
    void setCapacity(std::uint32_t cpuMillis) { m_rights.setCapacity(cpuMillis); }
    /// A number that no other daemon has had, higher than those of earlier daemons.
    void setDaemonNumber(std::uint64_t number) { m_rights.setDaemonNumber(number); }
    /// The registered executors of the whole deployment.
    void setExecutors(const std::vector<ExecutorInfo> &executors);
    /// Other daemons take the owned groups over; jobs go on.
    void beginDrain();

    JobCoordinator &jobs() { return m_jobs; }
    const std::map<GroupId, std::unique_ptr<ExecutorGroup>> &ownedGroups() const { return m_owned; }
    /// Whether some group with executors has an owner.
    bool canServe() const;

    void peerMessageReceived(const Wire::PeerIdentity &from, const Wire::Message &message) override;
    void peerConnected(const Wire::PeerIdentity &peer) override;
    void peerDisconnected(const Wire::PeerIdentity &peer) override;

private:
    void tasksReported(const Base::DaemonId &coordinator,
                       const Wire::TaskReports &reports) override;
    void groupFenced(const GroupId &group, bool wasAccepted) override;
    void groupClaimed(const GroupId &group, FencingToken token) override;
    void groupLost(const GroupId &group) override;
    void groupOwnerChanged(const GroupId &group) override;
    void peerLost(const Base::DaemonId &peer) override;
    void tasksDropped(const Base::DaemonId &peer) override;
    void probeGroup(const GroupId &group) override;
    bool sendToOwner(const GroupId &group, const Wire::Message &message) override;
    bool isOwnerReachable(const GroupId &group) const override;

    /// The last report of a group's load.
    struct LoadReport
    {
        FencingToken token;
        std::uint64_t version = 0;
        Base::TimePoint time;
    };

    void post(std::function<void()> action);
    void stateReceived(const Wire::PeerIdentity &from, const Wire::DispatchState &state);
    void handleMessage(const Base::DaemonId &from, const Wire::Message &message);
    void sendState(const Base::DaemonId &peer, std::uint64_t connections);
    void sendStates();
    void sendLoads();
    void sendLoad(const ExecutorGroup &group, bool isToNear, bool isToFar);
    bool isDue(LoadReport &last, const ExecutorGroup &group, Base::Duration interval) const;
    void tick();
    GroupId groupOf(const ExecutorInfo &executor) const;
    void divideDomains(const std::vector<ExecutorInfo> &executors);
    bool isLarge() const { return m_connections.size() > Constants::MAX_GOSSIP_PEERS; }
    Wire::GroupMembers membersOf(const GroupId &id, const ExecutorGroup &group) const;
    void sendMembers(const GroupId &id, const ExecutorGroup &group);
    void updateGroup(const GroupId &id, ExecutorGroup &group);
    bool areMessagesStale() const;
    void claimTasksAt(const Base::DaemonId &owner);

    const Base::DaemonId m_self;
    Base::Timers &m_timers;
    ExecutorPort &m_port;
    Wire::PeerPort &m_peers;
    GroupRights m_rights;
    GroupDirectory m_directory;
    JobCoordinator m_jobs;
    std::map<GroupId, std::unique_ptr<ExecutorGroup>> m_owned;
    // Groups that were lost in a call of their own; destroyed from the loop.
    std::vector<std::unique_ptr<ExecutorGroup>> m_retired;
    std::map<GroupId, std::vector<ExecutorInfo>> m_executors;
    std::map<GroupId, Base::TimePoint> m_listChanged; // when ids were added or removed
    // As stated by the group's last owner. Its list may be newer than that of this daemon.
    std::map<GroupId, Wire::GroupMembers> m_members;
    std::map<GroupId, Wire::GroupMembers> m_sentMembers;   // of owned groups
    std::map<GroupId, LoadReport> m_nearReports;           // to the domain; to all if not large
    std::map<GroupId, LoadReport> m_farReports;            // to other domains, if large
    std::map<Base::DaemonId, std::uint64_t> m_connections; // made to each peer
    std::map<Base::DaemonId, std::pair<Base::Incarnation, std::uint64_t>> m_peerConnections;
    std::map<Base::FailureDomainId, std::size_t> m_groupCounts; // by domain; never fall
    std::uint64_t m_stateRound = 0;
    Base::TimerId m_tickTimer;
    Base::TimePoint m_lastTick;
    Base::TimePoint m_staleUntil; // messages that waited through a pause arrive until then
    Base::TimePoint m_lastStates;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace Dispatch
