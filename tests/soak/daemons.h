// The daemons under test: their processes, settings, signals, and the relays between them.
#pragma once

#include "../support/childprocess.h"
#include "../support/faultrelay.h"
#include "journal.h"
#include "store.h"

#include <optional>

namespace Soak {

using TestSupport::FaultRelay;

constexpr Milliseconds GRACE_MS{4000};
/// Memory of the daemons' hosts.
constexpr std::size_t MEMORY_MB = 120;

class Daemons
{
public:
    /// \a program is that of the daemons.
    Daemons(asio::io_context &io, Base::Timers &timers, Journal &journal, std::string folder,
            std::string program);

    /// Adds a daemon that reaches the store at \a storePort, and relays to the peer ports of the
    /// others. Call start() after all have been added.
    void add(const std::string &zone, std::uint16_t storePort);
    void start();

    std::size_t count() const { return m_daemons.size(); }
    std::string nameOf(std::size_t daemon) const { return m_daemons[daemon]->name; }
    std::uint16_t callerPort(std::size_t daemon) const { return m_daemons[daemon]->callers; }
    FaultRelay &storeRelay(std::size_t daemon) { return *m_daemons[daemon]->store; }
    /// The relay that leads from daemon \a from to daemon \a to.
    FaultRelay &peerRelay(std::size_t from, std::size_t to);
    /// The port at which daemon \a from finds the daemon named \a to.
    std::uint16_t peerPortFor(std::size_t from, const std::string &to) const;

    void pause(std::size_t daemon, Milliseconds duration);
    void kill(std::size_t daemon, Milliseconds downtime);
    void terminate(std::size_t daemon, Milliseconds downtime);
    void hangUp(std::size_t daemon);
    /// Ends all daemons with SIGTERM.
    void terminateAll();
    bool areAllEnded() const;

    /// Numbers the processes of a daemon.
    std::uint64_t generation(std::size_t daemon) const { return m_daemons[daemon]->generation; }
    std::optional<pid_t> processId(std::size_t daemon) const;
    bool isRunning(std::size_t daemon) const { return m_daemons[daemon]->process != nullptr; }
    /// It was not told to end, and no signal has ended it.
    bool isServing(std::size_t daemon) const;
    /// For how long this daemon was paused altogether.
    Base::Duration pausedTime(std::size_t daemon) const;

private:
    struct Daemon
    {
        std::string name;
        std::string zone;
        std::uint16_t callers = 0;
        std::uint16_t readiness = 0;
        std::uint16_t peers = 0;
        std::uint16_t operators = 0;
        std::unique_ptr<FaultRelay> store;
        std::vector<std::unique_ptr<FaultRelay>> peerRelays; // by the daemon that uses it
        std::unique_ptr<TestSupport::ChildProcess> process;
        std::uint64_t generation = 0;
        std::optional<Base::TimePoint> terminated; // when SIGTERM was sent
        bool isFinal = false;                      // not started again
        Milliseconds downtime{0};                  // until it is started again
        int pauses = 0;                            // pauses in force; they may overlap
        Base::TimePoint pausedSince;
        Base::Duration paused{0};
        Base::Duration pausedBeforeEnd{0}; // value of pausedTime() when SIGTERM was sent
    };

    void startProcess(std::size_t daemon);
    void ended(std::size_t daemon);
    void resume(Daemon &daemon);
    void watch();

    asio::io_context &m_io;
    Base::Timers &m_timers;
    Journal &m_journal;
    const std::string m_folder;
    const std::string m_program;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
};

/// A port on which nothing listens.
std::uint16_t freePort();

} // namespace Soak
