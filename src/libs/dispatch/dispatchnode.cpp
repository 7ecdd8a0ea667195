// Routes messages between the dispatch components and drives their timers.
#include "dispatchnode.h"

#include <base/hash.h>
#include <base/log.h>

#include <algorithm>
#include <limits>
#include <set>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace Dispatch {

DispatchNode::DispatchNode(Base::DaemonId self, const Base::FailureDomainId &domain,
                           Base::Timers &timers, ExecutorPort &executors, Wire::PeerPort &peers,
                           const DispatchOptions &options)
    : m_self(std::move(self))
    , m_timers(timers)
    , m_port(executors)
    , m_peers(peers)
    , m_options(options)
    , m_ownership(m_self, domain, timers, *this)
    , m_directory(domain, options)
    , m_losses(timers)
    , m_taskMemory(makeTaskBudget(options.memory))
    , m_jobs(timers, m_directory, m_losses, *this, options)
    , m_cancellation(timers, m_jobs, *this)
    , m_exchange(timers)
{}

DispatchNode::~DispatchNode()
{
    *m_isAlive = false;
}

void DispatchNode::start()
{
    m_lastTick = m_timers.now();
    tick();
}

void DispatchNode::post(std::function<void()> action)
{
    m_timers.schedule(Base::Duration(0), [alive = m_isAlive, action = std::move(action)] {
        if (*alive)
            action();
    });
}

static std::set<ExecutorId> idsOf(const std::vector<ExecutorInfo> &executors)
{
    std::set<ExecutorId> ids;
    for (const ExecutorInfo &it : executors)
        ids.insert(it.id);
    return ids;
}

/// Number of executors by domain. An executor that crashed is registered beside its successor at
/// the same address until its registration expires, and counts once with it.
static std::map<Base::FailureDomainId, std::size_t>
domainSizes(const std::vector<ExecutorInfo> &executors)
{
    std::map<Base::FailureDomainId, std::unordered_set<std::string_view>> addresses;
    std::map<Base::FailureDomainId, std::size_t> sizes;
    for (const ExecutorInfo &it : executors) {
        if (it.address.empty() || addresses[it.domain].insert(it.address).second)
            ++sizes[it.domain];
    }
    return sizes;
}

/// A domain with many executors is divided into several groups, whose owners share the load.
void DispatchNode::divideDomains(const std::vector<ExecutorInfo> &executors)
{
    for (const auto &[domain, n] : domainSizes(executors)) {
        std::size_t count = 1;
        if (n > Constants::MAX_UNDIVIDED_EXECUTORS) {
            for (count = 2; count * Constants::EXECUTORS_PER_GROUP * 2 < n;)
                count *= Constants::GROUP_COUNT_FACTOR;
        }
        std::size_t &known = m_groupCounts[domain];
        known = std::max(known, count);
    }
}

GroupId DispatchNode::groupOf(const ExecutorInfo &executor) const
{
    const std::size_t count = m_groupCounts.at(executor.domain);
    if (count == 1)
        return GroupId(executor.domain.value());
    const std::uint64_t index = Base::stableHash(executor.id.value()) % count;
    return GroupId(executor.domain.value() + "/" + std::to_string(index));
}

void DispatchNode::setExecutors(const std::vector<ExecutorInfo> &executors)
{
    m_registered = executors;
    applyExecutors(m_exchange.merge(m_registered));
}

/// An owner that the store turns away takes the registrations of its groups from a peer.
void DispatchNode::exchangeRegistrations()
{
    if (!m_stateListener)
        return;
    Wire::DispatchState own;
    m_stateListener->addToState(own);
    if (m_exchange.setOwn({own.registrationsDigest, m_listCompleteAsOf}))
        applyExecutors(m_registered);
    if (m_owned.empty())
        return;
    const auto peer = m_exchange.nextRequest(peersWith(Wire::DispatchState::REGISTRATIONS));
    if (!peer)
        return;
    std::set<std::string> domains;
    for (const auto &[id, group] : m_owned) {
        for (const ExecutorInfo &it : m_executors[id])
            domains.insert(it.domain.value());
    }
    m_peers.send(*peer, Wire::RegistrationsRequest{{domains.begin(), domains.end()}});
}

