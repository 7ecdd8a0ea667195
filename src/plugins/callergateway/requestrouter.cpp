// Choice of the daemon, forwarding of requests and answers to callers.
#include "requestrouter.h"

#include <base/failure.h>
#include <base/log.h>
#include <base/softassert.h>
#include <kernel/servicenames.h>
#include <kernel/serviceregistry.h>
#include <peerlink/peerlink.h>

#include <algorithm>
#include <utility>

namespace CallerGateway {

using Base::FailureCode;
using Base::makeFailure;
using Wire::ForwardOperation;

/// Delay before a request is tried again, possibly at another daemon. A takeover takes longer than
/// several of these delays.
static constexpr std::chrono::milliseconds RETRY_DELAY_MS{50};
static constexpr std::chrono::milliseconds DRAIN_POLL_INTERVAL_MS{50};
/// Longer waits are forwarded in parts, so that a lost reply is detected.
static constexpr std::chrono::milliseconds MAX_FORWARD_WAIT_MS{2000};
static constexpr std::chrono::milliseconds REPLY_MARGIN_MS{1000};
/// After the deadline the outcome still has to be replicated and sent back.
static constexpr std::chrono::milliseconds OUTCOME_MARGIN_MS{2000};
/// A request that the caller states to be new is answered "not run" this long before the wait ends
/// if it could not be forwarded until then.
static constexpr std::chrono::milliseconds UNREACHABLE_MARGIN_MS{1500};

RequestRouter::RequestRouter(const Settings::Runtime &runtime)
    : m_runtime(runtime)
{}

absl::Status RequestRouter::start(const Kernel::ServiceRegistry &registry)
{
    namespace Names = Kernel::ServiceNames;
    auto *link = registry.find<PeerLink::PeerLinkService>(Names::PEER_LINK);
    m_cluster = registry.find<Cluster::ClusterView>(Names::CLUSTER);
    m_manifest = registry.find<ManifestService::ManifestHolder>(Names::MANIFEST);
    m_ownership = registry.find<OwnershipService::OwnershipServiceImpl>(Names::OWNERSHIP);
    m_jobs = registry.find<JobService::JobServiceImpl>(Names::JOBS);
    EP_ASSERT(link && m_cluster && m_manifest && m_ownership && m_jobs,
              return makeFailure(FailureCode::Internal, "request router: missing service"));
    m_port = link;
    link->addListener(this);
    return absl::OkStatus();
}

void RequestRouter::drain(std::function<void()> done)
{
    if (m_routes.empty()) {
        done();
        return;
    }
    m_runtime.timers.schedule(DRAIN_POLL_INTERVAL_MS,
                              [this, done = std::move(done)] { drain(done); });
}

bool RequestRouter::isLocal(const Jobs::Submission &submission) const
{
    const auto &manifest = m_manifest->current();
    const auto it = manifest->kinds.find(submission.kind);
    return it != manifest->kinds.end() && !it->second.job && it->second.repeatable
           && !submission.nonRepeatable;
}

void RequestRouter::submit(std::string body, AnswerCallback callback)
{
    if (!m_manifest->current()) {
        callback(makeErrorAnswer(FailureCode::Starting, "no manifest is in force yet"));
        return;
    }
    ParsedSubmission parsed;
    const absl::Status status = parseSubmission(body, m_runtime.settings.limits, parsed);
    if (!status.ok()) {
        callback(makeErrorAnswer(Base::failureCode(status), Base::failureMessage(status)));
        return;
    }
    const auto &kinds = m_manifest->current()->kinds;
    const auto kind = kinds.find(parsed.submission.kind);
    if (kind == kinds.end()) {
        callback(makeErrorAnswer(FailureCode::UnknownKind, "the manifest declares no such kind"));
        return;
    }
    const Base::TimePoint now = m_runtime.timers.now();
    const auto deadline =
        std::min(parsed.submission.deadline.value_or(kind->second.deadline), kind->second.deadline);
    Route route;
    route.operation = ForwardOperation::Submit;
    route.id = parsed.submission.id;
    route.deadline = now + deadline;
    route.waitEnd = now + parsed.wait.value_or(deadline + OUTCOME_MARGIN_MS);
    route.isFirst = parsed.isFirst;
    route.submission = std::move(parsed.submission);
    route.body = std::move(body);
    route.callback = std::move(callback);
    addRoute(std::move(route));
}

void RequestRouter::query(const Base::RequestId &id, std::chrono::milliseconds wait,
                          AnswerCallback callback)
{
    Route route;
    route.operation = ForwardOperation::Status;
    route.id = id;
    // Leaves time for a reply from another failure domain even if the caller does not want to wait.
    route.waitEnd = m_runtime.timers.now() + std::max(wait, REPLY_MARGIN_MS);
    route.deadline = m_runtime.timers.now() + wait;
    route.callback = std::move(callback);
    addRoute(std::move(route));
}

void RequestRouter::cancel(const Base::RequestId &id, AnswerCallback callback)
{
    Route route;
    route.operation = ForwardOperation::Cancel;
    route.id = id;
    route.waitEnd = m_runtime.timers.now() + MAX_FORWARD_WAIT_MS;
    route.deadline = route.waitEnd;
    route.callback = std::move(callback);
    addRoute(std::move(route));
}

void RequestRouter::addRoute(Route route)
{
    if (!m_manifest->current()) {
        route.callback(makeErrorAnswer(FailureCode::Starting, "no manifest is in force yet"));
        return;
    }
    m_lastRoute = m_lastRoute.next();
    const RouteId id = m_lastRoute;
    m_routes.emplace(id, std::move(route));
    advance(id);
}

void RequestRouter::retryLater(RouteId id)
{
    m_runtime.timers.schedule(RETRY_DELAY_MS, [this, id] { advance(id); });
}

void RequestRouter::advance(RouteId id)
{
    const auto it = m_routes.find(id);
    if (it == m_routes.end())
        return;
    Route &route = it->second;
    const Base::TimePoint now = m_runtime.timers.now();
    const bool isUnreachable = route.isFirst && !route.wasForwarded && route.attempts > 0
                               && now + UNREACHABLE_MARGIN_MS >= route.waitEnd;
    if (route.attempts > 0 && (now >= route.waitEnd || isUnreachable)) {
        answerHomeUnreachable(id);
        return;
    }
    const std::uint32_t attempt = route.attempts++;
    const bool isHeldHere = m_jobs->coordinator().store().find(route.id) != nullptr
                            && m_jobs->coordinator().store().find(route.id)->isAuthoritative();
    if (isHeldHere || (route.operation == ForwardOperation::Submit && isLocal(route.submission))) {
        handleLocally(id);
        return;
    }
    const Base::ShardId shard = Manifest::shardOf(*m_manifest->current(), route.id);
    if (shard.domain == m_runtime.settings.domain && m_ownership->leasedEpoch(shard.index)) {
        handleLocally(id);
        return;
    }
    const Base::DaemonId daemon = nextDaemon(shard, attempt);
    if (daemon.isEmpty()) {
        retryLater(id);
        return;
    }
    forwardTo(id, daemon);
}

Base::DaemonId RequestRouter::nextDaemon(const Base::ShardId &shard, std::uint32_t attempt) const
{
    const auto owner = m_cluster->ownerOf(shard);
    if (owner && m_port->isConnected(*owner))
        return *owner;
    // The other daemons of this failure domain know no more about the owner than this one.
    if (shard.domain == m_runtime.settings.domain)
        return {};
    const auto daemons = m_cluster->reachableDaemons(shard.domain);
    return daemons.empty() ? Base::DaemonId() : daemons[attempt % daemons.size()];
}

static Base::Duration forwardWait(Base::TimePoint now, Base::TimePoint waitEnd)
{
    return std::clamp<Base::Duration>(waitEnd - now, Base::Duration(0), MAX_FORWARD_WAIT_MS);
}

void RequestRouter::handleLocally(RouteId id)
{
    Route &route = m_routes.at(id);
    const Base::Duration wait = route.waitEnd - m_runtime.timers.now();
    const auto handler = [this, id](const Jobs::Reply &reply) { localReplyReceived(id, reply); };
    Jobs::Coordinator &coordinator = m_jobs->coordinator();
    switch (route.operation) {
    case ForwardOperation::Submit: {
        Jobs::Submission submission = route.submission;
        submission.deadline = std::chrono::milliseconds(
            Base::toMilliseconds(route.deadline - m_runtime.timers.now()));
        coordinator.submit(submission, wait, handler);
        return;
    }
    case ForwardOperation::Cancel:
        coordinator.cancel(route.id, handler);
        return;
    default:
        coordinator.query(route.id, route.deadline - m_runtime.timers.now(), handler);
        return;
    }
}

static bool shouldRetryAtOwner(FailureCode code)
{
    return code == FailureCode::NotOwner || code == FailureCode::NoLease
           || code == FailureCode::Starting;
}

void RequestRouter::localReplyReceived(RouteId id, const Jobs::Reply &reply)
{
    const auto it = m_routes.find(id);
    if (it == m_routes.end())
        return;
    if (shouldRetryAtOwner(Base::failureCode(reply.status))) {
        retryLater(id);
        return;
    }
    answer(id, makeAnswer(it->second.id, reply));
}

void RequestRouter::forwardTo(RouteId id, const Base::DaemonId &daemon)
{
    Route &route = m_routes.at(id);
    const Base::TimePoint now = m_runtime.timers.now();
    const Base::Duration wait = forwardWait(
        now, route.operation == ForwardOperation::Status ? route.deadline : route.waitEnd);
    const std::uint64_t correlation = ++m_lastCorrelation;
    Wire::Forward forward;
    forward.correlation = correlation;
    forward.operation = static_cast<std::uint8_t>(route.operation);
    forward.team = route.id.team.value();
    forward.key = route.id.key.value();
    forward.body = route.body;
    forward.waitMs = static_cast<std::uint64_t>(Base::toMilliseconds(wait));
    forward.budgetMs = static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, Base::toMilliseconds(route.deadline - now)));
    if (!m_port->send(daemon, forward)) {
        retryLater(id);
        return;
    }
    route.wasForwarded = true;
    route.awaitedDaemon = daemon;
    route.correlation = correlation;
    m_correlations[correlation] = id;
    m_runtime.timers.schedule(wait + REPLY_MARGIN_MS, [this, id, correlation] {
        if (m_correlations.erase(correlation) > 0)
            advance(id);
    });
}

