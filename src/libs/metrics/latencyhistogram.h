// Histogram of durations on a logarithmic axis.
#pragma once

#include <base/timers.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace Metrics {

/// A bucket of the text exposition.
struct Bucket
{
    double upperBoundS = 0;       // seconds, exclusive
    std::uint64_t cumulative = 0; // observations below the bound
};

class LatencyHistogram
{
public:
    LatencyHistogram();
    LatencyHistogram(LatencyHistogram &&other) noexcept;
    ~LatencyHistogram();

    /// Counts \a duration; in the underflow or overflow bin if it is outside of the range.
    void observe(Base::Duration duration);
    void add(const LatencyHistogram &other);

    std::uint64_t count() const { return m_count; }
    double sumS() const { return m_sumS; } // seconds
    /// Estimate of the \a q quantile, 0 to 1, interpolated within its bin; the nearer end of the
    /// range if the quantile is outside of it. Empty if nothing was observed.
    std::optional<Base::Duration> quantile(double q) const;
    /// The buckets with a finite bound, in increasing order.
    std::vector<Bucket> buckets() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
    std::uint64_t m_count = 0;
    double m_sumS = 0;
};

} // namespace Metrics
