// Keeps a copy of one table.
#pragma once

#include "tablefeed.h"

#include <map>
#include <memory>

namespace Storage {

struct FollowTiming
{
    /// Longest wait for a change. A silent connection is noticed soon after it.
    std::chrono::milliseconds wait{2000};
    /// Pause after changes, in which further ones gather: each call to the store is paid for.
    std::chrono::milliseconds gather{0};
    std::chrono::milliseconds retry{100};    // after a failure
    std::chrono::milliseconds maxRetry{500}; // the pause doubles up to this
};

/// Reads the table once and follows its changes; reads it again when the history is lost. No row
/// ever goes back to an earlier version, whatever the store answers.
class TableFollower
{
public:
    using ChangeCallback = std::function<void()>;

    /// \a changed is called after each change and after the first reading.
    TableFollower(TableFeed &feed, Base::Timers &timers, std::string table, FollowTiming timing,
                  ChangeCallback changed);
    ~TableFollower();

    void start();
    bool isRead() const { return m_isRead; }
    /// Time since the store last answered; counts from start() before the first answer.
    Base::Duration age() const;
    /// Rows that are there, by key.
    const std::map<std::string, TableRow> &rows() const { return m_rows; }

private:
    void read();
    void await();
    void awaitAfter(Base::Duration pause);
    void retry(bool readAgain);
    void succeeded();
    bool merge(const TableRow &row);
    bool mergeSnapshot(const FeedResult &result);

    TableFeed &m_feed;
    Base::Timers &m_timers;
    const std::string m_table;
    const FollowTiming m_timing;
    const ChangeCallback m_changed;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    std::map<std::string, TableRow> m_rows;
    std::map<std::string, StoreVersion> m_removed; // newest removal of rows that are not there
    StoreVersion m_position;                       // changes up to this are in m_rows
    StoreVersion m_newest;                         // highest version that any answer stated
    bool m_isRead = false;
    bool m_isLost = false; // the last call failed
    Base::Duration m_pause{0};
    Base::TimePoint m_lastAnswer;
};

} // namespace Storage
