// Lookup of ended runs for submissions, claims and listings.
#include "endedruns.h"

#include "dispatchconstants.h"

#include <algorithm>

namespace Dispatch {

using Wire::TaskReportState;

TaskReportState reportStateOf(RunEnd end)
{
    switch (end) {
    case RunEnd::Done:
        return TaskReportState::Done;
    case RunEnd::Failed:
        return TaskReportState::Failed;
    case RunEnd::Stopped:
    case RunEnd::LeaseExpired:
    case RunEnd::GangMemberEnded:
    case RunEnd::GangIncomplete:
        break;
    }
    return TaskReportState::Lost;
}

/// Whether a run that was reported as started in \a started may have ended in \a ended. Before its
/// first listing, a run may be in a later lifetime than the one to which its start was sent.
static bool maySucceed(Lifetime started, Lifetime ended)
{
    return started.value() == 0 || ended.value() == 0 || started <= ended;
}

void EndedRuns::listed(const TaskId &task, const EndedRun &end)
{
    const auto known = m_ends.find(task);
    if (known == m_ends.end() || known->second.run <= end.run)
        m_ends[task] = end;
}

void EndedRuns::gone(const TaskId &task, const EndedRun &end)
{
    m_ends[task] = end;
}

void EndedRuns::reported(const TaskId &task, RunNumber run)
{
    const auto it = m_ends.find(task);
    if (it != m_ends.end() && it->second.run == run)
        it->second.isReported = true;
}

std::uint64_t EndedRuns::nextRun(const TaskId &task, std::uint64_t minRun) const
{
    const auto it = m_ends.find(task);
    return it == m_ends.end() ? minRun : std::max(minRun, it->second.run.value() + 1);
}

/// A submission that claims the task may cross the report of the run's end. Starting the task again
/// would then run it twice, since the coordinator may have sent it elsewhere on that report.
const EndedRun *EndedRuns::answerTo(const TaskId &task, const Wire::BatchTask &entry)
{
    const auto it = m_ends.find(task);
    if (it == m_ends.end() || it->second.run.value() < entry.minRun)
        return nullptr;
    // A job that was submitted again may have had a run of the same number elsewhere.
    if (!entry.executor.empty()
        && (it->second.executor.value() != entry.executor
            || !maySucceed(Lifetime(entry.lifetime), it->second.lifetime))) {
        return nullptr;
    }
    const bool isCrossing = entry.mayHaveStarted && it->second.isReported;
    if (reportStateOf(it->second.end) == TaskReportState::Lost && !isCrossing)
        return nullptr;
    it->second.isReported = true;
    return &it->second;
}

bool EndedRuns::hasEnded(const TaskId &task, RunNumber run, const ExecutorId &executor,
                         Lifetime lifetime) const
{
    const auto it = m_ends.find(task);
    return it != m_ends.end() && it->second.run >= run && it->second.executor == executor
           && it->second.lifetime == lifetime;
}

const EndedRun *EndedRuns::resultOf(const TaskId &task, std::uint64_t minRun,
                                    const ExecutorId &executor, Lifetime lifetime) const
{
    const auto it = m_ends.find(task);
    if (it == m_ends.end() || reportStateOf(it->second.end) == TaskReportState::Lost
        || it->second.run.value() < minRun) {
        return nullptr;
    }
    const bool isOfRun =
        executor.isEmpty()
        || (executor == it->second.executor && maySucceed(lifetime, it->second.lifetime));
    return isOfRun ? &it->second : nullptr;
}

void EndedRuns::prune(Base::TimePoint now)
{
    if (now - m_lastPrune < Constants::END_PRUNE_INTERVAL_MS)
        return;
    m_lastPrune = now;
    std::erase_if(m_ends, [now](const auto &it) {
        return now - it.second.time > Constants::END_RETENTION_MS;
    });
}

} // namespace Dispatch
