// Baseline policies for comparison: random, round robin and least outstanding. Each uses any
// upstream with a free slot and never waits for a better one.
#include "placementpolicy.h"

#include <algorithm>
#include <random>

namespace Scheduling {

namespace {

class RandomPolicy : public PlacementPolicy
{
public:
    explicit RandomPolicy(std::uint64_t seed)
        : m_random(seed)
    {}

    std::string_view name() const override { return "random"; }

    std::optional<UpstreamIndex> choose(const UpstreamPool &pool,
                                        const PlacementQuery &query) override
    {
        const auto &free = pool.freeUpstreams(query.kind);
        const std::size_t first = free.empty() ? 0 : m_random() % free.size();
        for (std::size_t i = 0; i < free.size(); ++i) {
            const UpstreamIndex it = free[(first + i) % free.size()];
            if (!query.isExcluded(it))
                return it;
        }
        return std::nullopt;
    }

private:
    std::mt19937_64 m_random;
};

class RoundRobinPolicy : public PlacementPolicy
{
public:
    std::string_view name() const override { return "roundRobin"; }

    std::optional<UpstreamIndex> choose(const UpstreamPool &pool,
                                        const PlacementQuery &query) override
    {
        std::optional<UpstreamIndex> next;
        std::optional<UpstreamIndex> first;
        for (const UpstreamIndex it : pool.freeUpstreams(query.kind)) {
            if (query.isExcluded(it))
                continue;
            if (!first || it < *first)
                first = it;
            if (it > m_last && (!next || it < *next))
                next = it;
        }
        const std::optional<UpstreamIndex> chosen = next ? next : first;
        if (chosen)
            m_last = *chosen;
        return chosen;
    }

private:
    UpstreamIndex m_last;
};

class LeastOutstandingPolicy : public PlacementPolicy
{
public:
    std::string_view name() const override { return "leastOutstanding"; }

    std::optional<UpstreamIndex> choose(const UpstreamPool &pool,
                                        const PlacementQuery &query) override
    {
        std::optional<UpstreamIndex> best;
        for (const UpstreamIndex it : pool.freeUpstreams(query.kind)) {
            if (query.isExcluded(it))
                continue;
            if (!best || pool.upstream(it).inUse < pool.upstream(*best).inUse)
                best = it;
        }
        return best;
    }
};

} // namespace

std::unique_ptr<PlacementPolicy> makeRandomPolicy(std::uint64_t seed)
{
    return std::make_unique<RandomPolicy>(seed);
}

std::unique_ptr<PlacementPolicy> makeRoundRobinPolicy()
{
    return std::make_unique<RoundRobinPolicy>();
}

std::unique_ptr<PlacementPolicy> makeLeastOutstandingPolicy()
{
    return std::make_unique<LeastOutstandingPolicy>();
}

} // namespace Scheduling