/// Answers with what this daemon itself has read, or not at all.
void DispatchNode::sendRegistrations(const Base::DaemonId &peer,
                                     const Wire::RegistrationsRequest &request)
{
    const Base::TimePoint now = m_timers.now();
    if (m_exchange.usesPeer() || !m_stateListener || m_listCompleteAsOf > now)
        return;
    Wire::DispatchState own;
    m_stateListener->addToState(own);
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - m_listCompleteAsOf);
    Wire::Registrations message;
    message.domains = request.domains;
    message.digest = own.registrationsDigest;
    message.ageMs = static_cast<std::uint32_t>(
        std::min<std::int64_t>(age.count(), std::numeric_limits<std::uint32_t>::max()));
    const std::set<std::string> domains(request.domains.begin(), request.domains.end());
    for (const auto &[id, list] : m_executors) {
        for (const ExecutorInfo &it : list) {
            if (domains.contains(it.domain.value()))
                message.executors.push_back(encodeRegistration(it));
        }
    }
    if (message.executors.size() <= Constants::MAX_SENT_REGISTRATIONS)
        m_peers.send(peer, message);
}

std::set<Base::DaemonId> DispatchNode::peersWith(std::uint32_t feature) const
{
    std::set<Base::DaemonId> peers;
    for (const auto &[peer, features] : m_peerFeatures) {
        if ((features & feature) != 0 && m_peers.isConnected(peer))
            peers.insert(peer);
    }
    return peers;
}

void DispatchNode::applyExecutors(const std::vector<ExecutorInfo> &executors)
{
    m_losses.setExecutors(executors);
    divideDomains(executors);
    std::map<GroupId, Base::FailureDomainId> groups;
    std::map<GroupId, std::vector<ExecutorInfo>> lists;
    for (const auto &[id, list] : m_executors)
        lists[id]; // keep groups that have no executors any more
    for (const ExecutorInfo &it : executors) {
        const GroupId group = groupOf(it);
        groups.emplace(group, it.domain);
        lists[group].push_back(it);
    }
    for (const auto &[id, list] : lists) {
        if (idsOf(list) != idsOf(m_executors[id]))
            m_listChanged[id] = m_timers.now();
    }
    m_executors = std::move(lists);
    m_ownership.setGroups(groups);
    m_directory.setGroups(groups);
    m_directory.setExecutors(m_executors);
    for (auto &[id, group] : m_owned)
        updateGroup(id, *group);
}

void DispatchNode::setListCompleteAsOf(Base::TimePoint time)
{
    m_listCompleteAsOf = time;
    for (auto &[id, group] : m_owned)
        group->setListCompleteAsOf(time);
}

/// Sets the registered executors, and those that only the last owner knew. The latter are queried
/// under the new token, which fences the last owner there, and get no tasks.
void DispatchNode::updateGroup(const GroupId &id, ExecutorGroup &group)
{
    std::vector<ExecutorInfo> executors = m_executors[id];
    const std::set<ExecutorId> known = idsOf(executors);
    const auto members = m_members.find(id);
    const bool isRecentlyClaimed =
        m_timers.now() - group.claimed() < Constants::PREVIOUS_MEMBERS_MS;
    if (members != m_members.end() && isRecentlyClaimed) {
        for (const Wire::GroupMember &it : members->second.members) {
            if (known.contains(ExecutorId(it.id)))
                continue;
            ExecutorInfo executor;
            executor.id = ExecutorId(it.id);
            executor.address = it.address;
            executor.service = ServiceId(it.service);
            executor.lifetime = Lifetime(it.lifetime);
            executor.draining = it.draining;
            executor.isFromPreviousOwner = true;
            executors.push_back(executor);
        }
    }
    group.setExecutors(executors, m_listChanged[id]);
    sendMembers(id, group);
}

Wire::GroupMembers DispatchNode::membersOf(const GroupId &id, const ExecutorGroup &group) const
{
    Wire::GroupMembers message;
    message.group = id.value();
    message.token = group.token().value();
    const auto executors = m_executors.find(id);
    if (executors == m_executors.end())
        return message;
    for (const ExecutorInfo &it : executors->second)
        message.members.push_back(
            {it.id.value(), it.address, it.service.value(), it.lifetime.value(), it.draining});
    return message;
}

