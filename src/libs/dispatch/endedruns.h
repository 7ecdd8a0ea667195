// The last ended run of each task of a group. Kept for coordinators that ask again after a lost
// connection, and to tell listings that are out of date.
#pragma once

#include "executorport.h"

#include <wire/messages.h>

#include <map>

namespace Dispatch {

struct EndedRun
{
    RunNumber run;
    RunEnd end = RunEnd::Done;
    Base::TimePoint time;
    ExecutorId executor;
    Lifetime lifetime;       // of the executor; 0 if unknown
    bool isReported = false; // to a coordinator, which may then have started it elsewhere
};

Wire::TaskReportState reportStateOf(RunEnd end);

/// Ends are forgotten after END_RETENTION_MS.
class EndedRuns
{
public:
    /// Records an end that the executor has listed, unless that of a later run is known.
    void listed(const TaskId &task, const EndedRun &end);
    /// Records a run that is no longer tracked although its end was not listed.
    void gone(const TaskId &task, const EndedRun &end);
    /// The run was reported to a coordinator as ended.
    void reported(const TaskId &task, RunNumber run);
    /// The lowest run number, at least \a minRun, that has not been used.
    std::uint64_t nextRun(const TaskId &task, std::uint64_t minRun) const;

    /// The end with which a submission has to be answered, which counts as reported then.
    const EndedRun *answerTo(const TaskId &task, const Wire::BatchTask &entry);
    /// Whether \a run of that lifetime, or a later one there, has ended.
    bool hasEnded(const TaskId &task, RunNumber run, const ExecutorId &executor,
                  Lifetime lifetime) const;
    /// The result of a task of a previous owner, whose last run may have had number \a minRun or a
    /// higher one and started on \a executor in \a lifetime, if that is known.
    const EndedRun *resultOf(const TaskId &task, std::uint64_t minRun, const ExecutorId &executor,
                             Lifetime lifetime) const;

    void prune(Base::TimePoint now);

private:
    std::map<TaskId, EndedRun> m_ends;
    Base::TimePoint m_lastPrune;
};

} // namespace Dispatch
