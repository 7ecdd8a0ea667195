// Percentiles and output.
#include "report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace LoadGen {

using nlohmann::json;

/// Violations listed by name; the counts are complete.
static constexpr std::size_t MAX_LISTED = 20;

/// The value at rank ceil(fraction * n) of the sorted \a values.
static double percentile(const std::vector<double> &values, double fraction)
{
    if (values.empty())
        return 0;
    const auto rank = std::size_t(std::ceil(fraction * double(values.size())));
    return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
}

static json listed(const std::vector<std::string> &names)
{
    const std::size_t n = std::min(names.size(), MAX_LISTED);
    return {{"count", names.size()},
            {"first", std::vector<std::string>(names.begin(), names.begin() + std::ptrdiff_t(n))}};
}

json makeReport(const std::vector<RequestRecord> &records, const Audit &audit)
{
    std::map<std::string, std::vector<double>> times;
    json report;
    json &kinds = report["kinds"] = json::object();
    for (const RequestRecord &record : records) {
        json &kind = kinds.emplace(record.kind, json::object()).first.value();
        kind["requests"] = kind.value("requests", 0) + 1;
        for (std::size_t i = 0; i < OUTCOME_COUNT; ++i) {
            const char *name = outcomeName(static_cast<Outcome>(i));
            kind[name] = kind.value(name, 0);
        }
        for (const Answer &it : record.answers) {
            const char *name = outcomeName(it.outcome);
            kind[name] = kind.value(name, 0) + 1;
            if (it.outcome != Outcome::Error) {
                times[record.kind].push_back(
                    std::chrono::duration<double, std::milli>(it.time).count());
            }
            if (it.outcome != Outcome::Complete) {
                json &failures = kind.emplace("failures", json::object()).first.value();
                failures[it.failure] = failures.value(it.failure, 0) + 1;
            }
        }
    }
    for (auto &[kind, values] : times) {
        std::sort(values.begin(), values.end());
        kinds[kind]["p50Ms"] = percentile(values, 0.5);
        kinds[kind]["p99Ms"] = percentile(values, 0.99);
        kinds[kind]["p999Ms"] = percentile(values, 0.999);
    }
    report["audit"] = {{"isClean", audit.isClean()},
                       {"doubleStarts", listed(audit.doubleStarts)},
                       {"falseNotRun", listed(audit.falseNotRun)},
                       {"wrongAnswers", listed(audit.wrongAnswers)},
                       {"conflictingAnswers", listed(audit.conflictingAnswers)},
                       {"startedTasks", audit.startedTasks},
                       {"workerRequestsPerTask", audit.workerRequestsPerTask()},
                       {"wastedMessages", audit.wastedMessages},
                       {"wastedPerAnsweredRequest", audit.wastedPerAnsweredRequest()},
                       {"messages", audit.messages},
                       {"unreachableUpstreams", audit.unreachable}};
    return report;
}

std::string formatTable(const json &report)
{
    std::string text = fmt::format("{:24}{:>9}{:>9}{:>8}{:>8}{:>8}{:>7}{:>10}{:>10}{:>10}\n",
                                   "kind", "requests", "complete", "failed", "notRun", "pending",
                                   "error", "p50 ms", "p99 ms", "p99.9 ms");
    for (const auto &[name, kind] : report["kinds"].items()) {
        text += fmt::format(
            "{:24}{:>9}{:>9}{:>8}{:>8}{:>8}{:>7}{:>10.1f}{:>10.1f}{:>10.1f}\n", name,
            kind.value("requests", 0), kind.value("complete", 0), kind.value("failed", 0),
            kind.value("notRun", 0), kind.value("pending", 0), kind.value("error", 0),
            kind.value("p50Ms", 0.0), kind.value("p99Ms", 0.0), kind.value("p999Ms", 0.0));
    }
    for (const auto &[name, kind] : report["kinds"].items())
        text += fmt::format("{} not complete: {}\n", name,
                            kind.value("failures", json::object()).dump());
    for (const auto &[name, value] : report["audit"].items())
        text += fmt::format("{:28}{}\n", name, value.dump());
    return text;
}

} // namespace LoadGen
