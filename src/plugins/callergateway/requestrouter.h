// Brings each request to the daemon that may run it, here or elsewhere, and its answer back.
#pragma once

#include "requestcodec.h"

#include <cluster/clusterview.h>
#include <jobservice/jobservice.h>
#include <kernel/service.h>
#include <manifestservice/manifestservice.h>
#include <ownershipservice/ownershipservice.h>
#include <settings/runtime.h>
#include <wire/peerport.h>

#include <functional>
#include <map>
#include <string>

namespace CallerGateway {

/// Routes by the request's home. Forwarding is repeated under the same key until the caller's wait
/// ends, which is harmless, since the owner knows the key.
class RequestRouter : public Kernel::Service, public Wire::PeerListener
{
public:
    using AnswerCallback = std::function<void(const HttpAnswer &)>;

    explicit RequestRouter(const Settings::Runtime &runtime);

    absl::Status start(const Kernel::ServiceRegistry &registry) override;
    /// Waits until every caller that waits here has its answer.
    void drain(std::function<void()> done) override;

    void submit(std::string body, AnswerCallback callback);
    void query(const Base::RequestId &id, std::chrono::milliseconds wait, AnswerCallback callback);
    void cancel(const Base::RequestId &id, AnswerCallback callback);

    /// Callers that wait for an answer.
    std::size_t waitingCount() const { return m_routes.size(); }

    void peerMessageReceived(const Wire::PeerIdentity &from, const Wire::Message &message) override;
    void peerDisconnected(const Wire::PeerIdentity &peer) override;

private:
    using RouteId = Base::Number<struct RouteIdTag>;

    /// A caller's request that has not been answered.
    struct Route
    {
        Wire::ForwardOperation operation = Wire::ForwardOperation::Submit;
        Base::RequestId id;
        std::string body; // of a submission
        Jobs::Submission submission;
        Base::TimePoint waitEnd;       // when the caller is told "pending"
        Base::TimePoint deadline;      // of the request itself
        bool isFirst = false;          // the caller states that the key is new
        bool wasForwarded = false;     // a home daemon may know of it
        Base::DaemonId awaited;        // the daemon that was asked last; empty if none
        std::uint64_t correlation = 0; // of the message to it
        std::uint32_t attempts = 0;
        AnswerCallback callback;
    };

    void addRoute(Route route);
    void step(RouteId id);
    void stepLater(RouteId id);
    void askHere(RouteId id);
    void ask(RouteId id, const Base::DaemonId &daemon);
    void answer(RouteId id, const HttpAnswer &httpAnswer);
    void replied(RouteId id, const Jobs::Reply &reply);
    void giveUp(RouteId id);
    Base::DaemonId nextDaemon(const Base::ShardId &shard, std::uint32_t attempt) const;
    bool isLocal(const Jobs::Submission &submission) const;
    void serveForward(const Wire::PeerIdentity &from, const Wire::Forward &forward);
    void forwardReplied(const Wire::PeerIdentity &from, const Wire::ForwardReply &reply);

    const Settings::Runtime m_runtime;
    Wire::PeerPort *m_port = nullptr;
    Cluster::ClusterView *m_cluster = nullptr;
    ManifestService::ManifestHolder *m_manifest = nullptr;
    OwnershipService::OwnershipServiceImpl *m_ownership = nullptr;
    JobService::JobServiceImpl *m_jobs = nullptr;
    std::map<RouteId, Route> m_routes;
    std::map<std::uint64_t, RouteId> m_correlations; // of messages that await a reply
    RouteId m_lastRoute;
    std::uint64_t m_lastCorrelation = 0;
};

} // namespace CallerGateway
