// Slots, resources, speeds and health of the upstreams.
#include "upstreampool.h"

#include <base/log.h>
#include <base/softassert.h>

#include <algorithm>

namespace Scheduling {

/// Weight of the newest result in the failure rate of the pool.
static constexpr double POOL_RATE_NEWEST_WEIGHT = 0.01;
/// Upstreams that are leaving or full can come before the first eligible one; bounds the search.
static constexpr int MAX_STALE_CANDIDATES = 64;
/// Allows for rounding errors in sums of resources.
static constexpr double RESOURCE_TOLERANCE = 1e-6;

static bool fits(const Manifest::Resources &need, const Manifest::Resources &used,
                 const Manifest::Resources &total)
{
    return used.processors + need.processors <= total.processors + RESOURCE_TOLERANCE
           && used.memoryMb + need.memoryMb <= total.memoryMb + RESOURCE_TOLERANCE
           && used.accelerators + need.accelerators <= total.accelerators + RESOURCE_TOLERANCE;
}

static void addResources(Manifest::Resources &sum, const Manifest::Resources &term, double sign)
{
    sum.processors += sign * term.processors;
    sum.memoryMb += sign * term.memoryMb;
    sum.accelerators += sign * term.accelerators;
}

std::size_t UpstreamPool::rackIndex(const std::string &rack)
{
    const auto [it, inserted] = m_rackOf.emplace(rack, m_rackInUse.size());
    if (inserted)
        m_rackInUse.push_back(0);
    return it->second;
}

void UpstreamPool::setUpstreams(const std::map<Base::UpstreamId, Manifest::Upstream> &upstreams,
                                std::vector<PoolKind> kinds)
{
    m_kinds = std::move(kinds);
    for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
        if (!upstreams.contains(m_upstreams[i].id)) {
            m_upstreams[i].kinds.clear();
        }
    }
    for (const auto &[id, declared] : upstreams) {
        const auto [it, inserted] = m_indexOf.emplace(id, UpstreamIndex(m_upstreams.size()));
        if (inserted) {
            m_upstreams.emplace_back().id = id;
            m_upstreams.back().rack = rackIndex(declared.rack);
            m_listed.push_back(false);
            m_byLastStart.emplace(Base::TimePoint(), it->second);
        }
        UpstreamState &state = at(m_upstreams, it->second);
        state.resources = declared.resources;
        if (const std::size_t rack = rackIndex(declared.rack); rack != state.rack) {
            m_rackInUse[state.rack] -= state.inUse;
            m_rackInUse[rack] += state.inUse;
            state.rack = rack;
        }
        state.kinds.clear();
        for (std::size_t k = 0; k < m_kinds.size(); ++k) {
            const auto &groups = m_kinds[k].upstreamGroups;
            if (std::find(groups.begin(), groups.end(), declared.group) != groups.end()
                && fits(m_kinds[k].resources, {}, declared.resources)) {
                state.kinds.emplace_back(k);
            }
        }
    }
    applyAvailability();
}

void UpstreamPool::setAvailability(
    const std::map<Base::UpstreamId, UpstreamAvailability> &availability)
{
    m_availability = availability;
    applyAvailability();
}

void UpstreamPool::applyAvailability()
{
    for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
        UpstreamState &state = m_upstreams[i];
        const auto it = m_availability.find(state.id);
        const bool known = it != m_availability.end();
        state.slots = known ? it->second.slots : 0;
        state.leaving = known && it->second.leaving;
        m_listed[i] = known && !state.leaving && !state.kinds.empty();
    }
    rebuild();
}

void UpstreamPool::rebuild()
{
    m_byKind.assign(m_kinds.size(), KindState());
    m_overlap.assign(m_kinds.size(), std::vector<bool>(m_kinds.size(), false));
    for (KindState &it : m_byKind)
        it.position.assign(m_upstreams.size(), 0);
    for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
        UpstreamState &state = m_upstreams[i];
        for (const KindIndex kind : state.kinds) {
            ++at(m_byKind, kind).declared;
            at(m_byKind, kind).listed += m_listed[i] ? 1 : 0;
            for (const KindIndex other : state.kinds)
                at(at(m_overlap, kind), other) = true;
            if (!state.isUsable())
                continue;
            KindState &byKind = at(m_byKind, kind);
            byKind.capacity += state.slots * SpeedEstimate::bucketSpeed(state.speed.bucket());
            byKind.slotsByBucket[static_cast<std::size_t>(state.speed.bucket())] += state.slots;
            byKind.slots += state.slots;
        }
        updateFreeIndex(UpstreamIndex(i));
    }
}

bool UpstreamPool::canStart(const UpstreamState &upstream, KindIndex kind) const
{
    if (upstream.leaving || upstream.inUse >= upstream.slots)
        return false;
    return fits(at(m_kinds, kind).resources, upstream.used, upstream.resources);
}

/// Updates the index of free upstreams after a change of the state of \a index.
void UpstreamPool::updateFreeIndex(UpstreamIndex index)
{
    const UpstreamState &state = at(m_upstreams, index);
    const bool open = !state.health.isEjected() || m_probing.contains(index);
    for (const KindIndex kind : state.kinds) {
        KindState &byKind = at(m_byKind, kind);
        std::size_t &position = at(byKind.position, index);
        const bool free = open && canStart(state, kind);
        if (free == (position > 0))
            continue;
        if (free) {
            byKind.free.insert({state.speed.bucket(), index});
            byKind.freeList.push_back(index);
            position = byKind.freeList.size();
        } else {
            byKind.free.erase({state.speed.bucket(), index});
            const UpstreamIndex last = byKind.freeList.back();
            byKind.freeList[position - 1] = last;
            at(byKind.position, last) = position;
            byKind.freeList.pop_back();
            position = 0;
        }
    }
}

