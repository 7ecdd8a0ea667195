// Time as of which the copy is complete, from own reads and from the statements of peers.
#include "readschedule.h"

#include <algorithm>

namespace Storage {

using std::chrono::milliseconds;

/// Read at least this often, whatever others state.
static constexpr milliseconds MAX_READ_DELAY_MS{30'000};
/// A statement that is later than its interval by less than this may have been held up unnoticed,
/// with the sender or on the way.
static constexpr milliseconds HELD_UP_MARGIN_MS{50};
/// After an interruption, statements may arrive that were sent during it.
static constexpr milliseconds BACKLOG_MS{150};
/// Peers that are silent for this long are forgotten.
static constexpr milliseconds CONTACT_RETENTION_MS{60'000};

void ReadSchedule::readCompleted(const CompletedRead &read)
{
    m_lastRead = read;
    m_isOutdated = false;
    m_lastReadDigest = m_digest;
}

Base::TimePoint ReadSchedule::completeAsOf() const
{
    if (!m_lastRead)
        return {};
    return m_isOutdated ? m_lastRead->requested : std::max(m_lastRead->requested, m_completeAsOf);
}

Base::TimePoint ReadSchedule::nextRead() const
{
    if (!m_lastRead)
        return {};
    const Base::TimePoint last = m_lastRead->answered;
    if (!m_role.usesStatements)
        return last + m_role.maxAge;
    if (m_role.isReader)
        return last + std::min(m_role.readerDelay, m_role.maxAge);
    if (m_isOutdated)
        return last + m_role.maxAge;
    return std::min<Base::TimePoint>(std::max(last, m_completeAsOf) + m_role.maxAge,
                                     last + MAX_READ_DELAY_MS);
}

void ReadSchedule::statementReceived(const Base::DaemonId &peer, const ReadStatement &statement,
                                     Base::TimePoint now)
{
    const auto [it, isNew] = m_contacts.try_emplace(peer);
    Contact &contact = it->second;
    // Twice the interval and the margin: of the statements in between, at least one is missing.
    const Base::Duration longestGap = contact.interval * 2 + HELD_UP_MARGIN_MS;
    if (isNew || now - contact.last > longestGap)
        contact.since = now;
    contact.last = now;
    contact.interval = statement.interval;
    if (isNew) {
        std::erase_if(m_contacts,
                      [now](const auto &c) { return now - c.second.last > CONTACT_RETENTION_MS; });
    }
    // A peer whose process was suspended measures too short an age for what it read before.
    const Base::TimePoint completeAsOf = now - statement.age;
    if (completeAsOf < m_contacts.at(peer).since + BACKLOG_MS)
        return;
    if (statement.digest != m_digest) {
        // Otherwise the peer may be the one that lacks a change.
        m_isOutdated |= m_lastRead && completeAsOf > m_lastRead->answered;
        return;
    }
    m_completeAsOf =
        std::max(m_completeAsOf, completeAsOf - statement.interval - HELD_UP_MARGIN_MS);
}

std::optional<ReadStatement> ReadSchedule::statement(Base::TimePoint now) const
{
    if (!m_lastRead)
        return std::nullopt;
    return ReadStatement{m_lastReadDigest, now - m_lastRead->requested, Base::Duration(0)};
}

} // namespace Storage
