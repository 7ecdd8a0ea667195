// Submission, waiting and outcomes of requests. Task execution is in coordinatortasks.cpp, the
// handling of ownership changes in coordinatorshards.cpp.
#include "coordinator.h"

#include "jobsconstants.h"

#include <base/failure.h>
#include <base/log.h>
#include <base/softassert.h>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace Jobs {

using Base::FailureCode;
using Base::makeFailure;

Coordinator::Coordinator(CoordinatorContext context, CoordinatorLimits limits)
    : m_context(std::move(context))
    , m_limits(limits)
    , m_stops(m_context.timers, Constants::STOP_BATCH_MS,
              [this](const Base::UpstreamId &upstream, const std::vector<TaskName> &tasks) {
                  m_context.workers.stop(upstream, tasks);
              })
    , m_replicator(m_context.timers, m_context.peers, m_context.authority,
                   [this](Base::ShardIndex shard) { return incompleteTime(shard); })
    , m_runner(m_context.timers, m_context.workers)
    , m_retryBudget(Constants::RETRIES_PER_SUCCESS, Constants::MIN_RETRIES_PER_SECOND,
                    Constants::MAX_RETRY_BALANCE)
{
    m_sweepTimer = m_context.timers.schedule(Constants::RETENTION_SWEEP_MS, [this] { sweep(); });
}

Base::Duration Coordinator::incompleteTime(Base::ShardIndex shard) const
{
    const auto it = m_incompleteUntil.find(shard);
    if (it == m_incompleteUntil.end())
        return Base::Duration(0);
    // Rounded up to a millisecond, so that a replica never considers the shard complete too early.
    return std::max(Base::Duration(0), it->second - m_context.timers.now())
           + std::chrono::milliseconds(1);
}

Coordinator::~Coordinator()
{
    *m_isAlive = false;
    m_context.timers.cancel(m_sweepTimer);
}

void Coordinator::setManifest(std::shared_ptr<const Manifest::Manifest> manifest)
{
    EP_ASSERT(manifest, return);
    m_manifest = std::move(manifest);
    m_context.scheduler.setManifest(*m_manifest);
}

const Manifest::Kind *Coordinator::findKind(const Base::KindId &id) const
{
    if (!m_manifest)
        return nullptr;
    const auto it = m_manifest->kinds.find(id);
    return it == m_manifest->kinds.end() ? nullptr : &it->second;
}

absl::Status Coordinator::checkSubmission(const Submission &submission) const
{
    if (!m_manifest)
        return makeFailure(FailureCode::Starting, "no manifest is in force yet");
    const Manifest::Kind *kind = findKind(submission.kind);
    if (!kind)
        return makeFailure(FailureCode::UnknownKind, "the manifest declares no such kind");
    if (!m_manifest->teams.contains(submission.id.team))
        return makeFailure(FailureCode::UnknownTeam, "the manifest declares no such team");
    if (submission.payloads.empty())
        return makeFailure(FailureCode::BadRequest, "a request needs at least one task");
    if (!kind->job && submission.payloads.size() != 1)
        return makeFailure(FailureCode::BadRequest, "a request of this kind has exactly one task");
    if (submission.payloads.size() > m_limits.maxTasksPerJob) {
        return makeFailure(FailureCode::TooLarge,
                           fmt::format("a job has at most {} tasks", m_limits.maxTasksPerJob));
    }
    return absl::OkStatus();
}

Base::ShardId Coordinator::shardOf(const Submission &submission, bool isLocal) const
{
    return isLocal ? Base::ShardId() : Manifest::shardOf(*m_manifest, submission.id);
}

JobRecord Coordinator::makeRecord(const Submission &submission) const
{
    const Manifest::Kind &kind = *findKind(submission.kind);
    JobRecord record;
    record.id = submission.id;
    record.kind = submission.kind;
    record.isSingle = !kind.job;
    record.isRepeatable = !kind.job && kind.repeatable && !submission.nonRepeatable;
    record.shard = shardOf(submission, record.isRepeatable);
    record.digest = submission.digest;
    record.payloads = submission.payloads;
    const auto deadline = std::min(submission.deadline.value_or(kind.deadline), kind.deadline);
    record.deadline = m_context.timers.now() + deadline;
    record.tasks.resize(record.payloads.size());
    record.isStartUncertain = record.isLocal() && !submission.isFirst;
    return record;
}