void RequestRouter::forwardReplyReceived(const Wire::PeerIdentity &,
                                         const Wire::ForwardReply &reply)
{
    const auto correlation = m_correlations.find(reply.correlation);
    if (correlation == m_correlations.end())
        return;
    const RouteId id = correlation->second;
    m_correlations.erase(correlation);
    const auto it = m_routes.find(id);
    if (it == m_routes.end())
        return;
    it->second.awaitedDaemon = {};
    if (!reply.redirect.empty()) {
        const Base::DaemonId owner(reply.redirect);
        if (owner != m_runtime.settings.daemon && m_port->isConnected(owner)
            && it->second.attempts % 4 != 0) {
            ++it->second.attempts;
            forwardTo(id, owner);
            return;
        }
        retryLater(id);
        return;
    }
    const bool isPending = reply.status == 202;
    if (isPending && it->second.operation != ForwardOperation::Cancel
        && m_runtime.timers.now() < (it->second.operation == ForwardOperation::Status
                                         ? it->second.deadline
                                         : it->second.waitEnd)) {
        advance(id);
        return;
    }
    HttpAnswer httpAnswer;
    httpAnswer.status = reply.status;
    httpAnswer.body = reply.body;
    answer(id, httpAnswer);
}

void RequestRouter::peerDisconnected(const Wire::PeerIdentity &peer)
{
    std::vector<RouteId> affected;
    for (auto &[id, route] : m_routes) {
        if (route.awaitedDaemon != peer.daemon)
            continue;
        route.awaitedDaemon = {};
        m_correlations.erase(route.correlation);
        affected.push_back(id);
    }
    for (const RouteId it : affected)
        retryLater(it);
}

