// Stand-in for the workers: simulates every executor that a manifest declares. Not shipped.
#include "workerserver.h"

#include <base/asiotimers.h>
#include <base/log.h>
#include <manifest/manifestreader.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <cxxopts.hpp>

#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

using namespace WorkerStandin;

static std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Speeds are spaced evenly from 1 to \a spread, in an order that mixes racks.
static double executorSpeed(std::size_t index, std::size_t count, double spread)
{
    if (count < 2)
        return 1;
    const std::size_t rank = (index * 7) % count;
    return 1 + (spread - 1) * static_cast<double>(rank) / static_cast<double>(count - 1);
}

static Http::ServerOptions serverOptions(const Manifest::Upstream &upstream)
{
    const std::size_t scheme = upstream.url.find("//");
    const std::size_t colon = upstream.url.rfind(':');
    Http::ServerOptions options;
    options.address = upstream.url.substr(scheme + 2, colon - scheme - 2);
    options.port = static_cast<std::uint16_t>(std::stoul(upstream.url.substr(colon + 1)));
    options.maxConnections = upstream.connections * 10;
    return options;
}

static int run(const std::string &manifestPath, double spread)
{
    Settings::FaultList faults;
    const auto manifest = Manifest::parseManifest(readFile(manifestPath), faults);
    if (!manifest) {
        std::cerr << faults.status() << '\n';
        return 1;
    }
    asio::io_context io(1);
    Base::AsioTimers timers(io);
    std::vector<std::unique_ptr<Executor>> executors;
    std::vector<std::unique_ptr<WorkerServer>> servers;
    for (const auto &[id, upstream] : manifest->upstreams) {
        const double speed = executorSpeed(executors.size(), manifest->upstreams.size(), spread);
        executors.push_back(
            std::make_unique<Executor>(timers, id, upstream.slots, speed, upstream.fencing));
        servers.push_back(
            std::make_unique<WorkerServer>(io, timers, serverOptions(upstream), *executors.back()));
        const absl::Status status = servers.back()->open();
        if (!status.ok()) {
            std::cerr << status << '\n';
            return 1;
        }
    }
    asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([&io](const asio::error_code &, int) { io.stop(); });
    Base::log(Base::LogLevel::Info, "started", {{"executors", executors.size()}});
    io.run();
    return 0;
}

int main(int argc, char **argv)
{
    cxxopts::Options options("workerstandin", "Stand-in for the workers of a manifest");
    options.add_options()("manifest", "Manifest file", cxxopts::value<std::string>());
    options.add_options()("speed-spread", "Fastest executor's speed; the slowest has 1",
                          cxxopts::value<double>()->default_value("1"));
    options.add_options()("h,help", "Print this text");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0 || arguments.count("manifest") == 0) {
            std::cout << options.help();
            return arguments.count("help") > 0 ? 0 : 2;
        }
        return run(arguments["manifest"].as<std::string>(), arguments["speed-spread"].as<double>());
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
