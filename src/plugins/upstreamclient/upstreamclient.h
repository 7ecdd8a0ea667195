// Requests to workers over HTTP.
#pragma once

#include <http/client.h>
#include <jobs/workerport.h>
#include <kernel/service.h>
#include <settings/runtime.h>

#include <map>
#include <string>

namespace UpstreamClient {

/// Client of the worker protocol of docs/protocols.md. The manifest in force lists the upstreams.
class UpstreamClientService : public Kernel::Service, public Jobs::WorkerPort
{
public:
    explicit UpstreamClientService(const Settings::Runtime &runtime);

    using Jobs::WorkerPort::start;
    using Kernel::Service::stop;

    absl::Status start(const Kernel::ServiceRegistry &registry) override;

    void start(const Base::UpstreamId &upstream, const Jobs::StartOrder &order,
               StartCallback callback) override;
    void awaitTask(const Base::UpstreamId &upstream, const Jobs::TaskName &task,
                   Base::Duration wait, ReportsCallback callback) override;
    void revoke(const Base::UpstreamId &upstream, const std::vector<Jobs::TaskName> &tasks,
                ReportsCallback callback) override;
    void stop(const Base::UpstreamId &upstream, const std::vector<Jobs::TaskName> &tasks) override;
    void fence(const Base::UpstreamId &upstream, const Base::ShardId &shard, Base::Epoch epoch,
               FenceCallback callback) override;

private:
    Http::ClientRequest makeRequest(const Base::UpstreamId &upstream, std::string_view method,
                                    std::string_view path) const;

    Http::Client m_client;
    std::map<Base::UpstreamId, std::string> m_urls; // including upstreams removed from the manifest
};

} // namespace UpstreamClient
