// One run of the soak: deployment, load, faults, and the checks after the last fault.
#pragma once

#include "faultplan.h"
#include "soakcallers.h"
#include "soakexecutors.h"

#include <base/asiotimers.h>

#include <optional>

namespace Soak {

struct RunOptions
{
    std::uint64_t seed = 0;
    Milliseconds duration{20'000};
    std::size_t daemons = 3;
    std::size_t executors = 12;
    std::size_t callers = 24;
    std::string folder; // for logs and settings
};

class Run
{
public:
    explicit Run(const RunOptions &options);

    /// Returns the findings.
    std::vector<std::string> execute();
    std::string summary() const { return m_ledger.summary(); }

private:
    /// Runs the event loop until \a condition holds. Returns false after \a limit.
    bool waitUntil(const std::function<bool()> &condition, Milliseconds limit);
    std::string viewOf(std::size_t reader, const std::string &table, const std::string &key,
                       const std::string &value) const;
    void writeDesiredState();
    void changeDesiredState(std::uint64_t variant);
    void inject(const Fault &fault);
    void injectAtExecutor(const Fault &fault);
    void injectAtDaemon(const Fault &fault);
    void injectBetweenDaemons(const Fault &fault);
    void injectAtStore(const Fault &fault);
    void cut(const std::vector<FaultRelay *> &relays, LinkFault kind, const Fault &fault);
    void cutExecutor(std::size_t executor, LinkFault kind, const Fault &fault);
    void followTask(const TaskName &task, const Fault &fault, Base::TimePoint until);
    std::vector<FaultRelay *> relaysTo(std::size_t executor);
    /// Waits until a fresh job was completed at each daemon.
    void checkService(Milliseconds limit);
    void probe(std::size_t daemon, const std::shared_ptr<std::vector<bool>> &completed);
    void checkQuiet();
    void checkEnd();

    const RunOptions m_options;
    Journal m_journal;
    asio::io_context m_io{1};
    Base::AsioTimers m_timers{m_io};
    Ledger m_ledger{m_journal};
    Store m_store;
    Daemons m_daemons;
    Executors m_executors;
    Callers m_callers;
    std::uint64_t m_version = 0; // of the desired state
    bool m_hasExtraRoute = false;
    std::uint64_t m_variant = 0; // of the desired state
    int m_outages = 0;           // of the store for all, in force
};

} // namespace Soak
