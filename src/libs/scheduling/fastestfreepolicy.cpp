// Default placement policy: the fastest free slot, or none if waiting for a faster one is better.
#include "placementpolicy.h"

#include <algorithm>

namespace Scheduling {

bool PlacementQuery::isExcluded(UpstreamIndex upstream) const
{
    return excluded && std::binary_search(excluded->begin(), excluded->end(), upstream);
}

namespace {

/// Number of candidates compared to spread tasks over racks; bounds the cost of a decision.
constexpr int MAX_RACK_CANDIDATES = 8;
/// An upstream on which no task started for this long gets one, since its speed may have changed.
constexpr std::chrono::seconds SPEED_REFRESH_S{10};
/// Maximum fraction of the tasks that refresh speed estimates, so that p99 is not affected.
constexpr double REFRESH_FRACTION = 0.002;

class FastestFreePolicy : public PlacementPolicy
{
public:
    std::string_view name() const override { return "fastestFree"; }

    std::optional<UpstreamIndex> choose(const UpstreamPool &pool,
                                        const PlacementQuery &query) override
    {
        m_refreshCredit = std::min(1.0, m_refreshCredit + REFRESH_FRACTION);
        if (m_refreshCredit >= 1) {
            const auto stale = pool.staleUpstream(query.kind, query.now - SPEED_REFRESH_S);
            if (stale && !query.isExcluded(*stale)) {
                m_refreshCredit = 0;
                return stale;
            }
        }
        const auto &free = pool.freeBySpeed(query.kind);
        std::optional<UpstreamIndex> best;
        int bestBucket = 0;
        int candidates = 0;
        for (const UpstreamPool::FreeKey &it : free) {
            if (best && (it.bucket != bestBucket || ++candidates >= MAX_RACK_CANDIDATES))
                break;
            if (query.isExcluded(it.upstream))
                continue;
            if (!best || rackLoad(pool, it.upstream) < rackLoad(pool, *best))
                best = it.upstream;
            bestBucket = it.bucket;
        }
        if (best && !isProbe(pool, *best) && isWaitBetter(pool, query, bestBucket))
            return std::nullopt;
        return best;
    }

private:
    static std::size_t rackLoad(const UpstreamPool &pool, UpstreamIndex upstream)
    {
        return pool.rackInUse(pool.upstream(upstream).rack);
    }

    static bool isProbe(const UpstreamPool &pool, UpstreamIndex upstream)
    {
        return pool.upstream(upstream).health.isEjected();
    }

    /// Waiting delays this task and those behind it until the faster upstreams have drained the
    /// queue, at a rate of their capacity minus the arriving load. Waiting is better if that takes
    /// less time than the faster run saves. If the load exceeds the capacity of the faster
    /// upstreams, the queue never drains, and the slow slot is needed.
    static bool isWaitBetter(const UpstreamPool &pool, const PlacementQuery &query, int bucket)
    {
        const UpstreamPool::Capacity faster = pool.capacityAbove(query.kind, bucket);
        const double spare = faster.work - query.arrivingLoad;
        if (spare <= 0)
            return false;
        const double gainMs = query.workMs / SpeedEstimate::bucketSpeed(bucket)
                              - query.workMs * faster.slots / faster.work;
        const double waitMs = static_cast<double>(query.queued) * query.workMs / spare;
        return waitMs < gainMs;
    }

    double m_refreshCredit = 0;
};

} // namespace

std::unique_ptr<PlacementPolicy> makeFastestFreePolicy()
{
    return std::make_unique<FastestFreePolicy>();
}

} // namespace Scheduling
