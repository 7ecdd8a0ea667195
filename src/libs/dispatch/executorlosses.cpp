// Record of executors lost under tasks: proof and removal, merging, limits and retention.
#include "executorlosses.h"

#include "dispatchconstants.h"

#include <base/log.h>

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace Dispatch {

using Base::LogLevel;

const char *toString(LossGrounds grounds)
{
    switch (grounds) {
    case LossGrounds::NoAnswer:
        return "noAnswer";
    case LossGrounds::Disconnected:
        return "disconnected";
    case LossGrounds::OtherLifetime:
        return "otherLifetime";
    case LossGrounds::NotFound:
        return "notFound";
    case LossGrounds::Draining:
        break;
    }
    return "draining";
}

static LossGrounds groundsOf(std::uint8_t value)
{
    return static_cast<LossGrounds>(
        std::min(value, static_cast<std::uint8_t>(LossGrounds::Draining)));
}

static const char *toString(Wire::LostExecutorState state)
{
    switch (state) {
    case Wire::LostExecutorState::Unproven:
        return "unproven";
    case Wire::LostExecutorState::Ended:
        return "ended";
    case Wire::LostExecutorState::Answered:
        break;
    }
    return "answered";
}

ExecutorLosses::ExecutorLosses(Base::Timers &timers)
    : m_timers(timers)
    , m_lastPrune(timers.now())
{}

std::uint64_t ExecutorLosses::ageMs(Base::TimePoint time) const
{
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, Base::toMilliseconds(m_timers.now() - time)));
}

Base::TimePoint ExecutorLosses::timeAt(std::uint64_t age) const
{
    return m_timers.now()
           - std::chrono::milliseconds(
               std::min<std::uint64_t>(age, Constants::LOSS_RETENTION_MS.count()));
}

Wire::LostRun ExecutorLosses::entryOf(const TaskId &task, const ExecutorLifetime &executor,
                                      const Loss &loss) const
{
    return {task.job.value(),
            task.occurrence,
            task.step,
            task.index,
            executor.first.value(),
            executor.second.value(),
            ageMs(loss.time),
            static_cast<std::uint8_t>(loss.evidence),
            loss.run.value(),
            static_cast<std::uint8_t>(loss.grounds),
            loss.reporter.value()};
}

Wire::LostRuns ExecutorLosses::stateMessage(const ExecutorLifetime &executor) const
{
    const LostExecutor &lost = m_executors.at(executor);
    Wire::LostRuns message;
    message.executors.push_back({executor.first.value(), executor.second.value(),
                                 static_cast<std::uint8_t>(lost.state), ageMs(lost.time)});
    return message;
}

void ExecutorLosses::removeTask(const TaskId &task)
{
    const auto it = m_losses.find(task);
    for (const auto &[executor, loss] : it->second)
        m_executors.at(executor).tasks.erase(task);
    m_losses.erase(it);
}

/// Whether the run is recorded in another known lifetime of the \a executor. Daemons may put it
/// down to different ones, and it can be lost only once.
bool ExecutorLosses::isSameRunKnown(const Losses &losses, const ExecutorLifetime &executor,
                                    const Loss &loss)
{
    return std::any_of(losses.begin(), losses.end(), [&](const auto &it) {
        return it.first.first == executor.first && it.first.second != executor.second
               && it.first.second.value() > 0 && it.second.run == loss.run
               && std::chrono::abs(it.second.time - loss.time) <= Constants::SAME_RUN_WINDOW_MS;
    });
}

/// Returns false if the executor has answered since the loss, or had announced that it leaves.
bool ExecutorLosses::insert(const TaskId &task, const ExecutorLifetime &executor, const Loss &loss)
{
    if (m_drained.contains(executor))
        return false;
    const auto [lost, isNew] = m_executors.try_emplace(executor);
    if (isNew)
        lost->second.time = loss.time;
    if (lost->second.state == State::Answered) {
        if (loss.time <= lost->second.time + Constants::LOSS_ORDER_TOLERANCE_MS)
            return false;
        lost->second.state = State::Unproven;
        lost->second.time = loss.time;
    }
    if (!m_losses.contains(task) && m_losses.size() >= Constants::MAX_LOSS_RECORDS) {
        const auto oldest =
            std::min_element(m_losses.begin(), m_losses.end(), [](const auto &a, const auto &b) {
                return a.second.begin()->second.time < b.second.begin()->second.time;
            });
        removeTask(TaskId(oldest->first));
    }
    auto &executors = m_losses[task];
    if (loss.run.value() > 0 && isSameRunKnown(executors, executor, loss))
        return true;
    // A daemon that has only heard of the executor does not know which lifetime was lost.
    const ExecutorLifetime unknown{executor.first, Lifetime()};
    const auto sameExecutor = executors.lower_bound(unknown);
    const bool isKnown =
        sameExecutor != executors.end() && sameExecutor->first.first == executor.first;
    if (executor.second.value() == 0 && isKnown)
        return true;
    if (executor.second.value() > 0 && executors.erase(unknown) > 0)
        m_executors.at(unknown).tasks.erase(task);
    Loss &known = executors.try_emplace(executor, loss).first->second;
    known.evidence = std::max(known.evidence, loss.evidence);
    lost->second.tasks.insert(task);
    return true;
}