/// Sends the executors of the group to its likely next owners if they have changed.
void DispatchNode::sendMembers(const GroupId &id, const ExecutorGroup &group)
{
    Wire::GroupMembers message = membersOf(id, group);
    Wire::GroupMembers &sent = m_sentMembers[id];
    if (sent == message)
        return;
    for (const auto &[peer, connections] : m_connections) {
        if (m_peers.isConnected(peer)
            && (!isLargeDeployment() || m_ownership.isNextCandidate(peer, id))) {
            m_peers.send(peer, message);
        }
    }
    sent = std::move(message);
}

bool DispatchNode::canServe() const
{
    for (const auto &[id, list] : m_executors) {
        if (!list.empty() && m_ownership.owner(id))
            return true;
    }
    return false;
}

void DispatchNode::peerMessageReceived(const Wire::PeerIdentity &from, const Wire::Message &message)
{
    if (const auto *state = std::get_if<Wire::DispatchState>(&message))
        stateReceived(from, *state);
    else
        handleMessage(from.daemon, message);
    m_ownership.messageReceived(from.daemon, from.incarnation);
}

void DispatchNode::stateReceived(const Wire::PeerIdentity &from, const Wire::DispatchState &state)
{
    m_ownership.stateReceived(from.daemon, from.domain, from.incarnation, state);
    m_peerFeatures[from.daemon] = state.features;
    if (m_stateListener)
        m_stateListener->stateReceived(from.daemon, state);
    if (state.registrationsAgeMs != Wire::DispatchState::NO_AGE) {
        m_exchange.statementReceived(
            from.daemon, {state.registrationsDigest,
                          m_timers.now() - std::chrono::milliseconds(state.registrationsAgeMs)});
    }
    for (const Wire::GroupClaimsEnd &it : state.claimsEnds)
        claimsEnded(from.daemon, it);
    const auto connection = std::pair(from.incarnation, state.connectionCount);
    auto &known = m_peerConnections[from.daemon];
    if (known == connection)
        return;
    // Reports that were in transit on the peer's previous connection may be lost.
    known = connection;
    if ((state.features & Wire::DispatchState::CANCELLED_JOBS) != 0)
        m_cancellation.peerReady(from.daemon, from.incarnation);
    claimTasksAt(from.daemon);
}

void DispatchNode::claimsEnded(const Base::DaemonId &coordinator, const Wire::GroupClaimsEnd &end)
{
    const auto it = m_owned.find(GroupId(end.group));
    if (it == m_owned.end() || it->second->token().value() != end.token)
        return;
    // Some of the claims may have been dropped. The coordinator repeats them.
    if (coordinator != m_self && (areMessagesStale() || m_droppedClaims.erase(coordinator) > 0)) {
        m_ownership.recordDroppedTasks(coordinator);
        return;
    }
    it->second->claimsEnded(coordinator, end.firstSequence);
}

bool DispatchNode::sendClaimsEnd(const GroupId &group, std::uint64_t firstSequence)
{
    const auto owner = m_ownership.owner(group);
    const auto token = m_ownership.token(group);
    if (!owner || !token)
        return false;
    const Wire::GroupClaimsEnd end{group.value(), token->value(), firstSequence};
    if (*owner == m_self) {
        // After the claims, which are posted too.
        post([this, end] { claimsEnded(m_self, end); });
        return true;
    }
    const auto connections = m_connections.find(*owner);
    return connections != m_connections.end()
           && sendState(*owner, connections->second, roundsBetweenStates(*owner, {*owner}), {end});
}

bool DispatchNode::sendState(const Base::DaemonId &peer, std::uint64_t connections,
                             std::uint64_t rounds,
                             const std::vector<Wire::GroupClaimsEnd> &claimsEnds)
{
    Wire::DispatchState state = m_ownership.stateFor(peer, Constants::HEARTBEAT_MS * rounds);
    state.connectionCount = connections;
    state.claimsEnds = claimsEnds;
    state.features = Wire::DispatchState::CANCELLED_JOBS | Wire::DispatchState::REGISTRATIONS;
    if (m_stateListener)
        m_stateListener->addToState(state);
    return m_peers.send(peer, state);
}

/// A state message is sent to \a peer in every n-th round of them.
std::uint64_t DispatchNode::roundsBetweenStates(const Base::DaemonId &peer,
                                                const std::set<Base::DaemonId> &owners) const
{
    if (!isLargeDeployment())
        return 1;
    const std::uint64_t rounds = m_ownership.isRemote(peer) ? Constants::REMOTE_STATE_EVERY : 1;
    const bool isIdle = m_owned.empty() && !owners.contains(peer);
    return isIdle ? rounds * Constants::IDLE_STATE_EVERY : rounds;
}

