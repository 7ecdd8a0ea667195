// Claims of groups, from state messages and silence.
#include "grouprights.h"

#include <base/hash.h>
#include <base/log.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace Dispatch {

using Base::LogLevel;

static constexpr std::uint64_t DAEMON_MASK = (1ULL << Constants::TOKEN_DAEMON_BITS) - 1;

GroupRights::GroupRights(Base::DaemonId self, Base::FailureDomainId domain, Base::Timers &timers,
                         RightsListener &listener)
    : m_self(std::move(self))
    , m_domain(std::move(domain))
    , m_timers(timers)
    , m_listener(listener)
    , m_started(timers.now())
{}

std::uint64_t GroupRights::roundOf(FencingToken token) const
{
    return token.value() >> Constants::TOKEN_DAEMON_BITS;
}

void GroupRights::setDaemonNumber(std::uint64_t number)
{
    m_daemonNumber = number;
    // Earlier daemons had lower numbers, so this is above the rounds that they began with.
    m_highestRound = std::max(m_highestRound, number * Constants::ROUNDS_PER_DAEMON);
}

void GroupRights::setGroups(const std::map<GroupId, Base::FailureDomainId> &groups)
{
    for (const auto &[id, domain] : groups) {
        if (m_groups.contains(id))
            continue;
        Group group;
        group.domain = domain;
        m_groups.emplace(id, group);
    }
}

/// A message that was under way when the connection broke does not show that the peer lives.
bool GroupRights::isBroken(const Peer &peer)
{
    return peer.heard < peer.broken + Constants::HEARTBEAT_MS / 2;
}

bool GroupRights::isAlive(const Base::DaemonId &peer) const
{
    const auto it = m_peers.find(peer);
    if (it == m_peers.end())
        return false;
    const Peer &p = it->second;
    return m_timers.now() - p.heard <= silenceLimit(p);
}

Base::Duration GroupRights::silenceLimit(const Peer &peer) const
{
    if (isBroken(peer))
        return Constants::BROKEN_PEER_SILENCE_MS;
    const bool isRare = isLarge() && peer.domain != m_domain;
    return isRare ? Constants::REMOTE_PEER_SILENCE_MS : Constants::PEER_SILENCE_MS;
}

void GroupRights::messageReceived(const Base::DaemonId &peer, Base::Incarnation incarnation)
{
    const auto it = m_peers.find(peer);
    if (it != m_peers.end() && it->second.incarnation == incarnation && !it->second.isLost)
        it->second.heard = m_timers.now();
}

void GroupRights::ownerHeard(const Base::DaemonId &peer, const GroupId &id, FencingToken token)
{
    const auto it = m_groups.find(id);
    if (it == m_groups.end() || !it->second.claim)
        return;
    Claim &claim = *it->second.claim;
    if (claim.owner == peer && claim.token == token)
        claim.confirmed = m_timers.now();
}

void GroupRights::peerHeard(const Base::DaemonId &peer, const Base::FailureDomainId &domain,
                            Base::Incarnation incarnation, const Wire::DispatchState &state)
{
    const auto [it, isNew] = m_peers.try_emplace(peer);
    Peer &p = it->second;
    if (!isNew && p.incarnation != incarnation && !p.isLost) {
        // It restarted before its silence was noticed. Its claims are those of its earlier run.
        p.isLost = true;
        ++p.dropped;
        for (auto &[id, group] : m_groups) {
            if (group.claim && group.claim->owner == peer)
                group.claim->confirmed = {};
        }
        m_listener.peerLost(peer);
    }
    if (isNew || p.isLost)
        Base::log(LogLevel::Info, "peerHeard", {{"peer", peer}, {"incarnation", incarnation}});
    const Base::TimePoint now = m_timers.now();
    if (now - p.heard > silenceLimit(p))
        p.heardSince = now;
    p.domain = domain;
    p.incarnation = incarnation;
    p.heard = now;
    p.heardAgo = std::chrono::milliseconds(state.heardAgoMs);
    p.isDraining = state.draining;
    p.capacity = std::max(1U, state.capacity);
    p.isLost = false;
    for (const Wire::GroupClaim &it2 : state.claims)
        mergeClaim(it2);
    if (std::exchange(p.droppedByPeer, state.dropped) != state.dropped)
        m_listener.tasksDropped(peer);
}

