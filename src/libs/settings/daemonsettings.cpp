// Reads and validates the settings of a daemon. docs/settings.md describes the members.
#include "daemonsettings.h"

#include "addresses.h"
#include "jsonreader.h"
#include "settingsconstants.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace Settings {

static void readEndpoint(JsonReader &reader, std::string_view name, Endpoint &endpoint)
{
    reader.readObject(name, [&endpoint](JsonReader &item) {
        if (item.readString("address", endpoint.address) && !isIpAddress(endpoint.address))
            item.addFault("address", "must be a numeric IP address");
        item.readUnsigned("port", endpoint.port, 1, Constants::MAX_PORT);
    });
}

LimitSettings limitsForHost(std::uint64_t memoryMb, std::uint64_t maxFds)
{
    const std::uint64_t memory = memoryMb << 20;
    LimitSettings limits;
    limits.maxBodyBytes = Constants::HOST_BODY_BYTES;
    limits.traffic.maxConnectionBytes = Constants::LARGEST_REQUEST_COST_BYTES;
    limits.traffic.maxRequestBytes =
        std::max(memory / Constants::REQUEST_MEMORY_DIVISOR, Constants::LARGEST_REQUEST_COST_BYTES);
    limits.traffic.maxAnswerBytes = memory / Constants::ANSWER_MEMORY_DIVISOR;
    limits.maxCallerConnections = static_cast<std::uint32_t>(
        std::min(memoryMb * Constants::CONNECTIONS_PER_MB, maxFds / Constants::FDS_DIVISOR));
    limits.traffic.receiveBufferBytes =
        std::max(memory / Constants::RECEIVE_MEMORY_DIVISOR / limits.maxCallerConnections,
                 Constants::MIN_RECEIVE_BUFFER_BYTES);
    return limits;
}

void readCallerLimits(JsonReader &reader, LimitSettings &limits)
{
    Http::TrafficLimits &traffic = limits.traffic;
    reader.readUnsigned("maxBodyBytes", limits.maxBodyBytes, 1, Constants::MAX_BODY_BYTES,
                        Presence::Optional);
    reader.readUnsigned("maxHeaderBytes", limits.maxHeaderBytes, Constants::MIN_HEADER_BYTES,
                        Constants::MAX_HEADER_BYTES, Presence::Optional);
    reader.readUnsigned("maxCallerConnections", limits.maxCallerConnections, 1,
                        std::numeric_limits<std::uint32_t>::max(), Presence::Optional);
    const auto readBytes = [&reader](std::string_view name, std::size_t &bytes) {
        reader.readUnsigned(name, bytes, Constants::MIN_BUDGET_BYTES, Constants::MAX_BUDGET_BYTES,
                            Presence::Optional);
    };
    readBytes("maxRequestBytes", traffic.maxRequestBytes);
    readBytes("maxConnectionBytes", traffic.maxConnectionBytes);
    readBytes("maxAnswerBytes", traffic.maxAnswerBytes);
    reader.readUnsigned("receiveBufferBytes", traffic.receiveBufferBytes,
                        Constants::MIN_RECEIVE_BUFFER_BYTES, Constants::MAX_RECEIVE_BUFFER_BYTES,
                        Presence::Optional);
    const auto readTimeout = [&reader](std::string_view name, std::chrono::milliseconds &timeout) {
        reader.readMilliseconds(name, timeout, Constants::MIN_CALLER_TIMEOUT_MS,
                                Constants::MAX_TIMEOUT_MS, Presence::Optional);
    };
    readTimeout("headerTimeoutMs", traffic.headerTimeout);
    readTimeout("bodyTimeoutMs", traffic.bodyTimeout);
    readTimeout("idleTimeoutMs", traffic.idleTimeout);
    reader.readMilliseconds("keptIdleMs", traffic.keptIdleTime, 0, Constants::MAX_TIMEOUT_MS,
                            Presence::Optional);
    const std::size_t largest = std::size_t(limits.maxBodyBytes) + limits.maxHeaderBytes;
    if (traffic.maxConnectionBytes < largest) {
        reader.addFault("maxConnectionBytes",
                        fmt::format("{} must be at least maxBodyBytes and maxHeaderBytes, {}",
                                    traffic.maxConnectionBytes, largest));
    }
    if (traffic.maxRequestBytes < traffic.maxConnectionBytes) {
        reader.addFault("maxRequestBytes",
                        fmt::format("{} must be at least maxConnectionBytes, {}",
                                    traffic.maxRequestBytes, traffic.maxConnectionBytes));
    }
}

