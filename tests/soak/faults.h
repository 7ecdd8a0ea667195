// The faults of a run: their kinds, times and victims, all drawn from the seed, and how they are
// injected.
#pragma once

#include "deployment.h"

namespace Soak {

struct FaultKind;

struct Fault
{
    const FaultKind *kind = nullptr;
    Milliseconds begin{0}; // after the start of the load
    Milliseconds duration{0};
    std::size_t daemon = 0;
    std::size_t otherDaemon = 0; // not the same
    std::size_t executor = 0;
    std::uint64_t variant = 0; // decides details, such as how the fault ends
};

/// The faults in the order of their begin. All have ended when the duration is over.
std::vector<Fault> planFaults(const DeploymentOptions &options);

void inject(Deployment &deployment, const Fault &fault);

} // namespace Soak
