// Decides which daemon owns each group, that is, controls its executors.
#pragma once

#include "dispatchconstants.h"
#include "dispatchtypes.h"

#include <wire/messages.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Dispatch {

class GroupOwnershipListener
{
public:
    virtual ~GroupOwnershipListener() = default;

    virtual void groupClaimed(const GroupId &group, FencingToken token) = 0;
    virtual void groupLost(const GroupId &group) = 0;
    /// The owner of \a group has changed; the new one may be this daemon.
    virtual void groupOwnerChanged(const GroupId &group) = 0;
    /// \a peer is silent, has restarted, or receives nothing from this daemon.
    virtual void peerLost(const Base::DaemonId &peer) = 0;
    /// \a peer has dropped the tasks of this daemon, or restarted.
    virtual void tasksDropped(const Base::DaemonId &peer) = 0;
    /// Checks how many executors of \a group are reachable and calls
    /// GroupOwnership::probed() later.
    virtual void probeGroup(const GroupId &group) = 0;
};

/// Claims need no prior agreement: executors refuse all tokens but the highest that they have seen,
/// so two daemons that both believe they own a group cannot both start tasks for long. This class
/// ensures that daemons that can communicate converge on one owner, and that a silent owner is
/// replaced within PEER_SILENCE_MS. It needs neither the store nor a majority, so that during a
/// network partition each side continues with the executors that it can reach.
///
/// A group is claimed only if most of its executors are reachable. Otherwise a daemon that is
/// partitioned from a group would claim it as soon as it loses contact with the owner, and fence
/// the owner when the partition heals.
///
/// Tokens are unique: the high bits are a round number that increases with each claim, the low bits
/// identify the daemon.
class GroupOwnership
{
public:
    GroupOwnership(Base::DaemonId self, Base::FailureDomainId domain, Base::Timers &timers,
                   GroupOwnershipListener &listener);

    /// CPU capacity of this daemon's host in thousandths of a core. Daemons on larger hosts own
    /// more groups.
    void setCapacity(std::uint32_t cpuMillis) { m_capacity = std::max(1U, cpuMillis); }
    /// \a number must be unique among all past and present daemons, and higher than those of
    /// earlier ones. No group is claimed before it is set.
    void setDaemonNumber(std::uint64_t number);
    /// Adds \a groups with their failure domains; known groups are kept.
    void setGroups(const std::map<GroupId, Base::FailureDomainId> &groups);
    void setDraining() { m_isDraining = true; }

    void stateReceived(const Base::DaemonId &peer, const Base::FailureDomainId &domain,
                       Base::Incarnation incarnation, const Wire::DispatchState &state);
    /// Any message of a peer, which shows that it is alive.
    void messageReceived(const Base::DaemonId &peer, Base::Incarnation incarnation);
    /// \a peer sent a message as the owner of \a group under \a token.
    void confirmOwner(const Base::DaemonId &peer, const GroupId &group, FencingToken token);
    void peerConnected(const Base::DaemonId &peer);
    void peerDisconnected(const Base::DaemonId &peer);
    /// \a executor, of \a group, refused the token of this daemon. \a wasAccepted: another order
    /// under that token had been accepted before, so the higher token is newer.
    void fenced(const GroupId &group, const ExecutorId &executor, bool wasAccepted);
    /// Result of GroupOwnershipListener::probeGroup().
    void probed(const GroupId &group, bool isReachable);

    /// Detects lost peers and claims groups; called every TICK_MS.
    void tick();