void DispatchNode::peerConnected(const Wire::PeerIdentity &peer)
{
    m_ownership.peerConnected(peer.daemon);
    const std::uint64_t connections = ++m_connections[peer.daemon];
    sendState(peer.daemon, connections, roundsBetweenStates(peer.daemon, m_ownership.owners()));
    for (const Wire::LostRuns &it : m_losses.messages())
        m_peers.send(peer.daemon, it);
    for (const auto &[id, group] : m_owned) {
        m_peers.send(peer.daemon, membersOf(id, *group));
        Wire::GroupLoad load = group->load();
        load.batchesSeen = group->batchesSeen(peer.daemon);
        m_peers.send(peer.daemon, load);
    }
    claimTasksAt(peer.daemon);
}

void DispatchNode::peerDisconnected(const Wire::PeerIdentity &peer)
{
    m_ownership.peerDisconnected(peer.daemon);
    // An older version may run there next.
    m_peerFeatures.erase(peer.daemon);
    m_cancellation.peerDisconnected(peer.daemon);
    for (const auto &[id, list] : m_executors) {
        if (m_ownership.owner(id) == peer.daemon)
            m_directory.forgetLoad(id);
    }
}

void DispatchNode::claimTasksAt(const Base::DaemonId &owner)
{
    for (const auto &[id, list] : m_executors) {
        if (m_ownership.owner(id) == owner)
            m_jobs.claimTasks(id);
    }
}

void DispatchNode::handleMessage(const Base::DaemonId &from, const Wire::Message &message)
{
    if (const auto *load = std::get_if<Wire::GroupLoad>(&message)) {
        m_ownership.confirmOwner(from, GroupId(load->group), FencingToken(load->token));
        m_directory.loadReceived(*load);
        rememberRunTimes(*load);
    } else if (const auto *batch = std::get_if<Wire::TaskBatch>(&message)) {
        // A daemon that is no longer the owner does not answer; the sender claims the tasks from
        // the new owner as soon as it learns of it.
        const auto it = m_owned.find(GroupId(batch->group));
        if (it == m_owned.end())
            return;
        if (from != m_self && (areMessagesStale() || !m_ownership.isAlive(from))) {
            m_ownership.recordDroppedTasks(from);
            m_droppedClaims.insert(from);
            return;
        }
        if (m_cancellation.isCancelled(JobId(batch->job))) {
            m_cancellation.batchRefused(from, JobId(batch->job));
            return;
        }
        it->second->submit(from, *batch);
    } else if (const auto *reports = std::get_if<Wire::TaskReports>(&message)) {
        if (m_ownership.owner(GroupId(reports->group)) == from)
            m_jobs.reportsReceived(*reports);
    } else if (const auto *members = std::get_if<Wire::GroupMembers>(&message)) {
        Wire::GroupMembers &known = m_members[GroupId(members->group)];
        if (members->token < known.token)
            return;
        known = *members;
        // Sent before this daemon's claim arrived there.
        const auto it = m_owned.find(GroupId(members->group));
        if (it != m_owned.end())
            updateGroup(it->first, *it->second);
    } else if (const auto *stop = std::get_if<Wire::StopJob>(&message)) {
        const auto it = m_owned.find(GroupId(stop->group));
        if (it != m_owned.end())
            it->second->stopJob(from, JobId(stop->job));
    } else if (const auto *lost = std::get_if<Wire::LostRuns>(&message)) {
        m_losses.merge(*lost);
    } else if (const auto *cancelled = std::get_if<Wire::CancelledJobs>(&message)) {
        m_cancellation.received(from, *cancelled);
    } else if (const auto *answer = std::get_if<Wire::CancelAnswer>(&message)) {
        m_cancellation.received(from, *answer);
    } else if (const auto *request = std::get_if<Wire::RegistrationsRequest>(&message)) {
        sendRegistrations(from, *request);
    } else if (const auto *registrations = std::get_if<Wire::Registrations>(&message)) {
        if (m_exchange.received(from, *registrations))
            applyExecutors(m_exchange.merge(m_registered));
    }
}