void RequestRouter::answerHomeUnreachable(RouteId id)
{
    const Route &route = m_routes.at(id);
    Jobs::Reply reply;
    reply.view.failure = FailureCode::HomeUnreachable;
    if (route.isFirst && !route.wasForwarded) {
        reply.view.state = Jobs::RequestState::NotRun;
        reply.view.message = "the request's home failure domain is unreachable; nothing was sent";
        reply.view.retryAfter = std::chrono::seconds(1);
    } else {
        reply.view.state = Jobs::RequestState::Pending;
        reply.view.message = "the request's home failure domain does not answer; ask again later";
    }
    answer(id, makeAnswer(route.id, reply));
}

void RequestRouter::answer(RouteId id, const HttpAnswer &httpAnswer)
{
    const auto it = m_routes.find(id);
    EP_ASSERT(it != m_routes.end(), return);
    const AnswerCallback callback = std::move(it->second.callback);
    m_correlations.erase(it->second.correlation);
    m_routes.erase(it);
    callback(httpAnswer);
}

void RequestRouter::peerMessageReceived(const Wire::PeerIdentity &from,
                                        const Wire::Message &message)
{
    if (const auto *forward = std::get_if<Wire::Forward>(&message))
        forwardReceived(from, *forward);
    else if (const auto *reply = std::get_if<Wire::ForwardReply>(&message))
        forwardReplyReceived(from, *reply);
}