    /// State message to \a peer, to which the next one is sent after \a interval.
    Wire::DispatchState stateFor(const Base::DaemonId &peer, Base::Duration interval) const;
    /// The daemons that own a group, as far as known.
    std::set<Base::DaemonId> owners() const;
    /// The peers on hosts that are small compared with the largest one of their failure domain.
    std::set<Base::DaemonId> peersOnSmallHosts() const;
    /// Number of live daemons of the own failure domain before this one, in an order that all of
    /// them share: larger hosts come first.
    std::size_t rankInDomain() const;
    /// Whether \a peer is known to be in another failure domain.
    bool isRemote(const Base::DaemonId &peer) const;
    /// Whether \a peer is one of the first candidates for \a group if this daemon loses it: in the
    /// group's failure domain, or in that of this daemon.
    bool isNextCandidate(const Base::DaemonId &peer, const GroupId &group) const;
    std::optional<Base::DaemonId> owner(const GroupId &group) const;
    /// The token under which owner() has claimed \a group.
    std::optional<FencingToken> token(const GroupId &group) const;
    bool isAlive(const Base::DaemonId &peer) const;
    std::set<Base::DaemonId> livePeers() const;
    std::vector<Base::DaemonId> peersToReset();
    /// A batch of \a peer was ignored; the next state message makes the peer claim its tasks again.
    void recordDroppedTasks(const Base::DaemonId &peer);

private:
    struct Peer
    {
        Base::FailureDomainId domain;
        Base::Incarnation incarnation;
        Base::TimePoint lastHeard;
        Base::TimePoint heardSince;     // start of the current period without a silence
        Base::TimePoint lastDisconnect; // epoch if never
        Base::Duration interval{0};     // of its state messages to this daemon
        Base::Duration heardAgo{0};     // at lastHeard: since the peer heard from this daemon
        bool isDraining = false;
        bool isLost = false;
        std::uint32_t capacity = 1;
        std::uint64_t dropped = 0;       // times that its tasks were dropped here
        std::uint64_t droppedByPeer = 0; // times that it dropped this daemon's tasks
    };

    struct Claim
    {
        Base::DaemonId owner;
        FencingToken token;
        Base::TimePoint confirmed; // when the owner was last known to be alive
        Base::DaemonId previousOwner;
    };

    struct Group
    {
        Base::FailureDomainId domain;
        std::optional<Claim> claim;
        Base::TimePoint vacantSince; // if isVacant
        bool isVacant = false;       // no valid claim
        std::uint64_t minRound = 0;
        bool isProbing = false;
        Base::TimePoint nextProbe;
        Base::TimePoint earliestClaim;
        int fencedCount = 0; // consecutive claims that ended by fencing
        Base::TimePoint lastFenced;
    };

    static bool isDisconnected(const Peer &peer);
    bool isLargeDeployment() const { return m_peers.size() > Constants::MAX_GOSSIP_PEERS; }
    Base::Duration silenceLimit(const Peer &peer) const;
    bool isClaimValid(const Group &group) const;
    void mergeClaim(const Wire::GroupClaim &claim);
    void claim(const GroupId &id, Group &group);
    bool isClaimDue(const GroupId &id, Group &group);
    void tickGroup(const GroupId &id, Group &group);
    /// Position of this daemon among the candidates for \a group; the first one claims at once.
    std::size_t rank(const GroupId &id, const Group &group) const;
    std::uint32_t largestCapacity(const Base::FailureDomainId &domain) const;
    static bool isSmallHost(std::uint32_t capacity, std::uint32_t largest);
    bool isOwnedByFallback(const Group &group) const;
    std::uint64_t roundOf(FencingToken token) const;

    const Base::DaemonId m_self;
    const Base::FailureDomainId m_domain;
    Base::Timers &m_timers;
    GroupOwnershipListener &m_listener;
    const Base::TimePoint m_started;
    std::uint32_t m_capacity = 1;
    std::uint64_t m_daemonNumber = 0;
    std::uint64_t m_highestRound = 0; // of all known claims
    bool m_isDraining = false;
    Base::TimePoint m_lastTick;
    // After a pause of this process it is unknown which peers were silent.
    Base::TimePoint m_detectionSuspendedUntil;
    std::map<Base::DaemonId, Peer> m_peers;
    std::map<Base::DaemonId, Base::TimePoint> m_lastConnects; // or resets, of the connections
    std::map<GroupId, Group> m_groups;
};

} // namespace Dispatch
