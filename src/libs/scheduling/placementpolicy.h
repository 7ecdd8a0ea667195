// Chooses the upstream on which the next task starts.
#pragma once

#include "upstreampool.h"

#include <memory>
#include <optional>
#include <string_view>

namespace Scheduling {

/// The task to place and what else wants the same slots.
struct PlacementQuery
{
    KindIndex kind;
    const std::vector<UpstreamIndex> *excluded = nullptr; // sorted
    double workMs = 0;                                    // mean run time at speed 1
    std::size_t waiting = 0; // tasks that wait for these slots, this one included
    double arrivingLoad = 0; // work that arrives for these slots, in ms per ms
    Base::TimePoint now;

    bool isExcluded(UpstreamIndex upstream) const;
};

/// Places a task only where a slot is free. The baselines bind as late as the product's policy
/// does, from the same queue, so that a comparison shows the choice of the upstream alone.
class PlacementPolicy
{
public:
    virtual ~PlacementPolicy() = default;

    virtual std::string_view name() const = 0;
    /// Nothing if all free upstreams are excluded or if the task ought to wait for a better slot.
    virtual std::optional<UpstreamIndex> choose(const UpstreamPool &pool,
                                                const PlacementQuery &query) = 0;
};

/// The product's policy.
std::unique_ptr<PlacementPolicy> makeFastestFreePolicy();
/// Baselines.
std::unique_ptr<PlacementPolicy> makeRandomPolicy(std::uint64_t seed);
std::unique_ptr<PlacementPolicy> makeRoundRobinPolicy();
std::unique_ptr<PlacementPolicy> makeLeastOutstandingPolicy();

} // namespace Scheduling
