// What a run sees: a log file of all that happens, and the findings, which fail the run.
#pragma once

#include <fmt/format.h>

#include <chrono>
#include <fstream>
#include <string>
#include <vector>

namespace Soak {

class Journal
{
public:
    explicit Journal(const std::string &path)
        : m_file(path)
    {}

    void note(const std::string &text)
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
        m_file << fmt::format("{}.{:03} {}\n", ms / 1000, ms % 1000, text);
    }

    /// A promise that was broken.
    void find(const std::string &text)
    {
        note("FINDING " + text);
        m_file.flush();
        m_findings.push_back(text);
    }

    const std::vector<std::string> &findings() const { return m_findings; }

private:
    std::ofstream m_file;
    std::vector<std::string> m_findings;
};

} // namespace Soak
