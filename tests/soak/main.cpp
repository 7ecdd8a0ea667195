// The fault soak: runs daemons as processes, injects faults drawn from a seed, and checks what
// callers and executors see. See docs/soak.md.
#include "soakrun.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>

namespace Soak {

/// A run that hangs is ended after its duration and this time.
static constexpr unsigned WATCHDOG_S = 180;

static std::string makeFolder(std::uint64_t seed)
{
    const auto base = std::filesystem::temp_directory_path() / fmt::format("soak-{}.XXXXXX", seed);
    std::string folder = base.string();
    if (!mkdtemp(folder.data()))
        throw std::runtime_error("can't create a temporary folder");
    return folder;
}

/// Returns whether the run has no findings.
static bool play(RunOptions options)
{
    options.folder = makeFolder(options.seed);
    TestSupport::ChildProcess::armWatchdog(unsigned(options.duration.count() / 1000) + WATCHDOG_S);
    Run run(options);
    const std::vector<std::string> findings = run.execute();
    fmt::print("seed {}: {}; {}\n", options.seed,
               findings.empty() ? "passed" : fmt::format("{} FINDINGS", findings.size()),
               run.summary());
    for (const std::string &it : findings)
        fmt::print("  {}\n", it);
    if (findings.empty())
        std::filesystem::remove_all(options.folder);
    else
        fmt::print("  logs: {}\n", options.folder);
    std::fflush(stdout);
    return findings.empty();
}

static int runSoak(int argc, char **argv)
{
    cxxopts::Options parser("soak", "Fault soak of endivepathd --platform");
    parser.add_options()("seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "runs", "number of runs, with rising seeds",
        cxxopts::value<unsigned>()->default_value("1"))(
        "seconds", "time with load and faults", cxxopts::value<unsigned>()->default_value("20"))(
        "daemons", "at least 2", cxxopts::value<std::size_t>()->default_value("3"))(
        "executors", "at least 4", cxxopts::value<std::size_t>()->default_value("12"))(
        "callers", "connections that send jobs",
        cxxopts::value<std::size_t>()->default_value("24"))("help", "print this help");
    const auto arguments = parser.parse(argc, argv);
    if (arguments.count("help") > 0) {
        fmt::print("{}", parser.help());
        return 0;
    }
    // A failed assertion ends the daemon, which is a finding.
    setenv("EP_SOFT_ASSERT", "abort", 1);
    RunOptions options;
    options.duration = std::chrono::seconds(arguments["seconds"].as<unsigned>());
    options.daemons = std::max<std::size_t>(2, arguments["daemons"].as<std::size_t>());
    options.executors = std::max<std::size_t>(4, arguments["executors"].as<std::size_t>());
    options.callers = arguments["callers"].as<std::size_t>();
    const auto first = arguments["seed"].as<std::uint64_t>();
    const auto runs = arguments["runs"].as<unsigned>();
    unsigned failed = 0;
    for (unsigned i = 0; i < runs; ++i) {
        options.seed = first + i;
        failed += play(options) ? 0 : 1;
    }
    fmt::print("{} of {} runs with findings\n", failed, runs);
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
