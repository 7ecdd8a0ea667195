// The faults of a run: kinds, times and victims, all drawn from the seed.
#pragma once

#include "soakstore.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Soak {

enum class FaultKind {
    // Executors. None of the first six is a crash.
    ExecutorSilent, ///< Cut off from all daemons.
    ExecutorOneWay, ///< Its responses do not arrive.
    ExecutorSlow,
    ExecutorReset,     ///< Its connections are reset.
    ExecutorUnhealthy, ///< It refuses orders with 503.
    TaskFollowed,      ///< Cut off while it runs a long task, then the next one with that task.
    ExecutorCrash,
    ExecutorDrain,
    // Daemons.
    DaemonPause,
    DaemonKill,
    DaemonTerminate,
    DaemonHangUp,
    DaemonIsolated, ///< Cut off from all other daemons.
    DaemonCutOff,   ///< Cut off from a half of the executors.
    PeerSilent,     ///< Between two daemons.
    PeerOneWay,     ///< From one daemon to another.
    PeerReset,
    ConnectionsSilent, ///< The open connections of a daemon are silent for good, new ones work.
    KillAll,
    // The store.
    StoreSlow,
    StoreAway,
    StoreRefuses,
    StoreLosesAnswers,
    StoreDropsHistory,
    // The operator.
    DesiredState,
    Count
};
const char *toString(FaultKind kind);

struct Fault
{
    FaultKind kind = FaultKind::ExecutorSilent;
    Milliseconds begin{0}; // after the start of the load
    Milliseconds duration{0};
    std::size_t daemon = 0;
    std::size_t otherDaemon = 0; // not the same
    std::size_t executor = 0;
    std::uint64_t variant = 0; // decides details, such as how the fault ends

    std::string text() const;
};

struct FaultPlanOptions
{
    std::uint64_t seed = 0;
    Milliseconds duration{20'000};
    std::size_t daemons = 0;
    std::size_t executors = 0;
};

/// The faults in the order of their begin. All have ended when the duration is over.
std::vector<Fault> planFaults(const FaultPlanOptions &options);

} // namespace Soak
