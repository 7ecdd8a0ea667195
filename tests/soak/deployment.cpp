// Set-up of the deployment, and the desired state.
#include "deployment.h"

namespace Soak {

using nlohmann::json;

Deployment::Deployment(const DeploymentOptions &deploymentOptions)
    : options(deploymentOptions)
    , journal(options.folder + "/soak.log")
    , store(io, timers,
            [this](std::size_t reader, const std::string &table, const std::string &key,
                   const std::string &value) { return viewOf(reader, table, key, value); })
    , daemons(io, timers, journal, options.folder, options.daemon)
    , executors(io, timers, store, ledger, journal, options.seed + 1)
    , callers(io, timers, daemons, ledger, journal, options.seed + 2)
    , crowds(io, timers, daemons, journal)
{
    static const char *const ZONES[] = {"north", "south", "west"};
    static constexpr double FLEET_SPEEDS[] = {0.7, 0.7, 1.7};
    const std::size_t zones = options.isFleet ? 3 : 2;
    callers.setHasShortJobs(options.isFleet);
    for (std::size_t i = 0; i < options.daemons; ++i) {
        const std::uint16_t storePort = freePort();
        store.listen(storePort);
        daemons.add(ZONES[i % zones], storePort);
    }
    for (std::size_t i = 0; i < options.executors; ++i) {
        std::vector<std::uint16_t> relayPorts;
        for (std::size_t daemon = 0; daemon < options.daemons; ++daemon)
            relayPorts.push_back(freePort());
        const bool isGuarded = !options.isFleet && i % 4 == 3;
        executors.add(isGuarded ? "guarded" : "plain", ZONES[i / 2 % zones], freePort(),
                      relayPorts);
        if (options.isFleet)
            executors.setSpeed(i, FLEET_SPEEDS[i % 3]);
    }
    changeDesiredState(1);
}

bool Deployment::waitUntil(const std::function<bool()> &condition, Milliseconds limit)
{
    const Base::TimePoint end = timers.now() + limit;
    while (!condition()) {
        if (timers.now() >= end)
            return false;
        io.run_for(Milliseconds(10));
    }
    return true;
}

/// A daemon finds executors and other daemons at its own relays.
std::string Deployment::viewOf(std::size_t reader, const std::string &table, const std::string &key,
                               const std::string &value) const
{
    json document = json::parse(value, nullptr, false);
    if (table == "servers") {
        const std::uint16_t port = executors.relayPort(Executors::indexOf(key), reader);
        document["address"] = fmt::format("127.0.0.1:{}", port);
    } else if (table == "daemons") {
        document["port"] = daemons.peerPortFor(reader, key);
    }
    return document.dump();
}

void Deployment::changeDesiredState(std::uint64_t variant)
{
    const auto route = [variant](const char *queue, const char *service, std::uint64_t priority) {
        return json{{"name", queue},
                    {"host", "soak.example"},
                    {"pathPrefix", fmt::format("/{}/", queue)},
                    {"service", service},
                    {"priority", priority},
                    {"maxAttempts", MAX_TASK_ATTEMPTS},
                    {"stretch", 2 + variant % 3},
                    {"targetCompletionMs", 3000 + variant % 5 * 500},
                    {"timeoutMs", CALLER_DEADLINE_MS.count()}};
    };
    json routes = {route("batch", "plain", 1), route("guarded", "guarded", variant % 2)};
    const bool hasExtraQueue = variant % 2 == 0;
    if (hasExtraQueue)
        routes.push_back(route(EXTRA_QUEUE, "plain", 0));
    callers.setHasExtraQueue(hasExtraQueue);
    m_version += 1 + variant % 3;
    const json services = {{{"name", "plain"}, {"rejectsOverload", false}},
                           {{"name", "guarded"}, {"rejectsOverload", true}}};
    store.put("op", "config",
              json({{"version", m_version},
                    {"routes", routes},
                    {"services", services},
                    {"limits", {{"maxBodyBytes", 1'000'000}}}})
                  .dump());
}

} // namespace Soak
