// Runs the dispatcher as a service of the daemon.
#pragma once

#include <dispatch/dispatchnode.h>
#include <kernel/service.h>
#include <peerlink/peerlink.h>
#include <settings/runtime.h>
#include <telemetry/telemetryservice.h>

#include <memory>

namespace DispatchService {

class DispatchServiceImpl : public Kernel::Service
{
public:
    /// \a executors must outlive the service.
    DispatchServiceImpl(const Settings::Runtime &runtime, Dispatch::ExecutorPort &executors,
                        const Dispatch::DispatchOptions &options = {});

    absl::Status start(const Kernel::ServiceRegistry &registry) override;
    void stop() override;

    /// Valid from start() on.
    Dispatch::DispatchNode &node() { return *m_node; }

private:
    void addGauges(Metrics::MetricsRegistry &metrics);

    const Settings::Runtime m_runtime;
    Dispatch::ExecutorPort &m_executors;
    const Dispatch::DispatchOptions m_options;
    std::unique_ptr<Dispatch::DispatchNode> m_node;
};

} // namespace DispatchService
