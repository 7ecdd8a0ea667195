// Messages, timers and life cycle of the dispatch.
#include "dispatchservice.h"

#include <base/failure.h>
#include <base/log.h>
#include <base/softassert.h>
#include <dispatch/dispatchconstants.h>
#include <kernel/servicenames.h>
#include <kernel/serviceregistry.h>

#include <utility>

namespace DispatchService {

namespace Constants = Dispatch::Constants;
using Dispatch::GroupId;

DispatchServiceImpl::DispatchServiceImpl(const Settings::Runtime &runtime,
                                         Dispatch::ExecutorPort &port)
    : m_runtime(runtime)
    , m_port(port)
    , m_rights(runtime.settings.daemon, runtime.settings.domain, runtime.timers, *this)
    , m_directory(runtime.settings.domain)
    , m_jobs(runtime.timers, m_directory, *this)
{}

DispatchServiceImpl::~DispatchServiceImpl()
{
    *m_isAlive = false;
}

absl::Status DispatchServiceImpl::start(const Kernel::ServiceRegistry &registry)
{
    m_link = registry.find<PeerLink::PeerLinkService>(Kernel::ServiceNames::PEER_LINK);
    m_telemetry = registry.find<Telemetry::TelemetryService>(Kernel::ServiceNames::TELEMETRY);
    EP_ASSERT(m_link && m_telemetry,
              return Base::makeFailure(Base::FailureCode::Internal, "dispatch: missing service"));
    m_link->addListener(this);
    addGauges();
    tick();
    return absl::OkStatus();
}

void DispatchServiceImpl::addGauges()
{
    Metrics::MetricsRegistry &metrics = m_telemetry->metrics();
    const auto add = [&metrics](const char *name, const char *help, auto value) {
        metrics.setGauge(name, help, [value] { return static_cast<double>(value()); });
    };
    add("endivepath_jobs_active", "Jobs that are held now.", [this] { return m_jobs.jobCount(); });
    add("endivepath_jobs_completed", "Jobs answered as completed.",
        [this] { return m_jobs.counters().completed; });
    add("endivepath_jobs_failed", "Jobs answered as failed.",
        [this] { return m_jobs.counters().failed; });
    add("endivepath_jobs_rejected", "Jobs rejected before any start.",
        [this] { return m_jobs.counters().rejected; });
    add("endivepath_jobs_timed_out", "Jobs without a result in time.",
        [this] { return m_jobs.counters().timedOut; });
    add("endivepath_jobs_abandoned", "Jobs whose caller left.",
        [this] { return m_jobs.counters().cancelled; });
    const auto sum = [this](auto member) {
        return [this, member] {
            double n = 0;
            for (const auto &[id, group] : m_owned)
                n += static_cast<double>(member(*group));
            return n;
        };
    };
    add("endivepath_groups_owned", "Groups of executors that this daemon orders.",
        [this] { return m_owned.size(); });
    add("endivepath_group_queued_tasks", "Tasks that wait in the owned groups.",
        sum([](const auto &group) { return group.queuedCount(); }));
    add("endivepath_group_runs", "Runs on the executors of the owned groups.",
        sum([](const auto &group) { return group.runCount(); }));
    add("endivepath_group_starts", "Starts sent by the owned groups.",
        sum([](const auto &group) { return group.counters().starts; }));
    add("endivepath_group_unresolved_starts", "Starts without an answer.",
        sum([](const auto &group) { return group.counters().unresolvedStarts; }));
    add("endivepath_group_runs_lost", "Runs that ended without a result.",
        sum([](const auto &group) { return group.counters().lost; }));
    add("endivepath_group_runs_failed", "Runs that ended as failed.",
        sum([](const auto &group) { return group.counters().failed; }));
    add("endivepath_group_stragglers", "Runs stopped for taking too long.",
        sum([](const auto &group) { return group.counters().stragglers; }));
}

void DispatchServiceImpl::post(std::function<void()> action)
{
    m_runtime.timers.schedule(Base::Duration(0), [alive = m_isAlive, action = std::move(action)] {
        if (*alive)
            action();
    });
}

void DispatchServiceImpl::setExecutors(const std::vector<Dispatch::ExecutorInfo> &executors)
{
    std::map<GroupId, Base::FailureDomainId> groups;
    for (auto &[id, list] : m_executors)
        list.clear();
    for (const Dispatch::ExecutorInfo &it : executors) {
        const GroupId group(it.domain.value());
        groups.emplace(group, it.domain);
        m_executors[group].push_back(it);
    }
    m_rights.setGroups(groups);
    m_directory.setGroups(groups);
    for (auto &[id, group] : m_owned)
        group->setExecutors(m_executors[id]);
}

bool DispatchServiceImpl::canServe() const
{
    for (const auto &[id, list] : m_executors) {
        if (!list.empty() && m_rights.owner(id))
            return true;
    }
    return false;
}

void DispatchServiceImpl::peerMessageReceived(const Wire::PeerIdentity &from,
                                              const Wire::Message &message)
{
    if (const auto *state = std::get_if<Wire::DispatchState>(&message))
        stateReceived(from, *state);
    else
        handleMessage(from.daemon, message);
}

void DispatchServiceImpl::stateReceived(const Wire::PeerIdentity &from,
                                        const Wire::DispatchState &state)
{
    m_rights.peerHeard(from.daemon, from.domain, from.incarnation, state);
    const auto connection = std::pair(from.incarnation, state.connection);
    auto &known = m_peerConnections[from.daemon];
    if (known == connection)
        return;
    // Reports that were under way on the peer's earlier connection may be lost.
    known = connection;
    claimTasksAt(from.daemon);
}

void DispatchServiceImpl::peerConnected(const Wire::PeerIdentity &peer)
{
    ++m_connections[peer.daemon];
    m_link->send(peer.daemon, [this, &peer] {
        Wire::DispatchState state = m_rights.stateFor(peer.daemon);
        state.connection = m_connections[peer.daemon];
        return state;
    }());
    claimTasksAt(peer.daemon);
}

void DispatchServiceImpl::peerDisconnected(const Wire::PeerIdentity &peer)
{
    m_rights.peerBroken(peer.daemon);
}

void DispatchServiceImpl::claimTasksAt(const Base::DaemonId &owner)
{
    for (const auto &[id, list] : m_executors) {
        if (m_rights.owner(id) == owner)
            m_jobs.claimTasks(id);
    }
}

void DispatchServiceImpl::handleMessage(const Base::DaemonId &from, const Wire::Message &message)
{
    if (const auto *load = std::get_if<Wire::GroupLoad>(&message)) {
        m_directory.loadReceived(*load);
    } else if (const auto *batch = std::get_if<Wire::TaskBatch>(&message)) {
        // A daemon that is not the owner any more stays silent; the sender claims the tasks from the
        // owner as soon as it hears of it.
        const auto it = m_owned.find(GroupId(batch->group));
        if (it != m_owned.end())
            it->second->submit(from, *batch);
    } else if (const auto *reports = std::get_if<Wire::TaskReports>(&message)) {
        if (m_rights.owner(GroupId(reports->group)) == from)
            m_jobs.reportsReceived(*reports);
    } else if (const auto *stop = std::get_if<Wire::StopJob>(&message)) {
        const auto it = m_owned.find(GroupId(stop->group));
        if (it != m_owned.end())
            it->second->stopJob(from, Dispatch::JobId(stop->job));
    }
}

void DispatchServiceImpl::tasksReported(const Base::DaemonId &coordinator,
                                        const Wire::TaskReports &reports)
{
    if (coordinator == m_runtime.settings.daemon) {
        post([this, reports] { handleMessage(m_runtime.settings.daemon, reports); });
        return;
    }
    // A report that can't be sent is asked for again when the connection is back.
    m_link->send(coordinator, reports);
}

bool DispatchServiceImpl::sendToOwner(const GroupId &group, const Wire::Message &message)
{
    const auto owner = m_rights.owner(group);
    if (!owner)
        return false;
    if (*owner == m_runtime.settings.daemon) {
        post([this, message] { handleMessage(m_runtime.settings.daemon, message); });
        return true;
    }
    return m_link->send(*owner, message);
}

void DispatchServiceImpl::groupFenced(const GroupId &group, bool wasAccepted)
{
    post([this, group, wasAccepted] { m_rights.fenced(group, wasAccepted); });
}

/// The lowest token shows whether an executor answers, and changes nothing there.
void DispatchServiceImpl::probeGroup(const GroupId &group)
{
    struct Probe
    {
        std::size_t asked = 0;
        std::size_t answered = 0;
        std::size_t reached = 0;
        bool isDone = false;
    };
    const std::vector<Dispatch::ExecutorInfo> &executors = m_executors[group];
    const auto probe = std::make_shared<Probe>();
    probe->asked = std::min(executors.size(), Constants::PROBE_SIZE);
    if (probe->asked == 0) {
        post([this, group] { m_rights.probed(group, false); });
        return;
    }
    for (std::size_t i = 0; i < probe->asked; ++i) {
        // Spread over the whole list, since neighbours share a rack.
        const Dispatch::ExecutorInfo &executor = executors[i * executors.size() / probe->asked];
        m_port.hold(executor, {}, [this, alive = m_isAlive, group,
                                   probe](const Dispatch::HoldResult &result) {
            if (!*alive)
                return;
            const Dispatch::OrderOutcome outcome = result.order.outcome;
            if (outcome != Dispatch::OrderOutcome::Unknown
                && outcome != Dispatch::OrderOutcome::NotSent) {
                ++probe->reached;
            }
            ++probe->answered;
            const bool isReachable = probe->reached * 2 > probe->asked;
            if (probe->isDone || (!isReachable && probe->answered < probe->asked))
                return;
            probe->isDone = true;
            m_rights.probed(group, isReachable);
        });
    }
}

void DispatchServiceImpl::groupClaimed(const GroupId &id, Dispatch::FencingToken token)
{
    auto group =
        std::make_unique<Dispatch::ExecutorGroup>(id, token, m_runtime.timers, m_port,
                                                  static_cast<Dispatch::GroupListener &>(*this));
    group->setExecutors(m_executors[id]);
    if (auto &slot = m_owned[id])
        m_retired.push_back(std::exchange(slot, std::move(group)));
    else
        slot = std::move(group);
    sendStates();
}

void DispatchServiceImpl::groupLost(const GroupId &id)
{
    const auto it = m_owned.find(id);
    if (it == m_owned.end())
        return;
    Base::log(Base::LogLevel::Info, "groupLost", {{"group", id}, {"token", it->second->token()}});
    m_retired.push_back(std::move(it->second));
    m_owned.erase(it);
    post([this] { m_retired.clear(); });
}

void DispatchServiceImpl::groupOwnerChanged(const GroupId &group)
{
    m_directory.forgetLoad(group);
    m_jobs.claimTasks(group);
}

void DispatchServiceImpl::peerLost(const Base::DaemonId &peer)
{
    for (const auto &[id, group] : m_owned)
        group->coordinatorLost(peer);
}

void DispatchServiceImpl::tasksDropped(const Base::DaemonId &peer)
{
    claimTasksAt(peer);
}

void DispatchServiceImpl::sendStates()
{
    m_lastStates = m_runtime.timers.now();
    for (const auto &[peer, connections] : m_connections) {
        if (!m_link->isConnected(peer))
            continue;
        Wire::DispatchState state = m_rights.stateFor(peer);
        state.connection = connections;
        m_link->send(peer, state);
    }
    for (const Base::DaemonId &it : m_rights.peersToReset())
        m_link->resetConnection(it);
}

void DispatchServiceImpl::sendLoads()
{
    for (const auto &[id, group] : m_owned) {
        if (!group->isLoadReportDue())
            continue;
        for (const auto &[peer, connections] : m_connections) {
            if (m_link->isConnected(peer))
                m_link->send(peer, group->loadFor(peer));
        }
        m_directory.loadReceived(group->loadFor(m_runtime.settings.daemon));
        group->loadReported();
    }
}

void DispatchServiceImpl::tick()
{
    m_tickTimer = m_runtime.timers.schedule(Constants::LOAD_REPORT_MS, [this] { tick(); });
    sendLoads();
    // Loads go out with every call, the rest with every second one.
    if (m_runtime.timers.now() - m_lastTick < Constants::TICK_MS - Constants::LOAD_REPORT_MS / 2)
        return;
    m_lastTick = m_runtime.timers.now();
    m_rights.tick();
    for (const auto &[id, group] : m_owned)
        group->tick();
    m_jobs.tick();
    if (m_runtime.timers.now() - m_lastStates >= Constants::HEARTBEAT_MS - Constants::TICK_MS / 2)
        sendStates();
}

void DispatchServiceImpl::beginDrain()
{
    m_rights.setDraining();
    sendStates();
}

void DispatchServiceImpl::stop()
{
    m_runtime.timers.cancel(m_tickTimer);
    *m_isAlive = false;
    m_owned.clear();
}

} // namespace DispatchService
