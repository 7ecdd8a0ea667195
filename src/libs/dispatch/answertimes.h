// Learns how long executors take to answer starts, as seen by the owner of their group, and derives
// from it when an answer is overdue. The times include the owner's own lag.
// Load: executors of the board and tracking deployments leave 6 % of their orders unanswered and
// carry them out up to seconds later, while owners run on 0.09 to 0.5 of a core and read answers
// late.
#pragma once

#include "dispatchconstants.h"

#include <metrics/latencyhistogram.h>

#include <memory>

namespace Dispatch {

/// Orders that are never answered are not counted, so they do not move the limit.
class AnswerTimes
{
public:
    void add(Base::Duration time);
    /// Well above the usual time; MAX_ANSWER_LIMIT_MS until enough answers are known.
    Base::Duration limit() const { return m_limit; }

private:
    void updateLimit();

    // Two windows of ANSWER_WINDOW answers, so that old answers are forgotten.
    std::unique_ptr<Metrics::LatencyHistogram> m_current =
        std::make_unique<Metrics::LatencyHistogram>();
    std::unique_ptr<Metrics::LatencyHistogram> m_previous =
        std::make_unique<Metrics::LatencyHistogram>();
    Base::Duration m_limit = Constants::MAX_ANSWER_LIMIT_MS;
};

} // namespace Dispatch
