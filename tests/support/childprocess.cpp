// Starting child processes, and the registry from which a signal handler kills them.
#include "childprocess.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <csignal>
#include <stdexcept>

extern char **environ;

namespace TestSupport {

static std::array<std::atomic<pid_t>, 64> s_children;

static void replaceChild(pid_t from, pid_t to)
{
    for (auto &it : s_children) {
        pid_t expected = from;
        if (it.compare_exchange_strong(expected, to))
            return;
    }
}

static void killChildren(int)
{
    for (const auto &it : s_children) {
        if (it > 0)
            ::kill(it, SIGKILL);
    }
    _exit(99);
}

void ChildProcess::armWatchdog(unsigned seconds)
{
    for (const int it : {SIGALRM, SIGTERM, SIGINT})
        std::signal(it, killChildren);
    alarm(seconds);
}

ChildProcess::ChildProcess(const std::vector<std::string> &arguments, const std::string &logFile)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    for (const int it : {STDOUT_FILENO, STDERR_FILENO}) {
        posix_spawn_file_actions_addopen(&actions, it, logFile.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0600);
    }
    // A child that inherited a socket of a TcpRelay would keep the connection open.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::vector<char *> argv;
    for (const std::string &it : arguments)
        argv.push_back(const_cast<char *>(it.c_str()));
    argv.push_back(nullptr);
    const int ec = posix_spawn(&m_pid, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (ec != 0)
        throw std::runtime_error("can't start " + arguments[0]);
    replaceChild(0, m_pid);
}

ChildProcess::~ChildProcess()
{
    kill();
}

void ChildProcess::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

static int exitCodeOf(int status)
{
    return WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
}

bool ChildProcess::isRunning()
{
    int status = 0;
    if (m_pid <= 0 || waitpid(m_pid, &status, WNOHANG) == 0)
        return m_pid > 0;
    replaceChild(m_pid, 0);
    m_pid = -1;
    m_exitCode = exitCodeOf(status);
    return false;
}

void ChildProcess::kill()
{
    if (!isRunning())
        return;
    ::kill(m_pid, SIGKILL);
    int status = 0;
    waitpid(m_pid, &status, 0);
    replaceChild(m_pid, 0);
    m_pid = -1;
    m_exitCode = exitCodeOf(status);
}

} // namespace TestSupport
