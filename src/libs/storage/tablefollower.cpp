// Snapshots, changes, retries and protection against stale reads.
#include "tablefollower.h"

#include <base/log.h>

#include <algorithm>
#include <utility>

namespace Storage {

using Base::LogLevel;

/// A response with this many rows may lack further ones.
static constexpr std::size_t MAX_RESPONSE_ROWS = 500;

TableFollower::TableFollower(TableFeed &feed, Base::Timers &timers, std::string table,
                             FollowTiming timing, ChangeCallback changed, ReadPacer *pacer)
    : m_feed(feed)
    , m_timers(timers)
    , m_table(std::move(table))
    , m_timing(timing)
    , m_changed(std::move(changed))
    , m_pacer(pacer)
    , m_retryDelay(timing.retryDelay)
    , m_lastResponse(timers.now())
{}

TableFollower::~TableFollower()
{
    *m_isAlive = false;
}

void TableFollower::start()
{
    readSnapshot();
}

Base::Duration TableFollower::age() const
{
    return m_timers.now() - m_lastResponse;
}

void TableFollower::recordSuccess()
{
    m_retryDelay = m_timing.retryDelay;
    m_lastResponse = m_timers.now();
    if (std::exchange(m_isUnavailable, false))
        Base::log(LogLevel::Info, "storeRegained", {{"table", m_table}, {"version", m_newest}});
}

void TableFollower::scheduleRetry(bool needsSnapshot)
{
    if (!std::exchange(m_isUnavailable, true))
        Base::log(LogLevel::Warning, "storeLost", {{"table", m_table}, {"version", m_newest}});
    scheduleNext(m_retryDelay, needsSnapshot);
    m_retryDelay = std::min<Base::Duration>(m_retryDelay * 2, m_timing.maxRetryDelay);
}

void TableFollower::scheduleNext(Base::Duration delay, bool needsSnapshot)
{
    m_timers.schedule(delay, [this, alive = m_isAlive, needsSnapshot] {
        if (!*alive)
            return;
        if (needsSnapshot)
            readSnapshot();
        else
            awaitChanges(m_timing.maxWait);
    });
}

/// Limits the rate of requests to a store that answers at once and states nothing new.
Base::Duration TableFollower::delayWithoutProgress()
{
    return ++m_responsesWithoutProgress > 1 ? m_timing.maxRetryDelay : std::chrono::milliseconds(0);
}

bool TableFollower::merge(const TableRow &row)
{
    m_newest = std::max(m_newest, row.version);
    const auto removed = m_removedVersions.find(row.key);
    if (removed != m_removedVersions.end() && removed->second >= row.version)
        return false;
    const auto known = m_rows.find(row.key);
    if (known != m_rows.end() && known->second.version >= row.version)
        return false;
    if (row.isRemoved) {
        m_removedVersions[row.key] = row.version;
        return m_rows.erase(row.key) > 0;
    }
    m_removedVersions.erase(row.key);
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
    // A row that is not listed has been removed, unless the snapshot is older than the row.
    for (auto it = m_rows.begin(); it != m_rows.end();) {
        if (!listed.contains(it->first) && it->second.version <= result.version) {
            m_removedVersions[it->first] = result.version;
            it = m_rows.erase(it);
            isChanged = true;
        } else {
            ++it;
        }
    }
    return isChanged;
}

void TableFollower::readSnapshot()
{
    m_feed.readAll(m_table, [this, alive = m_isAlive](const FeedResult &result) {
        if (!*alive)
            return;
        if (result.status != FeedStatus::Ok) {
            scheduleRetry(true);
            return;
        }
        if (result.version < m_newest)
            Base::log(LogLevel::Warning, "staleRead",
                      {{"table", m_table}, {"version", result.version}, {"known", m_newest}});
        m_newest = std::max(m_newest, result.version);
        recordSuccess();
        const bool isFirst = !std::exchange(m_hasSnapshot, true);
        // Following the changes from a stale snapshot's own version delivers what the snapshot
        // lacks.
        m_position = result.version;
        const bool isChanged = mergeSnapshot(result);
        if (isFirst || isChanged)
            m_changed();
        awaitChanges(m_timing.maxWait);
    });
}

void TableFollower::awaitChangesWhenDue()
{
    const Base::TimePoint now = m_timers.now();
    const Base::TimePoint due = m_pacer ? m_pacer->nextRead() : now;
    if (due <= now) {
        if (now - m_lastChanges > m_timing.maxChangesAge)
            readSnapshot();
        else
            awaitChanges(m_pacer ? m_timing.firstWait : m_timing.maxWait);
        return;
    }
    m_delayTimer = m_timers.schedule(due - now, [this, alive = m_isAlive] {
        if (!*alive)
            return;
        m_delayTimer.reset();
        awaitChangesWhenDue();
    });
}

void TableFollower::checkPace()
{
    if (!m_delayTimer)
        return;
    m_timers.cancel(*m_delayTimer);
    m_delayTimer.reset();
    awaitChangesWhenDue();
}

void TableFollower::awaitChanges(std::chrono::milliseconds wait)
{
    m_requested = m_timers.now();
    m_feed.awaitChanges(m_table, m_position, wait,
                        [this, alive = m_isAlive](const FeedResult &result) {
                            if (*alive)
                                changesReceived(result, m_timers.now() - m_requested);
                        });
}

void TableFollower::changesReceived(const FeedResult &result, Base::Duration elapsed)
{
    if (result.status == FeedStatus::HistoryGone) {
        Base::log(LogLevel::Info, "historyGone", {{"table", m_table}, {"position", m_position}});
        const Base::Duration delay = delayWithoutProgress();
        if (delay.count() == 0)
            readSnapshot();
        else
            scheduleNext(delay, true);
        return;
    }
    if (result.status != FeedStatus::Ok) {
        scheduleRetry(false);
        return;
    }
    recordSuccess();
    m_lastChanges = m_timers.now();
    Base::Duration delay(0);
    if (result.version > m_position || elapsed >= m_timing.maxRetryDelay)
        m_responsesWithoutProgress = 0;
    else
        delay = delayWithoutProgress();
    m_newest = std::max(m_newest, result.version);
    bool isChanged = false;
    for (const TableRow &it : result.rows)
        isChanged |= merge(it);
    if (isChanged)
        m_changed();
    if (result.version < m_position) {
        // The position is not one of this store, which would state no change before it.
        Base::log(LogLevel::Warning, "positionUnknown",
                  {{"table", m_table}, {"position", m_position}, {"version", result.version}});
        scheduleNext(std::max<Base::Duration>(delay, m_timing.retryDelay), true);
        return;
    }
    m_position = result.version;
    const bool isComplete = result.rows.size() < MAX_RESPONSE_ROWS;
    if (isComplete && m_pacer)
        m_pacer->readCompleted({m_requested, m_timers.now()});
    if (delay.count() > 0)
        scheduleNext(delay, false);
    else if (result.rows.empty() || !isComplete)
        awaitChanges(m_timing.maxWait);
    else
        awaitChangesWhenDue();
}

} // namespace Storage
