// Upstreams that this daemon may use, with slots, resources, racks, speeds and health.
#pragma once

#include "schedulingconstants.h"
#include "schedulingtypes.h"
#include "speedestimate.h"
#include "taskscheduler.h"
#include "upstreamhealth.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Scheduling {

/// State of one upstream.
struct UpstreamState
{
    Base::UpstreamId id;
    std::size_t rack = 0;
    Manifest::Resources resources;
    std::vector<KindIndex> kinds; // kinds that it can run, by group and resources
    bool leaving = false;
    std::uint32_t slots = 0; // this daemon's share
    std::uint32_t inUse = 0;
    Manifest::Resources used;
    SpeedEstimate speed;
    UpstreamHealth health;
    Base::TimePoint lastStart;

    /// Whether regular work may start here, given a free slot.
    bool isUsable() const { return slots > 0 && !leaving && !health.isEjected(); }
};

/// Properties of a kind that the pool uses.
struct PoolKind
{
    Base::KindId id;
    Manifest::Resources resources;
    std::vector<Base::UpstreamGroupId> upstreamGroups;
};

/// Upstreams with a free slot are indexed by kind and speed. Starting and finishing a task cost
/// O(log n) in the number of upstreams, times the number of kinds of the upstream for which the
/// availability of a free slot changes.
class UpstreamPool
{
public:
    /// Usable slots, and the work that they do, in ms per ms.
    struct Capacity
    {
        double work = 0;
        std::uint32_t slots = 0;
    };

    /// Fastest first.
    struct FreeKey
    {
        int bucket = 0;
        UpstreamIndex upstream;

        bool operator<(const FreeKey &other) const
        {
            return bucket != other.bucket ? bucket > other.bucket : upstream < other.upstream;
        }
    };

    /// \a kinds is indexed by KindIndex. Upstreams no longer in \a upstreams get no new work.
    void setUpstreams(const std::map<Base::UpstreamId, Manifest::Upstream> &upstreams,
                      std::vector<PoolKind> kinds);
    void setAvailability(const std::map<Base::UpstreamId, UpstreamAvailability> &availability);

    void taskStarted(UpstreamIndex upstream, const Manifest::Resources &resources,
                     Base::TimePoint now);
    /// Frees the slot and \a resources, which must be those given to taskStarted(), and updates the
    /// speed and health of the upstream. For \a kindLogMean see SpeedEstimate::add().
    void taskFinished(UpstreamIndex upstream, const Manifest::Resources &resources,
                      TaskResult result, Base::Duration runTime, double kindLogMean,
                      Base::TimePoint now);

    /// Makes each ejected upstream whose probe is due available for one task.
    void updateProbes(Base::TimePoint now);
    /// Next time at which updateProbes() has to be called; TimePoint::max() if there is none.
    Base::TimePoint nextProbe() const;

    bool hasFree(KindIndex kind) const { return !at(m_byKind, kind).free.empty(); }
    const std::set<FreeKey> &freeBySpeed(KindIndex kind) const { return at(m_byKind, kind).free; }
    const std::vector<UpstreamIndex> &freeUpstreams(KindIndex kind) const
    {
        return at(m_byKind, kind).freeList;
    }
    /// Returns a usable upstream with a free slot for \a kind whose last start was before \a since.
    std::optional<UpstreamIndex> staleUpstream(KindIndex kind, Base::TimePoint since) const;
    /// Sum of slots times speed over the usable upstreams of \a kind.
    double capacity(KindIndex kind) const { return at(m_byKind, kind).capacity; }
    /// The part of capacity() and usableSlots() that is faster than \a bucket.
    Capacity capacityAbove(KindIndex kind, int bucket) const;
    std::uint32_t usableSlots(KindIndex kind) const { return at(m_byKind, kind).slots; }
    /// Speed of the slowest usable upstream of \a kind; 1 if there is none.
    double slowestSpeed(KindIndex kind) const;
    const Manifest::Resources &resources(KindIndex kind) const
    {
        return at(m_kinds, kind).resources;
    }
    /// Number of declared upstreams that can run \a kind, available or not.
    std::size_t declaredCount(KindIndex kind) const { return at(m_byKind, kind).declared; }
    /// Number of available upstreams for \a kind that are not leaving, including those where other
    /// daemons have all slots.
    std::size_t listedCount(KindIndex kind) const { return at(m_byKind, kind).listed; }
    /// Whether there is an upstream that can run both kinds.
    bool overlap(KindIndex a, KindIndex b) const { return at(at(m_overlap, a), b); }

    const UpstreamState &upstream(UpstreamIndex index) const { return at(m_upstreams, index); }
    const UpstreamIndex *find(const Base::UpstreamId &id) const;
    std::size_t ejectedCount() const { return m_ejected.size(); }
    std::size_t rackInUse(std::size_t rack) const { return m_rackInUse[rack]; }
    std::size_t kindCount() const { return m_kinds.size(); }

private:
    struct KindState
    {
        std::set<FreeKey> free;
        std::vector<UpstreamIndex> freeList; // the same upstreams, unordered
        std::vector<std::size_t> position;   // by UpstreamIndex: 1 + index in freeList, 0 if absent
        std::array<std::uint32_t, Constants::SPEED_BUCKETS> slotsByBucket{}; // usable slots
        double capacity = 0;
        std::uint32_t slots = 0;
        std::size_t declared = 0;
        std::size_t listed = 0;
    };

    bool canStart(const UpstreamState &upstream, KindIndex kind) const;
    void updateFreeIndex(UpstreamIndex index);
    void rebuild();
    void applyAvailability();
    void updateSpeed(UpstreamIndex index, Base::Duration runTime, double kindLogMean);
    std::size_t rackIndex(const std::string &rack);
    bool mayEject() const;

    std::vector<PoolKind> m_kinds;
    std::vector<KindState> m_byKind;
    std::vector<std::vector<bool>> m_overlap;
    std::vector<UpstreamState> m_upstreams; // never shrinks: tasks may still be running there
    std::vector<bool> m_listed;             // available and not leaving
    std::map<Base::UpstreamId, UpstreamAvailability> m_availability;
    std::map<Base::UpstreamId, UpstreamIndex> m_indexOf;
    std::map<std::string, std::size_t> m_rackOf;
    std::vector<std::size_t> m_rackInUse;
    std::set<std::pair<Base::TimePoint, UpstreamIndex>> m_byLastStart;
    std::set<UpstreamIndex> m_ejected;
    std::set<UpstreamIndex> m_probing; // ejected and available for one task
    double m_failureRate = 0;
};

} // namespace Scheduling