static Wire::LostRunEvidence evidenceOf(LossGrounds grounds, bool hadStarted)
{
    if (grounds == LossGrounds::NoAnswer)
        return Wire::LostRunEvidence::Silence;
    return hadStarted ? Wire::LostRunEvidence::Started : Wire::LostRunEvidence::Disconnected;
}

ExecutorLosses::Message ExecutorLosses::add(const ExecutorLoss &loss)
{
    const ExecutorLifetime executor{loss.executor, loss.lifetime};
    if (loss.grounds == LossGrounds::Draining || m_drained.contains(executor))
        return std::nullopt;
    const Base::TimePoint now = m_timers.now();
    // Not overruled by an earlier answer, however recent.
    if (loss.grounds == LossGrounds::OtherLifetime) {
        LostExecutor &lost =
            m_executors.try_emplace(executor, LostExecutor{State::Unproven, now, {}, {}, {}})
                .first->second;
        if (lost.state == State::Answered)
            lost.state = State::Unproven;
    }
    Wire::LostRuns message;
    for (const LostTask &it : loss.tasks) {
        const Loss entry{now, evidenceOf(loss.grounds, it.hadStarted), it.run, loss.grounds,
                         loss.reporter};
        if (insert(it.id, executor, entry))
            message.runs.push_back(entryOf(it.id, executor, entry));
    }
    LostExecutor &lost = m_executors[executor];
    if (!loss.address.empty()) {
        lost.address = loss.address;
        lost.service = loss.service;
    }
    if (loss.grounds == LossGrounds::OtherLifetime)
        prove(executor, "otherLifetime");
    message.executors = stateMessage(executor).executors;
    return message;
}

/// Removes the losses of this lifetime up to an answer. Returns false if there was nothing to
/// remove. That a lifetime has ended is final: a later answer was sent before.
bool ExecutorLosses::remove(const ExecutorLifetime &executor, Base::TimePoint answered)
{
    LostExecutor &lost = m_executors[executor];
    if (lost.state == State::Ended || (lost.state == State::Answered && lost.time >= answered))
        return false;
    const bool wasLost = lost.state != State::Answered;
    std::size_t tasks = 0;
    for (const TaskId &it : std::set<TaskId>(lost.tasks)) {
        Losses &losses = m_losses.at(it);
        if (losses.at(executor).time > answered + Constants::LOSS_ORDER_TOLERANCE_MS)
            continue;
        ++tasks;
        lost.tasks.erase(it);
        losses.erase(executor);
        if (losses.empty())
            m_losses.erase(it);
    }
    if (tasks > 0) {
        ++m_removedCount;
        Base::log(LogLevel::Info, "lossRemoved",
                  {{"executor", executor.first}, {"lifetime", executor.second}, {"tasks", tasks}});
    }
    if (!lost.tasks.empty())
        return false; // lost again since
    lost.state = State::Answered;
    lost.time = answered;
    return wasLost;
}

ExecutorLosses::Message ExecutorLosses::answered(const ExecutorId &executor, Lifetime lifetime)
{
    if (m_executors.empty())
        return std::nullopt;
    Message message;
    // A loss in an unknown lifetime may have been one in this lifetime.
    for (const ExecutorLifetime &it :
         {ExecutorLifetime(executor, lifetime), ExecutorLifetime(executor, Lifetime())}) {
        const auto lost = m_executors.find(it);
        if (lost == m_executors.end() || lost->second.state == State::Answered
            || !remove(it, m_timers.now())) {
            continue;
        }
        if (!message)
            message.emplace();
        message->executors.push_back(stateMessage(it).executors.front());
    }
    return message;
}

