// Processes of the daemons.
#include "daemons.h"

#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <stdexcept>

namespace Soak {

using nlohmann::json;

static constexpr Milliseconds WATCH_MS{20};
/// More than a run uses, so that runs at the same time search different ranges.
static constexpr unsigned PORTS_PER_PROCESS = 1024;
/// A daemon that got SIGTERM must have ended by itself this long after its grace period.
static constexpr Milliseconds END_MARGIN_MS{3000};

/// Below the range from which the kernel takes the ports of outgoing connections, which could take
/// a port between this check and its use.
std::uint16_t freePort()
{
    static unsigned next = unsigned(getpid()) * PORTS_PER_PROCESS;
    asio::io_context io;
    for (int i = 0; i < 20'000; ++i) {
        const auto port = std::uint16_t(10'000 + next++ % 20'000);
        asio::ip::tcp::acceptor acceptor(io);
        asio::error_code ec;
        acceptor.open(asio::ip::tcp::v4());
        acceptor.bind({asio::ip::make_address("127.0.0.1"), port}, ec);
        if (!ec)
            return port;
    }
    throw std::runtime_error("no free port");
}

Daemons::Daemons(asio::io_context &io, Base::Timers &timers, Journal &journal, std::string folder,
                 std::string program)
    : m_io(io)
    , m_timers(timers)
    , m_journal(journal)
    , m_folder(std::move(folder))
    , m_program(std::move(program))
{}

void Daemons::add(const std::string &zone, std::uint16_t storePort)
{
    auto daemon = std::make_unique<Daemon>();
    daemon->name = fmt::format("d{}", m_daemons.size());
    daemon->zone = zone;
    daemon->callers = freePort();
    daemon->readiness = freePort();
    daemon->peers = freePort();
    daemon->operators = freePort();
    daemon->store = std::make_unique<FaultRelay>(m_io, freePort(), storePort);
    m_daemons.push_back(std::move(daemon));
}

void Daemons::start()
{
    for (const auto &it : m_daemons) {
        for (std::size_t i = 0; i < m_daemons.size(); ++i)
            it->peerRelays.push_back(std::make_unique<FaultRelay>(m_io, freePort(), it->peers));
    }
    for (std::size_t i = 0; i < m_daemons.size(); ++i)
        startProcess(i);
    watch();
}

void Daemons::startProcess(std::size_t index)
{
    Daemon &it = *m_daemons[index];
    const auto endpoint = [](std::uint16_t port) { return fmt::format("127.0.0.1:{}", port); };
    const std::string settings = fmt::format("{}/{}.json", m_folder, it.name);
    std::ofstream(settings) << json({{"daemon", it.name},
                                     {"failureDomain", it.zone},
                                     {"address", "127.0.0.1"},
                                     {"peerPort", it.peers},
                                     {"operatorPort", it.operators},
                                     {"callers", endpoint(it.callers)},
                                     {"readiness", endpoint(it.readiness)},
                                     {"store", endpoint(it.store->port())},
                                     {"orders", "invocation"},
                                     {"graceSeconds", GRACE_MS.count() / 1000},
                                     {"executorDrainMs", 2000},
                                     {"leaseMs", 1000},
                                     {"cpuShare", 1},
                                     {"cores", 1},
                                     {"memoryMb", MEMORY_MB},
                                     {"logLevel", "info"}})
                                   .dump();
    setenv("ENDIVEPATH_SETTINGS", settings.c_str(), 1);
    it.process = std::make_unique<TestSupport::ChildProcess>(
        std::vector<std::string>{m_program, "--platform"},
        fmt::format("{}/{}.log", m_folder, it.name));
    ++it.generation;
    it.terminated.reset();
    m_journal.note(fmt::format("{} started, process {}", it.name, it.generation));
}

FaultRelay &Daemons::peerRelay(std::size_t from, std::size_t to)
{
    return *m_daemons[to]->peerRelays[from];
}

std::uint16_t Daemons::peerPortFor(std::size_t from, const std::string &to) const
{
    return m_daemons[std::stoul(to.substr(1))]->peerRelays[from]->port();
}

std::optional<pid_t> Daemons::processId(std::size_t daemon) const
{
    return isRunning(daemon) ? std::optional(m_daemons[daemon]->process->pid()) : std::nullopt;
}

bool Daemons::isServing(std::size_t daemon) const
{
    return isRunning(daemon) && !m_daemons[daemon]->terminated;
}

Base::Duration Daemons::pausedTime(std::size_t daemon) const
{
    const Daemon &it = *m_daemons[daemon];
    return it.paused + (it.pauses > 0 ? m_timers.now() - it.pausedSince : Base::Duration(0));
}

void Daemons::pause(std::size_t index, Milliseconds duration)
{
    Daemon &it = *m_daemons[index];
    if (!it.process)
        return;
    it.process->signal(SIGSTOP);
    if (it.pauses++ == 0)
        it.pausedSince = m_timers.now();
    m_timers.schedule(duration, [this, index, generation = it.generation] {
        Daemon &daemon = *m_daemons[index];
        if (daemon.process && daemon.generation == generation && --daemon.pauses == 0)
            resume(daemon);
    });
}

void Daemons::resume(Daemon &daemon)
{
    daemon.paused += m_timers.now() - daemon.pausedSince;
    daemon.pauses = 0;
    if (daemon.process)
        daemon.process->signal(SIGCONT);
}

void Daemons::kill(std::size_t index, Milliseconds downtime)
{
    Daemon &it = *m_daemons[index];
    if (!it.process)
        return;
    it.process->kill();
    it.downtime = downtime;
    m_journal.note(fmt::format("{} killed", it.name));
    ended(index);
}

void Daemons::terminate(std::size_t index, Milliseconds downtime)
{
    Daemon &it = *m_daemons[index];
    if (!it.process || it.terminated)
        return;
    it.downtime = downtime;
    it.terminated = m_timers.now();
    it.pausedBeforeEnd = pausedTime(index);
    it.process->signal(SIGTERM);
    m_journal.note(fmt::format("{} gets SIGTERM", it.name));
}

void Daemons::hangUp(std::size_t index)
{
    if (isRunning(index))
        m_daemons[index]->process->signal(SIGHUP);
}

void Daemons::terminateAll()
{
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        terminate(i, Milliseconds(0));
        m_daemons[i]->isFinal = true;
    }
}

