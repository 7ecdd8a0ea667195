// The deployment of a run: the store, executors, daemons and callers, and the operator's part.
#pragma once

#include "callers.h"
#include "crowds.h"
#include "executors.h"

#include <base/asiotimers.h>

namespace Soak {

struct DeploymentOptions
{
    std::uint64_t seed = 0;
    /// The executors of a small deployment: three failure domains, three speeds, short jobs, and
    /// faults that come to many executors at one time.
    bool isFleet = false;
    /// Crowds of callers that send too much are among the faults.
    bool hasCrowds = false;
    std::string daemon = EP_BIN_DIR "/endivepathd"; // program under test
    Milliseconds duration{20'000};                  // with load and faults
    std::size_t daemons = 3;
    std::size_t executors = 12;
    std::size_t callers = 24;
    /// Beginnings of the names of the kinds of faults that are injected; all if empty.
    std::vector<std::string> faults;
    std::string folder; // for logs and settings
};

class Deployment
{
public:
    explicit Deployment(const DeploymentOptions &deploymentOptions);

    /// Runs the event loop until \a condition holds. Returns false after \a limit.
    bool waitUntil(const std::function<bool()> &condition, Milliseconds limit);
    /// Writes the next desired state. \a variant decides what changes.
    void changeDesiredState(std::uint64_t variant);

    const DeploymentOptions options;
    Journal journal;
    asio::io_context io{1};
    Base::AsioTimers timers{io};
    Ledger ledger{journal};
    Store store;
    Daemons daemons;
    Executors executors;
    Callers callers;
    Crowds crowds;

private:
    std::string viewOf(std::size_t reader, const std::string &table, const std::string &key,
                       const std::string &value) const;

    std::uint64_t m_version = 0; // of the desired state
};

} // namespace Soak
