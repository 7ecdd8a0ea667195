// Interface for sending orders to executors, and the results of the orders.
#pragma once

#include "dispatchtypes.h"

#include <functional>
#include <optional>

namespace Dispatch {

/// Time on the steady clock of one executor.
using ExecutorTime = std::chrono::milliseconds;

enum class OrderOutcome {
    Accepted,
    Refused,       ///< Certainly not carried out; see RefusalReason.
    Unhealthy,     ///< Certainly not carried out; the executor takes no orders at present.
    OtherLifetime, ///< Certainly not carried out; another lifetime answered.
    NotSent,       ///< Certainly not carried out; no connection.
    Unconfirmed,   ///< Certainly not carried out; see ExecutorPort.
    Unknown,       ///< May have been carried out, or may still be, seconds later.
};

enum class RefusalReason {
    None,
    Fenced,       ///< A higher token was seen.
    OldRun,       ///< This run of the task or a higher one has ended or was stopped there.
    LeaseExpired, ///< The lease in the order had expired on arrival.
    NoResources,
    Other, ///< The order itself, as far as is known.
};

struct OrderResult
{
    OrderOutcome outcome = OrderOutcome::Unknown;
    RefusalReason refusal = RefusalReason::None;
    std::optional<ExecutorTime> clock; // when the answer was sent
    /// If OtherLifetime: the one that answered; 0 if not stated.
    Lifetime lifetime;
    /// There is no answer since the executor closed, reset or refused the connection.
    bool isDisconnected = false;
};

struct StartOrder
{
    TaskId task;
    RunNumber run;
    std::string payload;
    std::optional<ExecutorTime> leaseEnd; // of everything that runs on the executor
    FencingToken token;
    Lifetime lifetime; // for which the order is meant; 0: any
};

struct StopOrder
{
    TaskId task;
    RunNumber run;
    FencingToken token;
    Lifetime lifetime; // for which the order is meant; 0: any
};

/// Extends the lease, acknowledges ends, and lists the active runs and the ends since.
struct HoldOrder
{
    std::optional<ExecutorTime> leaseEnd; // no value: the lease is not changed
    FencingToken token;
    EndSequence seenUpTo;   // ends up to this one are acknowledged, and deleted there
    Base::Duration wait{0}; // how long the answer may wait for an end
};

struct ListedRun
{
    TaskId task;
    RunNumber run;
};

struct ListedEnd
{
    EndSequence sequence;
    TaskId task;
    RunNumber run;
    RunEnd end = RunEnd::Done;
};

struct HoldResult
{
    OrderResult order;
    Lifetime lifetime; // 0 if not stated
    std::vector<ListedRun> running;
    std::vector<ListedEnd> ended; // in ascending order of the sequence
};

/// Sends orders. Each callback runs exactly once, on the event loop and never from within the call.
/// An executor that restarts keeps its id and address, and carries out what was meant for its
/// earlier lifetime. A connection leads to one lifetime only, which a hold on it states. A start or
/// stop that is meant for a lifetime is sent over a connection to that one, or ends as Unconfirmed
/// if none is idle; after a hold there is one, unless another order uses it.
class ExecutorPort
{
public:
    using OrderCallback = std::function<void(const OrderResult &)>;
    using HoldCallback = std::function<void(const HoldResult &)>;

    virtual ~ExecutorPort() = default;

    virtual void startTask(const ExecutorInfo &executor, const StartOrder &order,
                           OrderCallback callback) = 0;
    virtual void stopTask(const ExecutorInfo &executor, const StopOrder &order,
                          OrderCallback callback) = 0;
    virtual void hold(const ExecutorInfo &executor, const HoldOrder &order,
                      HoldCallback callback) = 0;
};

} // namespace Dispatch
