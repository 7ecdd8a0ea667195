// Claims of groups, based on state messages and the silence of peers.
#include "groupownership.h"

#include <base/hash.h>
#include <base/log.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace Dispatch {

using Base::LogLevel;

static constexpr std::uint64_t DAEMON_MASK = (1ULL << Constants::TOKEN_DAEMON_BITS) - 1;

GroupOwnership::GroupOwnership(Base::DaemonId self, Base::FailureDomainId domain,
                               Base::Timers &timers, GroupOwnershipListener &listener)
    : m_self(std::move(self))
    , m_domain(std::move(domain))
    , m_timers(timers)
    , m_listener(listener)
    , m_started(timers.now())
{}

std::uint64_t GroupOwnership::roundOf(FencingToken token) const
{
    return token.value() >> Constants::TOKEN_DAEMON_BITS;
}

void GroupOwnership::setDaemonNumber(std::uint64_t number)
{
    m_daemonNumber = number;
    // Daemons that started earlier have lower numbers, so this exceeds their first rounds.
    m_highestRound = std::max(m_highestRound, number * Constants::ROUNDS_PER_DAEMON);
}

void GroupOwnership::setGroups(const std::map<GroupId, Base::FailureDomainId> &groups)
{
    for (const auto &[id, domain] : groups) {
        if (m_groups.contains(id))
            continue;
        Group group;
        group.domain = domain;
        m_groups.emplace(id, group);
    }
}

/// A message that was in transit when the connection broke does not prove that the peer is alive.
bool GroupOwnership::isDisconnected(const Peer &peer)
{
    return peer.lastHeard < peer.lastDisconnect + Constants::HEARTBEAT_MS / 2;
}

bool GroupOwnership::isAlive(const Base::DaemonId &peer) const
{
    const auto it = m_peers.find(peer);
    if (it == m_peers.end())
        return false;
    const Peer &p = it->second;
    return m_timers.now() - p.lastHeard <= silenceLimit(p);
}

std::set<Base::DaemonId> GroupOwnership::livePeers() const
{
    std::set<Base::DaemonId> peers;
    for (const auto &[id, peer] : m_peers) {
        if (!peer.isLost && isAlive(id))
            peers.insert(id);
    }
    return peers;
}

Base::Duration GroupOwnership::silenceLimit(const Peer &peer) const
{
    if (isDisconnected(peer))
        return Constants::BROKEN_PEER_SILENCE_MS;
    const bool hasLongInterval = isLargeDeployment() && peer.domain != m_domain;
    return std::max<Base::Duration>(hasLongInterval ? Constants::REMOTE_PEER_SILENCE_MS
                                                    : Constants::PEER_SILENCE_MS,
                                    peer.interval * Constants::MISSED_STATES);
}

void GroupOwnership::messageReceived(const Base::DaemonId &peer, Base::Incarnation incarnation)
{
    const auto it = m_peers.find(peer);
    if (it != m_peers.end() && it->second.incarnation == incarnation && !it->second.isLost)
        it->second.lastHeard = m_timers.now();
}

void GroupOwnership::confirmOwner(const Base::DaemonId &peer, const GroupId &id, FencingToken token)
{
    const auto it = m_groups.find(id);
    if (it == m_groups.end() || !it->second.claim)
        return;
    Claim &claim = *it->second.claim;
    if (claim.owner == peer && claim.token == token)
        claim.confirmed = m_timers.now();
}