static void readLimits(JsonReader &reader, LimitSettings &limits)
{
    readCallerLimits(reader, limits);
    const auto readCount = [&reader](std::string_view name, auto &count) {
        reader.readUnsigned(name, count, 1, std::numeric_limits<std::uint32_t>::max(),
                            Presence::Optional);
    };
    readCount("maxConcurrentJobs", limits.maxConcurrentJobs);
    readCount("maxTasksPerJob", limits.maxTasksPerJob);
    readCount("maxQueuedTasks", limits.maxQueuedTasks);
    reader.readUnsigned("maxRecordBytes", limits.maxRecordBytes, 1,
                        std::numeric_limits<std::uint64_t>::max(), Presence::Optional);
    std::uint64_t seconds = 0;
    if (reader.readUnsigned("retentionSeconds", seconds, 1, Constants::MAX_RETENTION_SECONDS,
                            Presence::Optional)) {
        limits.retention = std::chrono::seconds(seconds);
    }
}

static void readDrain(JsonReader &reader, DrainSettings &drain)
{
    reader.readMilliseconds("noticeMs", drain.notice, 0, Constants::MAX_TIMEOUT_MS,
                            Presence::Optional);
    reader.readMilliseconds("graceMs", drain.grace, 1, Constants::MAX_TIMEOUT_MS,
                            Presence::Optional);
}

static void readLogLevel(JsonReader &reader, Base::LogLevel &level)
{
    std::string name;
    if (reader.readString("logLevel", name, Presence::Optional)
        && !Base::parseLogLevel(name, level)) {
        reader.addFault("logLevel", "must be debug, info, warning or error");
    }
}

/// Whether one host can't listen on both endpoints at the same time.
static bool endpointsConflict(const Endpoint &a, const Endpoint &b)
{
    if (a.port == 0 || a.port != b.port)
        return false;
    return a.address == b.address || isUnspecifiedAddress(a.address)
           || isUnspecifiedAddress(b.address);
}

static void checkOwnEndpoints(JsonReader &reader, const DaemonSettings &settings)
{
    if (endpointsConflict(settings.operators, settings.callers))
        reader.addFault("operators", "must differ from callers");
    if (endpointsConflict(settings.peerEndpoint, settings.callers))
        reader.addFault("peerEndpoint", "must differ from callers");
    if (endpointsConflict(settings.peerEndpoint, settings.operators))
        reader.addFault("peerEndpoint", "must differ from operators");
}

static void readPeers(JsonReader &reader, DaemonSettings &settings)
{
    reader.readObjects("peers", [&settings](JsonReader &item) {
        PeerSettings peer;
        if (item.readId("daemon", peer.daemon)) {
            if (peer.daemon == settings.daemon)
                item.addFault("daemon", "is this daemon's own id");
            for (const PeerSettings &it : settings.peers) {
                if (it.daemon == peer.daemon)
                    item.addFault("daemon",
                                  fmt::format("\"{}\" occurs twice", peer.daemon.value()));
            }
        }
        item.readId("domain", peer.domain);
        readEndpoint(item, "endpoint", peer.endpoint);
        if (peer.endpoint.port != 0) {
            if (peer.endpoint == settings.peerEndpoint)
                item.addFault("endpoint", "is this daemon's own peerEndpoint");
            for (const PeerSettings &it : settings.peers) {
                if (it.endpoint == peer.endpoint)
                    item.addFault("endpoint",
                                  fmt::format("is also the endpoint of \"{}\"", it.daemon.value()));
            }
        }
        settings.peers.push_back(std::move(peer));
    });
}

std::optional<DaemonSettings> parseDaemonSettings(std::string_view text, FaultList &faults)
{
    nlohmann::json document;
    if (!parseJson(text, Base::FailureCode::InvalidSettings, document, faults))
        return std::nullopt;
    JsonReader reader(document, faults, Base::FailureCode::InvalidSettings);
    DaemonSettings settings;
    reader.readId("daemon", settings.daemon);
    reader.readId("domain", settings.domain);
    readEndpoint(reader, "callers", settings.callers);
    readEndpoint(reader, "operators", settings.operators);
    reader.readString("operatorToken", settings.operatorToken, Presence::Required,
                      Constants::MIN_SECRET_LENGTH);
    readEndpoint(reader, "peerEndpoint", settings.peerEndpoint);
    reader.readString("peerKey", settings.peerKey, Presence::Required,
                      Constants::MIN_SECRET_LENGTH);
    checkOwnEndpoints(reader, settings);
    readPeers(reader, settings);
    if (reader.readString("platformUrl", settings.platformUrl) && !isHttpUrl(settings.platformUrl))
        reader.addFault("platformUrl", "must have the form http://IPv4:port");
    reader.readMilliseconds("platformTimeoutMs", settings.platformTimeout, 1,
                            Constants::MAX_TIMEOUT_MS, Presence::Optional);
    reader.readObject(
        "limits", [&settings](JsonReader &item) { readLimits(item, settings.limits); },
        Presence::Optional);
    reader.readObject(
        "drain", [&settings](JsonReader &item) { readDrain(item, settings.drain); },
        Presence::Optional);
    readLogLevel(reader, settings.logLevel);
    reader.finish();
    if (reader.hasFaults())
        return std::nullopt;
    return settings;
}

} // namespace Settings
