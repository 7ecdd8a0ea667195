// Decides which daemon orders the executors of each group.
#pragma once

#include "dispatchconstants.h"
#include "dispatchtypes.h"

#include <wire/messages.h>

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

namespace Dispatch {

class RightsListener
{
public:
    virtual ~RightsListener() = default;

    virtual void groupClaimed(const GroupId &group, FencingToken token) = 0;
    virtual void groupLost(const GroupId &group) = 0;
    /// The owner of a group is another one than before, which may be this daemon.
    virtual void groupOwnerChanged(const GroupId &group) = 0;
    /// A peer is silent, restarted, or receives nothing from this daemon.
    virtual void peerLost(const Base::DaemonId &peer) = 0;
    /// \a peer has dropped the tasks of this daemon, or restarted.
    virtual void tasksDropped(const Base::DaemonId &peer) = 0;
    /// Finds out how many executors of \a group can be reached and calls probed() later.
    virtual void probeGroup(const GroupId &group) = 0;
};

/// Rights need no agreement beforehand: the executors refuse all tokens but the highest that they
/// have seen, so that two daemons that both believe to own a group can't both start work for long.
/// What this class adds is that daemons that hear each other settle on one owner, and that a silent
/// owner is replaced within PEER_SILENCE_MS. It needs neither the store nor a majority, so each
/// part of a divided deployment goes on with the executors that it reaches.
///
/// A group is claimed only if most of its executors can be reached. A daemon that is cut off from a
/// group would otherwise claim it as soon as it loses its owner, and fence the owner when the cut
/// heals.
///
/// Tokens are unique: the high bits are a round that rises with each claim, the low bits tell the
/// daemons apart.
class GroupRights
{
public:
    GroupRights(Base::DaemonId self, Base::FailureDomainId domain, Base::Timers &timers,
                RightsListener &listener);

    /// Processor of this daemon's host in thousandths of a core. Stronger hosts own more groups.
    void setCapacity(std::uint32_t cpuMillis) { m_capacity = std::max(1U, cpuMillis); }
    /// \a number is unique among all daemons that ever were; later daemons have higher numbers.
    /// Until it is set, nothing is claimed.
    void setDaemonNumber(std::uint64_t number);
    /// The groups that there are, with their failure domains.
    void setGroups(const std::map<GroupId, Base::FailureDomainId> &groups);
    void setDraining() { m_isDraining = true; }

    void peerHeard(const Base::DaemonId &peer, const Base::FailureDomainId &domain,
                   Base::Incarnation incarnation, const Wire::DispatchState &state);
    /// Any other message: the peer lives.
    void messageReceived(const Base::DaemonId &peer, Base::Incarnation incarnation);
    /// \a peer acts as the owner of \a group under \a token.
    void ownerHeard(const Base::DaemonId &peer, const GroupId &group, FencingToken token);
    void peerConnected(const Base::DaemonId &peer);
    void peerBroken(const Base::DaemonId &peer);
    /// An executor of \a group refused the token of this daemon. \a wasAccepted: another order
    /// under that token had been accepted, so that the higher one is newer.
    void fenced(const GroupId &group, bool wasAccepted);
    /// Answer to RightsListener::probeGroup().
    void probed(const GroupId &group, bool isReachable);

    /// Finds lost peers and claims groups; called every TICK_MS.
    void tick();

    Wire::DispatchState stateFor(const Base::DaemonId &peer) const;
    /// Whether \a peer is in another failure domain, as far as is known.
    bool isRemote(const Base::DaemonId &peer) const;
    std::optional<Base::DaemonId> owner(const GroupId &group) const;
    bool isAlive(const Base::DaemonId &peer) const;
    std::vector<Base::DaemonId> peersToReset();
    /// A message about tasks of \a peer was ignored; the peer is told to claim its tasks again.
    void noteDropped(const Base::DaemonId &peer);

private:
    struct Peer
    {
        Base::FailureDomainId domain;
        Base::Incarnation incarnation;
        Base::TimePoint heard;
        Base::TimePoint heardSince; // heard without a gap since then
        Base::TimePoint broken;     // when its connection broke; before heard if it did not
        Base::Duration heardAgo{0}; // as of heard: since the peer heard from this daemon
        bool isDraining = false;
        bool isLost = false;
        std::uint32_t capacity = 1;
        std::uint64_t dropped = 0;       // how often its tasks were dropped here
        std::uint64_t droppedByPeer = 0; // how often it dropped this daemon's
        Base::TimePoint connected;       // or when its connection was reset
    };

    struct Claim
    {
        Base::DaemonId owner;
        FencingToken token;
        Base::TimePoint confirmed; // latest time at which the owner is known to have lived
        Base::DaemonId before;     // owner of the claim that this one replaced
    };

    struct Group
    {
        Base::FailureDomainId domain;
        std::optional<Claim> claim;
        Base::TimePoint vacantSince; // if there is no valid claim
        bool isVacant = false;
        std::uint64_t minRound = 0;
        bool isProbing = false;
        Base::TimePoint nextProbe;
        Base::TimePoint notBefore; // no claim before this
        int fencedCount = 0;       // consecutive claims that ended by a fence
        Base::TimePoint lastFenced;
    };

    static bool isBroken(const Peer &peer);
    bool isLarge() const { return m_peers.size() > Constants::MAX_GOSSIP_PEERS; }
    Base::Duration silenceLimit(const Peer &peer) const;
    bool isClaimValid(const Group &group) const;
    void mergeClaim(const Wire::GroupClaim &claim);
    void claim(const GroupId &id, Group &group);
    bool isClaimDue(const GroupId &id, Group &group);
    void tickGroup(const GroupId &id, Group &group);
    /// Position of this daemon among those that may claim \a group; the first claims at once.
    std::size_t rank(const GroupId &id, const Group &group) const;
    std::uint64_t roundOf(FencingToken token) const;

    const Base::DaemonId m_self;
    const Base::FailureDomainId m_domain;
    Base::Timers &m_timers;
    RightsListener &m_listener;
    const Base::TimePoint m_started;
    std::uint32_t m_capacity = 1;
    std::uint64_t m_daemonNumber = 0;
    std::uint64_t m_highestRound = 0; // of all claims heard of
    bool m_isDraining = false;
    Base::TimePoint m_lastTick;
    Base::TimePoint m_quietUntil; // after a pause of this process nothing is known about silence
    std::map<Base::DaemonId, Peer> m_peers;
    std::map<GroupId, Group> m_groups;
};

} // namespace Dispatch
