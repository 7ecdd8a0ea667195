// Figures of the experiment, as a table and as CSV.
#pragma once

#include "experiment.h"

#include <array>
#include <cstdio>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace SchedulingBench {

/// Which requests a percentile is taken over.
enum class Selection { All, Singles, Jobs };
constexpr std::size_t SELECTIONS = 3;

/// Sums over the seeds of one cell of the matrix.
struct Totals
{
    void add(const Workload &workload, const RunResult &result);

    std::array<std::vector<double>, SELECTIONS> responses; // of complete answers, in ms
    std::size_t requests = 0;
    std::size_t refused = 0;
    std::size_t bad = 0;        // admitted, but late or failed
    double usefulWork = 0;      // of requests completed in time within the window
    double possibleWork = 0;    // capacity times the window
    double recoverySeconds = 0; // Burst: longest time after it until 95 % are answered again
};

struct CellKey
{
    std::string deployment;
    Scenario scenario = Scenario::Spread;
    double load = 0;
    std::string policy; // "ideal..." for the ideals

    auto operator<=>(const CellKey &) const = default; // NOLINT(modernize-use-nullptr)
};

class Report
{
public:
    void add(const CellKey &key, const Workload &workload, const RunResult &result);
    void merge(Report &&other);
    void print(std::FILE *out);
    /// Returns false if the file can't be written.
    bool writeCsv(const std::string &path);

private:
    struct Row
    {
        CellKey key;
        std::array<std::array<double, 3>, SELECTIONS> responseMs{}; // p50, p99, p99.9
        std::array<std::array<double, 3>, SELECTIONS> ratios{};     // to the ideal
        double goodput = 0;                                         // of the capacity
        double peakRatio = 0; // goodput relative to the highest of all loads
        double refused = 0;
        double bad = 0;
        double recoverySeconds = 0;
    };
    std::vector<Row> rows();

    std::map<CellKey, Totals> m_cells;
};

} // namespace SchedulingBench
