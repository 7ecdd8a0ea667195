// Ring buffer of fixed-size entries.
#include "eventring.h"

#include "eventlogconstants.h"
#include "shorttext.h"

#include <base/softassert.h>

#include <algorithm>
#include <utility>

namespace EventLog {

using Key = Internal::ShortText<Constants::KEY_CAPACITY_BYTES>;
using Name = Internal::ShortText<Constants::NAME_CAPACITY_BYTES>;

struct Entry
{
    Stamp stamp;
    Base::Epoch epoch;
    Base::ShardIndex shard;
    Base::TaskIndex task;
    std::int64_t detail;
    Base::FailureCode failure;
    EventType type;
    bool hasTask;
    bool hasUpstream;
    bool hasPeer;
    bool hasShard;
    Name team; // empty, like key, if the event belongs to no request
    Key key;
    Name target; // the upstream or the peer
    Name domain;
};

/// An EventFilter whose names are shortened as in the entries, so that they compare equal.
struct EntryFilter
{
    explicit EntryFilter(const EventFilter &filter)
        : fromMs(filter.fromMs)
        , toMs(filter.toMs)
    {
        if (filter.request) {
            team.emplace(filter.request->team.value());
            key.emplace(filter.request->key.value());
        }
        if (filter.upstream)
            upstream.emplace(filter.upstream->value());
    }

    bool matches(const Entry &entry) const
    {
        return (!fromMs || entry.stamp.wallMs >= *fromMs) && (!toMs || entry.stamp.wallMs < *toMs)
               && (!key || (entry.key == *key && entry.team == *team))
               && (!upstream || (entry.hasUpstream && entry.target == *upstream));
    }

    std::optional<std::uint64_t> fromMs;
    std::optional<std::uint64_t> toMs;
    std::optional<Name> team;
    std::optional<Key> key;
    std::optional<Name> upstream;
};

static Event toEvent(const Entry &entry, const Base::DaemonId &daemon)
{
    Event event;
    event.type = entry.type;
    event.stamp = entry.stamp;
    event.daemon = daemon;
    event.request = {Base::TeamId(entry.team.toString()), Base::RequestKey(entry.key.toString())};
    if (entry.hasTask)
        event.task = entry.task;
    if (entry.hasUpstream)
        event.upstream = Base::UpstreamId(entry.target.toString());
    if (entry.hasPeer)
        event.peer = Base::DaemonId(entry.target.toString());
    if (entry.hasShard)
        event.shard = Base::ShardId{Base::FailureDomainId(entry.domain.toString()), entry.shard};
    event.epoch = entry.epoch;
    event.failure = entry.failure;
    event.detail = entry.detail;
    return event;
}

struct EventRing::Private
{
    const Entry &at(std::size_t index) const // 0 is the oldest entry
    {
        const std::size_t i = next + index;
        return entries[entries.size() < capacity ? index : i < capacity ? i : i - capacity];
    }

    Base::DaemonId daemon;
    HybridClock &clock;
    std::size_t capacity;
    std::vector<Entry> entries; // grows up to capacity; the memory is reserved
    std::size_t next = 0;       // index of the oldest entry once the ring is full
    std::uint64_t overwritten = 0;
};

static std::size_t checkedCapacity(std::size_t capacity)
{
    EP_ASSERT(capacity > 0, return 1);
    return capacity;
}

EventRing::EventRing(Base::DaemonId daemon, HybridClock &clock, std::size_t capacity)
    : m_d(new Private{std::move(daemon), clock, checkedCapacity(capacity), {}})
{
    m_d->entries.reserve(m_d->capacity);
}

EventRing::~EventRing() = default;

Stamp EventRing::record(const EventInfo &info)
{
    Entry *entry = nullptr;
    if (m_d->entries.size() < m_d->capacity) {
        entry = &m_d->entries.emplace_back();
    } else {
        entry = &m_d->entries[m_d->next];
        m_d->next = m_d->next + 1 == m_d->capacity ? 0 : m_d->next + 1;
        ++m_d->overwritten;
    }
    entry->stamp = m_d->clock.tick();
    entry->epoch = info.epoch;
    entry->detail = info.detail;
    entry->failure = info.failure;
    entry->type = info.type;
    entry->hasTask = info.task.has_value();
    entry->task = info.task.value_or(Base::TaskIndex());
    entry->hasUpstream = info.upstream != nullptr;
    entry->hasPeer = info.peer != nullptr && !info.upstream;
    entry->hasShard = info.shard != nullptr;
    if (info.request) {
        entry->team.assign(info.request->team.value());
        entry->key.assign(info.request->key.value());
    } else {
        entry->team.clear();
        entry->key.clear();
    }
    if (info.upstream)
        entry->target.assign(info.upstream->value());
    else if (info.peer)
        entry->target.assign(info.peer->value());
    if (info.shard) {
        entry->domain.assign(info.shard->domain.value());
        entry->shard = info.shard->index;
    }
    return entry->stamp;
}

DaemonEvents EventRing::query(const EventFilter &filter) const
{
    const EntryFilter entryFilter(filter);
    DaemonEvents result;
    result.daemon = m_d->daemon;
    result.overwritten = m_d->overwritten;
    for (std::size_t index = size(); index-- > 0;) {
        const Entry &entry = m_d->at(index);
        if (!entryFilter.matches(entry))
            continue;
        if (filter.limit && result.events.size() >= *filter.limit)
            ++result.omitted;
        else
            result.events.push_back(toEvent(entry, m_d->daemon));
    }
    std::reverse(result.events.begin(), result.events.end());
    return result;
}

std::size_t EventRing::size() const
{
    return m_d->entries.size();
}

std::size_t EventRing::capacity() const
{
    return m_d->capacity;
}

std::uint64_t EventRing::overwritten() const
{
    return m_d->overwritten;
}

} // namespace EventLog
