// Snapshot, changes, retries and protection against stale reads.
#include "tablefollower.h"

#include <base/log.h>

#include <algorithm>
#include <utility>

namespace Storage {

using Base::LogLevel;

TableFollower::TableFollower(TableFeed &feed, Base::Timers &timers, std::string table,
                             FollowTiming timing, ChangeCallback changed)
    : m_feed(feed)
    , m_timers(timers)
    , m_table(std::move(table))
    , m_timing(timing)
    , m_changed(std::move(changed))
    , m_pause(timing.retry)
    , m_lastAnswer(timers.now())
{}

TableFollower::~TableFollower()
{
    *m_isAlive = false;
}

void TableFollower::start()
{
    read();
}

Base::Duration TableFollower::age() const
{
    return m_timers.now() - m_lastAnswer;
}

void TableFollower::succeeded()
{
    m_pause = m_timing.retry;
    m_lastAnswer = m_timers.now();
    if (std::exchange(m_isLost, false))
        Base::log(LogLevel::Info, "storeRegained", {{"table", m_table}, {"version", m_newest}});
}

void TableFollower::retry(bool readAgain)
{
    if (!std::exchange(m_isLost, true))
        Base::log(LogLevel::Warning, "storeLost", {{"table", m_table}, {"version", m_newest}});
    m_timers.schedule(m_pause, [this, alive = m_isAlive, readAgain] {
        if (!*alive)
            return;
        if (readAgain)
            read();
        else
            await();
    });
    m_pause = std::min<Base::Duration>(m_pause * 2, m_timing.maxRetry);
}

bool TableFollower::merge(const TableRow &row)
{
    m_newest = std::max(m_newest, row.version);
    const auto removed = m_removed.find(row.key);
    if (removed != m_removed.end() && removed->second >= row.version)
        return false;
    const auto known = m_rows.find(row.key);
    if (known != m_rows.end() && known->second.version >= row.version)
        return false;
    if (row.isRemoved) {
        m_removed[row.key] = row.version;
        return m_rows.erase(row.key) > 0;
    }
    m_removed.erase(row.key);
    m_rows[row.key] = row;
    return true;
}

bool TableFollower::mergeSnapshot(const FeedResult &result)
{
    bool isChanged = false;
    std::map<std::string, StoreVersion> listed;
    for (const TableRow &it : result.rows) {
        listed.emplace(it.key, it.version);
        isChanged |= merge(it);
    }
    // A row that is missing has been removed, unless the snapshot is older than the row.
    for (auto it = m_rows.begin(); it != m_rows.end();) {
        if (!listed.contains(it->first) && it->second.version <= result.version) {
            m_removed[it->first] = result.version;
            it = m_rows.erase(it);
            isChanged = true;
        } else {
            ++it;
        }
    }
    return isChanged;
}

void TableFollower::read()
{
    m_feed.readAll(m_table, [this, alive = m_isAlive](const FeedResult &result) {
        if (!*alive)
            return;
        if (result.status != FeedStatus::Ok) {
            retry(true);
            return;
        }
        if (result.version < m_newest)
            Base::log(LogLevel::Warning, "staleRead",
                      {{"table", m_table}, {"version", result.version}, {"known", m_newest}});
        m_newest = std::max(m_newest, result.version);
        succeeded();
        const bool isFirst = !std::exchange(m_isRead, true);
        // Following a stale snapshot from its own version brings what it lacks.
        m_position = result.version;
        const bool isChanged = mergeSnapshot(result);
        if (isFirst || isChanged)
            m_changed();
        await();
    });
}

void TableFollower::awaitAfter(Base::Duration pause)
{
    if (pause.count() == 0) {
        await();
        return;
    }
    m_timers.schedule(pause, [this, alive = m_isAlive] {
        if (*alive)
            await();
    });
}

void TableFollower::await()
{
    m_feed.awaitChanges(
        m_table, m_position, m_timing.wait, [this, alive = m_isAlive](const FeedResult &result) {
            if (!*alive)
                return;
            if (result.status == FeedStatus::HistoryGone) {
                Base::log(LogLevel::Info, "historyGone",
                          {{"table", m_table}, {"position", m_position}});
                read();
                return;
            }
            if (result.status != FeedStatus::Ok) {
                retry(false);
                return;
            }
            succeeded();
            m_position = std::max(m_position, result.version);
            m_newest = std::max(m_newest, result.version);
            bool isChanged = false;
            for (const TableRow &it : result.rows)
                isChanged |= merge(it);
            if (isChanged)
                m_changed();
            awaitAfter(result.rows.empty() ? Base::Duration(0) : Base::Duration(m_timing.gather));
        });
}

} // namespace Storage
