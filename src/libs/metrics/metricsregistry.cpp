// Registry of metrics.
#include "metricsregistry.h"

#include "exposition.h"
#include "metricsconstants.h"

#include <base/softassert.h>

#include <fmt/format.h>

#include <map>
#include <utility>
#include <variant>

namespace Metrics {

static constexpr char OTHER[] = "other";
static constexpr char OVERFLOW_COUNTER[] = "endivepath_metrics_label_overflows";

/// The series of one metric. Handles rely on the stable addresses of the map's nodes.
template<class Value>
using Series = std::map<Labels, Value>;

struct Metric
{
    std::string help;
    std::variant<Series<std::uint64_t>, Series<LatencyHistogram>,
                 Series<MetricsRegistry::GaugeCallback>>
        series;
};

static Labels truncatedLabels(const Labels &labels)
{
    return {Internal::truncatedLabelValue(labels.kind), Internal::truncatedLabelValue(labels.team),
            Internal::truncatedLabelValue(labels.domain),
            Internal::truncatedLabelValue(labels.reason),
            Internal::truncatedLabelValue(labels.outcome)};
}

/// Replaces only the labels that are set, so that all series of a metric have the same label names.
static Labels otherLabels(const Labels &labels)
{
    const auto other = [](const std::string &value) {
        return std::string(value.empty() ? "" : OTHER);
    };
    return {other(labels.kind), other(labels.team), other(labels.domain), other(labels.reason),
            other(labels.outcome)};
}

struct MetricsRegistry::Private
{
    /// The series of metric \a name, added if there is none; null if the metric has another type or
    /// the name is not valid.
    template<class Value>
    Series<Value> *findOrAddSeries(std::string_view name, std::string_view help)
    {
        EP_ASSERT(Internal::isMetricName(name), return nullptr);
        const auto [it, isNew] = metrics.try_emplace(std::string(name));
        if (isNew) {
            it->second.help = help;
            it->second.series.template emplace<Series<Value>>();
        }
        auto *const series = std::get_if<Series<Value>>(&it->second.series);
        EP_ASSERT(series, return nullptr);
        return series;
    }

    /// The value for \a labels, added if there is none; at the limit on label combinations that of
    /// the series "other".
    template<class Value>
    Value *findOrAddValue(std::string_view name, std::string_view help, const Labels &labels)
    {
        Series<Value> *const series = findOrAddSeries<Value>(name, help);
        if (!series)
            return nullptr;
        const Labels key = truncatedLabels(labels);
        const auto it = series->find(key);
        if (it != series->end())
            return &it->second;
        if (series->size() < Constants::MAX_SERIES_PER_METRIC)
            return &(*series)[key];
        ++labelOverflows;
        // Exceeds the limit by at most one series per set of label names.
        return &(*series)[otherLabels(key)];
    }

    template<class Value>
    const Series<Value> *find(std::string_view name) const
    {
        const auto it = metrics.find(name);
        return it == metrics.end() ? nullptr : std::get_if<Series<Value>>(&it->second.series);
    }

    std::map<std::string, Metric, std::less<>> metrics;
    std::uint64_t labelOverflows = 0;
};

MetricsRegistry::MetricsRegistry()
    : m_d(std::make_unique<Private>())
{}

MetricsRegistry::~MetricsRegistry() = default;

Counter MetricsRegistry::counter(std::string_view name, std::string_view help, const Labels &labels)
{
    return Counter(m_d->findOrAddValue<std::uint64_t>(name, help, labels));
}

Histogram MetricsRegistry::histogram(std::string_view name, std::string_view help,
                                     const Labels &labels)
{
    return Histogram(m_d->findOrAddValue<LatencyHistogram>(name, help, labels));
}

bool MetricsRegistry::setGauge(std::string_view name, std::string_view help, GaugeCallback callback,
                               const Labels &labels)
{
    Series<GaugeCallback> *const series = m_d->findOrAddSeries<GaugeCallback>(name, help);
    if (!series)
        return false;
    const Labels key = truncatedLabels(labels);
    if (series->size() >= Constants::MAX_SERIES_PER_METRIC && !series->contains(key)) {
        ++m_d->labelOverflows;
        return false;
    }
    (*series)[key] = std::move(callback);
    return true;
}

void MetricsRegistry::removeGauge(std::string_view name, const Labels &labels)
{
    const auto it = m_d->metrics.find(name);
    if (it == m_d->metrics.end())
        return;
    if (auto *const series = std::get_if<Series<GaugeCallback>>(&it->second.series))
        series->erase(truncatedLabels(labels));
}

std::optional<Base::Duration> MetricsRegistry::quantile(std::string_view name, double q) const
{
    const auto *const series = m_d->find<LatencyHistogram>(name);
    if (!series)
        return std::nullopt;
    LatencyHistogram all;
    for (const auto &[labels, histogram] : *series)
        all.add(histogram);
    return all.quantile(q);
}

std::uint64_t MetricsRegistry::total(std::string_view name) const
{
    const auto *const series = m_d->find<std::uint64_t>(name);
    std::uint64_t sum = 0;
    if (series) {
        for (const auto &[labels, value] : *series)
            sum += value;
    }
    return sum;
}

std::uint64_t MetricsRegistry::labelOverflows() const
{
    return m_d->labelOverflows;
}

static void appendSeries(std::string &out, const std::string &name, const std::string &help,
                         const Series<std::uint64_t> &series)
{
    const std::string exposed = name + "_total";
    Internal::appendHeader(out, exposed, help, "counter");
    for (const auto &[labels, value] : series)
        Internal::appendSample(out, exposed, labels, {}, std::to_string(value));
}

static void appendSeries(std::string &out, const std::string &name, const std::string &help,
                         const Series<LatencyHistogram> &series)
{
    Internal::appendHeader(out, name, help, "histogram");
    for (const auto &[labels, histogram] : series) {
        const std::string count = std::to_string(histogram.count());
        for (const Bucket &it : histogram.buckets()) {
            Internal::appendSample(out, name + "_bucket", labels,
                                   fmt::format("{:.3g}", it.upperBoundS),
                                   std::to_string(it.cumulative));
        }
        Internal::appendSample(out, name + "_bucket", labels, "+Inf", count);
        Internal::appendSample(out, name + "_sum", labels, {},
                               Internal::numberText(histogram.sumS()));
        Internal::appendSample(out, name + "_count", labels, {}, count);
    }
}

static void appendSeries(std::string &out, const std::string &name, const std::string &help,
                         const Series<MetricsRegistry::GaugeCallback> &series)
{
    if (series.empty())
        return;
    Internal::appendHeader(out, name, help, "gauge");
    for (const auto &[labels, callback] : series)
        Internal::appendSample(out, name, labels, {}, Internal::numberText(callback()));
}

std::string MetricsRegistry::toText() const
{
    std::string out;
    for (const auto &it : m_d->metrics)
        std::visit([&](const auto &series) { appendSeries(out, it.first, it.second.help, series); },
                   it.second.series);
    appendSeries(out, OVERFLOW_COUNTER, "Requests for a series that were counted under \"other\".",
                 Series<std::uint64_t>{{Labels{}, m_d->labelOverflows}});
    return out;
}

} // namespace Metrics
