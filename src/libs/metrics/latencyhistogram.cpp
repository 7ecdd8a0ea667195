// Histogram of durations, based on Boost.Histogram.
#include "latencyhistogram.h"

#include "metricsconstants.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Metrics {

namespace BH = boost::histogram;
using Axis = BH::axis::regular<double, BH::axis::transform::log>;
using Histogram = BH::histogram<std::tuple<Axis>, BH::dense_storage<std::uint64_t>>;

static constexpr int BINS = Constants::HISTOGRAM_DECADES * Constants::BINS_PER_DECADE;

struct LatencyHistogram::Private
{
    Histogram histogram{
        std::tuple(Axis(BINS, Constants::HISTOGRAM_MIN_S, Constants::HISTOGRAM_MAX_S))};
};

LatencyHistogram::LatencyHistogram()
    : m_d(std::make_unique<Private>())
{}

LatencyHistogram::LatencyHistogram(LatencyHistogram &&other) noexcept = default;
LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::observe(Base::Duration duration)
{
    // The logarithmic axis needs x >= 0.
    const double seconds = std::max(std::chrono::duration<double>(duration).count(), 0.0);
    m_d->histogram(seconds);
    ++m_count;
    m_sumS += seconds;
}

void LatencyHistogram::add(const LatencyHistogram &other)
{
    m_d->histogram += other.m_d->histogram;
    m_count += other.m_count;
    m_sumS += other.m_sumS;
}

static Base::Duration toDuration(double seconds)
{
    return Base::Duration(std::llround(seconds * 1e9));
}

std::optional<Base::Duration> LatencyHistogram::quantile(double q) const
{
    if (m_count == 0)
        return std::nullopt;
    const Axis &axis = m_d->histogram.axis();
    const double rank = std::clamp(q, 0.0, 1.0) * static_cast<double>(m_count);
    double below = static_cast<double>(m_d->histogram.at(-1));
    if (below > 0 && rank <= below)
        return toDuration(Constants::HISTOGRAM_MIN_S);
    for (int bin = 0; bin < BINS; ++bin) {
        const auto n = static_cast<double>(m_d->histogram.at(bin));
        if (n > 0 && rank <= below + n)
            return toDuration(axis.value(bin + std::max(rank - below, 0.0) / n));
        below += n;
    }
    return toDuration(Constants::HISTOGRAM_MAX_S);
}

std::vector<Bucket> LatencyHistogram::buckets() const
{
    const Axis &axis = m_d->histogram.axis();
    std::vector<Bucket> result;
    std::uint64_t cumulative = m_d->histogram.at(-1);
    for (int bin = 0; bin <= BINS; ++bin) {
        if (bin % Constants::BINS_PER_EXPOSED_BUCKET == 0)
            result.push_back({axis.value(bin), cumulative});
        if (bin < BINS)
            cumulative += m_d->histogram.at(bin);
    }
    return result;
}

} // namespace Metrics
