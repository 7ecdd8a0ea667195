// Command line of the daemon.
#include "daemon.h"
#include "platformdaemon.h"

#include <cxxopts.hpp>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#ifdef __GLIBC__
#include <malloc.h>
#endif

/// Exit codes, as documented in docs/operations.md.
static constexpr int EXIT_OK = 0;
static constexpr int EXIT_START_FAILED = 1;
static constexpr int EXIT_USAGE = 2;

/// By default the allocator raises the size from which it maps blocks to that of the largest one
/// that was freed. After the first large body, those of all callers are then on the heap, which
/// they fragment while they grow, and which does not shrink.
static void fixMappingThreshold()
{
#ifdef __GLIBC__
    static constexpr int MAPPED_BLOCK_BYTES = 128 << 10; // glibc's initial value
    mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES);
#endif
}

static int run(const std::string &path, bool isCheckOnly)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << "endivepathd: can't read settings file " << path << '\n';
        return EXIT_USAGE;
    }
    std::stringstream text;
    text << file.rdbuf();
    Settings::FaultList faults;
    auto settings = Settings::parseDaemonSettings(text.str(), faults);
    if (!settings) {
        for (const Settings::Fault &it : faults.faults())
            std::cerr << path << ": " << it.path << ": " << it.message << '\n';
        return EXIT_USAGE;
    }
    if (isCheckOnly)
        return EXIT_OK;
    std::signal(SIGPIPE, SIG_IGN);
    Daemon::DaemonProcess daemon(std::move(*settings));
    const absl::Status status = daemon.run();
    if (!status.ok()) {
        std::cerr << "endivepathd: " << status.message() << '\n';
        return EXIT_START_FAILED;
    }
    return EXIT_OK;
}

/// Environment variable with the path of the settings file on the users' platform.
static constexpr char SETTINGS_VARIABLE[] = "ENDIVEPATH_SETTINGS";

static int runOnPlatform(std::string path, bool isCheckOnly)
{
    if (path.empty()) {
        const char *variable = std::getenv(SETTINGS_VARIABLE);
        path = variable ? variable : "/etc/endivepath/settings.toml";
    }
    auto settings = Daemon::readPlatformSettings(path);
    if (!settings)
        return EXIT_USAGE;
    if (isCheckOnly)
        return EXIT_OK;
    std::signal(SIGPIPE, SIG_IGN);
    Daemon::PlatformDaemon daemon(std::move(*settings), path);
    const absl::Status status = daemon.run();
    if (!status.ok()) {
        std::cerr << "endivepathd: " << status.message() << '\n';
        return EXIT_START_FAILED;
    }
    return EXIT_OK;
}

int main(int argc, char **argv)
{
    fixMappingThreshold();
    cxxopts::Options options("endivepathd", "Dispatcher for sub-second tasks");
    options.add_options()("settings", "Settings file", cxxopts::value<std::string>());
    options.add_options()("platform", "Run on the users' platform; the settings file is by default "
                                      "the one that ENDIVEPATH_SETTINGS names");
    options.add_options()("check", "Check the settings file and exit");
    options.add_options()("h,help", "Print this text");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return EXIT_OK;
        }
        if (arguments.count("platform") > 0) {
            const bool hasPath = arguments.count("settings") > 0;
            return runOnPlatform(hasPath ? arguments["settings"].as<std::string>() : std::string(),
                                 arguments.count("check") > 0);
        }
        if (arguments.count("settings") == 0) {
            std::cerr << "endivepathd: --settings FILE is required; see --help\n";
            return EXIT_USAGE;
        }
        return run(arguments["settings"].as<std::string>(), arguments.count("check") > 0);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "endivepathd: " << error.what() << "; see --help\n";
        return EXIT_USAGE;
    }
}
