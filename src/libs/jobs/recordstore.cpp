// Record container with size accounting and expiry.
#include "recordstore.h"

#include "jobsconstants.h"

#include <base/softassert.h>

#include <utility>

namespace Jobs {

static std::size_t sizeOf(const JobRecord &record)
{
    std::size_t n = Constants::RECORD_OVERHEAD_BYTES;
    for (const std::string &it : record.payloads)
        n += it.size() + sizeof(it);
    for (const TaskEntry &it : record.tasks)
        n += it.result.size() + Constants::TASK_OVERHEAD_BYTES;
    if (record.outcome) {
        for (const std::string &it : record.outcome->results)
            n += it.size() + sizeof(it);
    }
    return n;
}

JobRecord *RecordStore::find(const Base::RequestId &id)
{
    const auto it = m_records.find(id);
    return it == m_records.end() ? nullptr : &it->second;
}

const JobRecord *RecordStore::find(const Base::RequestId &id) const
{
    const auto it = m_records.find(id);
    return it == m_records.end() ? nullptr : &it->second;
}

JobRecord &RecordStore::put(JobRecord record)
{
    erase(record.id);
    const Base::RequestId id = record.id;
    m_shards[record.shard].insert(id);
    JobRecord &stored = m_records.emplace(id, std::move(record)).first->second;
    stored.bytes = 0;
    updateSize(stored);
    return stored;
}

void RecordStore::erase(const Base::RequestId &id)
{
    const auto it = m_records.find(id);
    if (it == m_records.end())
        return;
    m_bytes -= it->second.bytes;
    const auto shard = m_shards.find(it->second.shard);
    EP_ASSERT(shard != m_shards.end(), return);
    shard->second.erase(id);
    if (shard->second.empty())
        m_shards.erase(shard);
    m_records.erase(it);
}

void RecordStore::updateSize(JobRecord &record)
{
    const std::size_t n = sizeOf(record);
    m_bytes = m_bytes - record.bytes + n;
    record.bytes = n;
}

std::vector<Base::RequestId> RecordStore::idsOfShard(const Base::ShardId &shard) const
{
    const auto it = m_shards.find(shard);
    if (it == m_shards.end())
        return {};
    return {it->second.begin(), it->second.end()};
}

void RecordStore::setExpiry(JobRecord &record, Base::TimePoint time)
{
    record.expiresAt = time;
    m_expiry.emplace(time, record.id);
}

void RecordStore::expire(Base::TimePoint now)
{
    while (!m_expiry.empty() && m_expiry.begin()->first <= now) {
        const auto [time, id] = *m_expiry.begin();
        m_expiry.erase(m_expiry.begin());
        const JobRecord *record = find(id);
        if (record && record->expiresAt == time && record->waiters.empty())
            erase(id);
    }
}

} // namespace Jobs
