// Routes each request to the daemon that may run it, local or remote, and returns the answer.
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

/// Routes by the request's home shard. Forwarding is retried under the same key until the caller's
/// wait ends; this is safe, since the owner detects duplicates by the key.
class RequestRouter : public Kernel::Service, public Wire::PeerListener
{
public:
    using AnswerCallback = std::function<void(const HttpAnswer &)>;

    explicit RequestRouter(const Settings::Runtime &runtime);

    absl::Status start(const Kernel::ServiceRegistry &registry) override;
    /// Waits until all callers of this daemon have been answered.
    void drain(std::function<void()> done) override;

    void submit(std::string body, AnswerCallback callback);
    void query(const Base::RequestId &id, std::chrono::milliseconds wait, AnswerCallback callback);
    void cancel(const Base::RequestId &id, AnswerCallback callback);

    /// Returns the number of callers that wait for an answer.
    std::size_t waitingCount() const { return m_routes.size(); }

    void peerMessageReceived(const Wire::PeerIdentity &from, const Wire::Message &message) override;
    void peerDisconnected(const Wire::PeerIdentity &peer) override;

private:
    using RouteId = Base::Number<struct RouteIdTag>;

    /// A request of a caller that has not been answered yet.
    struct Route
    {
        Wire::ForwardOperation operation = Wire::ForwardOperation::Submit;
        Base::RequestId id;
        std::string body; // of a submission
        Jobs::Submission submission;
        Base::TimePoint waitEnd;       // when the caller is answered "pending"
        Base::TimePoint deadline;      // of the request itself
        bool isFirst = false;          // the caller states that the key is new
        bool wasForwarded = false;     // a daemon of the home domain may have received it
        Base::DaemonId awaitedDaemon;  // last forwarded to; empty once it replied or disconnected
        std::uint64_t correlation = 0; // of the last forwarded message
        std::uint32_t attempts = 0;
        AnswerCallback callback;
    };

    void addRoute(Route route);
    void advance(RouteId id);
    void retryLater(RouteId id);
    void handleLocally(RouteId id);
    void forwardTo(RouteId id, const Base::DaemonId &daemon);
    void answer(RouteId id, const HttpAnswer &httpAnswer);
    void localReplyReceived(RouteId id, const Jobs::Reply &reply);
    void answerHomeUnreachable(RouteId id);
    Base::DaemonId nextDaemon(const Base::ShardId &shard, std::uint32_t attempt) const;
    bool isLocal(const Jobs::Submission &submission) const;
    void forwardReceived(const Wire::PeerIdentity &from, const Wire::Forward &forward);
    void forwardReplyReceived(const Wire::PeerIdentity &from, const Wire::ForwardReply &reply);

    const Settings::Runtime m_runtime;
    Wire::PeerPort *m_port = nullptr;
    Cluster::ClusterView *m_cluster = nullptr;
    ManifestService::ManifestHolder *m_manifest = nullptr;
    OwnershipService::OwnershipServiceImpl *m_ownership = nullptr;
    JobService::JobServiceImpl *m_jobs = nullptr;
    std::map<RouteId, Route> m_routes;
    std::map<std::uint64_t, RouteId> m_correlations; // of forwarded messages that await a reply
    RouteId m_lastRoute;
    std::uint64_t m_lastCorrelation = 0;
};

} // namespace CallerGateway
