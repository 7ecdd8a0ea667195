// The record of a case: what was sent, answered and run, and the rules that were broken.
#pragma once

#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
        , m_start(Clock::now())
    {}

    std::int64_t elapsedMs() const
    {
        return std::chrono::duration_cast<Milliseconds>(Clock::now() - m_start).count();
    }

    void note(const std::string &text)
    {
        m_file << elapsedMs() << " ms  " << text << '\n';
        m_file.flush();
    }

    /// \a rule is a name of the users' rules.
    void broken(const std::string &rule, const std::string &text)
    {
        note("BROKEN " + rule + ": " + text);
        std::printf("%s: %s\n", rule.c_str(), text.c_str());
        m_broken.push_back(rule);
    }

    bool isBroken(const std::string &rule) const
    {
        for (const std::string &it : m_broken) {
            if (it == rule)
                return true;
        }
        return false;
    }

private:
    std::ofstream m_file;
    const Clock::time_point m_start;
    std::vector<std::string> m_broken;
};

} // namespace Review
