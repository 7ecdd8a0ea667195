// Checks references within a manifest and the transition between two revisions.
#include "manifestcheck.h"

#include "manifestreader.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace Manifest {

static constexpr Base::FailureCode CODE = Base::FailureCode::InvalidManifest;

static bool fits(const Resources &need, const Resources &available)
{
    return need.processors <= available.processors && need.memoryMb <= available.memoryMb
           && need.accelerators <= available.accelerators;
}

static std::string arrayPath(const char *array, std::size_t index, const char *member)
{
    return fmt::format("/{}/{}/{}", array, index, member);
}

/// Calls \a handler with the index and the value of each item of \a array that was read into
/// \a items. Only the first occurrence of a duplicate id counts.
template<class Items, class Handler>
static void forEachItem(const nlohmann::json &document, const char *array, const Items &items,
                        const Handler &handler)
{
    const auto it = document.is_object() ? document.find(array) : document.end();
    if (it == document.end() || !it->is_array())
        return;
    std::set<typename Items::key_type> seen;
    for (std::size_t i = 0; i < it->size(); ++i) {
        const nlohmann::json &object = (*it)[i];
        if (!object.is_object() || !object.contains("id") || !object["id"].is_string())
            continue;
        const typename Items::key_type id(object["id"].template get<std::string>());
        const auto item = items.find(id);
        if (item != items.end() && seen.insert(id).second)
            handler(i, item->second);
    }
}

static void checkUpstreams(const nlohmann::json &document, const Manifest &manifest,
                           bool domainsRead, Settings::FaultList &faults)
{
    std::map<std::string, Base::UpstreamId> urls;
    forEachItem(document, "upstreams", manifest.upstreams, [&](std::size_t i, const Upstream &it) {
        const auto &domains = manifest.domains;
        const bool known = std::find(domains.begin(), domains.end(), it.domain) != domains.end();
        if (domainsRead && !it.domain.isEmpty() && !known) {
            faults.add(arrayPath("upstreams", i, "domain"), CODE,
                       fmt::format("\"{}\" is not in /domains", it.domain.value()));
        }
        if (it.url.empty())
            return;
        const auto [other, inserted] = urls.try_emplace(it.url, it.id);
        if (!inserted) {
            faults.add(arrayPath("upstreams", i, "url"), CODE,
                       fmt::format("is also the url of \"{}\"", other->second.value()));
        }
    });
}

static void checkKind(std::size_t index, const Kind &kind, const Manifest &manifest,
                      Settings::FaultList &faults)
{
    // For each domain with upstreams of the kind's groups: whether one of them is large enough.
    std::map<Base::FailureDomainId, bool> servable;
    std::set<Base::UpstreamGroupId> foundGroups;
    for (const auto &[id, upstream] : manifest.upstreams) {
        const auto &groups = kind.upstreamGroups;
        if (std::find(groups.begin(), groups.end(), upstream.group) == groups.end())
            continue;
        foundGroups.insert(upstream.group);
        // An unknown domain has already been reported for the upstream.
        const auto &domains = manifest.domains;
        if (std::find(domains.begin(), domains.end(), upstream.domain) == domains.end())
            continue;
        bool &domainServable = servable[upstream.domain];
        domainServable = domainServable || fits(kind.resources, upstream.resources);
    }
    for (std::size_t i = 0; i < kind.upstreamGroups.size(); ++i) {
        if (!foundGroups.contains(kind.upstreamGroups[i])) {
            faults.add(
                arrayPath("kinds", index, "upstreamGroups") + '/' + std::to_string(i), CODE,
                fmt::format("no upstream is in the group \"{}\"", kind.upstreamGroups[i].value()));
        }
    }
    for (const auto &[domain, ok] : servable) {
        if (!ok) {
            faults.add(arrayPath("kinds", index, "resources"), CODE,
                       fmt::format("no upstream of the kind's groups in domain \"{}\" has enough "
                                   "resources for one task",
                                   domain.value()));
        }
    }
}

void Internal::checkReferences(const nlohmann::json &document, const Manifest &manifest,
                               const ReadParts &parts, Settings::FaultList &faults)
{
    checkUpstreams(document, manifest, parts.domains, faults);
    if (!parts.upstreams)
        return;
    forEachItem(document, "kinds", manifest.kinds,
                [&](std::size_t i, const Kind &it) { checkKind(i, it, manifest, faults); });
}

void checkSuccessor(const Manifest &current, const Manifest &next, Settings::FaultList &faults)
{
    if (next.revision <= current.revision) {
        faults.add(
            "/revision", CODE,
            fmt::format("must be higher than the current revision {}", current.revision.value()));
    }
    if (next.domains != current.domains) {
        faults.add("/domains", Base::FailureCode::PlacementChanged,
                   "must list the current domains in the same order; otherwise keys would move "
                   "to another home domain");
    }
    if (next.shardsPerDomain != current.shardsPerDomain) {
        faults.add("/shardsPerDomain", Base::FailureCode::PlacementChanged,
                   fmt::format("must stay {}; otherwise keys would move to another shard",
                               current.shardsPerDomain));
    }
}

} // namespace Manifest
