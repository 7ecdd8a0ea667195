// Maps requests to shards.
#include "manifest.h"

#include <base/hash.h>
#include <base/softassert.h>

namespace Manifest {

/// Different seeds make the hash of the domain and that of the shard independent of each other.
static constexpr std::uint64_t DOMAIN_SEED = 1;
static constexpr std::uint64_t SHARD_SEED = 2;

/// The domain named by the part of \a key before the first colon; null if there is none.
static const Base::FailureDomainId *domainFromPrefix(const Manifest &manifest,
                                                     const std::string &key)
{
    const std::size_t colon = key.find(':');
    if (colon == std::string::npos)
        return nullptr;
    for (const Base::FailureDomainId &it : manifest.domains) {
        if (key.compare(0, colon, it.value()) == 0)
            return &it;
    }
    return nullptr;
}

Base::ShardId shardOf(const Manifest &manifest, const Base::RequestId &request)
{
    EP_ASSERT(!manifest.domains.empty() && manifest.shardsPerDomain > 0, return {});
    std::string identity = request.team.value();
    identity += '\0';
    identity += request.key.value();
    const Base::FailureDomainId *domain = domainFromPrefix(manifest, request.key.value());
    if (!domain) {
        const std::uint64_t hash = Base::stableHash(identity, DOMAIN_SEED);
        domain = &manifest.domains[hash % manifest.domains.size()];
    }
    const std::uint64_t shard = Base::stableHash(identity, SHARD_SEED) % manifest.shardsPerDomain;
    return {*domain, Base::ShardIndex(shard)};
}

} // namespace Manifest
