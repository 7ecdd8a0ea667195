// Orders to executors and what they answer.
#pragma once

#include "dispatchtypes.h"

#include <functional>
#include <optional>

namespace Dispatch {

/// Time on one executor's own steady clock.
using ExecutorTime = std::chrono::milliseconds;

enum class OrderOutcome {
    Accepted,
    Refused,       ///< Certainly not carried out; see the reason.
    Unhealthy,     ///< Certainly not carried out; the executor takes no orders now.
    OtherLifetime, ///< Certainly not carried out; another lifetime answered.
    NotSent,       ///< Certainly not carried out; no connection.
    Unknown,       ///< May have been carried out, or may be, seconds later.
};

enum class RefusalReason {
    None,
    Fenced,       ///< A higher token was seen.
    OldRun,       ///< This run or a higher one was ended or stopped there.
    LeaseExpired, ///< The lease of the order had passed on arrival.
    NoRoom,
    Other,
};

struct OrderResult
{
    OrderOutcome outcome = OrderOutcome::Unknown;
    RefusalReason refusal = RefusalReason::None;
    std::optional<ExecutorTime> clock; // when the answer was sent
};

struct StartOrder
{
    TaskId task;
    RunNumber run;
    std::string payload;
    std::optional<ExecutorTime> leaseEnd; // of everything that runs on the executor
    FencingToken token;
};

struct StopOrder
{
    TaskId task;
    RunNumber run;
    FencingToken token;
};

/// Prolongs the lease, forgets ends and lists what runs and what has ended.
struct HoldOrder
{
    std::optional<ExecutorTime> leaseEnd; // no value: leaves the lease as it is
    FencingToken token;
    EndSequence seenUpTo;   // ends up to this one are forgotten
    Base::Duration wait{0}; // the answer waits this long for an end
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
    std::vector<ListedEnd> ended; // in rising order of their sequence
};

/// Sends orders. Callbacks run on the loop, never from within the call, and exactly once.
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
