// Checks of answers against starts and ends.
#include "ledger.h"

#include <algorithm>
#include <charconv>

namespace Soak {

const char *toString(RunOutcome outcome)
{
    switch (outcome) {
    case RunOutcome::Done:
        return "done";
    case RunOutcome::Failed:
        return "failed";
    case RunOutcome::Stopped:
        return "stopped";
    case RunOutcome::Lapsed:
        return "lapsed";
    }
    return "";
}

bool TaskName::parse(const std::string &text, TaskName &out)
{
    const std::size_t dot = text.find('.');
    if (dot == std::string::npos)
        return false;
    out.job = text.substr(0, dot);
    std::uint32_t occurrence = 0;
    const char *begin = text.data() + dot + 1;
    const char *const end = text.data() + text.size();
    for (std::uint32_t *it : {&occurrence, &out.step, &out.index}) {
        const auto [next, ec] = std::from_chars(begin, end, *it);
        if (ec != std::errc())
            return false;
        begin = next == end ? end : next + 1;
    }
    return occurrence == 0 && begin == end;
}

std::string TaskName::text() const
{
    return fmt::format("{}.0.{}.{}", job, step, index);
}

static bool isRejection(int status)
{
    return status == 503 || status == 429 || status == 404;
}

void Ledger::answered(const std::string &id, int status, const std::string &state)
{
    Job &job = m_jobs.at(id);
    const std::string outcome = status == 200 ? state
                                : status == 0 ? "broken"
                                              : std::to_string(status);
    m_journal.note(fmt::format("answer {} {}", id, outcome));
    ++m_outcomes[outcome];
    if (isRejection(status)) {
        ++job.rejections;
        if (status == 404 && job.plan.queue != EXTRA_QUEUE)
            m_journal.find(fmt::format("job {} was refused with 404, and its queue exists", id));
        if (job.isStarted && job.rejections == job.attempts)
            m_journal.find(fmt::format("job {} was rejected with {}, and has started", id, status));
    } else if (state == "completed") {
        checkCompleted(job);
    } else if (state == "failed") {
        checkFailed(job);
    } else if (status != 0 && status != 502 && status != 504) {
        m_journal.find(fmt::format("job {} was answered with {} '{}'", id, status, state));
    }
}

bool Ledger::isStepDone(const Job &job, std::uint32_t step)
{
    for (std::uint32_t i = 0; i < job.plan.steps[step].count; ++i) {
        const auto it = job.tasks.find({step, i});
        if (it == job.tasks.end() || it->second.done == 0)
            return false;
    }
    return true;
}

void Ledger::checkCompleted(const Job &job)
{
    for (std::uint32_t step = 0; step < job.plan.steps.size(); ++step) {
        if (!isStepDone(job, step)) {
            m_journal.find(
                fmt::format("job {} was answered as completed, and not all tasks of step "
                            "{} have ended as done",
                            job.plan.id, step));
        }
    }
}

void Ledger::checkFailed(const Job &job)
{
    const bool hasCause = std::any_of(job.tasks.begin(), job.tasks.end(), [&](const auto &it) {
        return it.second.failed >= MAX_TASK_ATTEMPTS;
    });
    if (hasCause)
        return;
    std::string tasks;
    for (const auto &[key, task] : job.tasks) {
        if (task.failed > 0 || task.starts > 1)
            tasks += fmt::format(" {}.{}: {} starts, {} failed, {} crashes", key.first, key.second,
                                 task.starts, task.failed, task.crashes.size());
    }
    m_journal.find(
        fmt::format("job {} was answered as failed without cause:{}", job.plan.id, tasks));
}

const JobPlan *Ledger::planOf(const TaskName &name) const
{
    const auto it = m_jobs.find(name.job);
    if (it == m_jobs.end() || name.step >= it->second.plan.steps.size()
        || name.index >= it->second.plan.steps[name.step].count) {
        return nullptr;
    }
    return &it->second.plan;
}

const JobPlan *Ledger::started(const TaskName &name, const std::string &spec,
                               const ExecutorLife &on)
{
    const JobPlan *plan = planOf(name);
    if (!plan || spec != plan->spec()) {
        m_journal.find("a start of what no caller sent: " + name.text());
        return nullptr;
    }
    Job &job = m_jobs.at(name.job);
    Task &task = at(name);
    m_journal.note(fmt::format("start {} on {}/{}", name.text(), on.id, on.born));
    if (job.rejections == job.attempts)
        m_journal.find("a start of a job that was rejected: " + name.text());
    for (const ExecutorLife &other : task.runsOn)
        m_journal.find(
            fmt::format("two runs at one time: {} on {} and {}", name.text(), other.id, on.id));
    for (const std::uint32_t earlier : job.plan.steps[name.step].after) {
        if (!isStepDone(job, earlier))
            m_journal.find("a start before the steps that it comes after: " + name.text());
    }
    job.isStarted = true;
    ++task.starts;
    task.runsOn.insert(on);
    return &job.plan;
}

int Ledger::startsOf(const TaskName &name) const
{
    return m_jobs.at(name.job).tasks.at({name.step, name.index}).starts;
}

void Ledger::ended(const TaskName &name, const ExecutorLife &on, RunOutcome outcome)
{
    Task &task = at(name);
    m_journal.note(fmt::format("end {} on {} {}", name.text(), on.id, toString(outcome)));
    task.runsOn.erase(on);
    task.done += outcome == RunOutcome::Done ? 1 : 0;
    task.failed += outcome == RunOutcome::Failed ? 1 : 0;
}

void Ledger::crashed(const TaskName &name, const ExecutorLife &on)
{
    Task &task = at(name);
    m_journal.note(fmt::format("crash of {} under {}", on.id, name.text()));
    task.runsOn.erase(on);
    task.crashes.insert(on);
}

void Ledger::left(const TaskName &name, const ExecutorLife &on)
{
    m_journal.note(fmt::format("leave of {} with {}", on.id, name.text()));
    at(name).runsOn.erase(on);
}

std::string Ledger::summary() const
{
    std::string text = fmt::format("{} jobs;", m_jobs.size());
    for (const auto &[outcome, n] : m_outcomes)
        text += fmt::format(" {} {}", outcome, n);
    return text;
}

} // namespace Soak
