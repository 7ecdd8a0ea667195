// Settings of one endivepathd.
#pragma once

#include "addresses.h"
#include "faultlist.h"

#include <base/ids.h>
#include <base/log.h>
#include <http/trafficlimits.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Settings {

class JsonReader;

struct PeerSettings
{
    Base::DaemonId daemon;
    Base::FailureDomainId domain;
    Endpoint endpoint;

    bool operator==(const PeerSettings &) const = default;
};

/// Limits of the resources that callers can use.
struct LimitSettings
{
    std::uint32_t maxBodyBytes = 8U << 20;
    std::uint32_t maxHeaderBytes = 16U << 10;
    std::uint32_t maxCallerConnections = 1000;
    std::uint32_t maxConcurrentJobs = 2000;
    std::uint32_t maxTasksPerJob = 2000;
    std::uint32_t maxQueuedTasks = 200'000;
    std::uint64_t maxRecordBytes = 128ULL << 20; // all records, of owned and replicated shards
    std::chrono::seconds retention{600};         // of request outcomes
    Http::TrafficLimits traffic;

    bool operator==(const LimitSettings &) const = default;
};

/// The defaults for a host that grants \a memoryMb of memory (MiB) and \a maxFds descriptors. A
/// request within the limits of the platform's desired state fits whatever the host.
LimitSettings limitsForHost(std::uint64_t memoryMb, std::uint64_t maxFds);

/// Reads the members that limit what callers can send.
void readCallerLimits(JsonReader &reader, LimitSettings &limits);

struct DrainSettings
{
    std::chrono::milliseconds notice{2000};  // from reporting not ready to refusing submissions
    std::chrono::milliseconds grace{30'000}; // after that, time limit for work in flight

    bool operator==(const DrainSettings &) const = default;
};

struct DaemonSettings
{
    Base::DaemonId daemon;
    Base::FailureDomainId domain;
    Endpoint callers;
    Endpoint operators;
    std::string operatorToken;
    Endpoint peerEndpoint;
    std::string peerKey;             // shared secret of all daemons
    std::vector<PeerSettings> peers; // all other daemons of the deployment
    std::string platformUrl;         // http://address:port
    std::chrono::milliseconds platformTimeout{2000};
    LimitSettings limits;
    DrainSettings drain;
    Base::LogLevel logLevel = Base::LogLevel::Info;

    bool operator==(const DaemonSettings &) const = default;
};

/// Parses and validates \a text, JSON with comments. Adds every fault to \a faults: unknown keys,
/// wrong types, missing members and values out of range. Returns std::nullopt if there is any.
std::optional<DaemonSettings> parseDaemonSettings(std::string_view text, FaultList &faults);

} // namespace Settings
