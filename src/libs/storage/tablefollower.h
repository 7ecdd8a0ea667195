// Keeps a local copy of one table.
#pragma once

#include "tablefeed.h"

#include <map>
#include <memory>
#include <optional>

namespace Storage {

struct FollowTiming
{
    /// Longest wait for a change. A broken connection is detected soon after this time.
    std::chrono::milliseconds maxWait{2000};
    /// Delay after changes in which further changes are coalesced: each store request is paid for.
    std::chrono::milliseconds coalesceDelay{0};
    std::chrono::milliseconds retryDelay{100};    // after a failure
    std::chrono::milliseconds maxRetryDelay{500}; // the delay doubles up to this
};

/// Reads a snapshot of the table and follows the changes; reads a new snapshot when the store no
/// longer has the changes. Rows never revert to an earlier version, even after a stale read.
class TableFollower
{
public:
    using ChangeCallback = std::function<void()>;

    /// \a changed is called after the first snapshot and after each change.
    TableFollower(TableFeed &feed, Base::Timers &timers, std::string table, FollowTiming timing,
                  ChangeCallback changed);
    ~TableFollower();

    void start();
    bool hasSnapshot() const { return m_hasSnapshot; }
    /// Changes the delay after changes. A shorter one also ends the current delay.
    void setCoalesceDelay(std::chrono::milliseconds delay);
    /// Time since the last successful response of the store, or since construction if there is
    /// none.
    Base::Duration age() const;
    /// The existing rows, by key.
    const std::map<std::string, TableRow> &rows() const { return m_rows; }

private:
    void readSnapshot();
    void awaitChanges();
    void changesReceived(const FeedResult &result, Base::Duration elapsed);
    void awaitChangesAfter(Base::Duration delay);
    void scheduleRetry(bool needsSnapshot);
    void scheduleNext(Base::Duration delay, bool needsSnapshot);
    Base::Duration delayWithoutProgress();
    void recordSuccess();
    bool merge(const TableRow &row);
    bool mergeSnapshot(const FeedResult &result);

    TableFeed &m_feed;
    Base::Timers &m_timers;
    const std::string m_table;
    FollowTiming m_timing;
    const ChangeCallback m_changed;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    std::map<std::string, TableRow> m_rows;
    /// Versions of the latest removals, by key, for rows that do not exist now.
    std::map<std::string, StoreVersion> m_removedVersions;
    StoreVersion m_position;                   // changes up to this version are in m_rows
    StoreVersion m_newest;                     // highest version in any response
    std::optional<Base::TimerId> m_delayTimer; // of awaitChangesAfter()
    bool m_hasSnapshot = false;
    bool m_isUnavailable = false; // the last request failed
    /// Feed responses since the last one that stated a newer version or was waited for. The next
    /// request may follow the first one at once, but no others.
    int m_responsesWithoutProgress = 0;
    Base::Duration m_retryDelay{0};
    Base::TimePoint m_lastResponse;
};

} // namespace Storage