void GroupOwnership::stateReceived(const Base::DaemonId &peer, const Base::FailureDomainId &domain,
                                   Base::Incarnation incarnation, const Wire::DispatchState &state)
{
    const auto [it, isNew] = m_peers.try_emplace(peer);
    Peer &p = it->second;
    if (!isNew && p.incarnation != incarnation && !p.isLost) {
        // The peer restarted before its silence was detected. Its claims date from its previous
        // incarnation.
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
    if (now - p.lastHeard > silenceLimit(p) || p.incarnation != incarnation)
        p.heardSince = now;
    p.domain = domain;
    p.incarnation = incarnation;
    p.lastHeard = now;
    p.interval = std::min<Base::Duration>(std::chrono::milliseconds(state.intervalMs),
                                          Constants::MAX_STATE_INTERVAL_MS);
    p.heardAgo = std::chrono::milliseconds(state.heardAgoMs);
    p.isDraining = state.draining;
    p.capacity = std::max(1U, state.capacity);
    p.isLost = false;
    for (const Wire::GroupClaim &it2 : state.claims)
        mergeClaim(it2);
    if (std::exchange(p.droppedByPeer, state.dropCount) != state.dropCount)
        m_listener.tasksDropped(peer);
}

void GroupOwnership::peerConnected(const Base::DaemonId &peer)
{
    m_lastConnects[peer] = m_timers.now();
}

void GroupOwnership::peerDisconnected(const Base::DaemonId &peer)
{
    const auto it = m_peers.find(peer);
    if (it != m_peers.end())
        it->second.lastDisconnect = m_timers.now();
}

void GroupOwnership::mergeClaim(const Wire::GroupClaim &claim)
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
    // A claim in the name of this daemon that it does not hold dates from its previous
    // incarnation.
    if (Base::DaemonId(claim.owner) == m_self)
        return;
    const bool wasOwner = group.claim && group.claim->owner == m_self;
    const Base::DaemonId previousOwner = group.claim ? group.claim->owner : Base::DaemonId();
    group.claim = Claim{Base::DaemonId(claim.owner), token, confirmed, previousOwner};
    Base::log(LogLevel::Info, "groupOwner",
              {{"group", it->first}, {"owner", claim.owner}, {"token", token}});
    if (wasOwner)
        m_listener.groupLost(it->first);
    m_listener.groupOwnerChanged(it->first);
}

void GroupOwnership::fenced(const GroupId &id, const ExecutorId &executor, bool wasAccepted)
{
    const auto it = m_groups.find(id);
    if (it == m_groups.end() || !it->second.claim || it->second.claim->owner != m_self)
        return;
    Group &group = it->second;
    const Base::TimePoint now = m_timers.now();
    if (now - std::exchange(group.lastFenced, now) > Constants::FENCE_RETENTION_MS)
        group.fencedCount = 0;
    ++group.fencedCount;
    // Another daemon may own the group, and its claim may be in transit. After a restart of all
    // daemons the executors may still know a token from before the restart; then the next round is
    // tried at once.
    const bool isStaleToken = !wasAccepted && group.fencedCount <= Constants::STALE_TOKEN_TRIES;
    if (!isStaleToken) {
        const int doublings = std::min(group.fencedCount - 1, Constants::MAX_FENCE_DOUBLINGS);
        group.earliestClaim = now + Constants::FENCE_WAIT_MS * (1 << doublings);
    }
    group.minRound = roundOf(group.claim->token) + Constants::ROUND_STEP;
    Base::log(LogLevel::Warning, "groupFenced",
              {{"group", id},
               {"executor", executor},
               {"token", group.claim->token},
               {"accepted", wasAccepted ? 1 : 0},
               {"wait", std::max(Base::Duration(0), group.earliestClaim - now)}});
    group.claim.reset();
    group.isVacant = false;
    m_listener.groupLost(id);
    m_listener.groupOwnerChanged(id);
}

void GroupOwnership::probed(const GroupId &id, bool isReachable)
{
    const auto it = m_groups.find(id);
    if (it == m_groups.end())
        return;
    Group &group = it->second;
    const Base::TimePoint now = m_timers.now();
    group.isProbing = false;
    if (!isReachable) {
        // When a partition heals, the executors become reachable slightly before the owner's claim
        // arrives.
        group.nextProbe = now + Constants::PROBE_RETRY_MS;
        group.earliestClaim = std::max(group.earliestClaim, now + Constants::RECONNECT_WAIT_MS);
        // The group has been vacant during the whole partition for all daemons on this side. The
        // delays by rank start at its end, or all of them would claim at the same time.
        group.vacantSince = group.earliestClaim;
        return;
    }
    // The owner may have been heard from since the probe was sent.
    if (now >= group.earliestClaim && isClaimDue(id, group))
        claim(id, group);
}

bool GroupOwnership::isClaimValid(const Group &group) const
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
    if (isDisconnected(peer->second))
        return age <= Constants::BROKEN_PEER_SILENCE_MS;
    return age <= silenceLimit(peer->second) + Constants::CLAIM_MARGIN_MS;
}

std::optional<Base::DaemonId> GroupOwnership::owner(const GroupId &group) const
{
    const auto it = m_groups.find(group);
    if (it == m_groups.end() || !it->second.claim)
        return std::nullopt;
    return it->second.claim->owner;
}

std::optional<FencingToken> GroupOwnership::token(const GroupId &group) const
{
    const auto it = m_groups.find(group);
    if (it == m_groups.end() || !it->second.claim)
        return std::nullopt;
    return it->second.claim->token;
}

bool GroupOwnership::isRemote(const Base::DaemonId &peer) const
{
    const auto it = m_peers.find(peer);
    return it != m_peers.end() && it->second.domain != m_domain;
}