CancellationNetwork::Daemons DispatchNode::cancellationDaemons() const
{
    Daemons daemons;
    daemons.ids = m_ownership.livePeers();
    for (const auto &[id, list] : m_executors) {
        const auto owner = m_ownership.owner(id);
        if (owner && *owner != m_self)
            daemons.ids.insert(*owner);
        else if (!owner && !list.empty())
            daemons.areAllGroupsOwned = false;
    }
    daemons.reached = peersWith(Wire::DispatchState::CANCELLED_JOBS);
    return daemons;
}

bool DispatchNode::sendCancellation(const Base::DaemonId &peer, const Wire::Message &message)
{
    if (peer == m_self) {
        post([this, message] { handleMessage(m_self, message); });
        return true;
    }
    const auto features = m_peerFeatures.find(peer);
    return features != m_peerFeatures.end()
           && (features->second & Wire::DispatchState::CANCELLED_JOBS) != 0
           && m_peers.send(peer, message);
}

bool DispatchNode::stopTasksOf(const JobId &job)
{
    bool hadTasks = false;
    for (const auto &[id, group] : m_owned)
        hadTasks |= group->stopCancelledJob(job);
    return hadTasks;
}

/// A batch that was delayed by a pause of this process may come from a daemon that has been lost
/// since, and whose callers have submitted their jobs to other daemons.
bool DispatchNode::areMessagesStale() const
{
    const Base::TimePoint now = m_timers.now();
    return now < m_staleUntil || now - m_lastTick > Constants::PAUSE_MS;
}

void DispatchNode::tasksReported(const Base::DaemonId &coordinator,
                                 const Wire::TaskReports &reports)
{
    const bool hasReturns =
        std::any_of(reports.reports.begin(), reports.reports.end(), [](const auto &it) {
            return it.state == static_cast<std::uint8_t>(Wire::TaskReportState::Returned);
        });
    if (hasReturns)
        sendLoadBeforeReturns(coordinator, GroupId(reports.group));
    if (coordinator == m_self) {
        post([this, reports] { handleMessage(m_self, reports); });
        return;
    }
    // A report that cannot be sent is requested again when the connection is restored.
    m_peers.send(coordinator, reports);
}

/// Returned tasks are placed again at once; without this, in the same group.
void DispatchNode::sendLoadBeforeReturns(const Base::DaemonId &coordinator, const GroupId &id)
{
    const auto group = m_owned.find(id);
    if (group == m_owned.end())
        return;
    Wire::GroupLoad load = group->second->load();
    load.batchesSeen = group->second->batchesSeen(coordinator);
    if (coordinator == m_self)
        m_directory.loadReceived(load);
    else
        m_peers.send(coordinator, load);
}

bool DispatchNode::sendToOwner(const GroupId &group, const Wire::Message &message)
{
    const auto owner = m_ownership.owner(group);
    if (!owner)
        return false;
    if (*owner == m_self) {
        post([this, message] { handleMessage(m_self, message); });
        return true;
    }
    return m_peers.send(*owner, message);
}

bool DispatchNode::isOwnerReachable(const GroupId &group) const
{
    const auto owner = m_ownership.owner(group);
    return owner && (*owner == m_self || m_peers.isConnected(*owner));
}

void DispatchNode::groupFenced(const GroupId &group, const ExecutorId &executor, bool wasAccepted)
{
    post(
        [this, group, executor, wasAccepted] { m_ownership.fenced(group, executor, wasAccepted); });
}

/// All daemons are told, since any of them may own a group or coordinate the job next.
void DispatchNode::executorLost(const ExecutorLoss &loss)
{
    Base::log(Base::LogLevel::Warning, "executorLost",
              {{"executor", loss.executor},
               {"lifetime", loss.lifetime},
               {"grounds", toString(loss.grounds)},
               {"silence", loss.silence},
               {"tasks", loss.tasks.size()},
               {"first", toString(loss.tasks.front().id)}});
    ExecutorLoss reported = loss;
    reported.reporter = m_self;
    broadcast(m_losses.add(reported));
}

void DispatchNode::executorAnswered(const ExecutorId &executor, Lifetime lifetime)
{
    broadcast(m_losses.answered(executor, lifetime));
}

void DispatchNode::executorEnded(const ExecutorId &executor, Lifetime lifetime)
{
    broadcast(m_losses.ended(executor, lifetime));
}

std::set<Base::DaemonId> DispatchNode::liveDaemons() const
{
    std::set<Base::DaemonId> daemons = m_ownership.livePeers();
    daemons.insert(m_self);
    return daemons;
}