/// Returns false if the loss was not recorded or already proven.
bool ExecutorLosses::prove(const ExecutorLifetime &executor, const char *proof)
{
    const auto it = m_executors.find(executor);
    if (it == m_executors.end() || it->second.state != State::Unproven)
        return false;
    it->second.state = State::Ended;
    Base::log(LogLevel::Info, "lossProven",
              {{"executor", executor.first},
               {"lifetime", executor.second},
               {"proof", proof},
               {"age", m_timers.now() - it->second.time}});
    it->second.time = m_timers.now();
    return true;
}

ExecutorLosses::Message ExecutorLosses::ended(const ExecutorId &executor, Lifetime lifetime)
{
    const ExecutorLifetime key{executor, lifetime};
    if (!prove(key, "otherLifetime"))
        return std::nullopt;
    return stateMessage(key);
}

void ExecutorLosses::setExecutors(const std::vector<ExecutorInfo> &executors)
{
    for (const ExecutorInfo &it : executors) {
        if (it.draining)
            m_drained[{it.id, it.lifetime}] = m_timers.now();
    }
    std::vector<ExecutorLifetime> unproven;
    for (const auto &[executor, lost] : m_executors) {
        if (lost.state == State::Unproven)
            unproven.push_back(executor);
    }
    if (unproven.empty())
        return;
    std::map<ExecutorId, const ExecutorInfo *> byId;
    std::map<std::pair<std::string, ServiceId>, Lifetime> latestAt; // by address and service
    for (const ExecutorInfo &it : executors) {
        byId[it.id] = &it;
        Lifetime &latest = latestAt[{it.address, it.service}];
        latest = std::max(latest, it.lifetime);
    }
    for (const ExecutorLifetime &it : unproven) {
        LostExecutor &lost = m_executors.at(it);
        const auto registered = byId.find(it.first);
        if (registered != byId.end()) {
            lost.address = registered->second->address;
            lost.service = registered->second->service;
            if (it.second.value() > 0 && registered->second->lifetime > it.second)
                prove(it, "registeredAgain");
            continue;
        }
        // While it is registered, an entry with its address may be of another writer.
        const auto latest = latestAt.find({lost.address, lost.service});
        if (latest != latestAt.end() && it.second.value() > 0 && latest->second > it.second)
            prove(it, "addressReused");
    }
}

void ExecutorLosses::merge(const Wire::LostRuns &message)
{
    // The states first: an executor that has answered keeps its earlier losses out.
    for (const Wire::LostExecutor &it : message.executors) {
        const ExecutorLifetime executor{ExecutorId(it.executor), Lifetime(it.lifetime)};
        if (it.state == static_cast<std::uint8_t>(State::Answered))
            remove(executor, timeAt(it.ageMs));
    }
    for (const Wire::LostRun &it : message.runs) {
        const auto evidence = static_cast<Wire::LostRunEvidence>(
            std::min(it.evidence, static_cast<std::uint8_t>(Wire::LostRunEvidence::Started)));
        insert({JobId(it.job), it.occurrence, it.step, it.index},
               {ExecutorId(it.executor), Lifetime(it.lifetime)},
               {timeAt(it.ageMs), evidence, RunNumber(it.run), groundsOf(it.grounds),
                Base::DaemonId(it.reporter)});
    }
    for (const Wire::LostExecutor &it : message.executors) {
        const ExecutorLifetime executor{ExecutorId(it.executor), Lifetime(it.lifetime)};
        if (it.state != static_cast<std::uint8_t>(State::Ended))
            continue;
        m_executors.try_emplace(executor,
                                LostExecutor{State::Unproven, timeAt(it.ageMs), {}, {}, {}});
        if (prove(executor, "reported"))
            m_executors.at(executor).time = timeAt(it.ageMs);
    }
}

std::vector<Wire::LostRuns> ExecutorLosses::messages() const
{
    std::vector<Wire::LostRuns> list;
    const auto next = [&list]() -> Wire::LostRuns & {
        if (list.empty()
            || list.back().runs.size() + list.back().executors.size()
                   >= Constants::MAX_LOSSES_PER_MESSAGE) {
            list.emplace_back();
        }
        return list.back();
    };
    for (const auto &[executor, lost] : m_executors) {
        if (lost.state != State::Unproven)
            next().executors.push_back(stateMessage(executor).executors.front());
    }
    for (const auto &[task, executors] : m_losses) {
        for (const auto &[executor, loss] : executors)
            next().runs.push_back(entryOf(task, executor, loss));
    }
    return list;
}

RunNumber ExecutorLosses::highestRun(const TaskId &task) const
{
    RunNumber highest;
    const auto it = m_losses.find(task);
    if (it == m_losses.end())
        return highest;
    for (const auto &[executor, loss] : it->second)
        highest = std::max(highest, loss.run);
    return highest;
}

