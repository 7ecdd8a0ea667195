// Stores all records of a daemon, with size accounting and expiry.
#pragma once

#include "jobrecord.h"

#include <map>
#include <set>
#include <unordered_map>

namespace Jobs {

/// Owns the records, indexed by request id. Pointers stay valid until the record is erased.
class RecordStore
{
public:
    JobRecord *find(const Base::RequestId &id);
    const JobRecord *find(const Base::RequestId &id) const;
    /// Adds a record or replaces the one with the same id.
    JobRecord &put(JobRecord record);
    void erase(const Base::RequestId &id);
    /// Updates the size accounting after payloads, tasks or results of \a record have changed.
    void updateSize(JobRecord &record);

    /// Ids of the records of \a shard, in no particular order.
    std::vector<Base::RequestId> idsOfShard(const Base::ShardId &shard) const;
    /// Lets \a record expire at \a time; replaces an earlier expiry.
    void setExpiry(JobRecord &record, Base::TimePoint time);
    /// Erases the records that have expired by \a now.
    void expire(Base::TimePoint now);

    std::size_t count() const { return m_records.size(); }
    std::size_t bytes() const { return m_bytes; }

private:
    std::unordered_map<Base::RequestId, JobRecord> m_records;
    std::map<Base::ShardId, std::set<Base::RequestId>> m_shards; // every record is in its shard
    std::multimap<Base::TimePoint, Base::RequestId> m_expiry;    // stale entries are skipped
    std::size_t m_bytes = 0;                                     // sum over all records
};

} // namespace Jobs