void DispatchNode::broadcast(const ExecutorLosses::Message &message)
{
    if (!message)
        return;
    for (const auto &[peer, connections] : m_connections) {
        if (m_peers.isConnected(peer))
            m_peers.send(peer, *message);
    }
}

/// Probes with the lowest token, which executors answer without changing their state.
void DispatchNode::probeGroup(const GroupId &group)
{
    struct Probe
    {
        std::size_t asked = 0;
        std::size_t answered = 0;
        std::size_t reached = 0;
        bool isDone = false;
    };
    const std::vector<ExecutorInfo> &executors = m_executors[group];
    const auto probe = std::make_shared<Probe>();
    probe->asked = std::min(executors.size(), Constants::PROBE_SIZE);
    if (probe->asked == 0) {
        post([this, group] { m_ownership.probed(group, false); });
        return;
    }
    for (std::size_t i = 0; i < probe->asked; ++i) {
        // Spread over the whole list, because adjacent entries are often in the same rack.
        const ExecutorInfo &executor = executors[i * executors.size() / probe->asked];
        m_port.hold(executor, {},
                    [this, alive = m_isAlive, group, probe](const HoldResult &result) {
                        if (!*alive)
                            return;
                        const OrderOutcome outcome = result.order.outcome;
                        if (outcome != OrderOutcome::Unknown && outcome != OrderOutcome::NotSent) {
                            ++probe->reached;
                        }
                        ++probe->answered;
                        const bool isReachable = probe->reached * 2 > probe->asked;
                        if (probe->isDone || (!isReachable && probe->answered < probe->asked))
                            return;
                        probe->isDone = true;
                        m_ownership.probed(group, isReachable);
                    });
    }
}

void DispatchNode::groupClaimed(const GroupId &id, FencingToken token)
{
    // A daemon that owns nothing reads the list of executors less often, so it may lack executors
    // that the previous owner knew.
    if (m_owned.empty())
        m_listChanged[id] = m_timers.now();
    auto group = std::make_unique<ExecutorGroup>(id, token, m_timers, m_port, m_losses,
                                                 static_cast<GroupListener &>(*this), m_options,
                                                 m_taskMemory);
    ExecutorGroup &added = *group;
    auto &slot = m_owned[id];
    if (slot) {
        rememberRunTimes(slot->load());
        slot->retire();
        m_retired.push_back(std::move(slot));
        post([this] { m_retired.clear(); });
    }
    slot = std::move(group);
    if (const auto it = m_runTimes.find(id); it != m_runTimes.end())
        added.restoreRunTimes(it->second);
    added.setListCompleteAsOf(m_listCompleteAsOf);
    updateGroup(id, added);
    sendStates(true);
}

void DispatchNode::groupLost(const GroupId &id)
{
    const auto it = m_owned.find(id);
    if (it == m_owned.end())
        return;
    Base::log(Base::LogLevel::Info, "groupLost", {{"group", id}, {"token", it->second->token()}});
    rememberRunTimes(it->second->load());
    it->second->retire();
    m_retired.push_back(std::move(it->second));
    m_owned.erase(it);
    post([this] { m_retired.clear(); });
}

/// A report without run times, as of an owner of an older version, does not replace them.
void DispatchNode::rememberRunTimes(const Wire::GroupLoad &load)
{
    const GroupId group(load.group);
    if (!load.runTimes.empty() && m_executors.contains(group))
        m_runTimes[group] = load.runTimes;
}

void DispatchNode::groupOwnerChanged(const GroupId &group)
{
    // The owner learns, before it receives tasks, how soon the silence of this daemon means a loss.
    const auto owner = m_ownership.owner(group);
    const auto connections = owner ? m_connections.find(*owner) : m_connections.end();
    if (isLargeDeployment() && connections != m_connections.end())
        sendState(*owner, connections->second, roundsBetweenStates(*owner, {*owner}));
    m_directory.forgetLoad(group);
    m_jobs.claimTasks(group);
}

void DispatchNode::peerLost(const Base::DaemonId &peer)
{
    for (const auto &[id, group] : m_owned) {
        group->coordinatorLost(peer);
        group->setContested(m_timers.now() + Constants::CONTESTED_MS);
    }
}

void DispatchNode::tasksDropped(const Base::DaemonId &peer)
{
    claimTasksAt(peer);
}