void GroupRights::peerConnected(const Base::DaemonId &peer)
{
    const auto it = m_peers.find(peer);
    if (it != m_peers.end())
        it->second.connected = m_timers.now();
}

void GroupRights::peerBroken(const Base::DaemonId &peer)
{
    const auto it = m_peers.find(peer);
    if (it != m_peers.end())
        it->second.broken = m_timers.now();
}

void GroupRights::mergeClaim(const Wire::GroupClaim &claim)
{
    const auto it = m_groups.find(GroupId(claim.group));
    if (it == m_groups.end())
        return;
    Group &group = it->second;
    const FencingToken token(claim.token);
    m_highestRound = std::max(m_highestRound, roundOf(token));
    const Base::TimePoint confirmed = m_timers.now() - std::chrono::milliseconds(claim.ageMs);
    if (group.claim && group.claim->token > token)
        return;
    if (group.claim && group.claim->token == token) {
        if (group.claim->owner != m_self)
            group.claim->confirmed = std::max(group.claim->confirmed, confirmed);
        return;
    }
    // A claim under a name of this daemon that it does not hold is that of its earlier run.
    if (Base::DaemonId(claim.owner) == m_self)
        return;
    const bool wasOwn = group.claim && group.claim->owner == m_self;
    const Base::DaemonId before = group.claim ? group.claim->owner : Base::DaemonId();
    group.claim = Claim{Base::DaemonId(claim.owner), token, confirmed, before};
    Base::log(LogLevel::Info, "groupOwner",
              {{"group", it->first}, {"owner", claim.owner}, {"token", token}});
    if (wasOwn)
        m_listener.groupLost(it->first);
    m_listener.groupOwnerChanged(it->first);
}

void GroupRights::fenced(const GroupId &id, bool wasAccepted)
{
    const auto it = m_groups.find(id);
    if (it == m_groups.end() || !it->second.claim || it->second.claim->owner != m_self)
        return;
    Group &group = it->second;
    const Base::TimePoint now = m_timers.now();
    if (now - std::exchange(group.lastFenced, now) > Constants::FENCE_RETENTION_MS)
        group.fencedCount = 0;
    ++group.fencedCount;
    // Another daemon may own the group, and its claim be on its way. After a restart of all daemons
    // the executors may still know a token of before; then the next round is tried at once.
    const bool isStaleToken = !wasAccepted && group.fencedCount <= Constants::STALE_TOKEN_TRIES;
    if (!isStaleToken) {
        const int doublings = std::min(group.fencedCount - 1, Constants::MAX_FENCE_DOUBLINGS);
        group.notBefore = now + Constants::FENCE_WAIT_MS * (1 << doublings);
    }
    group.minRound = roundOf(group.claim->token) + Constants::ROUND_STEP;
    Base::log(LogLevel::Warning, "groupFenced",
              {{"group", id},
               {"token", group.claim->token},
               {"wait", std::max(Base::Duration(0), group.notBefore - now)}});
    group.claim.reset();
    group.isVacant = false;
    m_listener.groupLost(id);
    m_listener.groupOwnerChanged(id);
}

