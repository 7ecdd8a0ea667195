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
    /// The same for the first request after a delay. Rows have changed by then as a rule, and the
    /// connection may have become unusable during the delay.
    std::chrono::milliseconds firstWait{300};
    /// After a longer time without a read, the whole table is read instead of its changes, which
    /// contain every version of a row. About the period in which all rows are written again.
    std::chrono::milliseconds maxChangesAge{2000};
    std::chrono::milliseconds retryDelay{100};    // after a failure
    std::chrono::milliseconds maxRetryDelay{500}; // the delay doubles up to this
};

/// A response after which the copy of the table is complete.
struct CompletedRead
{
    Base::TimePoint requested;
    Base::TimePoint answered;
};

/// Decides when a TableFollower reads again after changes, so that further changes are coalesced:
/// each store request and each row is paid for.
class ReadPacer
{
public:
    virtual ~ReadPacer() = default;

    /// Called after each complete response, after the changes have been reported.
    virtual void readCompleted(const CompletedRead &read) = 0;
    /// Asked again at that time, when it may be later. See also TableFollower::checkPace().
    virtual Base::TimePoint nextRead() const = 0;
};

/// Reads a snapshot of the table and follows the changes; reads a new snapshot when the store no
/// longer has the changes. Rows never revert to an earlier version, even after a stale read.
class TableFollower
{
public:
    using ChangeCallback = std::function<void()>;

    /// \a changed is called after the first snapshot and after each change. Without \a pacer, the
    /// next request follows a change at once.
    TableFollower(TableFeed &feed, Base::Timers &timers, std::string table, FollowTiming timing,
                  ChangeCallback changed, ReadPacer *pacer = nullptr);
    ~TableFollower();

    void start();
    bool hasSnapshot() const { return m_hasSnapshot; }
    /// The pacer's time may have moved to an earlier one.
    void checkPace();
    /// Time since the last successful response of the store, or since construction if there is
    /// none.
    Base::Duration age() const;
    /// The existing rows, by key.
    const std::map<std::string, TableRow> &rows() const { return m_rows; }

private:
    void readSnapshot();
    void awaitChanges(std::chrono::milliseconds wait);
    void awaitChangesWhenDue();
    void changesReceived(const FeedResult &result, Base::Duration elapsed);
    void scheduleRetry(bool needsSnapshot);
    void scheduleNext(Base::Duration delay, bool needsSnapshot);
    Base::Duration delayWithoutProgress();
    void recordSuccess();
    bool merge(const TableRow &row);
    bool mergeSnapshot(const FeedResult &result);

    TableFeed &m_feed;
    Base::Timers &m_timers;
    const std::string m_table;
    const FollowTiming m_timing;
    const ChangeCallback m_changed;
    ReadPacer *const m_pacer; // may be null
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    std::map<std::string, TableRow> m_rows;
    /// Versions of the latest removals, by key, for rows that do not exist now.
    std::map<std::string, StoreVersion> m_removedVersions;
    StoreVersion m_position;                   // changes up to this version are in m_rows
    StoreVersion m_newest;                     // highest version in any response
    std::optional<Base::TimerId> m_delayTimer; // of awaitChangesWhenDue()
    Base::TimePoint m_requested;               // time of the last request for changes
    Base::TimePoint m_lastChanges;             // time of the last response with changes
    bool m_hasSnapshot = false;
    bool m_isUnavailable = false; // the last request failed
    /// Feed responses since the last one that stated a newer version or was waited for. The next
    /// request may follow the first one at once, but no others.
    int m_responsesWithoutProgress = 0;
    Base::Duration m_retryDelay{0};
    Base::TimePoint m_lastResponse;
};

} // namespace Storage
