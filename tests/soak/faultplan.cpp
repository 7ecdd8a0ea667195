// Drawing of the faults.
#include "faultplan.h"

#include <fmt/format.h>

#include <algorithm>
#include <random>

namespace Soak {

static constexpr Milliseconds FIRST_FAULT_MS{1000};
static constexpr Milliseconds MAX_FAULT_MS{3000};

struct KindOptions
{
    const char *name;
    unsigned weight; // how often it comes
    unsigned minMs;  // its duration
    unsigned maxMs;
};

static const KindOptions KINDS[] = {
    {"executorSilent", 10, 300, 3000},
    {"executorOneWay", 6, 300, 3000},
    {"executorSlow", 5, 500, 3000},
    {"executorReset", 5, 0, 0},
    {"executorUnhealthy", 4, 300, 2000},
    {"taskFollowed", 12, 1000, 3000},
    {"executorCrash", 6, 200, 2000},
    {"executorDrain", 4, 500, 2000},
    {"daemonPause", 8, 100, 3000},
    {"daemonKill", 5, 200, 1000},
    {"daemonTerminate", 5, 200, 1000},
    {"daemonHangUp", 2, 0, 0},
    {"daemonIsolated", 4, 500, 3000},
    {"daemonCutOff", 4, 500, 3000},
    {"peerSilent", 5, 300, 3000},
    {"peerOneWay", 4, 300, 3000},
    {"peerReset", 4, 0, 0},
    {"connectionsSilent", 4, 0, 0},
    {"killAll", 1, 200, 600},
    {"storeSlow", 3, 500, 3000},
    {"storeAway", 4, 500, 3000},
    {"storeRefuses", 3, 500, 3000},
    {"storeLosesAnswers", 3, 500, 3000},
    {"storeDropsHistory", 2, 0, 0},
    {"desiredState", 6, 0, 0},
};
static_assert(std::size(KINDS) == std::size_t(FaultKind::Count));

const char *toString(FaultKind kind)
{
    return KINDS[std::size_t(kind)].name;
}

std::string Fault::text() const
{
    return fmt::format("{} at {} ms for {} ms: d{} d{} x{:02} variant {}", toString(kind),
                       begin.count(), duration.count(), daemon, otherDaemon, executor, variant);
}

static FaultKind chooseKind(std::uint64_t draw)
{
    std::size_t kind = 0;
    while (draw >= KINDS[kind].weight)
        draw -= KINDS[kind++].weight;
    return FaultKind(kind);
}

std::vector<Fault> planFaults(const FaultPlanOptions &options)
{
    std::mt19937_64 generator(options.seed);
    const auto draw = [&generator](std::uint64_t max) { return generator() % max; };
    unsigned weights = 0;
    for (const KindOptions &it : KINDS)
        weights += it.weight;
    std::vector<Fault> faults;
    // Some runs have few faults, others many that overlap.
    const std::uint64_t meanPauseMs = 150 + draw(900);
    Milliseconds time = FIRST_FAULT_MS;
    while (time + MAX_FAULT_MS < options.duration) {
        Fault fault;
        fault.kind = chooseKind(draw(weights));
        // Faults come in series: the same kind up to three times, in quick succession.
        const std::uint64_t repetitions = draw(4) == 0 ? 2 + draw(2) : 1;
        for (std::uint64_t i = 0; i < repetitions; ++i) {
            const KindOptions &kind = KINDS[std::size_t(fault.kind)];
            fault.begin = time + Milliseconds(i * draw(700));
            fault.duration = Milliseconds(kind.minMs + draw(kind.maxMs - kind.minMs + 1));
            fault.daemon = draw(options.daemons);
            fault.otherDaemon = (fault.daemon + 1 + draw(options.daemons - 1)) % options.daemons;
            fault.executor = draw(options.executors);
            fault.variant = draw(1000);
            faults.push_back(fault);
        }
        time += Milliseconds(1 + draw(2 * meanPauseMs));
    }
    std::stable_sort(faults.begin(), faults.end(),
                     [](const Fault &a, const Fault &b) { return a.begin < b.begin; });
    return faults;
}

} // namespace Soak
