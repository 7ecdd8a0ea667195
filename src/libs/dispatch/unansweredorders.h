// Looks for starts whose answer is overdue, and repeats stops and holds whose answer is. Keeps the
// time-outs of the requests, so that a late answer still counts. OrderWatch decides when an order
// is overdue; the group sends the orders.
#pragma once

#include "executorstate.h"
#include "orderwatch.h"

namespace Dispatch {

/// The part of a group that sends orders to executors.
class OrderSender
{
public:
    virtual ~OrderSender() = default;

    virtual ExecutorState *findExecutor(const ExecutorId &id) = 0;
    /// False after a pause, until it is known whether another daemon has claimed the group.
    virtual bool mayRepeatOrders() const = 0;
    virtual void stopRun(ExecutorState &executor, const TaskId &id, Run &run, int repeats) = 0;
    virtual void hold(ExecutorState &executor, bool isImmediate, int repeats) = 0;
};

/// Starts whose answer was overdue, and what became of them.
struct OverdueCounters
{
    std::uint64_t starts = 0;
    std::uint64_t listed = 0;     // a listing showed the run or its end
    std::uint64_t answered = 0;   // the answer came late
    std::uint64_t notStarted = 0; // proven not to have been carried out
};

/// One per owned group. A start is looked for in a listing on another connection. If it is not
/// there, the group stops its run; once the stop is accepted and a later listing lacks the run, it
/// can't start any more.
class UnansweredOrders
{
public:
    UnansweredOrders(OrderPolicy policy, Base::Timers &timers, OrderSender &sender);
    ~UnansweredOrders();

    /// Has to be called for each order.
    void sent(const SentOrder &order);
    /// The request for the start of \a run has ended.
    void startAnswered(Run &run, OrderOutcome outcome);
    /// \a run, or its end, is listed.
    void startListed(Run &run);
    /// Whether the time-out of the start adds nothing, since it is being looked for already.
    bool isLookedFor(const Run &run) const;
    /// Whether a listing is needed at once that proves that \a run, whose stop was accepted, has
    /// not started.
    bool isProofNeeded(const Run &run) const;
    /// Whether \a listing, which lacks \a run and was made after its stop was accepted, proves that
    /// it never started and never will.
    bool isNeverStarted(const ExecutorState &executor, const Run &run,
                        const HoldResult &listing) const;
    void startNotCarriedOut(const ExecutorState &executor, const TaskId &id, const Run &run);
    /// A hold was not answered or not carried out. Returns false if that does not matter, since the
    /// executor has answered a later one.
    bool holdMissed(ExecutorState &executor, std::uint64_t holdNumber, const OrderResult &result);

    /// How long a hold waits for an end.
    Base::Duration holdWait(const ExecutorState &executor) const;
    int toleratedMisses() const { return m_watch->toleratedMisses(); }
    const OverdueCounters &counters() const { return m_counters; }

private:
    void scheduleCheck();
    void check();
    void orderOverdue(ExecutorState &executor, const SentOrder &order);
    void startOverdue(ExecutorState &executor, const TaskId &id, Run &run);

    const std::unique_ptr<OrderWatch> m_watch;
    Base::Timers &m_timers;
    OrderSender &m_sender;
    // Set to false by the destructor: a check that is scheduled then is skipped.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    bool m_isCheckScheduled = false;
    OverdueCounters m_counters;
};

} // namespace Dispatch
