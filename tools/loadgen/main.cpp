// Load generator that checks the answers against the records of the worker stand-in. Not shipped.
#include "audit.h"
#include "load.h"
#include "report.h"

#include <base/asiotimers.h>
#include <manifest/manifestreader.h>

#include <asio/io_context.hpp>
#include <cxxopts.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

using namespace LoadGen;

static constexpr long MAX_CONNECTIONS_PER_HOST = 900;
/// Messages about the last requests reach the workers within this time after the last answer.
static constexpr std::chrono::milliseconds SETTLE_MS{500};

static WorkerRecords workerRecords(asio::io_context &io, Http::Client &client,
                                   const Manifest::Manifest &manifest)
{
    std::optional<WorkerRecords> records;
    fetchWorkerRecords(client, manifest, [&](WorkerRecords it) { records = std::move(it); });
    while (!records)
        io.run_one();
    return *records;
}

static int run(const Manifest::Manifest &manifest, const LoadOptions &options, bool isJson)
{
    asio::io_context io(1);
    Base::AsioTimers timers(io);
    Http::Client client(io, MAX_CONNECTIONS_PER_HOST);
    const WorkerRecords before = workerRecords(io, client, manifest);
    Load load(timers, client, manifest, options);
    load.start();
    while (!load.isDone())
        io.run_one();
    io.run_for(SETTLE_MS);
    io.restart();
    const Audit audit =
        makeAudit(load.records(), options.team, before, workerRecords(io, client, manifest));
    const nlohmann::json report = makeReport(load.records(), audit);
    std::cout << (isJson ? report.dump(2) + "\n" : formatTable(report));
    return audit.isClean() ? 0 : 1;
}

int main(int argc, char **argv)
{
    cxxopts::Options parser("loadgen", "Open-loop load with an audit of the answers");
    auto add = parser.add_options();
    add("callers", "Entry daemon, http://address:port; repeatable",
        cxxopts::value<std::vector<std::string>>());
    add("manifest", "Manifest file", cxxopts::value<std::string>());
    add("rate", "Requests per second", cxxopts::value<double>()->default_value("20"));
    add("duration", "Seconds", cxxopts::value<double>()->default_value("10"));
    add("mix", "kind:weight:tasks:runMs,...", cxxopts::value<std::vector<std::string>>());
    add("team", "Team", cxxopts::value<std::string>());
    add("resubmit", "Fraction sent again to another daemon",
        cxxopts::value<double>()->default_value("0"));
    add("cancel", "Fraction cancelled", cxxopts::value<double>()->default_value("0"));
    add("seed", "Seed", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("key-prefix", "Prefix of the keys, which must be new to the daemons",
        cxxopts::value<std::string>()->default_value(""));
    add("output", "table or json", cxxopts::value<std::string>()->default_value("table"));
    add("h,help", "Print this text");
    try {
        const auto arguments = parser.parse(argc, argv);
        const bool isComplete = arguments.count("callers") > 0 && arguments.count("manifest") > 0
                                && arguments.count("mix") > 0 && arguments.count("team") > 0;
        if (arguments.count("help") > 0 || !isComplete) {
            std::cout << parser.help();
            return arguments.count("help") > 0 ? 0 : 2;
        }
        std::ifstream file(arguments["manifest"].as<std::string>());
        std::stringstream text;
        text << file.rdbuf();
        Settings::FaultList faults;
        const auto manifest = Manifest::parseManifest(text.str(), faults);
        if (!manifest) {
            std::cerr << faults.status() << '\n';
            return 2;
        }
        LoadOptions options;
        options.callers = arguments["callers"].as<std::vector<std::string>>();
        // The option parser splits lists at commas.
        for (const auto &it : arguments["mix"].as<std::vector<std::string>>()) {
            for (const MixEntry &entry : parseMix(it))
                options.mix.push_back(entry);
        }
        options.team = arguments["team"].as<std::string>();
        options.rate = arguments["rate"].as<double>();
        const double seconds = arguments["duration"].as<double>();
        if (!(options.rate > 0) || !(seconds > 0) || seconds > 3600
            || options.rate * seconds > double(MAX_REQUESTS)) {
            std::cerr << "loadgen: rate and duration must be positive, at most an hour and "
                      << MAX_REQUESTS << " requests\n";
            return 2;
        }
        options.duration = std::chrono::milliseconds(std::int64_t(seconds * 1000));
        options.resubmitFraction = arguments["resubmit"].as<double>();
        options.cancelFraction = arguments["cancel"].as<double>();
        options.seed = arguments["seed"].as<std::uint64_t>();
        options.keyPrefix = arguments["key-prefix"].as<std::string>();
        if (options.keyPrefix.empty())
            options.keyPrefix = "load-" + std::to_string(options.seed) + "-";
        return run(*manifest, options, arguments["output"].as<std::string>() == "json");
    } catch (const std::exception &error) {
        std::cerr << "loadgen: " << error.what() << '\n';
        return 2;
    }
}
