// Due times of unanswered orders.
#include "orderwatch.h"

#include <algorithm>
#include <utility>

namespace Dispatch {

/// One missed answer is usual where orders are lost; two in a row are not.
static constexpr int TOLERATED_MISSES = 1;
/// A check that runs this much late means that this process was held up, and that answers may have
/// arrived that it has not read.
static constexpr std::chrono::milliseconds LATE_CHECK_MS{10};
/// Time to read them.
static constexpr std::chrono::milliseconds READ_ANSWERS_MS{5};

void MeasuredOrderWatch::sent(const SentOrder &order)
{
    // The first repetition is due after the same time. Later ones are further and further apart,
    // so that executors that are cut off do not cost their owner thousands of orders a second.
    const int doublings = std::max(order.repeats - 1, 0);
    const Base::Duration limit = std::min<Base::Duration>(m_times.limit() * (1 << doublings),
                                                          Constants::MAX_ANSWER_LIMIT_MS);
    m_byDueTime.emplace(order.sent + order.wait + limit, Entry{order});
}

std::optional<Base::TimePoint> MeasuredOrderWatch::nextCheck() const
{
    if (m_byDueTime.empty())
        return std::nullopt;
    return m_byDueTime.begin()->first;
}

std::vector<SentOrder> MeasuredOrderWatch::takeOverdue(Base::TimePoint now)
{
    std::vector<SentOrder> overdue;
    while (!m_byDueTime.empty() && m_byDueTime.begin()->first <= now) {
        auto node = m_byDueTime.extract(m_byDueTime.begin());
        Entry &entry = node.mapped();
        if (!entry.isDeferred && now - node.key() >= LATE_CHECK_MS) {
            entry.isDeferred = true;
            node.key() = now + READ_ANSWERS_MS;
            m_byDueTime.insert(std::move(node));
            continue;
        }
        overdue.push_back(std::move(entry.order));
    }
    return overdue;
}

int MeasuredOrderWatch::toleratedMisses() const
{
    return TOLERATED_MISSES;
}

std::unique_ptr<OrderWatch> makeOrderWatch(OrderPolicy policy)
{
    switch (policy) {
    case OrderPolicy::FixedTimeout:
        break;
    case OrderPolicy::MeasuredTimeout:
        return std::make_unique<MeasuredOrderWatch>();
    }
    return std::make_unique<FixedOrderWatch>();
}

} // namespace Dispatch
