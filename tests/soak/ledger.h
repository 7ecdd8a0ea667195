// The jobs of a run and what became of them at callers and executors. All promises about jobs are
// checked here.
#pragma once

#include "journal.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Soak {

/// Of each queue.
constexpr int MAX_TASK_ATTEMPTS = 3;

/// The queue that is not always in the desired state.
constexpr char EXTRA_QUEUE[] = "extra";

/// The kinds that the lifetimes of an executor have in turn.
constexpr const char *EXECUTOR_KINDS[] = {"plain", "other"};

/// How the tasks of a job behave, apart from working.
enum class Trouble {
    None,
    FailsOnce,   ///< The first run of the first task fails.
    FailsAlways, ///< Every run of the first task fails.
    Crashes,     ///< Every run of the first task crashes its executor.
};

struct StepPlan
{
    std::uint32_t count = 1;
    std::uint32_t cpuMillis = 500;
    std::uint32_t memoryMb = 128;
    std::uint32_t runMs = 60;
    std::vector<std::uint32_t> after;
    std::string requiredKind = {}; // of the executor; empty: any
};

struct JobPlan
{
    std::string id; // 16 hexadecimal digits
    std::string queue;
    std::string service;
    Trouble trouble = Trouble::None;
    std::vector<StepPlan> steps;

    std::string spec() const { return "spec of " + id; }
};

/// An order's task name, ID.K.STEP.INDEX.
struct TaskName
{
    std::string job;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    static bool parse(const std::string &text, TaskName &out);
    std::string text() const;
};

/// One lifetime of an executor.
struct ExecutorLife
{
    std::string id;
    std::uint64_t born = 0;

    auto operator<=>(const ExecutorLife &) const = default;
};

enum class RunOutcome { Done, Failed, Stopped, Lapsed };
const char *toString(RunOutcome outcome);

class Ledger
{
public:
    explicit Ledger(Journal &journal)
        : m_journal(journal)
    {}

    // From callers.
    void add(const JobPlan &plan) { m_jobs[plan.id].plan = plan; }
    void attempted(const std::string &job) { ++m_jobs.at(job).attempts; }
    /// The attempt has not reached a daemon.
    void notSent(const std::string &job) { --m_jobs.at(job).attempts; }
    /// The answer to one attempt: 0 stands for a broken connection.
    void answered(const std::string &job, int status, const std::string &state);

    // From executors.
    /// Returns the job's plan, or null if no caller sent that job.
    const JobPlan *started(const TaskName &task, const std::string &spec, const ExecutorLife &on);
    /// The plan of the task's job, or null if there is no such task.
    const JobPlan *planOf(const TaskName &task) const;
    /// The number of runs of the task that were started, including this one.
    int startsOf(const TaskName &task) const;
    void ended(const TaskName &task, const ExecutorLife &on, RunOutcome outcome);
    /// The executor crashed while it ran the task, or before the end of its run was taken note of.
    void crashed(const TaskName &task, const ExecutorLife &on);
    /// The executor left as announced, with a run of the task.
    void left(const TaskName &task, const ExecutorLife &on);

    std::string summary() const;

private:
    struct Task
    {
        int starts = 0;
        int done = 0;
        int failed = 0;
        std::set<ExecutorLife> runsOn; // has a run there now
        std::set<ExecutorLife> crashes;
    };
    struct Job
    {
        JobPlan plan;
        int attempts = 0;
        int rejections = 0;
        bool isStarted = false;
        std::map<std::pair<std::uint32_t, std::uint32_t>, Task> tasks; // by step and index
    };

    Task &at(const TaskName &task) { return m_jobs.at(task.job).tasks[{task.step, task.index}]; }
    void checkCompleted(const Job &job);
    void checkFailed(const Job &job);
    static bool isStepDone(const Job &job, std::uint32_t step);

    Journal &m_journal;
    std::map<std::string, Job> m_jobs;
    std::map<std::string, std::size_t> m_outcomes;
};

} // namespace Soak
