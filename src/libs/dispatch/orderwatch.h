// Decides when orders to executors that have not been answered are overdue. Sends nothing: the
// group looks for an overdue start in a listing, and repeats overdue stops and listings.
// Load: 6 % of the orders are not answered. Without this a task waits 200 ms for the time-out of
// its start, ten times the run time of the shortest tasks with the listing and the stop after it.
#pragma once

#include "answertimes.h"
#include "dispatchoptions.h"
#include "dispatchtypes.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Dispatch {

enum class OrderKind { Start, Stop, ImmediateHold, WaitingHold };

struct SentOrder
{
    OrderKind kind = OrderKind::Start;
    ExecutorId executor;
    TaskId task;   // of a start or stop
    RunNumber run; // of a start or stop
    std::uint64_t holdNumber = 0;
    Base::TimePoint sent;
    Base::Duration wait{0}; // for which the executor may hold back its answer
    int repeats = 0;        // of the same order that were sent before
};

/// One per owned group. Whether an order has been answered is known to the group, so answered
/// orders stay here until they would be overdue.
class OrderWatch
{
public:
    virtual ~OrderWatch() = default;

    virtual void sent(const SentOrder &order) = 0;
    /// A start was answered after \a time.
    virtual void startAnswered(Base::Duration time) = 0;
    /// When takeOverdue() has to be called next.
    virtual std::optional<Base::TimePoint> nextCheck() const = 0;
    /// Removes and returns the orders that are overdue unless they have been answered.
    virtual std::vector<SentOrder> takeOverdue(Base::TimePoint now) = 0;
    /// How many orders in a row an executor may leave unanswered on healthy connections and still
    /// get tasks.
    virtual int toleratedMisses() const = 0;
    /// Whether overdue orders are looked for before their requests time out.
    bool isMeasured() const { return toleratedMisses() > 0; }
};

/// Leaves unanswered orders to the time-out of their requests.
class FixedOrderWatch : public OrderWatch
{
public:
    void sent(const SentOrder &) override {}
    void startAnswered(Base::Duration) override {}
    std::optional<Base::TimePoint> nextCheck() const override { return std::nullopt; }
    std::vector<SentOrder> takeOverdue(Base::TimePoint) override { return {}; }
    int toleratedMisses() const override { return 0; }
};

/// Derives from the measured times of answers when an order is overdue.
class MeasuredOrderWatch : public OrderWatch
{
public:
    void sent(const SentOrder &order) override;
    void startAnswered(Base::Duration time) override { m_times.add(time); }
    std::optional<Base::TimePoint> nextCheck() const override;
    std::vector<SentOrder> takeOverdue(Base::TimePoint now) override;
    int toleratedMisses() const override;

private:
    struct Entry
    {
        SentOrder order;
        bool isDeferred = false; // has been given time for answers that were not read yet
    };

    AnswerTimes m_times;
    std::multimap<Base::TimePoint, Entry> m_byDueTime;
};

std::unique_ptr<OrderWatch> makeOrderWatch(OrderPolicy policy);

} // namespace Dispatch
