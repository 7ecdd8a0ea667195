// Port through which starts and stops reach only the lifetime of an executor that they are meant
// for.
#pragma once

#include "executorport.h"

#include <cstdint>
#include <memory>

namespace Dispatch {

/// Counters since the start of the daemon.
struct LifetimeGuardCounters
{
    std::uint64_t confirmations = 0; // holds that were sent to learn the lifetime
    std::uint64_t withheld = 0;      // orders that were not sent, since another lifetime was there
};

/// Sends an order for which the port has no connection to its lifetime once a hold has confirmed
/// one. If another lifetime answers, the order ends as OtherLifetime; if the executor does not
/// state its lifetime, the order is sent to whichever is there. Lives on the event loop.
class LifetimeGuard : public ExecutorPort
{
public:
    /// \a port must outlive the guard.
    explicit LifetimeGuard(ExecutorPort &port);
    /// The callbacks of orders that have not ended yet are not called.
    ~LifetimeGuard() override;

    void startTask(const ExecutorInfo &executor, const StartOrder &order,
                   OrderCallback callback) override;
    void stopTask(const ExecutorInfo &executor, const StopOrder &order,
                  OrderCallback callback) override;
    void hold(const ExecutorInfo &executor, const HoldOrder &order, HoldCallback callback) override;

    const LifetimeGuardCounters &counters() const { return m_counters; }

private:
    struct PendingOrder;

    void send(const std::shared_ptr<PendingOrder> &order);
    void confirm(const std::shared_ptr<PendingOrder> &order);
    void confirmed(const std::shared_ptr<PendingOrder> &order, const HoldResult &result);

    ExecutorPort &m_port;
    LifetimeGuardCounters m_counters;
    // Set to false by the destructor: answers that arrive later are ignored.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace Dispatch