bool GroupOwnership::isNextCandidate(const Base::DaemonId &peer, const GroupId &group) const
{
    const auto it = m_peers.find(peer);
    const auto known = m_groups.find(group);
    return !isRemote(peer)
           || (known != m_groups.end() && it->second.domain == known->second.domain);
}

std::size_t GroupOwnership::rankInDomain() const
{
    const auto key = [](bool isDraining, std::uint32_t capacity, const Base::DaemonId &daemon) {
        return std::tuple(isDraining, -std::int64_t(capacity), daemon);
    };
    const auto own = key(m_isDraining, m_capacity, m_self);
    return static_cast<std::size_t>(
        std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &it) {
            const Peer &peer = it.second;
            return peer.domain == m_domain && isAlive(it.first)
                   && key(peer.isDraining, peer.capacity, it.first) < own;
        }));
}

/// Capacity of the largest host of \a domain whose daemon can own groups.
std::uint32_t GroupOwnership::largestCapacity(const Base::FailureDomainId &domain) const
{
    std::uint32_t largest = domain == m_domain && !m_isDraining ? m_capacity : 0;
    for (const auto &[id, peer] : m_peers) {
        if (peer.domain == domain && !peer.isDraining && isAlive(id))
            largest = std::max(largest, peer.capacity);
    }
    return largest;
}

bool GroupOwnership::isSmallHost(std::uint32_t capacity, std::uint32_t largest)
{
    return capacity * Constants::SMALL_HOST_RATIO <= largest;
}

std::size_t GroupOwnership::rank(const GroupId &id, const Group &group) const
{
    // Daemons of the group's own domain come first, and small hosts last among them: the orders of
    // one group take more processor than a small host has. Among hosts of similar size, weighted
    // rendezvous hashing distributes the groups in proportion to their capacity.
    const std::uint32_t largest = largestCapacity(group.domain);
    const auto key = [&](const Base::DaemonId &daemon, const Base::FailureDomainId &domain,
                         std::uint32_t capacity) {
        const double uniform =
            (static_cast<double>(Base::stableHash(id.value() + "/" + daemon.value()) >> 11) + 1)
            / 9007199254740993.0; // 2^53 + 1
        return std::tuple(domain != group.domain, isSmallHost(capacity, largest),
                          -std::log(uniform) / capacity, daemon);
    };
    const auto own = key(m_self, m_domain, m_capacity);
    return static_cast<std::size_t>(
        std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &it) {
            return !it.second.isDraining && isAlive(it.first)
                   && key(it.first, it.second.domain, it.second.capacity) < own;
        }));
}

/// Whether the valid owner of \a group is a worse choice than a daemon on a host of normal size in
/// the group's own failure domain.
bool GroupOwnership::isOwnedByFallback(const Group &group) const
{
    const auto owner = m_peers.find(group.claim->owner);
    return owner != m_peers.end()
           && (owner->second.domain != group.domain
               || isSmallHost(owner->second.capacity, largestCapacity(group.domain)));
}

void GroupOwnership::claim(const GroupId &id, Group &group)
{
    m_highestRound = std::max(m_highestRound + 1, group.minRound);
    const FencingToken token((m_highestRound << Constants::TOKEN_DAEMON_BITS)
                             | (m_daemonNumber & DAEMON_MASK));
    Base::log(LogLevel::Info, "groupClaimed",
              {{"group", id},
               {"token", token},
               {"before", group.claim ? group.claim->owner.value() : std::string("none")}});
    const Base::DaemonId previousOwner = group.claim ? group.claim->owner : Base::DaemonId();
    group.claim = Claim{m_self, token, m_timers.now(), previousOwner};
    group.isVacant = false;
    m_listener.groupClaimed(id, token);
    m_listener.groupOwnerChanged(id);
}

bool GroupOwnership::isClaimDue(const GroupId &id, Group &group)
{
    const Base::TimePoint now = m_timers.now();
    if (m_daemonNumber == 0 || m_isDraining)
        return false;
    if (group.claim && group.claim->owner == m_self)
        return false;
    if (isClaimValid(group)) {
        group.isVacant = false;
        // A daemon of another domain or on a small host owns the group only until a better one is
        // up again.
        return m_domain == group.domain && now - m_started > Constants::HOME_CLAIM_DELAY_MS
               && isOwnedByFallback(group) && rank(id, group) == 0;
    }
    if (!group.isVacant) {
        group.isVacant = true;
        group.vacantSince = now;
    }
    return now - group.vacantSince >= Constants::CLAIM_RANK_DELAY_MS * rank(id, group);
}