UpstreamPool::Capacity UpstreamPool::capacityAbove(KindIndex kind, int bucket) const
{
    const auto &slots = at(m_byKind, kind).slotsByBucket;
    Capacity sum;
    for (std::size_t i = static_cast<std::size_t>(bucket) + 1; i < slots.size(); ++i) {
        if (slots[i] == 0)
            continue;
        sum.slots += slots[i];
        sum.work += slots[i] * SpeedEstimate::bucketSpeed(static_cast<int>(i));
    }
    return sum;
}

std::optional<UpstreamIndex> UpstreamPool::staleUpstream(KindIndex kind,
                                                         Base::TimePoint since) const
{
    int candidates = 0;
    for (const auto &[lastStart, index] : m_byLastStart) {
        if (lastStart >= since || ++candidates > MAX_STALE_CANDIDATES)
            break;
        if (at(m_upstreams, index).isUsable() && at(at(m_byKind, kind).position, index) > 0)
            return index;
    }
    return std::nullopt;
}

double UpstreamPool::slowestSpeed(KindIndex kind) const
{
    const auto &slots = at(m_byKind, kind).slotsByBucket;
    const auto it = std::find_if(slots.begin(), slots.end(), [](auto n) { return n > 0; });
    return it == slots.end() ? 1 : SpeedEstimate::bucketSpeed(static_cast<int>(it - slots.begin()));
}

void UpstreamPool::taskStarted(UpstreamIndex upstream, const Manifest::Resources &resources,
                               Base::TimePoint now)
{
    UpstreamState &state = at(m_upstreams, upstream);
    ++state.inUse;
    ++m_rackInUse[state.rack];
    addResources(state.used, resources, 1);
    m_byLastStart.erase({state.lastStart, upstream});
    m_byLastStart.emplace(now, upstream);
    state.lastStart = now;
    if (state.health.isEjected())
        m_probing.erase(upstream); // one probe at a time
    updateFreeIndex(upstream);
}

bool UpstreamPool::mayEject() const
{
    const auto available =
        static_cast<std::size_t>(std::count(m_listed.begin(), m_listed.end(), true));
    return (m_ejected.size() + 1) * 2 <= available;
}

void UpstreamPool::taskFinished(UpstreamIndex upstream, const Manifest::Resources &resources,
                                TaskResult result, Base::Duration runTime, double kindLogMean,
                                Base::TimePoint now)
{
    UpstreamState &state = at(m_upstreams, upstream);
    EP_ASSERT(state.inUse > 0, return );
    --state.inUse;
    --m_rackInUse[state.rack];
    addResources(state.used, resources, -1);
    const bool failed = result != TaskResult::Succeeded && result != TaskResult::Cancelled;
    if (result != TaskResult::Cancelled)
        m_failureRate += POOL_RATE_NEWEST_WEIGHT * ((failed ? 1 : 0) - m_failureRate);
    const bool ejectionProposed = state.health.add(result, m_failureRate);
    if (result == TaskResult::Succeeded)
        updateSpeed(upstream, runTime, kindLogMean);
    if (!state.health.isEjected()) {
        if (ejectionProposed && mayEject()) {
            state.health.eject(now);
            m_ejected.insert(upstream);
            Base::log(Base::LogLevel::Warning, "upstreamEjected", {{"upstream", state.id}});
            rebuild();
            return;
        }
    } else if (result == TaskResult::Succeeded) {
        state.health.reinstate(now);
        m_ejected.erase(upstream);
        m_probing.erase(upstream);
        Base::log(Base::LogLevel::Info, "upstreamReinstated", {{"upstream", state.id}});
        rebuild();
        return;
    } else if (failed && now >= state.health.nextProbe()) {
        state.health.eject(now); // failed probe; earlier failures: tasks from before the ejection
    }
    updateFreeIndex(upstream);
}

void UpstreamPool::updateSpeed(UpstreamIndex index, Base::Duration runTime, double kindLogMean)
{
    UpstreamState &state = at(m_upstreams, index);
    const int from = state.speed.bucket();
    state.speed.add(runTime, kindLogMean);
    const int to = state.speed.bucket();
    if (from == to)
        return;
    for (const KindIndex it : state.kinds) {
        KindState &byKind = at(m_byKind, it);
        if (byKind.free.erase({from, index}) > 0)
            byKind.free.insert({to, index});
        if (!state.isUsable())
            continue;
        byKind.capacity +=
            state.slots * (SpeedEstimate::bucketSpeed(to) - SpeedEstimate::bucketSpeed(from));
        byKind.slotsByBucket[static_cast<std::size_t>(from)] -= state.slots;
        byKind.slotsByBucket[static_cast<std::size_t>(to)] += state.slots;
    }
}

void UpstreamPool::updateProbes(Base::TimePoint now)
{
    for (const UpstreamIndex it : m_ejected) {
        const UpstreamState &state = at(m_upstreams, it);
        if (state.inUse > 0 || !state.health.isProbeDue(now) || !m_probing.insert(it).second)
            continue;
        updateFreeIndex(it);
    }
}

Base::TimePoint UpstreamPool::nextProbe() const
{
    Base::TimePoint next = Base::TimePoint::max();
    for (const UpstreamIndex it : m_ejected) {
        if (!m_probing.contains(it))
            next = std::min(next, at(m_upstreams, it).health.nextProbe());
    }
    return next;
}

const UpstreamIndex *UpstreamPool::find(const Base::UpstreamId &id) const
{
    const auto it = m_indexOf.find(id);
    return it == m_indexOf.end() ? nullptr : &it->second;
}

} // namespace Scheduling
