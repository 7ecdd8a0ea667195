// Parses manifests. The members are documented in docs/manifest.md.
#include "manifestreader.h"

#include "manifestcheck.h"
#include "manifestconstants.h"

#include <settings/addresses.h>
#include <settings/jsonreader.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Manifest {

using Settings::JsonReader;
using Settings::Presence;

static Resources readResources(JsonReader &reader)
{
    Resources resources;
    reader.readObject(
        "resources",
        [&resources](JsonReader &item) {
            const auto read = [&item](std::string_view name, double &out) {
                item.readNumber(name, out, 0, Constants::MAX_RESOURCE, Presence::Optional);
            };
            read("processors", resources.processors);
            read("memoryMb", resources.memoryMb);
            read("accelerators", resources.accelerators);
        },
        Presence::Optional);
    return resources;
}

/// Adds \a value to \a items. A duplicate id is a fault; an invalid id has already been reported.
template<class Items, class Item>
static void insertItem(JsonReader &reader, Items &items, Item value)
{
    if (value.id.isEmpty())
        return;
    const auto id = value.id;
    if (!items.try_emplace(id, std::move(value)).second)
        reader.addFault("id", fmt::format("\"{}\" occurs twice", id.value()));
}

static void readKind(JsonReader &reader, Manifest &manifest)
{
    Kind kind;
    reader.readId("id", kind.id);
    reader.readBool("job", kind.job, Presence::Optional);
    reader.readBool("repeatable", kind.repeatable, Presence::Optional);
    reader.readMilliseconds("deadlineMs", kind.deadline, 1, Constants::MAX_DEADLINE_MS);
    reader.readMilliseconds("declaredRunTimeMs", kind.declaredRunTime, 1,
                            Constants::MAX_DEADLINE_MS);
    kind.resources = readResources(reader);
    reader.readIds("upstreamGroups", kind.upstreamGroups);
    reader.readBool("duplicateStragglers", kind.duplicateStragglers, Presence::Optional);
    if (kind.job && kind.repeatable)
        reader.addFault("repeatable", "a job is never repeatable; remove the member");
    if (kind.duplicateStragglers && (kind.job || !kind.repeatable))
        reader.addFault("duplicateStragglers", "is allowed for repeatable single kinds only");
    insertItem(reader, manifest.kinds, std::move(kind));
}

static void readUpstream(JsonReader &reader, Manifest &manifest)
{
    Upstream upstream;
    reader.readId("id", upstream.id);
    reader.readId("group", upstream.group);
    reader.readId("domain", upstream.domain);
    if (reader.readString("url", upstream.url) && !Settings::isHttpUrl(upstream.url))
        reader.addFault("url", "must have the form http://IPv4:port");
    reader.readString("host", upstream.host);
    reader.readString("rack", upstream.rack);
    const bool slots = reader.readUnsigned("slots", upstream.slots, 1, Constants::MAX_SLOTS);
    if (reader.readUnsigned("connections", upstream.connections, 1, Constants::MAX_CONNECTIONS)
        && slots && upstream.connections < upstream.slots) {
        reader.addFault("connections", "must be at least slots, since each start holds one");
    }
    upstream.resources = readResources(reader);
    reader.readBool("fencing", upstream.fencing, Presence::Optional);
    insertItem(reader, manifest.upstreams, std::move(upstream));
}

static void readTeam(JsonReader &reader, Manifest &manifest)
{
    Team team;
    reader.readId("id", team.id);
    reader.readNumber("weight", team.weight, Constants::MIN_TEAM_WEIGHT, Constants::MAX_TEAM_WEIGHT,
                      Presence::Optional);
    reader.readUnsigned("maxConcurrentJobs", team.maxConcurrentJobs, 1);
    reader.readUnsigned("maxQueuedTasks", team.maxQueuedTasks, 1);
    insertItem(reader, manifest.teams, std::move(team));
}

std::optional<Manifest> parseManifest(std::string_view text, Settings::FaultList &faults)
{
    nlohmann::json document;
    if (!Settings::parseJson(text, Base::FailureCode::InvalidManifest, document, faults))
        return std::nullopt;
    JsonReader reader(document, faults, Base::FailureCode::InvalidManifest);
    Manifest manifest;
    std::uint64_t revision = 0;
    reader.readUnsigned("revision", revision, 1);
    manifest.revision = Base::Revision(revision);
    Internal::ReadParts parts;
    parts.domains = reader.readIds("domains", manifest.domains);
    reader.readUnsigned("shardsPerDomain", manifest.shardsPerDomain, 1,
                        Constants::MAX_SHARDS_PER_DOMAIN);
    reader.readObjects("kinds", [&manifest](JsonReader &item) { readKind(item, manifest); });
    parts.upstreams = reader.readObjects(
        "upstreams", [&manifest](JsonReader &item) { readUpstream(item, manifest); });
    reader.readObjects("teams", [&manifest](JsonReader &item) { readTeam(item, manifest); });
    reader.readObject("objective", [&manifest](JsonReader &item) {
        item.readNumber("wastedMessageCostMs", manifest.objective.wastedMessageCostMs, 0,
                        Constants::MAX_WASTED_MESSAGE_COST_MS);
    });
    reader.finish();
    Internal::checkReferences(document, manifest, parts, faults);
    if (reader.hasFaults())
        return std::nullopt;
    return manifest;
}

} // namespace Manifest
