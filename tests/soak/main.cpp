// The fault soak: runs daemons as processes, injects faults drawn from a seed, and checks what
// callers and executors see. See docs/soak.md.
#include "faults.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace Soak {

static constexpr Milliseconds START_LIMIT_MS{20'000};
/// A fresh job is completed at each daemon this long after the last fault.
static constexpr Milliseconds RECOVERY_MS{12'000};
static constexpr Milliseconds PROBE_PAUSE_MS{300};
/// After this, all requests are answered, also of jobs that were sent again.
static constexpr Milliseconds LAST_ANSWERS_MS{45'000};
/// Nothing runs any more this long after the last answer.
static constexpr Milliseconds QUIET_MS{6000};
static constexpr Milliseconds END_LIMIT_MS{10'000};
static constexpr Milliseconds MEAN_CALLER_PAUSE_MS{700};
/// A run that hangs is ended after its duration and this time.
static constexpr unsigned WATCHDOG_S = 180;

static constexpr std::size_t FLEET_DAEMONS = 8;
static constexpr std::size_t FLEET_EXECUTORS = 48;
static constexpr std::size_t FLEET_CALLERS = 130; // about 140 jobs a second

using Served = std::shared_ptr<std::vector<bool>>; // by daemon

static void probe(Deployment &it, std::size_t daemon, const Served &served)
{
    it.callers.probe(daemon, [&it, daemon, served](bool isCompleted) {
        if (isCompleted)
            (*served)[daemon] = true;
        if (!(*served)[daemon])
            it.timers.schedule(PROBE_PAUSE_MS,
                               [&it, daemon, served] { probe(it, daemon, served); });
    });
}

/// Sends fresh jobs to each daemon until one was completed there.
static void checkService(Deployment &it, Milliseconds limit)
{
    const auto served = std::make_shared<std::vector<bool>>(it.options.daemons);
    for (std::size_t i = 0; i < it.options.daemons; ++i)
        probe(it, i, served);
    const auto areAllServed = [served] {
        return !std::count(served->begin(), served->end(), false);
    };
    if (it.waitUntil(areAllServed, limit))
        return;
    for (std::size_t i = 0; i < it.options.daemons; ++i) {
        if (!(*served)[i])
            it.journal.find(fmt::format("no fresh job was completed at {}", it.daemons.nameOf(i)));
        (*served)[i] = true;
    }
}

static void playFaults(Deployment &it)
{
    if (it.options.hasCrowds)
        it.crowds.watchMemory();
    it.callers.start(it.options.callers, MEAN_CALLER_PAUSE_MS);
    for (const Fault &fault : planFaults(it.options))
        it.timers.schedule(fault.begin, [&it, fault] { inject(it, fault); });
    it.waitUntil([] { return false; }, it.options.duration);
    it.callers.stop();
    it.journal.note("end of the faults");
    checkService(it, RECOVERY_MS);
    if (!it.waitUntil([&it] { return it.callers.openCount() == 0; }, LAST_ANSWERS_MS))
        it.journal.find(fmt::format("{} jobs are still open", it.callers.openCount()));
    if (!it.waitUntil([&it] { return it.executors.runCount() == 0; }, QUIET_MS))
        it.journal.find(fmt::format("{} runs of no job go on", it.executors.runCount()));
}

static std::string makeFolder(std::uint64_t seed)
{
    const auto base = std::filesystem::temp_directory_path() / fmt::format("soak-{}.XXXXXX", seed);
    std::string folder = base.string();
    if (!mkdtemp(folder.data()))
        throw std::runtime_error("can't create a temporary folder");
    return folder;
}

/// Returns whether the run has no findings.
static bool play(DeploymentOptions options)
{
    options.folder = makeFolder(options.seed);
    TestSupport::ChildProcess::armWatchdog(unsigned(options.duration.count() / 1000) + WATCHDOG_S);
    Deployment deployment(options);
    deployment.daemons.start();
    checkService(deployment, START_LIMIT_MS);
    const std::vector<std::string> &findings = deployment.journal.findings();
    if (findings.empty())
        playFaults(deployment);
    deployment.daemons.terminateAll();
    if (!deployment.waitUntil([&] { return deployment.daemons.areAllEnded(); }, END_LIMIT_MS))
        deployment.journal.find("not all daemons have ended");
    fmt::print("seed {}: {}; {}\n", options.seed,
               findings.empty() ? "passed" : fmt::format("{} FINDINGS", findings.size()),
               deployment.ledger.summary());
    for (const std::string &it : findings)
        fmt::print("  {}\n", it);
    if (findings.empty())
        std::filesystem::remove_all(options.folder);
    else
        fmt::print("  logs: {}\n", options.folder);
    std::fflush(stdout);
    return findings.empty();
}

/// Reads lines of seed, seconds, daemons, executors, callers, and a comment.
static std::vector<DeploymentOptions> readList(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        throw std::runtime_error("can't read " + path);
    std::vector<DeploymentOptions> list;
    for (std::string line; std::getline(file, line);) {
        DeploymentOptions it;
        unsigned seconds = 0;
        std::istringstream text(line);
        if (text >> it.seed >> seconds >> it.daemons >> it.executors >> it.callers) {
            it.duration = std::chrono::seconds(seconds);
            list.push_back(it);
        }
    }
    return list;
}

static int runSoak(int argc, char **argv)
{
    cxxopts::Options parser("soak", "Fault soak of endivepathd --platform");
    using cxxopts::value;
    auto add = parser.add_options();
    add("seed", "first seed", value<std::uint64_t>()->default_value("1"));
    add("runs", "number of runs, with rising seeds", value<unsigned>()->default_value("1"));
    add("seconds", "time with load and faults", value<unsigned>()->default_value("20"));
    add("daemons", "at least 2", value<std::size_t>()->default_value("3"));
    add("executors", "at least 4", value<std::size_t>()->default_value("12"));
    add("callers", "each with a connection", value<std::size_t>()->default_value("24"));
    add("faults", "kinds to inject, by the beginnings of their names",
        value<std::vector<std::string>>()->default_value(""));
    add("fleet", "8 daemons, 48 executors, short jobs, and faults of many executors at one time");
    add("crowds", "crowds of callers that send too much are among the faults");
    add("daemon", "program under test, in place of the built one", value<std::string>());
    add("list", "file with seeds and options to play instead", value<std::string>());
    add("help", "print this help");
    const auto arguments = parser.parse(argc, argv);
    if (arguments.count("help") > 0) {
        fmt::print("{}", parser.help());
        return 0;
    }
    // A failed assertion ends the daemon, which is a finding.
    setenv("EP_SOFT_ASSERT", "abort", 1);
    DeploymentOptions options;
    options.duration = std::chrono::seconds(arguments["seconds"].as<unsigned>());
    options.daemons = std::max<std::size_t>(2, arguments["daemons"].as<std::size_t>());
    options.executors = std::max<std::size_t>(4, arguments["executors"].as<std::size_t>());
    options.callers = arguments["callers"].as<std::size_t>();
    options.faults = arguments["faults"].as<std::vector<std::string>>();
    options.isFleet = arguments.count("fleet") > 0;
    options.hasCrowds = arguments.count("crowds") > 0;
    if (options.isFleet) {
        options.daemons = FLEET_DAEMONS;
        options.executors = FLEET_EXECUTORS;
        options.callers = FLEET_CALLERS;
    }
    if (arguments.count("daemon") > 0)
        options.daemon = arguments["daemon"].as<std::string>();
    std::vector<DeploymentOptions> list;
    for (unsigned i = 0; i < arguments["runs"].as<unsigned>(); ++i) {
        list.push_back(options);
        list.back().seed = arguments["seed"].as<std::uint64_t>() + i;
    }
    if (arguments.count("list") > 0)
        list = readList(arguments["list"].as<std::string>());
    const auto failed = std::count_if(list.begin(), list.end(),
                                      [](const DeploymentOptions &it) { return !play(it); });
    fmt::print("{} of {} runs with findings\n", failed, list.size());
    return failed == 0 ? 0 : 1;
}

} // namespace Soak

int main(int argc, char **argv)
{
    try {
        return Soak::runSoak(argc, argv);
    } catch (const std::exception &error) {
        fmt::print(stderr, "soak: {}\n", error.what());
        return 2;
    }
}