Scheduling::Admission Coordinator::admit(const Submission &submission,
                                         Base::TimePoint deadline) const
{
    const auto refuse = [](FailureCode code, std::string_view message) {
        Scheduling::Admission admission;
        admission.status = makeFailure(code, message);
        admission.retryAfter = std::chrono::seconds(1);
        return admission;
    };
    if (m_activeCount >= m_limits.maxConcurrentRequests)
        return refuse(FailureCode::Overloaded, "too many requests in progress");
    if (m_store.bytes() >= m_limits.maxRecordBytes)
        return refuse(FailureCode::Overloaded, "the memory limit for request records is reached");
    const Manifest::Team &team = m_manifest->teams.at(submission.id.team);
    const auto active = m_activeByTeam.find(submission.id.team);
    if (team.maxConcurrentJobs > 0 && active != m_activeByTeam.end()
        && active->second >= team.maxConcurrentJobs)
        return refuse(FailureCode::QuotaExceeded, "the team has too many requests in progress");
    return m_context.scheduler.admit({submission.id.team, submission.kind,
                                      static_cast<std::uint32_t>(submission.payloads.size()),
                                      deadline});
}

void Coordinator::replyLater(ReplyHandler handler, Reply reply)
{
    m_context.timers.schedule(Base::Duration(0), [handler = std::move(handler),
                                                  reply = std::move(reply)] { handler(reply); });
}

static Reply refusal(const Scheduling::Admission &admission)
{
    Reply reply;
    reply.view.state = RequestState::NotRun;
    reply.view.failure = Base::failureCode(admission.status);
    reply.view.message = Base::failureMessage(admission.status);
    reply.view.retryAfter = admission.retryAfter;
    return reply;
}

void Coordinator::submit(const Submission &submission, Base::Duration wait, ReplyHandler handler)
{
    JobRecord *known = m_store.find(submission.id);
    if (known && known->isAuthoritative()) {
        if (known->digest != submission.digest) {
            replyLater(std::move(handler),
                       {makeFailure(FailureCode::KeyConflict,
                                    "the key is already in use with another body"),
                        {}});
            return;
        }
        addWaiter(*known, wait, std::move(handler));
        return;
    }
    const absl::Status status = checkSubmission(submission);
    if (!status.ok()) {
        replyLater(std::move(handler), {status, {}});
        return;
    }
    JobRecord record = makeRecord(submission);
    if (!record.isLocal()) {
        const auto epoch = record.shard.domain == m_context.domain
                               ? m_context.authority.leasedEpoch(record.shard.index)
                               : std::nullopt;
        if (!epoch) {
            replyLater(
                std::move(handler),
                {makeFailure(FailureCode::NotOwner, "this daemon does not own the shard"), {}});
            return;
        }
        record.epoch = *epoch;
        record.serial = ++m_lastSerial;
        if (m_incompleteUntil.contains(record.shard.index)) {
            acceptAsFailed(std::move(record), wait, std::move(handler));
            return;
        }
    }
    const Scheduling::Admission admission = admit(submission, record.deadline);
    if (!admission.status.ok()) {
        m_context.observer.requestRefused(submission, Base::failureCode(admission.status));
        Reply reply = refusal(admission);
        // Another entry daemon may have run this repeatable request already.
        if (record.isLocal() && !submission.isFirst)
            reply.status = admission.status;
        replyLater(std::move(handler), std::move(reply));
        return;
    }
    accept(std::move(record), wait, std::move(handler));
}

void Coordinator::accept(JobRecord record, Base::Duration wait, ReplyHandler handler)
{
    record.acceptedAt = m_context.timers.now();
    JobRecord &stored = m_store.put(std::move(record));
    activate(stored, RecordPhase::Accepting);
    addWaiter(stored, wait, std::move(handler));
    armDeadline(stored);
    m_context.observer.requestAccepted(stored);
    if (stored.isLocal()) {
        startRunning(stored.id, stored.epoch);
        return;
    }
    replicateNew(stored);
}

void Coordinator::replicateNew(JobRecord &record)
{
    const Base::Duration remaining = record.deadline - m_context.timers.now();
    m_replicator.replicate(
        record.shard.index, record.epoch, {encodeRecord(record, remaining, true)},
        [this, id = record.id, epoch = record.epoch] { startRunning(id, epoch); });
}