void GroupOwnership::tickGroup(const GroupId &id, Group &group)
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

void GroupOwnership::tick()
{
    const Base::TimePoint now = m_timers.now();
    if (now - std::exchange(m_lastTick, now) > Constants::PAUSE_MS)
        m_detectionSuspendedUntil = now + Constants::CLAIM_START_DELAY_MS;
    if (now < m_detectionSuspendedUntil)
        return;
    std::vector<Base::DaemonId> lost;
    for (auto &[id, peer] : m_peers) {
        // A daemon that receives nothing from this one counts as lost too, since it considers this
        // one lost. Right after a partition heals, its heardAgo may still date from before.
        const Base::Duration limit = silenceLimit(peer);
        const bool isNotReceiving = peer.heardAgo > limit && now - peer.heardSince > limit * 2;
        if (!peer.isLost && (!isAlive(id) || isNotReceiving)) {
            peer.isLost = true;
            ++peer.dropped;
            lost.push_back(id);
            Base::log(
                LogLevel::Warning, "peerLost",
                {{"peer", id}, {"silence", now - peer.lastHeard}, {"heardAgo", peer.heardAgo}});
        }
    }
    for (const Base::DaemonId &it : lost)
        m_listener.peerLost(it);
    if (m_daemonNumber == 0 || m_isDraining || now - m_started < Constants::CLAIM_START_DELAY_MS)
        return;
    for (auto &[id, group] : m_groups)
        tickGroup(id, group);
}

std::vector<Base::DaemonId> GroupOwnership::peersToReset()
{
    const Base::TimePoint now = m_timers.now();
    std::vector<Base::DaemonId> peers;
    for (const auto &[id, peer] : m_peers) {
        const Base::Duration limit = silenceLimit(peer);
        Base::TimePoint &lastConnect = m_lastConnects[id];
        if (!isAlive(id) || peer.heardAgo < limit || now - lastConnect < limit)
            continue;
        lastConnect = now;
        peers.push_back(id);
    }
    return peers;
}

void GroupOwnership::recordDroppedTasks(const Base::DaemonId &peer)
{
    const auto it = m_peers.find(peer);
    if (it != m_peers.end())
        ++it->second.dropped;
}

std::set<Base::DaemonId> GroupOwnership::owners() const
{
    std::set<Base::DaemonId> daemons;
    for (const auto &[id, group] : m_groups) {
        if (group.claim)
            daemons.insert(group.claim->owner);
    }
    return daemons;
}

std::set<Base::DaemonId> GroupOwnership::peersOnSmallHosts() const
{
    std::map<Base::FailureDomainId, std::uint32_t> largest;
    std::set<Base::DaemonId> daemons;
    for (const auto &[id, peer] : m_peers) {
        const auto [it, isNew] = largest.try_emplace(peer.domain, 0);
        if (isNew)
            it->second = largestCapacity(peer.domain);
        if (isSmallHost(peer.capacity, it->second))
            daemons.insert(id);
    }
    return daemons;
}

Wire::DispatchState GroupOwnership::stateFor(const Base::DaemonId &peer,
                                             Base::Duration interval) const
{
    const Base::TimePoint now = m_timers.now();
    const auto age = [now](Base::TimePoint time) {
        return static_cast<std::uint64_t>(
            std::max<std::int64_t>(0, Base::toMilliseconds(now - time)));
    };
    Wire::DispatchState state;
    state.draining = m_isDraining;
    const auto it = m_peers.find(peer);
    // The connection of a peer that was never heard may date from before this daemon's start.
    state.heardAgoMs = age(it == m_peers.end() ? m_started : it->second.lastHeard);
    state.capacity = m_capacity;
    state.intervalMs = static_cast<std::uint32_t>(Base::toMilliseconds(interval));
    state.dropCount = it == m_peers.end() ? 0 : it->second.dropped;
    // In a large deployment the claims of others are omitted, because their number grows with the
    // square of its size. The previous owner is informed anyway, as it may not hear the new owner.
    const bool includesAllClaims = !isLargeDeployment();
    for (const auto &[id, group] : m_groups) {
        if (!group.claim)
            continue;
        const Claim &claim = *group.claim;
        const bool isIncluded =
            includesAllClaims || claim.owner == m_self || claim.previousOwner == peer;
        if (isIncluded && isClaimValid(group)) {
            state.claims.push_back(
                {id.value(), claim.owner.value(), claim.token.value(), age(claim.confirmed)});
        }
    }
    return state;
}

} // namespace Dispatch