void RequestRouter::forwardReceived(const Wire::PeerIdentity &from, const Wire::Forward &forward)
{
    const Base::RequestId id{Base::TeamId(forward.team), Base::RequestKey(forward.key)};
    const auto handler = [this, id, peer = from.daemon,
                          correlation = forward.correlation](const Jobs::Reply &reply) {
        Wire::ForwardReply message;
        message.correlation = correlation;
        const HttpAnswer httpAnswer = makeAnswer(id, reply);
        message.status = static_cast<std::uint16_t>(httpAnswer.status);
        message.body = httpAnswer.body;
        if (shouldRetryAtOwner(Base::failureCode(reply.status))) {
            const auto owner =
                m_manifest->current()
                    ? m_cluster->ownerOf(Manifest::shardOf(*m_manifest->current(), id))
                    : std::nullopt;
            // The forwarding daemon retries, at the same daemon or at another one.
            message.redirect = owner.value_or(m_runtime.settings.daemon).value();
        }
        m_port->send(peer, message);
    };
    const std::chrono::milliseconds wait(forward.waitMs);
    Jobs::Coordinator &coordinator = m_jobs->coordinator();
    switch (static_cast<ForwardOperation>(forward.operation)) {
    case ForwardOperation::Submit: {
        ParsedSubmission parsed;
        const absl::Status status =
            parseSubmission(forward.body, m_runtime.settings.limits, parsed);
        if (!status.ok() || parsed.submission.id != id) {
            handler({status.ok()
                         ? makeFailure(FailureCode::BadRequest, "malformed forwarded request")
                         : status,
                     {}});
            return;
        }
        parsed.submission.deadline = std::chrono::milliseconds(forward.budgetMs);
        coordinator.submit(parsed.submission, wait, handler);
        return;
    }
    case ForwardOperation::Status:
        coordinator.query(id, wait, handler);
        return;
    case ForwardOperation::Cancel:
        coordinator.cancel(id, handler);
        return;
    case ForwardOperation::Tickets:
        break;
    }
    handler({makeFailure(FailureCode::BadRequest, "unknown operation in a forwarded request"), {}});
}

} // namespace CallerGateway