void GroupRights::probed(const GroupId &id, bool isReachable)
{
    const auto it = m_groups.find(id);
    if (it == m_groups.end())
        return;
    Group &group = it->second;
    const Base::TimePoint now = m_timers.now();
    group.isProbing = false;
    if (!isReachable) {
        // When a cut heals, the owner beyond it is heard of a little later than its executors.
        group.nextProbe = now + Constants::PROBE_RETRY_MS;
        group.notBefore = std::max(group.notBefore, now + Constants::RECONNECT_WAIT_MS);
        // All daemons on this side have waited through the cut. Their order counts from its end, or
        // they would all claim at once.
        group.vacantSince = group.notBefore;
        return;
    }
    // Only if the claim is still due: the owner may have been heard meanwhile.
    if (now >= group.notBefore && isClaimDue(id, group))
        claim(id, group);
}

bool GroupRights::isClaimValid(const Group &group) const
{
    if (!group.claim)
        return false;
    if (group.claim->owner == m_self)
        return true;
    const Base::Duration age = m_timers.now() - group.claim->confirmed;
    const auto peer = m_peers.find(group.claim->owner);
    if (peer == m_peers.end())
        return age <= Constants::PEER_SILENCE_MS + Constants::CLAIM_MARGIN_MS;
    if (peer->second.isDraining)
        return false;
    if (isBroken(peer->second))
        return age <= Constants::BROKEN_PEER_SILENCE_MS;
    return age <= silenceLimit(peer->second) + Constants::CLAIM_MARGIN_MS;
}

std::optional<Base::DaemonId> GroupRights::owner(const GroupId &group) const
{
    const auto it = m_groups.find(group);
    if (it == m_groups.end() || !it->second.claim)
        return std::nullopt;
    return it->second.claim->owner;
}

bool GroupRights::isRemote(const Base::DaemonId &peer) const
{
    const auto it = m_peers.find(peer);
    return it != m_peers.end() && it->second.domain != m_domain;
}

std::size_t GroupRights::rank(const GroupId &id, const Group &group) const
{
    // Daemons of the group's own domain come first. The hash, weighted by the capacity of the
    // hosts, spreads the groups over them.
    const auto key = [&](const Base::DaemonId &daemon, const Base::FailureDomainId &domain,
                         std::uint32_t capacity) {
        const double uniform =
            (static_cast<double>(Base::stableHash(id.value() + "/" + daemon.value()) >> 11) + 1)
            / 9007199254740993.0; // 2^53 + 1
        return std::tuple(domain != group.domain, -std::log(uniform) / capacity, daemon);
    };
    const auto own = key(m_self, m_domain, m_capacity);
    return static_cast<std::size_t>(
        std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &it) {
            return !it.second.isDraining && isAlive(it.first)
                   && key(it.first, it.second.domain, it.second.capacity) < own;
        }));
}

void GroupRights::claim(const GroupId &id, Group &group)
{
    m_highestRound = std::max(m_highestRound + 1, group.minRound);
    const FencingToken token((m_highestRound << Constants::TOKEN_DAEMON_BITS)
                             | (m_daemonNumber & DAEMON_MASK));
    Base::log(LogLevel::Info, "groupClaimed",
              {{"group", id},
               {"token", token},
               {"before", group.claim ? group.claim->owner.value() : std::string("none")}});
    const Base::DaemonId before = group.claim ? group.claim->owner : Base::DaemonId();
    group.claim = Claim{m_self, token, m_timers.now(), before};
    group.isVacant = false;
    m_listener.groupClaimed(id, token);
    m_listener.groupOwnerChanged(id);
}

bool GroupRights::isClaimDue(const GroupId &id, Group &group)
{
    const Base::TimePoint now = m_timers.now();
    if (m_daemonNumber == 0 || m_isDraining)
        return false;
    if (group.claim && group.claim->owner == m_self)
        return false;
    if (isClaimValid(group)) {
        group.isVacant = false;
        // The claim of a daemon elsewhere stands in until a daemon of the domain is up again.
        const auto peer = m_peers.find(group.claim->owner);
        const bool isForeign = peer != m_peers.end() && peer->second.domain != group.domain;
        return isForeign && m_domain == group.domain
               && now - m_started > Constants::HOME_CLAIM_DELAY_MS && rank(id, group) == 0;
    }
    if (!group.isVacant) {
        group.isVacant = true;
        group.vacantSince = now;
    }
    return now - group.vacantSince >= Constants::CLAIM_RANK_DELAY_MS * rank(id, group);
}

