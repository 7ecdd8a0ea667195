// Orders that wait for the confirmation of a lifetime.
#include "lifetimeguard.h"

#include "dispatchconstants.h"

#include <base/log.h>

#include <utility>

namespace Dispatch {

struct LifetimeGuard::PendingOrder
{
    ExecutorInfo executor;
    FencingToken token;
    Lifetime lifetime; // for which it is meant; 0: any
    std::function<void(const PendingOrder &, OrderCallback)> send;
    OrderCallback callback;
    int confirmations = 0;
};

LifetimeGuard::LifetimeGuard(ExecutorPort &port)
    : m_port(port)
{}

LifetimeGuard::~LifetimeGuard()
{
    *m_isAlive = false;
}

void LifetimeGuard::startTask(const ExecutorInfo &executor, const StartOrder &order,
                              OrderCallback callback)
{
    send(std::make_shared<PendingOrder>(PendingOrder{
        executor, order.token, order.lifetime,
        [this, order = order](const PendingOrder &pending, OrderCallback answered) mutable {
            order.lifetime = pending.lifetime;
            m_port.startTask(pending.executor, order, std::move(answered));
        },
        std::move(callback)}));
}

void LifetimeGuard::stopTask(const ExecutorInfo &executor, const StopOrder &order,
                             OrderCallback callback)
{
    send(std::make_shared<PendingOrder>(PendingOrder{
        executor, order.token, order.lifetime,
        [this, order = order](const PendingOrder &pending, OrderCallback answered) mutable {
            order.lifetime = pending.lifetime;
            m_port.stopTask(pending.executor, order, std::move(answered));
        },
        std::move(callback)}));
}

void LifetimeGuard::hold(const ExecutorInfo &executor, const HoldOrder &order,
                         HoldCallback callback)
{
    m_port.hold(executor, order, std::move(callback));
}

void LifetimeGuard::send(const std::shared_ptr<PendingOrder> &order)
{
    order->send(*order, [this, alive = m_isAlive, order](const OrderResult &result) {
        if (!*alive)
            return;
        if (result.outcome == OrderOutcome::Unconfirmed)
            confirm(order);
        else
            order->callback(result);
    });
}

void LifetimeGuard::confirm(const std::shared_ptr<PendingOrder> &order)
{
    // Each time, another order has taken the confirmed connection.
    if (order->confirmations == Constants::MAX_CONFIRMATIONS) {
        OrderResult result;
        result.outcome = OrderOutcome::Unhealthy;
        order->callback(result);
        return;
    }
    ++order->confirmations;
    ++m_counters.confirmations;
    // Acknowledges no ends and grants no lease, since another lifetime may receive it.
    HoldOrder hold;
    hold.token = order->token;
    m_port.hold(order->executor, hold, [this, alive = m_isAlive, order](const HoldResult &result) {
        if (*alive)
            confirmed(order, result);
    });
}

/// The result of an order that was not sent, as the hold that was to confirm the lifetime failed.
static OrderResult resultWithoutOrder(const HoldResult &confirmation)
{
    OrderResult result;
    result.outcome = confirmation.order.outcome;
    result.refusal = confirmation.order.refusal;
    result.lifetime = confirmation.lifetime;
    result.isDisconnected = confirmation.order.isDisconnected;
    if (result.outcome == OrderOutcome::Refused && result.refusal != RefusalReason::Fenced) {
        // It was the hold that was refused, not the order.
        result.outcome = OrderOutcome::Unhealthy;
        result.refusal = RefusalReason::None;
    } else if (result.outcome == OrderOutcome::Unknown) {
        result.outcome = result.isDisconnected ? OrderOutcome::NotSent : OrderOutcome::Unhealthy;
    }
    return result;
}

void LifetimeGuard::confirmed(const std::shared_ptr<PendingOrder> &order, const HoldResult &result)
{
    if (result.order.outcome != OrderOutcome::Accepted) {
        order->callback(resultWithoutOrder(result));
        return;
    }
    if (result.lifetime.value() == 0 || result.lifetime == order->lifetime) {
        order->lifetime = result.lifetime;
        send(order);
        return;
    }
    ++m_counters.withheld;
    Base::log(Base::LogLevel::Info, "orderWithheld",
              {{"executor", order->executor.id},
               {"meantFor", order->lifetime},
               {"lifetime", result.lifetime}});
    OrderResult other;
    other.outcome = OrderOutcome::OtherLifetime;
    other.lifetime = result.lifetime;
    order->callback(other);
}

} // namespace Dispatch
