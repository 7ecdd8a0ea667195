// Record of cancelled jobs, its exchange between daemons, and requests for jobs of other daemons.
#include "jobcancellation.h"

#include "dispatchconstants.h"

#include <base/log.h>

#include <algorithm>
#include <utility>

namespace Dispatch {

using Base::LogLevel;
using Daemons = CancellationNetwork::Daemons;

JobCancellation::JobCancellation(Base::Timers &timers, JobCoordinator &jobs,
                                 CancellationNetwork &network)
    : m_timers(timers)
    , m_jobs(jobs)
    , m_network(network)
{}

/// Returns false if the job was known to be cancelled.
bool JobCancellation::add(const JobId &job, Base::TimePoint cancelled)
{
    if (!m_cancelled.emplace(job, cancelled).second)
        return false;
    m_order.push_back({job, m_timers.now()});
    if (m_order.size() > Constants::MAX_CANCELLED_JOBS) {
        Base::log(LogLevel::Warning, "cancelForgotten",
                  {{"job", m_order.front().job},
                   {"age", m_timers.now() - m_cancelled.at(m_order.front().job)},
                   {"remembered", m_cancelled.size() - 1}});
        ++m_counters.forgotten;
        m_cancelled.erase(m_order.front().job);
        m_order.pop_front();
    }
    return true;
}

void JobCancellation::prune()
{
    const Base::TimePoint now = m_timers.now();
    while (!m_order.empty()
           && now - m_cancelled.at(m_order.front().job) > Constants::CANCEL_RETENTION_MS) {
        m_cancelled.erase(m_order.front().job);
        m_order.pop_front();
    }
}

Wire::CancelledJob JobCancellation::entryOf(const JobId &job) const
{
    const Base::Duration age = m_timers.now() - m_cancelled.at(job);
    return {job.value(), static_cast<std::uint64_t>(Base::toMilliseconds(age))};
}

void JobCancellation::cancel(const JobId &job, Callback callback)
{
    const Base::TimePoint now = m_timers.now();
    const bool isNew = add(job, now);
    const bool isFound = m_jobs.cancelForCaller(job);
    const bool hadTasks = m_network.stopTasksOf(job);
    if (isFound) {
        ++m_counters.found;
        Base::log(LogLevel::Info, "jobCancelled", {{"job", job}, {"receivedBy", "coordinator"}});
        broadcast(job);
        callback(CancelOutcome::Cancelled);
        return;
    }
    if (m_requests.size() >= Constants::MAX_CANCEL_REQUESTS) {
        // The job stays cancelled here and at the peers, but nobody waits for their answers.
        if (isNew)
            broadcast(job);
        ++m_counters.unconfirmed;
        Base::log(LogLevel::Warning, "cancelUnconfirmed",
                  {{"job", job}, {"reason", "tooManyRequests"}});
        callback(CancelOutcome::Unconfirmed);
        return;
    }
    const std::uint64_t correlation = ++m_lastCorrelation;
    Request request;
    request.job = job;
    request.callback = std::move(callback);
    request.started = now;
    request.hadTasks = hadTasks;
    const Daemons daemons = m_network.cancellationDaemons();
    Request &added = m_requests.emplace(correlation, std::move(request)).first->second;
    ask(correlation, added, daemons);
    // Daemons that can't be asked now get the job from the record later.
    for (auto &[id, peer] : m_peers) {
        if (!added.asked.contains(id) && !peer.missingSince)
            peer.missingSince = now;
    }
    if (const auto outcome = outcomeOf(added, daemons))
        finish(correlation, *outcome);
}

void JobCancellation::ask(std::uint64_t correlation, Request &request, const Daemons &daemons)
{
    if (!m_cancelled.contains(request.job))
        return;
    const Wire::CancelledJobs message{{entryOf(request.job)}, correlation};
    for (const Base::DaemonId &it : daemons.reached) {
        if (!request.asked.contains(it) && m_network.sendCancellation(it, message))
            request.asked.insert(it);
    }
}

/// An executor takes orders of the owner of its group only, and an owner that knows of the cancel
/// starts no task of the job. So the answer is certain once all owners have confirmed it; the other
/// live daemons may coordinate the job, and know whether it exists.
std::optional<CancelOutcome> JobCancellation::outcomeOf(const Request &request,
                                                        const Daemons &daemons) const
{
    if (request.isFound)
        return CancelOutcome::Cancelled;
    const std::set<Base::DaemonId> &confirmed = request.confirmed;
    if (daemons.areAllGroupsOwned
        && std::includes(confirmed.begin(), confirmed.end(), daemons.ids.begin(),
                         daemons.ids.end())) {
        return request.hadTasks ? CancelOutcome::Cancelled : CancelOutcome::Unknown;
    }
    if (m_timers.now() - request.started >= Constants::CANCEL_ANSWER_MS)
        return CancelOutcome::Unconfirmed;
    return std::nullopt;
}

void JobCancellation::finish(std::uint64_t correlation, CancelOutcome outcome)
{
    auto node = m_requests.extract(correlation);
    const Request &request = node.mapped();
    const Base::Duration elapsed = m_timers.now() - request.started;
    if (outcome == CancelOutcome::Unconfirmed) {
        ++m_counters.unconfirmed;
        const Daemons daemons = m_network.cancellationDaemons();
        std::string missing;
        for (const Base::DaemonId &it : daemons.ids) {
            if (!request.confirmed.contains(it))
                missing += (missing.empty() ? "" : ",") + it.value();
        }
        Base::log(LogLevel::Warning, "cancelUnconfirmed",
                  {{"job", request.job},
                   {"reason", daemons.areAllGroupsOwned ? "noAnswer" : "groupWithoutOwner"},
                   {"confirmed", request.confirmed.size()},
                   {"missing", missing},
                   {"elapsed", elapsed}});
    } else {
        const bool isFound = outcome == CancelOutcome::Cancelled;
        ++(isFound ? m_counters.found : m_counters.unknown);
        Base::log(LogLevel::Info, isFound ? "jobCancelled" : "cancelOfUnknownJob",
                  {{"job", request.job},
                   {"receivedBy", "other"},
                   {"confirmed", request.confirmed.size()},
                   {"elapsed", elapsed}});
    }
    request.callback(outcome);
}

void JobCancellation::broadcast(const JobId &job)
{
    const Wire::CancelledJobs message{{entryOf(job)}, 0};
    const Daemons daemons = m_network.cancellationDaemons();
    for (const Base::DaemonId &it : daemons.reached) {
        Peer &peer = m_peers[it];
        if (!m_network.sendCancellation(it, message) && !peer.missingSince)
            peer.missingSince = m_timers.now();
    }
    for (auto &[id, peer] : m_peers) {
        if (!daemons.reached.contains(id) && !peer.missingSince)
            peer.missingSince = m_timers.now();
    }
}

void JobCancellation::batchRefused(const Base::DaemonId &coordinator, const JobId &job)
{
    ++m_counters.refusedBatches;
    Base::log(LogLevel::Info, "cancelledBatchRefused",
              {{"job", job}, {"coordinator", coordinator}, {"age", entryOf(job).ageMs}});
    m_network.sendCancellation(coordinator, Wire::CancelledJobs{{entryOf(job)}, 0});
}

void JobCancellation::received(const Base::DaemonId &from, const Wire::CancelledJobs &message)
{
    Wire::CancelAnswer answer;
    answer.correlation = message.correlation;
    for (const Wire::CancelledJob &it : message.jobs) {
        const JobId job(it.job);
        const auto age = std::chrono::milliseconds(std::min<std::uint64_t>(
            it.ageMs, std::uint64_t(Constants::CANCEL_RETENTION_MS.count()) + 1));
        if (age > Constants::CANCEL_RETENTION_MS)
            continue;
        add(job, m_timers.now() - age);
        const bool isFound = m_jobs.cancelForCaller(job);
        const bool hadTasks = m_network.stopTasksOf(job);
        answer.wasCoordinator |= isFound;
        answer.hadTasks |= hadTasks;
        if (isFound || hadTasks) {
            Base::log(LogLevel::Info, "jobCancelledByPeer",
                      {{"job", job},
                       {"peer", from},
                       {"coordinated", isFound ? 1 : 0},
                       {"hadTasks", hadTasks ? 1 : 0},
                       {"age", age.count()}});
        }
    }
    if (message.correlation != 0)
        m_network.sendCancellation(from, answer);
}

void JobCancellation::received(const Base::DaemonId &from, const Wire::CancelAnswer &answer)
{
    const auto it = m_requests.find(answer.correlation);
    if (it == m_requests.end() || !it->second.asked.contains(from))
        return;
    Request &request = it->second;
    request.confirmed.insert(from);
    request.isFound |= answer.wasCoordinator;
    request.hadTasks |= answer.hadTasks;
    if (const auto outcome = outcomeOf(request, m_network.cancellationDaemons()))
        finish(it->first, *outcome);
}

void JobCancellation::peerReady(const Base::DaemonId &peer, Base::Incarnation incarnation)
{
    const auto [it, isNew] = m_peers.try_emplace(peer);
    Peer &known = it->second;
    if (isNew || known.incarnation != incarnation)
        known.missingSince = Base::TimePoint();
    else if (!known.missingSince)
        known.missingSince = m_timers.now() - Constants::CANCEL_LOSS_MARGIN_MS;
    known.incarnation = incarnation;
    sendMissing();
}

void JobCancellation::peerDisconnected(const Base::DaemonId &peer)
{
    const auto it = m_peers.find(peer);
    if (it != m_peers.end() && !it->second.missingSince)
        it->second.missingSince = m_timers.now() - Constants::CANCEL_LOSS_MARGIN_MS;
    for (auto &[correlation, request] : m_requests) {
        if (!request.confirmed.contains(peer))
            request.asked.erase(peer);
    }
}

void JobCancellation::sendMissing()
{
    if (m_order.empty())
        return;
    const std::set<Base::DaemonId> reached = m_network.cancellationDaemons().reached;
    for (auto &[id, peer] : m_peers) {
        if (!peer.missingSince || !reached.contains(id))
            continue;
        std::vector<Wire::CancelledJobs> messages;
        std::size_t n = 0;
        for (auto it = m_order.rbegin(); it != m_order.rend() && it->added >= *peer.missingSince
                                         && n < Constants::MAX_CANCELS_PER_PEER;
             ++it, ++n) {
            if (n % Constants::MAX_CANCELS_PER_MESSAGE == 0)
                messages.emplace_back();
            messages.back().jobs.push_back(entryOf(it->job));
        }
        const bool isSent =
            std::all_of(messages.begin(), messages.end(), [this, &to = id](const auto &it) {
                return m_network.sendCancellation(to, it);
            });
        if (isSent)
            peer.missingSince.reset();
    }
}

void JobCancellation::checkRequests()
{
    if (m_requests.empty())
        return;
    const Daemons daemons = m_network.cancellationDaemons();
    std::vector<std::pair<std::uint64_t, CancelOutcome>> ended;
    for (auto &[correlation, request] : m_requests) {
        ask(correlation, request, daemons);
        if (const auto outcome = outcomeOf(request, daemons))
            ended.emplace_back(correlation, *outcome);
    }
    for (const auto &[correlation, outcome] : ended)
        finish(correlation, outcome);
}

void JobCancellation::tick()
{
    checkRequests();
    const Base::TimePoint now = m_timers.now();
    if (now - m_lastPrune < Constants::CANCEL_PRUNE_INTERVAL_MS)
        return;
    m_lastPrune = now;
    prune();
    sendMissing();
}

} // namespace Dispatch