void GroupRights::tickGroup(const GroupId &id, Group &group)
{
    const Base::TimePoint now = m_timers.now();
    if (group.claim && group.claim->owner == m_self) {
        group.claim->confirmed = now;
        return;
    }
    if (!isClaimDue(id, group) || group.isProbing || now < group.nextProbe)
        return;
    group.isProbing = true;
    m_listener.probeGroup(id);
}

void GroupRights::tick()
{
    const Base::TimePoint now = m_timers.now();
    if (now - std::exchange(m_lastTick, now) > Constants::PAUSE_MS)
        m_quietUntil = now + Constants::CLAIM_START_DELAY_MS;
    if (now < m_quietUntil)
        return;
    std::vector<Base::DaemonId> lost;
    for (auto &[id, peer] : m_peers) {
        // A daemon that hears nothing from this one counts as lost as well: it treats this one so.
        // Right after a cut its statement is of the time before.
        const Base::Duration limit = silenceLimit(peer);
        const bool isDeaf = peer.heardAgo > limit && now - peer.heardSince > limit * 2;
        if (!peer.isLost && (!isAlive(id) || isDeaf)) {
            peer.isLost = true;
            ++peer.dropped;
            lost.push_back(id);
            Base::log(LogLevel::Warning, "peerLost",
                      {{"peer", id}, {"silence", now - peer.heard}, {"heardAgo", peer.heardAgo}});
        }
    }
    for (const Base::DaemonId &it : lost)
        m_listener.peerLost(it);
    if (m_daemonNumber == 0 || m_isDraining || now - m_started < Constants::CLAIM_START_DELAY_MS)
        return;
    for (auto &[id, group] : m_groups)
        tickGroup(id, group);
}

std::vector<Base::DaemonId> GroupRights::peersToReset()
{
    const Base::TimePoint now = m_timers.now();
    std::vector<Base::DaemonId> peers;
    for (auto &[id, peer] : m_peers) {
        const Base::Duration limit = silenceLimit(peer);
        if (!isAlive(id) || peer.heardAgo < limit || now - peer.connected < limit) {
            continue;
        }
        peer.connected = now;
        peers.push_back(id);
    }
    return peers;
}

void GroupRights::noteDropped(const Base::DaemonId &peer)
{
    const auto it = m_peers.find(peer);
    if (it != m_peers.end())
        ++it->second.dropped;
}

Wire::DispatchState GroupRights::stateFor(const Base::DaemonId &peer) const
{
    const Base::TimePoint now = m_timers.now();
    const auto age = [now](Base::TimePoint time) {
        return static_cast<std::uint64_t>(
            std::max<std::int64_t>(0, Base::toMilliseconds(now - time)));
    };
    Wire::DispatchState state;
    state.draining = m_isDraining;
    const auto it = m_peers.find(peer);
    state.heardAgoMs = it == m_peers.end() ? 0 : age(it->second.heard);
    state.capacity = m_capacity;
    state.dropped = it == m_peers.end() ? 0 : it->second.dropped;
    // In a large deployment the claims of others are left out: they grow with the square of its
    // size. The earlier owner is told, who may not hear the new one.
    const bool areAllTold = !isLarge();
    for (const auto &[id, group] : m_groups) {
        if (!group.claim)
            continue;
        const Claim &claim = *group.claim;
        const bool isTold = areAllTold || claim.owner == m_self || claim.before == peer;
        if (isTold && isClaimValid(group)) {
            state.claims.push_back(
                {id.value(), claim.owner.value(), claim.token.value(), age(claim.confirmed)});
        }
    }
    return state;
}

} // namespace Dispatch
