// Tests of the metrics library.
#include <metrics/metricsconstants.h>
#include <metrics/metricsregistry.h>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cmath>
#include <limits>

using namespace Metrics;
using namespace std::chrono_literals;

// Guards against output that a Prometheus server does not accept: missing headers, wrong suffixes,
// unescaped or malformed label values, and buckets that are not cumulative.
BOOST_AUTO_TEST_CASE(textExposition)
{
    MetricsRegistry registry;
    registry.counter("ep_refused", "Refused \\ requests\nby \"reason\".", {.reason = "a\"\\\n\xff"})
        .add(3);
    registry.counter("ep_refused", "ignored", {.kind = "k", .team = "t", .domain = "d"}).add();
    registry.setGauge("ep_queued", "Queued tasks.", [] { return 2.5; });
    registry.setGauge("ep_odd", "Odd values.", [] { return std::nan(""); }, {.kind = "a"});
    registry.setGauge("ep_odd", "", [] { return -std::numeric_limits<double>::infinity(); });
    Histogram histogram = registry.histogram("ep_wait_seconds", "Waiting time.", {.kind = "k"});
    for (const Base::Duration it : {Base::Duration(-1ns), Base::Duration(5us), Base::Duration(20ms),
                                    Base::Duration(20ms), Base::Duration(200s)})
        histogram.observe(it);
    std::string expected = R"(# HELP ep_odd Odd values.
# TYPE ep_odd gauge
ep_odd -Inf
ep_odd{kind="a"} NaN
# HELP ep_queued Queued tasks.
# TYPE ep_queued gauge
ep_queued 2.5
# HELP ep_refused_total Refused \\ requests\nby "reason".
# TYPE ep_refused_total counter
ep_refused_total{reason="a\"\\\n)"
                           "\ufffd"
                           R"("} 3
ep_refused_total{kind="k",team="t",domain="d"} 1
# HELP ep_wait_seconds Waiting time.
# TYPE ep_wait_seconds histogram
)";
    const std::pair<const char *, int> buckets[] = {
        {"1e-05", 2}, {"3.16e-05", 2}, {"0.0001", 2}, {"0.000316", 2}, {"0.001", 2}, {"0.00316", 2},
        {"0.01", 2},  {"0.0316", 4},   {"0.1", 4},    {"0.316", 4},    {"1", 4},     {"3.16", 4},
        {"10", 4},    {"31.6", 4},     {"100", 4},    {"+Inf", 5}};
    for (const auto &[bound, n] : buckets)
        expected += std::string("ep_wait_seconds_bucket{kind=\"k\",le=\"") + bound + "\"} "
                    + std::to_string(n) + "\n";
    expected += R"(ep_wait_seconds_sum{kind="k"} 200.040005
ep_wait_seconds_count{kind="k"} 5
# HELP endivepath_metrics_label_overflows_total Requests for a series that were counted under "other".
# TYPE endivepath_metrics_label_overflows_total counter
endivepath_metrics_label_overflows_total 0
)";
    BOOST_TEST(registry.toText() == expected);
    registry.removeGauge("ep_odd", {.kind = "a"});
    registry.removeGauge("ep_odd");
    registry.removeGauge("ep_unknown");
    registry.removeGauge("ep_refused", {.reason = "x"});
    BOOST_TEST(registry.toText().find("ep_odd") == std::string::npos);
}

// Guards against callers' label values that exhaust the memory, and against lost counts.
BOOST_AUTO_TEST_CASE(labelCombinationsAreBounded)
{
    MetricsRegistry registry;
    constexpr std::size_t EXCESS = 500;
    const std::string prefix(10 * Constants::MAX_LABEL_VALUE_BYTES, 'x');
    Counter first = registry.counter("ep_a", "", {.kind = "k", .team = "first"});
    for (std::size_t i = 1; i < Constants::MAX_SERIES_PER_METRIC + EXCESS; ++i) {
        const std::string value = std::to_string(i) + prefix;
        registry.counter("ep_a", "", {.kind = "k", .team = value}).add();
        registry.histogram("ep_b", "", {.reason = value}).observe(1ms);
        registry.setGauge("ep_c", "", [] { return 1.0; }, {.domain = value});
    }
    first.add(7); // the handle is still valid
    BOOST_TEST(registry.counter("ep_a", "", {.kind = "k", .team = "first"}).value() == 7);
    const Counter other = registry.counter("ep_a", "", {.kind = "other", .team = "other"});
    BOOST_TEST(other.value() == EXCESS);
    BOOST_TEST(registry.total("ep_a") == Constants::MAX_SERIES_PER_METRIC + EXCESS + 6);
    BOOST_TEST(registry.labelOverflows() == 3 * EXCESS - 2);
    BOOST_TEST(!registry.setGauge("ep_c", "", [] { return 1.0; }, {.domain = "new"}));
    BOOST_TEST(registry.setGauge("ep_c", "", [] { return 3.0; }, {.domain = "1" + prefix}));
    const std::string text = registry.toText();
    BOOST_TEST(text.find("ep_a_total{kind=\"other\",team=\"other\"} 500\n") != std::string::npos);
    BOOST_TEST(text.find("ep_b_count{reason=\"other\"} 499\n") != std::string::npos);
    BOOST_TEST(text.find(std::string(Constants::MAX_LABEL_VALUE_BYTES + 1, 'x'))
               == std::string::npos);
    BOOST_TEST(registry.total("ep_b") == 0);
    BOOST_TEST(registry.total("ep_unknown") == 0);
    Counter().add();
    Histogram().observe(1ms);
}

// Guards against quantiles over several series that are off by more than the width of a bin.
BOOST_AUTO_TEST_CASE(quantilesAreWithinOneBin)
{
    MetricsRegistry registry;
    BOOST_TEST(!registry.quantile("ep_run_seconds", 0.5).has_value());
    Histogram handles[] = {registry.histogram("ep_run_seconds", "", {.kind = "a"}),
                           registry.histogram("ep_run_seconds", "", {.kind = "b"})};
    BOOST_TEST(!registry.quantile("ep_run_seconds", 0.5).has_value());
    for (int i = 1; i <= 10'000; ++i)
        handles[i % 2].observe(i * 100us); // uniform up to 1 s
    const double width = std::pow(10, 1.0 / Constants::BINS_PER_DECADE);
    for (const double q : {0.01, 0.1, 0.5, 0.9, 0.99, 0.999, 1.0}) {
        const double estimate =
            std::chrono::duration<double>(*registry.quantile("ep_run_seconds", q)).count();
        BOOST_TEST(estimate > q / width);
        BOOST_TEST(estimate < q * width);
    }
    BOOST_TEST((registry.quantile("ep_run_seconds", -1) >= Base::Duration(89us)));
    Histogram outside = registry.histogram("ep_outside_seconds", "");
    outside.observe(1ns);
    outside.observe(1h);
    BOOST_TEST((registry.quantile("ep_outside_seconds", 0.5) == Base::Duration(10us)));
    BOOST_TEST((registry.quantile("ep_outside_seconds", 1) == Base::Duration(100s)));
}
