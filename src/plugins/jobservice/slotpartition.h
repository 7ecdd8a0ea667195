// Which slots of the domain's upstreams this daemon may use.
#pragma once

#include <base/ids.h>
#include <manifest/manifest.h>

#include <cstdint>
#include <map>
#include <vector>

namespace JobService {

/// Gives each slot to one daemon by rendezvous hashing, so that daemons that agree on \a daemons
/// never use the same slot, and a change of the set moves few slots.
std::map<Base::UpstreamId, std::uint32_t> slotPartition(const Manifest::Manifest &manifest,
                                                        const Base::FailureDomainId &domain,
                                                        const std::vector<Base::DaemonId> &daemons,
                                                        const Base::DaemonId &self);

} // namespace JobService