bool Daemons::areAllEnded() const
{
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        if (isRunning(i))
            return false;
    }
    return true;
}

void Daemons::ended(std::size_t index)
{
    Daemon &it = *m_daemons[index];
    it.process.reset();
    if (it.pauses > 0)
        resume(it);
    if (it.isFinal)
        return;
    m_timers.schedule(it.downtime, [this, index] {
        if (!m_daemons[index]->process && !m_daemons[index]->isFinal)
            startProcess(index);
    });
}

void Daemons::watch()
{
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        Daemon &it = *m_daemons[i];
        if (!it.process)
            continue;
        if (!it.process->isRunning()) {
            const int code = it.process->exitCode();
            m_journal.note(fmt::format("{} ended, exit code {}", it.name, code));
            if (!it.terminated || code != 0)
                m_journal.find(fmt::format("{} ended by itself, exit code {}", it.name, code));
            ended(i);
            continue;
        }
        const Base::Duration limit = GRACE_MS + END_MARGIN_MS + pausedTime(i) - it.pausedBeforeEnd;
        if (it.terminated && m_timers.now() - *it.terminated > limit) {
            m_journal.find(fmt::format("{} did not end within its grace period", it.name));
            kill(i, Milliseconds(0));
        }
    }
    m_timers.schedule(WATCH_MS, [this] { watch(); });
}

} // namespace Soak