void Coordinator::acceptAsFailed(JobRecord record, Base::Duration wait, ReplyHandler handler)
{
    JobRecord &stored = m_store.put(std::move(record));
    activate(stored, RecordPhase::Accepting);
    stored.isStartUncertain = true;
    addWaiter(stored, wait, std::move(handler));
    decideFailure(stored, FailureCode::KnowledgeLost,
                  "records of the shard were lost; the request may have run before");
}

void Coordinator::startRunning(const Base::RequestId &id, Base::Epoch epoch)
{
    JobRecord *record = findActive(id, epoch);
    if (!record || record->phase != RecordPhase::Accepting
        || m_pausedShards.contains(record->shard))
        return;
    record->phase = RecordPhase::Running;
    const std::size_t n = record->tasks.size();
    for (std::size_t i = 0; i < n; ++i) {
        // A start may fail immediately and thereby decide the request.
        record = findActive(id, epoch);
        if (!record || record->phase != RecordPhase::Running)
            return;
        if (record->tasks[i].phase == TaskPhase::Waiting)
            enqueueTask(*record, i);
    }
}

void Coordinator::query(const Base::RequestId &id, Base::Duration wait, ReplyHandler handler)
{
    JobRecord *record = m_store.find(id);
    if (record && record->isAuthoritative()) {
        addWaiter(*record, wait, std::move(handler));
        return;
    }
    if (!m_manifest) {
        replyLater(std::move(handler),
                   {makeFailure(FailureCode::Starting, "no manifest is in force yet"), {}});
        return;
    }
    const Base::ShardId shard = Manifest::shardOf(*m_manifest, id);
    const bool isOwner = shard.domain == m_context.domain
                         && m_context.authority.leasedEpoch(shard.index).has_value();
    if (!isOwner) {
        replyLater(std::move(handler),
                   {makeFailure(FailureCode::NotOwner, "this daemon does not own the shard"), {}});
        return;
    }
    replyLater(std::move(handler),
               {makeFailure(FailureCode::UnknownRequest, "no record of this request"), {}});
}

void Coordinator::cancel(const Base::RequestId &id, ReplyHandler handler)
{
    JobRecord *record = m_store.find(id);
    if (!record || !record->isAuthoritative()) {
        query(id, Base::Duration(0), std::move(handler));
        return;
    }
    const bool isRunning = record->phase == RecordPhase::Accepting
                           || record->phase == RecordPhase::Running
                           || record->phase == RecordPhase::Recovering;
    if (isRunning)
        decideFailure(*record, FailureCode::Cancelled, "cancelled by the caller");
    record = m_store.find(id);
    EP_ASSERT(record, return);
    addWaiter(*record, std::chrono::seconds(1), std::move(handler));
}

void Coordinator::addWaiter(JobRecord &record, Base::Duration wait, ReplyHandler handler)
{
    if (record.phase == RecordPhase::Decided) {
        replyLater(std::move(handler), {absl::OkStatus(), *record.outcome});
        return;
    }
    if (wait <= Base::Duration(0)) {
        replyLater(std::move(handler), {});
        return;
    }
    const std::uint64_t waiterId = ++m_lastWaiter;
    const Base::RequestId id = record.id;
    const Base::TimerId timer = m_context.timers.schedule(wait, [this, id, waiterId] {
        JobRecord *waited = m_store.find(id);
        if (!waited)
            return;
        const auto it = std::find_if(waited->waiters.begin(), waited->waiters.end(),
                                     [&](const Waiter &w) { return w.id == waiterId; });
        if (it == waited->waiters.end())
            return;
        const ReplyHandler waiting = std::move(it->handler);
        waited->waiters.erase(it);
        waiting({});
    });
    record.waiters.push_back({waiterId, std::move(handler), timer});
}

void Coordinator::notifyWaiters(JobRecord &record, const Reply &reply)
{
    for (Waiter &it : std::exchange(record.waiters, {})) {
        m_context.timers.cancel(it.timer);
        replyLater(std::move(it.handler), reply);
    }
}

void Coordinator::activate(JobRecord &record, RecordPhase phase)
{
    record.phase = phase;
    ++m_activeCount;
    ++m_activeByTeam[record.id.team];
    if (record.isLocal())
        ++m_activeLocalCount;
}

