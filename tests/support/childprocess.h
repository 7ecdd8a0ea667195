// A program of the deployment under test, run as a child process.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace TestSupport {

/// Ends its process when it goes out of scope. Processes that are still registered are also killed
/// if the test program gets SIGALRM, SIGTERM or SIGINT.
class ChildProcess
{
public:
    /// Starts \a arguments[0]; its output goes to \a logFile. Throws std::runtime_error.
    ChildProcess(const std::vector<std::string> &arguments, const std::string &logFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    void signal(int number) const;
    /// Whether the process has not been collected. Never blocks.
    bool isRunning();
    /// Exit code, or the negative signal number. Valid once isRunning() is false.
    int exitCode() const { return m_exitCode; }
    /// SIGKILL, and waits for the end.
    void kill();

    /// Kills every registered process when the alarm fires, so that none outlives a test program
    /// that hangs.
    static void armGuard(unsigned seconds);

private:
    pid_t m_pid = -1;
    int m_exitCode = 0;
};

} // namespace TestSupport
