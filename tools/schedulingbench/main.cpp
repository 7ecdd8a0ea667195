// Compares the placement policies with the ideal on a virtual clock and prints the figures.
#include "decisioncost.h"
#include "ideal.h"
#include "report.h"

#include <base/log.h>

#include <cxxopts.hpp>

#include <atomic>
#include <mutex>
#include <thread>

using namespace SchedulingBench;

static constexpr double LOADS[] = {0.5, 0.8, 0.95, 1.5, 3};
/// Above this load the response time of the ideal, which refuses nothing, grows without bound.
static constexpr double MAX_IDEAL_LOAD = 1;

struct Cell
{
    Deployment deployment;
    Scenario scenario = Scenario::Spread;
    double load = 0;
    std::uint64_t seed = 0;
};

static void runCell(const Cell &cell, bool baselines, Report &report)
{
    const Workload workload = makeWorkload(cell.deployment, cell.scenario, cell.load, cell.seed);
    const auto add = [&](const std::string &policy, const RunResult &result) {
        report.add({cell.deployment.name, cell.scenario, cell.load, policy}, workload, result);
    };
    const auto addPolicy = [&](std::unique_ptr<Scheduling::PlacementPolicy> policy) {
        const std::string name(policy->name());
        add(name, runScheduler(workload, std::move(policy)));
    };
    if (cell.load < MAX_IDEAL_LOAD && cell.scenario != Scenario::Burst) {
        add("idealFastestFree", runIdeal(workload, IdealRule::FastestFree));
        add("idealEarliestFinish", runIdeal(workload, IdealRule::EarliestFinish));
        add("idealSpareCapacity", runIdeal(workload, IdealRule::SpareCapacity));
    }
    addPolicy(Scheduling::makeFastestFreePolicy());
    if (!baselines)
        return;
    addPolicy(Scheduling::makeRandomPolicy(cell.seed));
    addPolicy(Scheduling::makeRoundRobinPolicy());
    addPolicy(Scheduling::makeLeastOutstandingPolicy());
}

int main(int argc, char **argv)
{
    cxxopts::Options options("schedulingbench", "Placement policies against the ideal");
    options.add_options()("csv", "file to write", cxxopts::value<std::string>()->default_value(""))(
        "seeds", "seeds per cell", cxxopts::value<std::uint64_t>()->default_value("2"))(
        "threads", "parallel runs", cxxopts::value<unsigned>()->default_value("4"))(
        "scenario", "only this one", cxxopts::value<std::string>()->default_value(""))(
        "load", "only this one",
        cxxopts::value<double>()->default_value("0"))("no-baselines", "only the product's policy")(
        "cost", "only the cost of a decision")("help", "print this");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::puts(options.help().c_str());
        return 0;
    }
    Base::setLogLevel(Base::LogLevel::Error);
    if (arguments.count("cost") > 0) {
        printDecisionCost(stdout);
        return 0;
    }
    std::vector<Cell> cells;
    for (const Deployment &deployment : {kalkan(), cevallos()}) {
        for (const Scenario scenario : ALL_SCENARIOS) {
            const auto only = arguments["scenario"].as<std::string>();
            if (!only.empty() && only != scenarioName(scenario))
                continue;
            for (const double load : LOADS) {
                const double onlyLoad = arguments["load"].as<double>();
                if ((onlyLoad > 0 && onlyLoad != load)
                    || (scenario == Scenario::Burst && load >= MAX_IDEAL_LOAD)) {
                    continue;
                }
                for (std::uint64_t i = 1; i <= arguments["seeds"].as<std::uint64_t>(); ++i)
                    cells.push_back({deployment, scenario, load, i});
            }
        }
    }
    Report report;
    std::mutex mutex;
    std::atomic<std::size_t> next = 0;
    std::vector<std::jthread> threads;
    for (unsigned i = 0; i < arguments["threads"].as<unsigned>(); ++i) {
        threads.emplace_back([&] {
            Report own;
            for (std::size_t k = next++; k < cells.size(); k = next++)
                runCell(cells[k], arguments.count("no-baselines") == 0, own);
            const std::scoped_lock lock(mutex);
            report.merge(std::move(own));
        });
    }
    threads.clear();
    report.print(stdout);
    const auto csv = arguments["csv"].as<std::string>();
    if (!csv.empty() && !report.writeCsv(csv)) {
        std::fprintf(stderr, "can't write %s\n", csv.c_str());
        return 1;
    }
    printDecisionCost(stdout);
    return 0;
}
