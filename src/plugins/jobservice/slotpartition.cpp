// Rendezvous hashing of slots.
#include "slotpartition.h"

#include <base/hash.h>

#include <fmt/format.h>

namespace JobService {

static const Base::DaemonId *slotOwner(const Base::UpstreamId &upstream, std::uint32_t slot,
                                       const std::vector<Base::DaemonId> &daemons)
{
    const Base::DaemonId *owner = nullptr;
    std::uint64_t highest = 0;
    for (const Base::DaemonId &it : daemons) {
        const std::uint64_t h =
            Base::stableHash(fmt::format("{}\n{}\n{}", upstream.value(), slot, it.value()));
        if (!owner || h > highest) {
            highest = h;
            owner = &it;
        }
    }
    return owner;
}

std::map<Base::UpstreamId, std::uint32_t> slotPartition(const Manifest::Manifest &manifest,
                                                        const Base::FailureDomainId &domain,
                                                        const std::vector<Base::DaemonId> &daemons,
                                                        const Base::DaemonId &self)
{
    std::map<Base::UpstreamId, std::uint32_t> shares;
    for (const auto &[id, upstream] : manifest.upstreams) {
        if (upstream.domain != domain)
            continue;
        std::uint32_t &share = shares[id];
        for (std::uint32_t slot = 0; slot < upstream.slots; ++slot) {
            const Base::DaemonId *owner = slotOwner(id, slot, daemons);
            if (owner && *owner == self)
                ++share;
        }
    }
    return shares;
}

} // namespace JobService