std::size_t ExecutorLosses::count(const TaskId &task) const
{
    const auto it = m_losses.find(task);
    return it == m_losses.end() ? 0 : it->second.size();
}

bool ExecutorLosses::hasEnded(const ExecutorLifetime &executor) const
{
    const auto it = m_executors.find(executor);
    return it != m_executors.end() && it->second.state == State::Ended;
}

bool ExecutorLosses::isProven(const Losses::value_type &loss) const
{
    return loss.second.evidence == Wire::LostRunEvidence::Started && hasEnded(loss.first);
}

bool ExecutorLosses::isSuspect(const TaskId &task) const
{
    const auto it = m_losses.find(task);
    if (it == m_losses.end())
        return false;
    return it->second.size() > 1
           || it->second.begin()->second.evidence != Wire::LostRunEvidence::Silence
           || hasEnded(it->second.begin()->first);
}

bool ExecutorLosses::isGivenUp(const TaskId &task) const
{
    const auto it = m_losses.find(task);
    if (it == m_losses.end() || it->second.size() < Constants::MAX_EXECUTOR_LOSSES)
        return false;
    const auto proven = std::count_if(it->second.begin(), it->second.end(),
                                      [this](const auto &loss) { return isProven(loss); });
    return static_cast<std::size_t>(proven) >= Constants::MAX_EXECUTOR_LOSSES;
}

Base::Duration ExecutorLosses::startDelay(const TaskId &task) const
{
    const auto it = m_losses.find(task);
    if (it == m_losses.end() || it->second.size() < Constants::MAX_EXECUTOR_LOSSES)
        return Base::Duration(0);
    const bool mustBeForgotten = isGivenUp(task);
    std::optional<Base::TimePoint> last; // of the losses that count
    for (const auto &loss : it->second) {
        if (mustBeForgotten || !isProven(loss))
            last = std::max(last, std::optional(loss.second.time));
    }
    if (!last)
        return Base::Duration(0);
    // Without proof, only the number of starts limits what a task can crash.
    const std::size_t extra = it->second.size() - Constants::MAX_EXECUTOR_LOSSES;
    const bool isOverLimit = it->second.size() >= Constants::MAX_UNPROVEN_LOSSES;
    const Base::Duration wait = mustBeForgotten || isOverLimit
                                    ? Base::Duration(Constants::LOSS_RETENTION_MS)
                                    : Constants::LOSS_PROOF_WAIT_MS * (1U << extra);
    return std::max(Base::Duration(0), *last + wait - m_timers.now());
}

Base::Duration ExecutorLosses::startDelay(const JobId &job) const
{
    Base::Duration delay{0};
    for (auto it = m_losses.lower_bound({job, 0, 0, 0});
         it != m_losses.end() && it->first.job == job; ++it) {
        delay = std::max(delay, startDelay(it->first));
    }
    return delay;
}

std::string ExecutorLosses::describe(const TaskId &task) const
{
    std::string text;
    const auto it = m_losses.find(task);
    if (it == m_losses.end())
        return text;
    for (const auto &[executor, loss] : it->second) {
        const auto lost = m_executors.find(executor);
        const State state = lost == m_executors.end() ? State::Unproven : lost->second.state;
        text +=
            fmt::format("{}run{}:{}@{}/{}/{}/{}/{}ms", text.empty() ? "" : ",", loss.run.value(),
                        executor.first.value(), executor.second.value(), toString(loss.grounds),
                        toString(state), loss.reporter.value(), ageMs(loss.time));
    }
    return text;
}

void ExecutorLosses::tick()
{
    const Base::TimePoint now = m_timers.now();
    if (now - m_lastPrune < Constants::LOSS_PRUNE_INTERVAL_MS)
        return;
    m_lastPrune = now;
    std::vector<TaskId> expired;
    for (auto &[task, losses] : m_losses) {
        const bool isRecent = std::any_of(losses.begin(), losses.end(), [now](const auto &it) {
            return now - it.second.time <= Constants::LOSS_RETENTION_MS;
        });
        if (!isRecent)
            expired.push_back(task);
    }
    for (const TaskId &it : expired)
        removeTask(it);
    std::erase_if(m_drained,
                  [now](const auto &it) { return now - it.second > Constants::LOSS_RETENTION_MS; });
    std::erase_if(m_executors, [now](const auto &it) {
        return it.second.tasks.empty() && now - it.second.time > Constants::LOSS_RETENTION_MS;
    });
}

} // namespace Dispatch
