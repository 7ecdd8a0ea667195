// A program of the deployment under test, run as a child process.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace TestSupport {

/// Kills its process on destruction. After armWatchdog(), running children are also killed if the
/// test program gets SIGALRM, SIGTERM or SIGINT.
class ChildProcess
{
public:
    /// Starts \a arguments[0]; its output goes to \a logFile. Throws std::runtime_error.
    ChildProcess(const std::vector<std::string> &arguments, const std::string &logFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    pid_t pid() const { return m_pid; }
    void signal(int number) const;
    /// Returns whether the process is running, and reaps it if it has ended. Never blocks.
    bool isRunning();
    /// Exit code, or the negative signal number. Valid once isRunning() is false.
    int exitCode() const { return m_exitCode; }
    /// Sends SIGKILL and waits for the process to end.
    void kill();

    /// Kills all child processes after \a seconds, so that none outlives a test program that hangs.
    static void armWatchdog(unsigned seconds);

private:
    pid_t m_pid = -1;
    int m_exitCode = 0;
};

} // namespace TestSupport