void DispatchNode::sendStates(bool isForAll)
{
    m_lastStates = m_timers.now();
    ++m_stateRound;
    const std::set<Base::DaemonId> owners = m_ownership.owners();
    for (const auto &[peer, connections] : m_connections) {
        const std::uint64_t rounds = roundsBetweenStates(peer, owners);
        if (m_peers.isConnected(peer) && (isForAll || m_stateRound % rounds == 0))
            sendState(peer, connections, rounds);
    }
    for (const Base::DaemonId &it : m_ownership.peersToReset())
        m_peers.resetConnection(it);
}

/// Whether a report is due after \a last, and if so sets \a last to it.
bool DispatchNode::isDue(LoadReport &last, const ExecutorGroup &group,
                         Base::Duration interval) const
{
    const Base::TimePoint now = m_timers.now();
    const bool isChanged = last.version != group.loadVersion() || last.token != group.token();
    const Base::Duration age = now - last.time;
    if (age < (isChanged ? interval : Base::Duration(Constants::LOAD_REPEAT_MS)))
        return false;
    last = {group.token(), group.loadVersion(), now};
    return true;
}

DispatchNode::LoadAudience DispatchNode::audienceOf(const Base::DaemonId &peer) const
{
    if (!isLargeDeployment() || !m_ownership.isRemote(peer))
        return LoadAudience::Local;
    return m_smallPeers.contains(peer) ? LoadAudience::RemoteSmall : LoadAudience::Remote;
}

Base::Duration DispatchNode::loadInterval(LoadAudience audience) const
{
    switch (audience) {
    case LoadAudience::Local:
        break;
    case LoadAudience::Remote:
        return Constants::REMOTE_LOAD_REPORT_MS;
    case LoadAudience::RemoteSmall:
        return Constants::SMALL_HOST_LOAD_REPORT_MS;
    }
    return isLargeDeployment() ? Constants::LARGE_LOAD_REPORT_MS : Constants::LOAD_REPORT_MS;
}

void DispatchNode::sendLoad(const ExecutorGroup &group, const std::set<LoadAudience> &audiences)
{
    Wire::Message message = group.load();
    auto &load = std::get<Wire::GroupLoad>(message);
    for (const auto &[peer, connections] : m_connections) {
        if (!audiences.contains(audienceOf(peer)) || !m_peers.isConnected(peer))
            continue;
        load.batchesSeen = group.batchesSeen(peer);
        m_peers.send(peer, message);
    }
    if (!audiences.contains(LoadAudience::Local))
        return;
    load.batchesSeen = group.batchesSeen(m_self);
    m_directory.loadReceived(load);
}

void DispatchNode::sendLoads()
{
    for (const auto &[id, group] : m_owned) {
        std::set<LoadAudience> audiences;
        for (const LoadAudience it :
             {LoadAudience::Local, LoadAudience::Remote, LoadAudience::RemoteSmall}) {
            if (it != LoadAudience::Local && !isLargeDeployment())
                continue;
            if (isDue(m_sentLoads[{id, it}], *group, loadInterval(it)))
                audiences.insert(it);
        }
        if (!audiences.empty())
            sendLoad(*group, audiences);
    }
}

void DispatchNode::tick()
{
    m_tickTimer = m_timers.schedule(Constants::LOAD_REPORT_MS, [this] { tick(); });
    sendLoads();
    // Loads are sent with every call, the rest is done with every second one.
    if (m_timers.now() - m_lastTick < Constants::TICK_MS - Constants::LOAD_REPORT_MS / 2)
        return;
    if (m_timers.now() - m_lastTick > Constants::PAUSE_MS)
        m_staleUntil = m_timers.now() + Constants::STALE_MESSAGES_MS;
    m_lastTick = m_timers.now();
    m_ownership.tick();
    for (const auto &[id, group] : m_owned)
        group->tick();
    m_losses.tick();
    m_jobs.tick();
    m_cancellation.tick();
    exchangeRegistrations();
    if (m_timers.now() - m_lastStates >= Constants::HEARTBEAT_MS - Constants::TICK_MS / 2) {
        m_smallPeers = m_ownership.peersOnSmallHosts();
        sendStates(false);
    }
}

void DispatchNode::beginDrain()
{
    m_ownership.setDraining();
    sendStates(true);
}

void DispatchNode::stop()
{
    m_timers.cancel(m_tickTimer);
    *m_isAlive = false;
    m_owned.clear();
}

} // namespace Dispatch
