// Chooses the upstream on which the next task starts.
#pragma once

#include "upstreampool.h"

#include <memory>
#include <optional>
#include <string_view>

namespace Scheduling {

/// The task to place and the demand for the same slots.
struct PlacementQuery
{
    KindIndex kind;
    const std::vector<UpstreamIndex> *excluded = nullptr; // sorted
    double workMs = 0;                                    // mean run time at speed 1
    std::size_t queued = 0;  // tasks queued for these slots, including this one
    double arrivingLoad = 0; // arriving work for these slots, in ms per ms
    Base::TimePoint now;

    bool isExcluded(UpstreamIndex upstream) const;
};

/// Places tasks in free slots only. All policies take tasks from the same queue once a slot is
/// free, so that comparing them with the baselines shows the effect of the choice of upstream
/// alone.
class PlacementPolicy
{
public:
    virtual ~PlacementPolicy() = default;

    virtual std::string_view name() const = 0;
    /// Returns nothing if all free upstreams are excluded or the task is to wait for a better slot.
    virtual std::optional<UpstreamIndex> choose(const UpstreamPool &pool,
                                                const PlacementQuery &query) = 0;
};

/// The default policy.
std::unique_ptr<PlacementPolicy> makeFastestFreePolicy();
/// Baseline policies for comparison.
std::unique_ptr<PlacementPolicy> makeRandomPolicy(std::uint64_t seed);
std::unique_ptr<PlacementPolicy> makeRoundRobinPolicy();
std::unique_ptr<PlacementPolicy> makeLeastOutstandingPolicy();

} // namespace Scheduling
