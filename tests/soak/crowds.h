// Callers that send too much, beside the others: what they send never becomes a run.
#pragma once

#include "../support/crowdsender.h"
#include "daemons.h"

#include <list>
#include <set>
#include <utility>

namespace Soak {

enum class CrowdForm {
    UnfinishedBodies,  ///< Bodies whose last byte is missing.
    JobsWithoutRun,    ///< Whole jobs with a long label that no executor has.
    UnfinishedHeaders, ///< Or nothing at all, on every other connection.
    UnreadAnswers,     ///< Requests without end whose answers are not read.
    Count
};

/// Crowds at the daemons, and what these take on their hosts.
class Crowds
{
public:
    Crowds(asio::io_context &io, Base::Timers &timers, const Daemons &daemons, Journal &journal);

    /// Finds each daemon that takes more than its host grants, from now on.
    void watchMemory();
    /// Opens \a connections connections to \a daemon, and closes them after \a duration.
    void send(std::size_t daemon, CrowdForm form, std::size_t connections, Milliseconds duration);

private:
    using Crowd = std::list<TestSupport::Sender>;

    std::vector<TestSupport::SharedText> partsOf(CrowdForm form, std::size_t connection);

    asio::io_context &m_io;
    Base::Timers &m_timers;
    const Daemons &m_daemons;
    Journal &m_journal;
    std::list<Crowd> m_crowds;
    std::set<std::pair<std::size_t, std::uint64_t>> m_found; // daemons and their processes
    std::uint64_t m_jobs = 0;
};

} // namespace Soak
