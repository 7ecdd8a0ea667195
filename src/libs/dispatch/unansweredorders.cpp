// Checks for overdue orders, and what follows from a missed answer.
#include "unansweredorders.h"

#include "dispatchconstants.h"

#include <base/log.h>

#include <algorithm>
#include <utility>

namespace Dispatch {

using Base::LogLevel;

UnansweredOrders::UnansweredOrders(OrderPolicy policy, Base::Timers &timers, OrderSender &sender)
    : m_watch(makeOrderWatch(policy))
    , m_timers(timers)
    , m_sender(sender)
{}

UnansweredOrders::~UnansweredOrders()
{
    *m_isAlive = false;
}

void UnansweredOrders::sent(const SentOrder &order)
{
    m_watch->sent(order);
    scheduleCheck();
}

void UnansweredOrders::startAnswered(Run &run, OrderOutcome outcome)
{
    if (outcome == OrderOutcome::Unknown)
        return;
    if (outcome != OrderOutcome::NotSent)
        m_watch->startAnswered(m_timers.now() - run.sent);
    if (std::exchange(run.isOverdue, false))
        ++m_counters.answered;
}

void UnansweredOrders::startListed(Run &run)
{
    if (!std::exchange(run.isOverdue, false))
        return;
    ++m_counters.listed;
    run.isStartKnown = false;
    run.since = m_timers.now();
}

bool UnansweredOrders::isLookedFor(const Run &run) const
{
    return m_watch->isMeasured() && run.state != RunState::Starting;
}

bool UnansweredOrders::isProofNeeded(const Run &run) const
{
    return m_watch->isMeasured() && !run.isConfirmed;
}

/// A start that was sent to an earlier lifetime may have been accepted by it and lost with it. The
/// end of the run may be missing in a full listing.
bool UnansweredOrders::isNeverStarted(const ExecutorState &executor, const Run &run,
                                      const HoldResult &listing) const
{
    return m_watch->isMeasured() && run.isStopAccepted && !run.isConfirmed
           && run.lifetime == executor.lifetime()
           && listing.ended.size() < Constants::MAX_LISTED_ENDS;
}

void UnansweredOrders::startNotCarriedOut(const ExecutorState &executor, const TaskId &id,
                                          const Run &run)
{
    if (run.isOverdue)
        ++m_counters.notStarted;
    Base::log(LogLevel::Info, "startNotCarriedOut",
              {{"task", toString(id)},
               {"run", run.number},
               {"executor", executor.info().id},
               {"elapsed", m_timers.now() - run.sent}});
}

bool UnansweredOrders::holdMissed(ExecutorState &executor, std::uint64_t holdNumber,
                                  const OrderResult &result)
{
    const Base::TimePoint now = m_timers.now();
    const bool isConclusive = result.outcome != OrderOutcome::Unknown || result.isDisconnected;
    if (m_watch->isMeasured() && !isConclusive && holdNumber < executor.lastAnsweredHold)
        return false;
    const bool wasSilent = executor.isSilent();
    executor.answerMissed(now, isConclusive);
    executor.isDisconnected |= result.isDisconnected;
    executor.nextTry = now + Constants::HOLD_RETRY_MS;
    if (!executor.isSilent()) {
        Base::log(LogLevel::Info, "answerMissed",
                  {{"executor", executor.info().id}, {"runs", executor.runs().size()}});
        // The second miss in a row takes it out of service, so the answer is needed soon.
        if (!executor.isImmediateHoldPending)
            m_sender.hold(executor, true, 0);
    } else if (!wasSilent) {
        Base::log(LogLevel::Warning, "executorSilent",
                  {{"executor", executor.info().id},
                   {"outcome", static_cast<int>(result.outcome)},
                   {"disconnected", result.isDisconnected ? 1 : 0},
                   {"runs", executor.runs().size()}});
    }
    return true;
}

/// Until a hold is overdue nothing is known of the ends that its answer would have listed, so it
/// waits hardly longer than until the next end is expected.
Base::Duration UnansweredOrders::holdWait(const ExecutorState &executor) const
{
    if (!m_watch->isMeasured())
        return Constants::HOLD_WAIT_MS;
    const Base::TimePoint now = m_timers.now();
    Base::Duration wait = Constants::HOLD_WAIT_MS;
    for (const auto &[task, run] : executor.runs()) {
        if (run.expected.count() == 0)
            continue;
        const Base::Duration elapsed = now - run.since;
        // The longer a run exceeds its expected time, the less is known of its end.
        const Base::Duration left =
            std::max(run.expected + Constants::MIN_ANSWER_LIMIT_MS - elapsed, elapsed / 2);
        wait = std::min(wait, left);
    }
    return std::max<Base::Duration>(wait, Constants::MIN_HOLD_WAIT_MS);
}

void UnansweredOrders::scheduleCheck()
{
    const std::optional<Base::TimePoint> next = m_watch->nextCheck();
    if (!next || m_isCheckScheduled)
        return;
    m_isCheckScheduled = true;
    const Base::Duration delay =
        std::max<Base::Duration>(*next - m_timers.now(), Constants::OVERDUE_CHECK_MS);
    m_timers.schedule(delay, [this, alive = m_isAlive] {
        if (*alive)
            check();
    });
}

void UnansweredOrders::check()
{
    m_isCheckScheduled = false;
    if (m_sender.mayRepeatOrders()) {
        for (const SentOrder &it : m_watch->takeOverdue(m_timers.now())) {
            if (ExecutorState *executor = m_sender.findExecutor(it.executor))
                orderOverdue(*executor, it);
        }
    }
    scheduleCheck();
}

/// Does nothing if the order has been answered. Executors that are out of service get no early
/// repetitions; tick() sends them what they need.
void UnansweredOrders::orderOverdue(ExecutorState &executor, const SentOrder &order)
{
    Run *run = executor.find(order.task);
    const bool isOfRun = run && run->number == order.run;
    const bool isRepeatable = order.repeats < Constants::MAX_EARLY_REPEATS && !executor.isSilent();
    switch (order.kind) {
    case OrderKind::Start:
        if (isOfRun && run->state == RunState::Starting)
            startOverdue(executor, order.task, *run);
        return;
    case OrderKind::Stop:
        if (isOfRun && isRepeatable && run->state == RunState::Stopping && !run->isStopAccepted
            && run->stopSent == order.sent) {
            m_sender.stopRun(executor, order.task, *run, order.repeats + 1);
        }
        return;
    case OrderKind::ImmediateHold:
        if (isRepeatable && executor.isImmediateHoldPending
            && executor.lastImmediateHold == order.holdNumber && executor.hasOpenStart()) {
            m_sender.hold(executor, true, order.repeats + 1);
        }
        return;
    case OrderKind::WaitingHold:
        if (isRepeatable && executor.isWaitingHoldPending && executor.missedAnswers == 0
            && executor.lastWaitingHold == order.holdNumber && !executor.runs().empty()) {
            m_sender.hold(executor, false, order.repeats + 1);
        }
        return;
    }
}

void UnansweredOrders::startOverdue(ExecutorState &executor, const TaskId &id, Run &run)
{
    ++m_counters.starts;
    Base::log(LogLevel::Info, "startOverdue",
              {{"task", toString(id)},
               {"run", run.number},
               {"executor", executor.info().id},
               {"elapsed", m_timers.now() - run.sent}});
    run.state = RunState::Unresolved;
    run.isOverdue = true;
    // A listing that was requested after the start was sent serves as well.
    if (!executor.isImmediateHoldPending || executor.immediateHoldSent < run.sent)
        m_sender.hold(executor, true, 0);
    run.visibleFrom = executor.lastImmediateHold;
}

} // namespace Dispatch
