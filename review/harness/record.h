// What clients sent, what daemons answered and what executors ran, and the check of rule TWICE.
#pragma once

#include <fmt/format.h>

#include <chrono>
#include <fstream>
#include <map>
#include <set>
#include <string>

namespace Review {

using Milliseconds = std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
        , m_begin(Clock::now())
    {}

    void note(const std::string &text)
    {
        const auto ms = std::chrono::duration_cast<Milliseconds>(Clock::now() - m_begin).count();
        m_file << fmt::format("{:7.3f} {}\n", double(ms) / 1000, text) << std::flush;
    }

    /// A run of \a task has begun on \a executor.
    void started(const std::string &task, std::uint64_t run, const std::string &executor)
    {
        ++starts;
        note(fmt::format("start {} run {} on {}", task, run, executor));
        for (const auto &[otherExecutor, otherRun] : m_runs[task]) {
            ++broken;
            note(fmt::format("BROKEN TWICE: {} run {} on {} and run {} on {} at the same time",
                             task, otherRun, otherExecutor, run, executor));
        }
        m_runs[task].insert({executor, run});
    }

    void ended(const std::string &task, std::uint64_t run, const std::string &executor,
               const std::string &how)
    {
        note(fmt::format("end {} run {} on {}: {}", task, run, executor, how));
        m_runs[task].erase({executor, run});
    }

    int broken = 0;
    int starts = 0;
    int answered = 0;
    int completed = 0;

private:
    std::ofstream m_file;
    const Clock::time_point m_begin;
    std::map<std::string, std::set<std::pair<std::string, std::uint64_t>>> m_runs; // by task
};

} // namespace Review
