// Decides when a daemon reads the changes of a table that all daemons follow.
#pragma once

#include "tablefollower.h"

#include <base/ids.h>
#include <base/timers.h>

#include <map>
#include <optional>

namespace Storage {

/// What a daemon states about its own copy of the table: \c age before the statement, or later, the
/// content of the table had this digest. Sequence numbers are not part of the content.
struct ReadStatement
{
    std::uint64_t digest = 0;
    Base::Duration age{0};
    Base::Duration interval{0}; // until the daemon's next statement
};

/// Most rows change only in their sequence numbers, so reading them tells nothing new. A few
/// readers read often and state the digest of the content to their peers. Any other daemon whose
/// copy has the same digest knows that the copy is complete as of the reader's last read. It reads
/// itself when the time as of which its copy is known to be complete is \c maxAge ago: also when no
/// statements arrive, as during a network partition. When digests differ, it reads at once if its
/// own last read is \c maxAge ago.
class ReadSchedule : public ReadPacer
{
public:
    struct Role
    {
        /// A change of content is requested within this time after the store has accepted it.
        Base::Duration maxAge{0};
        /// Delay between the reads of a reader. Other daemons read less often only if this, the
        /// interval of the statements and HELD_UP_MARGIN_MS are shorter than maxAge.
        Base::Duration readerDelay{0};
        bool isReader = false;
        /// Without it, statements are ignored: the daemon reads every maxAge.
        bool usesStatements = false;

        bool operator==(const Role &) const = default;
    };

    void setRole(const Role &role) { m_role = role; }
    const Role &role() const { return m_role; }

    /// Digest of the content of this daemon's copy. Must be set before readCompleted().
    void setDigest(std::uint64_t digest) { m_digest = digest; }
    void readCompleted(const CompletedRead &read) override;
    Base::TimePoint nextRead() const override;
    /// Time as of which this daemon's copy is known to be complete; epoch before its first read.
    Base::TimePoint completeAsOf() const;

    /// The \a statement of \a peer arrived at \a now. nextRead() may move to an earlier time.
    void statementReceived(const Base::DaemonId &peer, const ReadStatement &statement,
                           Base::TimePoint now);
    /// What this daemon can state at \a now, or nothing before its first read.
    std::optional<ReadStatement> statement(Base::TimePoint now) const;

private:
    /// Time during which the statements of a peer arrive without interruption.
    struct Contact
    {
        Base::TimePoint since;
        Base::TimePoint last;
        Base::Duration interval{0};
    };

    Role m_role;
    std::uint64_t m_digest = 0;
    std::uint64_t m_lastReadDigest = 0; // at m_lastRead
    std::optional<CompletedRead> m_lastRead;
    Base::TimePoint m_completeAsOf; // as known from statements
    bool m_isOutdated = false;      // a peer has read other content since m_lastRead
    std::map<Base::DaemonId, Contact> m_contacts;
};

} // namespace Storage
