// Percentiles, ratios and output.
#include "report.h"

#include <algorithm>
#include <cmath>

namespace SchedulingBench {

using namespace std::chrono_literals;

static constexpr double PERCENTILES[] = {0.5, 0.99, 0.999};
static constexpr const char *SELECTION_NAMES[] = {"all", "singles", "jobs"};
static constexpr double RECOVERY_BIN_MS = 250;
static constexpr double RECOVERED_SHARE = 0.95;

static double toMs(Base::Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

static double percentile(std::vector<double> &values, double p)
{
    if (values.empty())
        return 0;
    const auto n = static_cast<std::ptrdiff_t>(p * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + n, values.end());
    return values[static_cast<std::size_t>(n)];
}

/// End of the last period after the burst in which too few requests were answered in time.
static double recoverySeconds(const Workload &workload, const RunResult &result)
{
    const double end = Workload::BURST_END_S / 1ms;
    std::map<int, std::pair<int, int>> bins; // answered, all
    for (std::size_t i = 0; i < workload.requests.size(); ++i) {
        const double after = toMs(workload.requests[i].arrival) - end;
        if (after < 0)
            continue;
        auto &[answered, all] = bins[static_cast<int>(after / RECOVERY_BIN_MS)];
        answered += result.answers[i].outcome == Outcome::Complete ? 1 : 0;
        ++all;
    }
    double seconds = 0;
    for (const auto &[bin, counts] : bins) {
        if (counts.first < RECOVERED_SHARE * counts.second)
            seconds = (bin + 1) * RECOVERY_BIN_MS / 1000;
    }
    return seconds;
}

void Totals::add(const Workload &workload, const RunResult &result)
{
    const double windowStart = toMs(workload.goodputStart);
    const double windowEnd = toMs(workload.arrivals);
    possibleWork += workload.capacity * (windowEnd - windowStart);
    for (std::size_t i = 0; i < workload.requests.size(); ++i) {
        const Request &request = workload.requests[i];
        const RunResult::Answer &answer = result.answers[i];
        const double arrival = toMs(request.arrival);
        const double end = arrival + answer.responseMs;
        if (answer.outcome == Outcome::Complete && end >= windowStart && end < windowEnd) {
            for (const double it : request.workMs)
                usefulWork += it;
        }
        if (request.arrival < Workload::WARM_UP_S)
            continue;
        ++requests;
        if (answer.outcome == Outcome::Refused) {
            ++refused;
        } else if (answer.outcome == Outcome::Complete) {
            responses[static_cast<std::size_t>(Selection::All)].push_back(answer.responseMs);
            const Selection selection = request.single ? Selection::Singles : Selection::Jobs;
            responses[static_cast<std::size_t>(selection)].push_back(answer.responseMs);
        } else {
            ++bad;
        }
    }
    if (workload.scenario == Scenario::Burst)
        recoverySeconds =
            std::max(recoverySeconds, SchedulingBench::recoverySeconds(workload, result));
}

void Report::add(const CellKey &key, const Workload &workload, const RunResult &result)
{
    m_cells[key].add(workload, result);
}

void Report::merge(Report &&other)
{
    for (auto &[key, from] : other.m_cells) {
        Totals &to = m_cells[key];
        for (std::size_t i = 0; i < SELECTIONS; ++i) {
            to.responses[i].insert(to.responses[i].end(), from.responses[i].begin(),
                                   from.responses[i].end());
        }
        to.requests += from.requests;
        to.refused += from.refused;
        to.bad += from.bad;
        to.usefulWork += from.usefulWork;
        to.possibleWork += from.possibleWork;
        to.recoverySeconds = std::max(to.recoverySeconds, from.recoverySeconds);
    }
    other.m_cells.clear();
}

std::vector<Report::Row> Report::rows()
{
    using IdealKey = std::tuple<std::string, Scenario, double>;
    std::map<IdealKey, std::array<std::array<double, 3>, SELECTIONS>> ideals;
    std::map<std::tuple<std::string, Scenario, std::string>, double> peaks;
    std::vector<Row> rows;
    for (auto &[key, totals] : m_cells) {
        Row row;
        row.key = key;
        for (std::size_t s = 0; s < SELECTIONS; ++s) {
            for (std::size_t p = 0; p < 3; ++p)
                row.responseMs[s][p] = percentile(totals.responses[s], PERCENTILES[p]);
        }
        row.goodput = totals.usefulWork / totals.possibleWork;
        const auto all = static_cast<double>(totals.requests);
        row.refused = static_cast<double>(totals.refused) / all;
        row.bad = static_cast<double>(totals.bad) / all;
        row.recoverySeconds = totals.recoverySeconds;
        double &peak = peaks[{key.deployment, key.scenario, key.policy}];
        peak = std::max(peak, row.goodput);
        if (key.policy.starts_with("ideal")) {
            const auto [it, inserted] =
                ideals.emplace(IdealKey(key.deployment, key.scenario, key.load), row.responseMs);
            for (std::size_t s = 0; s < SELECTIONS && !inserted; ++s) {
                for (std::size_t p = 0; p < 3; ++p)
                    it->second[s][p] = std::min(it->second[s][p], row.responseMs[s][p]);
            }
        }
        rows.push_back(row);
    }
    for (Row &row : rows) {
        row.peakRatio = row.goodput / peaks[{row.key.deployment, row.key.scenario, row.key.policy}];
        const auto ideal = ideals.find({row.key.deployment, row.key.scenario, row.key.load});
        if (ideal == ideals.end())
            continue;
        for (std::size_t s = 0; s < SELECTIONS; ++s) {
            for (std::size_t p = 0; p < 3; ++p) {
                if (ideal->second[s][p] > 0)
                    row.ratios[s][p] = row.responseMs[s][p] / ideal->second[s][p];
            }
        }
    }
    return rows;
}

void Report::print(std::FILE *out)
{
    std::fprintf(
        out, "Ratios of response times to the ideal (best rule per percentile), all requests and "
             "single requests;\ngoodput as a part of the capacity and of its peak over the loads; "
             "refused, and bad (late or failed), of the requests.\n\n");
    std::fprintf(out, "%-9s %-14s %5s %-20s %6s %6s %6s  %6s %6s %6s  %7s %6s %7s %6s %5s\n",
                 "place", "scenario", "load", "policy", "p50", "p99", "p99.9", "s.p50", "s.p99",
                 "j.p99", "goodput", "peak", "refused", "bad", "rec.s");
    for (const Row &it : rows()) {
        const auto &all = it.ratios[static_cast<std::size_t>(Selection::All)];
        const auto &singles = it.ratios[static_cast<std::size_t>(Selection::Singles)];
        const auto &jobs = it.ratios[static_cast<std::size_t>(Selection::Jobs)];
        std::fprintf(out,
                     "%-9s %-14s %5.2f %-20s %6.3f %6.3f %6.3f  %6.3f %6.3f %6.3f  %7.3f %6.3f "
                     "%6.2f%% %5.2f%% %5.2f\n",
                     it.key.deployment.c_str(), scenarioName(it.key.scenario).c_str(), it.key.load,
                     it.key.policy.c_str(), all[0], all[1], all[2], singles[0], singles[1], jobs[1],
                     it.goodput, it.peakRatio, it.refused * 100, it.bad * 100, it.recoverySeconds);
    }
}

bool Report::writeCsv(const std::string &path)
{
    std::FILE *out = std::fopen(path.c_str(), "w");
    if (!out)
        return false;
    std::fprintf(out, "deployment,scenario,load,policy,requests,p50_ms,p99_ms,p999_ms,p50_ratio,"
                      "p99_ratio,p999_ratio,goodput,goodput_of_peak,refused,bad,recovery_s\n");
    for (const Row &it : rows()) {
        for (std::size_t s = 0; s < SELECTIONS; ++s) {
            std::fprintf(
                out, "%s,%s,%.2f,%s,%s,%.3f,%.3f,%.3f,%.4f,%.4f,%.4f,%.4f,%.4f,%.5f,%.5f,%.2f\n",
                it.key.deployment.c_str(), scenarioName(it.key.scenario).c_str(), it.key.load,
                it.key.policy.c_str(), SELECTION_NAMES[s], it.responseMs[s][0], it.responseMs[s][1],
                it.responseMs[s][2], it.ratios[s][0], it.ratios[s][1], it.ratios[s][2], it.goodput,
                it.peakRatio, it.refused, it.bad, it.recoverySeconds);
        }
    }
    return std::fclose(out) == 0;
}

} // namespace SchedulingBench