void Coordinator::deactivate(JobRecord &record)
{
    m_context.timers.cancel(record.deadlineTimer);
    record.deadlineTimer = {};
    EP_ASSERT(m_activeCount > 0, return);
    --m_activeCount;
    if (record.isLocal())
        --m_activeLocalCount;
    const auto it = m_activeByTeam.find(record.id.team);
    EP_ASSERT(it != m_activeByTeam.end(), return);
    if (--it->second == 0)
        m_activeByTeam.erase(it);
}

void Coordinator::armDeadline(JobRecord &record)
{
    const Base::Duration remaining =
        std::max(Base::Duration(0), record.deadline - m_context.timers.now());
    record.deadlineTimer =
        m_context.timers.schedule(remaining, [this, id = record.id] { deadlinePassed(id); });
}

void Coordinator::deadlinePassed(const Base::RequestId &id)
{
    JobRecord *record = m_store.find(id);
    if (!record || !record->isAuthoritative() || !record->isUndecided())
        return;
    decideFailure(*record, FailureCode::DeadlineExceeded,
                  "the request did not complete before the deadline");
}

JobRecord *Coordinator::findActive(const Base::RequestId &id, Base::Epoch epoch)
{
    JobRecord *record = m_store.find(id);
    if (!record || record->epoch != epoch)
        return nullptr;
    if (record->phase == RecordPhase::Replica || record->phase == RecordPhase::Decided)
        return nullptr;
    return record;
}

void Coordinator::decideFailure(JobRecord &record, FailureCode code, std::string message)
{
    RequestView outcome;
    const bool mayHaveRun = record.startedCount > 0 || record.isStartUncertain;
    outcome.state = mayHaveRun ? RequestState::Failed : RequestState::NotRun;
    outcome.failure = code;
    outcome.message = std::move(message);
    decide(record, std::move(outcome));
}

void Coordinator::finishIfComplete(JobRecord &record)
{
    if (record.finishedCount < record.tasks.size() || record.phase == RecordPhase::Suspended)
        return;
    RequestView outcome;
    outcome.state = RequestState::Complete;
    for (TaskEntry &it : record.tasks)
        outcome.results.push_back(std::move(it.result));
    decide(record, std::move(outcome));
}

void Coordinator::decide(JobRecord &record, RequestView outcome)
{
    EP_ASSERT(record.isUndecided() && record.isAuthoritative(), return);
    EP_ASSERT(outcome.state != RequestState::NotRun || record.startedCount == 0, return);
    EP_ASSERT(outcome.state != RequestState::Complete
                  || outcome.results.size() == record.payloads.size(),
              return);
    stopTasks(record);
    record.outcome = std::move(outcome);
    record.decidedAt = m_context.timers.now();
    record.phase = RecordPhase::Deciding;
    if (record.isLocal()) {
        outcomeReplicated(record.id, record.epoch);
        return;
    }
    replicateOutcome(record);
}

void Coordinator::replicateOutcome(JobRecord &record)
{
    m_replicator.replicate(
        record.shard.index, record.epoch, {encodeRecord(record, Base::Duration(0), false)},
        [this, id = record.id, epoch = record.epoch] { outcomeReplicated(id, epoch); });
}

void Coordinator::outcomeReplicated(const Base::RequestId &id, Base::Epoch epoch)
{
    JobRecord *record = findActive(id, epoch);
    if (!record || record->phase != RecordPhase::Deciding)
        return;
    deactivate(*record);
    publish(*record);
}

void Coordinator::publish(JobRecord &record)
{
    record.phase = RecordPhase::Decided;
    record.payloads.clear();
    record.tasks.clear();
    m_store.updateSize(record);
    m_store.setExpiry(record, record.decidedAt + m_limits.retention);
    m_context.observer.requestDecided(record);
    notifyWaiters(record, {absl::OkStatus(), *record.outcome});
}

void Coordinator::sweep()
{
    m_sweepTimer = m_context.timers.schedule(Constants::RETENTION_SWEEP_MS, [this] { sweep(); });
    const Base::TimePoint now = m_context.timers.now();
    m_store.expire(now);
    // By then the lost records would have passed their retention, so every unknown key is new
    // again.
    std::erase_if(m_incompleteUntil, [now](const auto &it) { return it.second <= now; });
}

} // namespace Jobs
