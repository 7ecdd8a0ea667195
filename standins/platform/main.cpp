// Stand-in for the platform's table, object store and host list. Not shipped.
#include "platformserver.h"

#include <base/asiotimers.h>
#include <base/log.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <cxxopts.hpp>

#include <iostream>

int main(int argc, char **argv)
{
    cxxopts::Options options("platformstandin", "Stand-in for the platform's services");
    options.add_options()("address", "IP address to listen on",
                          cxxopts::value<std::string>()->default_value("127.0.0.1"));
    options.add_options()("port", "TCP port",
                          cxxopts::value<std::uint16_t>()->default_value("7000"));
    options.add_options()("h,help", "Print this text");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        asio::io_context io(1);
        Base::AsioTimers timers(io);
        Http::ServerOptions serverOptions;
        serverOptions.address = arguments["address"].as<std::string>();
        serverOptions.port = arguments["port"].as<std::uint16_t>();
        PlatformStandin::PlatformServer server(io, timers, serverOptions);
        const absl::Status status = server.open();
        if (!status.ok()) {
            std::cerr << status << '\n';
            return 1;
        }
        asio::signal_set signals(io, SIGINT, SIGTERM);
        signals.async_wait([&io](const asio::error_code &, int) { io.stop(); });
        Base::log(Base::LogLevel::Info, "started", {{"port", serverOptions.port}});
        io.run();
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
    return 0;
}
