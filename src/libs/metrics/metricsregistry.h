// Counters, gauges and histograms of a daemon, for the text exposition and for status output. A
// service requests a handle once and then updates the metric without a look-up.
#pragma once

#include "latencyhistogram.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace Metrics {

/// Label values of one series; an empty value means that the series has no such label.
struct Labels
{
    std::string kind = {};
    std::string team = {};
    std::string domain = {};
    std::string reason = {};
    std::string outcome = {};

    auto operator<=>(const Labels &other) const
    {
        return std::tie(kind, team, domain, reason, outcome)
               <=> std::tie(other.kind, other.team, other.domain, other.reason, other.outcome);
    }
    bool operator==(const Labels &) const = default;
};

/// Handle of a counter. Valid as long as its registry. A default-constructed handle ignores values.
class Counter
{
public:
    Counter() = default;

    void add(std::uint64_t n = 1)
    {
        if (m_value)
            *m_value += n;
    }
    std::uint64_t value() const { return m_value ? *m_value : 0; }

private:
    friend class MetricsRegistry;
    explicit Counter(std::uint64_t *value)
        : m_value(value)
    {}

    std::uint64_t *m_value = nullptr; // owned by the registry
};

/// Handle of a histogram. Valid as long as its registry. A default-constructed one ignores values.
class Histogram
{
public:
    Histogram() = default;

    void observe(Base::Duration duration)
    {
        if (m_histogram)
            m_histogram->observe(duration);
    }

private:
    friend class MetricsRegistry;
    explicit Histogram(LatencyHistogram *histogram)
        : m_histogram(histogram)
    {}

    LatencyHistogram *m_histogram = nullptr; // owned by the registry
};

/// Owns the metrics. Lives on one thread.
///
/// The number of label combinations per metric is limited, because label values can come from
/// callers. A further combination is counted in the series whose label values are all "other".
/// A name has one type; a request for another type, or for a name that the exposition format does
/// not allow, fails a soft assert and yields a handle that ignores values.
class MetricsRegistry
{
public:
    using GaugeCallback = std::function<double()>;

    MetricsRegistry();
    ~MetricsRegistry();

    /// A counter; its name is exposed with the suffix "_total". The same name and labels give a
    /// handle of the same counter.
    Counter counter(std::string_view name, std::string_view help, const Labels &labels = {});
    /// A histogram of durations in seconds; its name should end in "_seconds".
    Histogram histogram(std::string_view name, std::string_view help, const Labels &labels = {});
    /// A gauge that is read from \a callback for each exposition; replaces an earlier callback.
    /// Returns false if the limit on label combinations is reached; the gauge is then not exposed,
    /// since a gauge shared by several combinations has no meaningful value.
    bool setGauge(std::string_view name, std::string_view help, GaugeCallback callback,
                  const Labels &labels = {});
    /// Must be called before the objects that the callback refers to are destroyed.
    void removeGauge(std::string_view name, const Labels &labels = {});

    /// The \a q quantile over all series of the histogram \a name. Empty if nothing was observed.
    std::optional<Base::Duration> quantile(std::string_view name, double q) const;
    /// Sum of all series of the counter \a name, given without "_total"; 0 if there is none.
    std::uint64_t total(std::string_view name) const;
    /// Number of requests for a series beyond the limit on label combinations.
    std::uint64_t labelOverflows() const;

    /// All metrics in the Prometheus text format, version 0.0.4, in the order of their names.
    std::string toText() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace Metrics
