// Limit of the answer times from a quantile of the most recent ones.
#include "answertimes.h"

#include <algorithm>
#include <utility>

namespace Dispatch {

/// The limit is this multiple of the quantile: well above what is usual.
static constexpr double USUAL_QUANTILE = 0.99;
static constexpr double LIMIT_FACTOR = 1.5;
/// Answers per window; with 100 starts per second and group, a window lasts 5 s.
static constexpr std::uint64_t ANSWER_WINDOW = 512;
/// Fewer answers do not tell what is usual.
static constexpr std::uint64_t MIN_ANSWERS = 32;
/// The limit is computed once in this many answers, since a quantile costs a pass over the bins.
static constexpr std::uint64_t LIMIT_INTERVAL = 16;

void AnswerTimes::add(Base::Duration time)
{
    m_current->observe(time);
    if (m_current->count() % LIMIT_INTERVAL == 0)
        updateLimit();
    if (m_current->count() >= ANSWER_WINDOW)
        m_previous = std::exchange(m_current, std::make_unique<Metrics::LatencyHistogram>());
}

void AnswerTimes::updateLimit()
{
    if (m_current->count() + m_previous->count() < MIN_ANSWERS)
        return;
    Metrics::LatencyHistogram both;
    both.add(*m_current);
    both.add(*m_previous);
    const Base::Duration usual = both.quantile(USUAL_QUANTILE).value_or(Base::Duration(0));
    m_limit =
        std::clamp<Base::Duration>(std::chrono::duration_cast<Base::Duration>(usual * LIMIT_FACTOR),
                                   Constants::MIN_ANSWER_LIMIT_MS, Constants::MAX_ANSWER_LIMIT_MS);
}

} // namespace Dispatch
