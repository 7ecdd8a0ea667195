// Writes, hashes and compares manifests.
#include "manifestreader.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <array>
#include <set>

namespace Manifest {

using OrderedJson = nlohmann::ordered_json;

static OrderedJson toJson(const Resources &resources)
{
    return {{"processors", resources.processors},
            {"memoryMb", resources.memoryMb},
            {"accelerators", resources.accelerators}};
}

template<class Id>
static OrderedJson toJson(const std::vector<Id> &ids)
{
    OrderedJson array = OrderedJson::array();
    for (const Id &it : ids)
        array.push_back(it.value());
    return array;
}

static OrderedJson toJson(const Kind &kind)
{
    return {{"id", kind.id.value()},
            {"job", kind.job},
            {"repeatable", kind.repeatable},
            {"deadlineMs", kind.deadline.count()},
            {"declaredRunTimeMs", kind.declaredRunTime.count()},
            {"resources", toJson(kind.resources)},
            {"upstreamGroups", toJson(kind.upstreamGroups)},
            {"duplicateStragglers", kind.duplicateStragglers}};
}

static OrderedJson toJson(const Upstream &upstream)
{
    return {{"id", upstream.id.value()},
            {"group", upstream.group.value()},
            {"domain", upstream.domain.value()},
            {"url", upstream.url},
            {"host", upstream.host},
            {"rack", upstream.rack},
            {"slots", upstream.slots},
            {"connections", upstream.connections},
            {"resources", toJson(upstream.resources)},
            {"fencing", upstream.fencing}};
}

static OrderedJson toJson(const Team &team)
{
    return {{"id", team.id.value()},
            {"weight", team.weight},
            {"maxConcurrentJobs", team.maxConcurrentJobs},
            {"maxQueuedTasks", team.maxQueuedTasks}};
}

static OrderedJson toJson(const Objective &objective)
{
    OrderedJson object = OrderedJson::object();
    object["wastedMessageCostMs"] = objective.wastedMessageCostMs;
    return object;
}

template<class Items>
static OrderedJson itemsToJson(const Items &items)
{
    OrderedJson array = OrderedJson::array();
    for (const auto &[id, item] : items)
        array.push_back(toJson(item));
    return array;
}

static OrderedJson toJson(const Manifest &manifest)
{
    return {{"revision", manifest.revision.value()},        {"domains", toJson(manifest.domains)},
            {"shardsPerDomain", manifest.shardsPerDomain},  {"kinds", itemsToJson(manifest.kinds)},
            {"upstreams", itemsToJson(manifest.upstreams)}, {"teams", itemsToJson(manifest.teams)},
            {"objective", toJson(manifest.objective)}};
}

static std::string dump(const OrderedJson &value, int indent)
{
    return value.dump(indent, ' ', false, OrderedJson::error_handler_t::replace);
}

std::string writeManifest(const Manifest &manifest)
{
    return dump(toJson(manifest), 2) + '\n';
}

std::string manifestDigest(std::string_view body)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    if (EVP_Digest(body.data(), body.size(), digest.data(), &size, EVP_sha256(), nullptr) != 1)
        return {};
    std::string hex;
    for (unsigned int i = 0; i < size; ++i)
        hex += fmt::format("{:02x}", digest[i]);
    return hex;
}

static void diffMembers(const std::string &path, const OrderedJson &from, const OrderedJson &to,
                        std::vector<std::string> &lines)
{
    for (const auto &it : from.items()) {
        const std::string memberPath = path.empty() ? it.key() : path + '/' + it.key();
        const OrderedJson &other = to.at(it.key());
        if (it.value().is_object())
            diffMembers(memberPath, it.value(), other, lines);
        else if (it.value() != other)
            lines.push_back(memberPath + ": " + dump(it.value(), -1) + " -> " + dump(other, -1));
    }
}

template<class Items>
static void diffItems(const std::string &name, const Items &from, const Items &to,
                      std::vector<std::string> &lines)
{
    std::set<typename Items::key_type> ids;
    for (const auto &it : from)
        ids.insert(it.first);
    for (const auto &it : to)
        ids.insert(it.first);
    for (const auto &id : ids) {
        const std::string path = name + '/' + id.value();
        const auto fromItem = from.find(id);
        const auto toItem = to.find(id);
        if (fromItem == from.end())
            lines.push_back(path + ": added " + dump(toJson(toItem->second), -1));
        else if (toItem == to.end())
            lines.push_back(path + ": removed");
        else
            diffMembers(path, toJson(fromItem->second), toJson(toItem->second), lines);
    }
}

std::vector<std::string> diffManifests(const Manifest &from, const Manifest &to)
{
    std::vector<std::string> lines;
    const auto topLevelMembers = [](const Manifest &manifest) {
        return OrderedJson{{"revision", manifest.revision.value()},
                           {"domains", toJson(manifest.domains)},
                           {"shardsPerDomain", manifest.shardsPerDomain}};
    };
    diffMembers({}, topLevelMembers(from), topLevelMembers(to), lines);
    diffItems("kinds", from.kinds, to.kinds, lines);
    diffItems("upstreams", from.upstreams, to.upstreams, lines);
    diffItems("teams", from.teams, to.teams, lines);
    diffMembers("objective", toJson(from.objective), toJson(to.objective), lines);
    return lines;
}

} // namespace Manifest
