// Kinds of faults.
#include "faults.h"

#include <algorithm>
#include <random>
#include <stdexcept>
#include <string_view>

namespace Soak {

using Relays = std::vector<FaultRelay *>;

static constexpr Milliseconds FIRST_FAULT_MS{1000};
static constexpr Milliseconds MAX_FAULT_MS{3000};
/// For how long the next executor of a task that is followed is waited for.
static constexpr Milliseconds FOLLOW_LIMIT_MS{6000};
static constexpr Milliseconds FOLLOW_CHECK_MS{20};
/// A followed task has run for this long when its next executor is cut off.
static constexpr Milliseconds FOLLOWED_RUN_MS{150};
static constexpr Milliseconds FOLLOWED_RUN_LEFT_MS{1000};
/// Short downtimes of executors are this much shorter than the others.
static constexpr unsigned SHORT_DOWNTIME_RATIO = 8;
static constexpr unsigned FLEET_MIN_DOWNTIME_MS = 5;
/// One host in this many has another time of day, or a late registration.
static constexpr std::size_t STEPPED_HOSTS_RATIO = 3;
/// One executor in this many carries orders out late.
static constexpr std::size_t LATE_EXECUTORS_RATIO = 6;
static constexpr std::uint64_t MIN_ORDER_DELAY_MS = 300;
/// Connections of a crowd; up to 250 more follow from the seed. Some crowds that overlap stay below
/// the host's limit, beyond which ordinary callers may be refused.
static constexpr std::uint64_t MIN_CROWD = 100;

struct FaultKind
{
    const char *name;
    unsigned weight; // how often it comes
    unsigned minMs;  // its duration
    unsigned maxMs;
    void (*inject)(Deployment &, const Fault &);
};

static void cut(Deployment &it, const Relays &relays, LinkFault link, const Fault &fault)
{
    for (FaultRelay *relay : relays)
        relay->apply(link);
    const Lift how = fault.variant % 2 == 0 ? Lift::Deliver : Lift::Reset;
    it.timers.schedule(fault.duration, [relays, link, how] {
        for (FaultRelay *relay : relays)
            relay->lift(link, how);
    });
}

static void reset(const Relays &relays)
{
    for (FaultRelay *relay : relays)
        relay->reset();
}

static Relays relaysTo(Deployment &it, std::size_t executor)
{
    Relays relays;
    for (std::size_t i = 0; i < it.options.daemons; ++i)
        relays.push_back(&it.executors.relay(executor, i));
    return relays;
}

/// The relays of both directions between \a daemon and the others, or only \a otherDaemon.
static Relays relaysBetween(Deployment &it, std::size_t daemon,
                            std::optional<std::size_t> otherDaemon = {})
{
    Relays relays;
    for (std::size_t i = 0; i < it.options.daemons; ++i) {
        if (i != daemon && (!otherDaemon || i == *otherDaemon)) {
            relays.push_back(&it.daemons.peerRelay(daemon, i));
            relays.push_back(&it.daemons.peerRelay(i, daemon));
        }
    }
    return relays;
}

/// Cuts an executor off from all daemons, and in some cases from the store.
static void cutExecutor(Deployment &it, std::size_t executor, LinkFault link, const Fault &fault)
{
    cut(it, relaysTo(it, executor), link, fault);
    if (fault.variant % 3 != 0)
        return;
    it.executors.cutFromStore(executor, true);
    it.timers.schedule(fault.duration,
                       [&it, executor] { it.executors.cutFromStore(executor, false); });
}

/// Cuts the next executor off that runs \a task.
static void followTask(Deployment &it, const TaskName &task, const Fault &fault,
                       Base::TimePoint until)
{
    it.timers.schedule(FOLLOW_CHECK_MS, [&it, task, fault, until] {
        std::size_t executor = 0;
        if (it.timers.now() > until)
            return;
        if (!it.executors.find(task, executor)) {
            followTask(it, task, fault, until);
            return;
        }
        it.timers.schedule(FOLLOWED_RUN_MS, [&it, task, fault, executor] {
            it.journal.note(fmt::format("cut off x{:02}, which runs {}", executor, task.text()));
            cutExecutor(it, executor, LinkFault::Silent, fault);
        });
    });
}

static void cutTask(Deployment &it, const Fault &fault)
{
    std::size_t executor = 0;
    TaskName task;
    if (!it.executors.findLongRun(FOLLOWED_RUN_LEFT_MS, executor, task))
        return;
    it.journal.note(fmt::format("cut off x{:02}, which runs {}", executor, task.text()));
    cutExecutor(it, executor, LinkFault::Silent, fault);
    // The lease of the run ends before the task is started elsewhere.
    it.timers.schedule(HOLD_MAX_MS, [&it, task, fault] {
        followTask(it, task, fault, it.timers.now() + FOLLOW_LIMIT_MS);
    });
}

static void refuseOrders(Deployment &it, const Fault &fault)
{
    it.executors.setRefusal(fault.executor, 503);
    it.timers.schedule(fault.duration,
                       [&it, executor = fault.executor] { it.executors.setRefusal(executor, 0); });
}

/// Cuts a daemon off from a half of the executors.
static void cutFromExecutors(Deployment &it, const Fault &fault)
{
    Relays relays;
    for (std::size_t i = fault.variant % 2; i < it.options.executors; i += 2)
        relays.push_back(&it.executors.relay(i, fault.daemon));
    cut(it, relays, LinkFault::Silent, fault);
}

/// Each direction between two daemons has a connection of its own.
static void cutOneWay(Deployment &it, const Fault &fault)
{
    cut(it, {&it.daemons.peerRelay(fault.daemon, fault.otherDaemon)}, LinkFault::SilentToServer,
        fault);
    cut(it, {&it.daemons.peerRelay(fault.otherDaemon, fault.daemon)}, LinkFault::SilentToClient,
        fault);
}

/// The open connections that a daemon has made are silent for good, new ones work.
static void silenceConnections(Deployment &it, const Fault &fault)
{
    for (std::size_t i = 0; i < it.options.executors; ++i)
        it.executors.relay(i, fault.daemon).silenceOpen();
    for (std::size_t i = 0; i < it.options.daemons; ++i)
        it.daemons.peerRelay(fault.daemon, i).silenceOpen();
    it.daemons.storeRelay(fault.daemon).silenceOpen();
}

static void killAll(Deployment &it, const Fault &fault)
{
    for (std::size_t i = 0; i < it.options.daemons; ++i)
        it.daemons.kill(i, fault.duration);
}

static bool isForAllDaemons(const Fault &fault)
{
    return fault.variant % 3 != 0;
}

/// The end of one impairment ends all of the same daemon.
static void impairStore(Deployment &it, const Fault &fault, const StoreImpairment &impairment)
{
    for (std::size_t i = 0; i < it.options.daemons; ++i) {
        if (!isForAllDaemons(fault) && i != fault.daemon)
            continue;
        it.store.impairment(i) = impairment;
        it.timers.schedule(fault.duration, [&it, i] { it.store.impairment(i) = {}; });
    }
}

static void takeStoreAway(Deployment &it, const Fault &fault)
{
    impairStore(it, fault, {.isSilent = true});
    for (std::size_t i = 0; i < it.options.daemons && fault.variant % 2 == 0; ++i) {
        if (isForAllDaemons(fault) || i == fault.daemon)
            cut(it, {&it.daemons.storeRelay(i)}, LinkFault::Refused, fault);
    }
    if (!isForAllDaemons(fault))
        return;
    for (std::size_t i = 0; i < it.options.executors; ++i) {
        it.executors.cutFromStore(i, true);
        it.timers.schedule(fault.duration, [&it, i] { it.executors.cutFromStore(i, false); });
    }
}

/// Restarts all executors, or those without runs, within \a maxMs after their common end.
static void restartFleet(Deployment &it, const Fault &fault, bool isIdleOnly, unsigned maxMs)
{
    std::mt19937_64 generator(fault.variant);
    for (std::size_t i = 0; i < it.options.executors; ++i) {
        const Milliseconds downtime(FLEET_MIN_DOWNTIME_MS
                                    + generator() % (maxMs - FLEET_MIN_DOWNTIME_MS + 1));
        if (!isIdleOnly || it.executors.isIdle(i))
            it.executors.crash(i, LinkFault::Refused, downtime);
    }
}

/// Steps the time of day on some hosts, for the next starts of their executors, or delays the
/// registrations of these.
static void disturbStarts(Deployment &it, const Fault &fault, bool isStep)
{
    std::mt19937_64 generator(fault.variant);
    for (std::size_t i = fault.executor % STEPPED_HOSTS_RATIO; i < it.options.executors;
         i += STEPPED_HOSTS_RATIO) {
        const Milliseconds amount(generator() % unsigned(fault.duration.count()));
        if (isStep)
            it.executors.setTimeOfDay(i, generator() % 2 == 0 ? amount : -amount);
        else
            it.executors.delayRegistration(i, amount);
    }
}

/// Some executors carry orders out late and do not answer them.
static void delayOrders(Deployment &it, const Fault &fault)
{
    for (std::size_t i = fault.executor % LATE_EXECUTORS_RATIO; i < it.options.executors;
         i += LATE_EXECUTORS_RATIO) {
        it.executors.setOrderDelay(i, Milliseconds(MIN_ORDER_DELAY_MS + fault.variant));
        it.timers.schedule(fault.duration,
                           [&it, i] { it.executors.setOrderDelay(i, Milliseconds(0)); });
    }
}

/// Kinds for many executors at one time.
static const FaultKind FLEET_KINDS[] = {
    {"fleetRestart", 6, 0, 0, [](auto &it, auto &fault) { restartFleet(it, fault, false, 405); }},
    {"fleetIdleRestart", 14, 0, 0,
     [](auto &it, auto &fault) { restartFleet(it, fault, true, 105); }},
    {"fleetTimeStep", 5, 500, 5000, [](auto &it, auto &fault) { disturbStarts(it, fault, true); }},
    {"fleetLateRegistration", 4, 100, 1500,
     [](auto &it, auto &fault) { disturbStarts(it, fault, false); }},
    {"fleetLateOrders", 4, 300, 1500, delayOrders},
};

static void sendCrowd(Deployment &it, const Fault &fault)
{
    const auto form = CrowdForm(fault.variant % std::uint64_t(CrowdForm::Count));
    it.crowds.send(fault.daemon, form, MIN_CROWD + fault.variant / 4, fault.duration);
}

/// Kinds for many connections at one time.
static const FaultKind CROWD_KINDS[] = {
    {"crowd", 30, 500, 4000, sendCrowd},
};

static const FaultKind KINDS[] = {
    {"executorSilent", 10, 300, 3000,
     [](auto &it, auto &fault) { cutExecutor(it, fault.executor, LinkFault::Silent, fault); }},
    {"executorOneWay", 6, 300, 3000,
     [](auto &it, auto &fault) {
         cutExecutor(it, fault.executor, LinkFault::SilentToClient, fault);
     }},
    {"executorSlow", 5, 500, 3000,
     [](auto &it, auto &fault) { cut(it, relaysTo(it, fault.executor), LinkFault::Slow, fault); }},
    {"executorReset", 5, 0, 0, [](auto &it, auto &fault) { reset(relaysTo(it, fault.executor)); }},
    {"executorUnhealthy", 4, 300, 2000, refuseOrders},
    {"taskFollowed", 12, 1000, 3000, cutTask},
    {"executorCrash", 6, 200, 2000,
     [](auto &it, auto &fault) {
         // Often back under its id before its owner has read its registration.
         const bool isShort = fault.variant % 4 < 2;
         it.executors.crash(fault.executor,
                            fault.variant % 2 == 0 ? LinkFault::Refused : LinkFault::Silent,
                            isShort ? fault.duration / SHORT_DOWNTIME_RATIO : fault.duration);
     }},
    {"executorDrain", 4, 500, 2000,
     [](auto &it, auto &fault) {
         it.executors.drain(fault.executor, EXECUTOR_DRAIN_MS + Milliseconds(fault.variant),
                            fault.duration);
     }},
    {"daemonPause", 8, 100, 3000,
     [](auto &it, auto &fault) { it.daemons.pause(fault.daemon, fault.duration); }},
    {"daemonKill", 5, 200, 1000,
     [](auto &it, auto &fault) { it.daemons.kill(fault.daemon, fault.duration); }},
    {"daemonTerminate", 5, 200, 1000,
     [](auto &it, auto &fault) { it.daemons.terminate(fault.daemon, fault.duration); }},
    {"daemonHangUp", 2, 0, 0, [](auto &it, auto &fault) { it.daemons.hangUp(fault.daemon); }},
    {"daemonIsolated", 4, 500, 3000,
     [](auto &it, auto &fault) {
         cut(it, relaysBetween(it, fault.daemon), LinkFault::Silent, fault);
     }},
    {"daemonCutOff", 4, 500, 3000, cutFromExecutors},
    {"peerSilent", 5, 300, 3000,
     [](auto &it, auto &fault) {
         cut(it, relaysBetween(it, fault.daemon, fault.otherDaemon), LinkFault::Silent, fault);
     }},
    {"peerOneWay", 4, 300, 3000, cutOneWay},
    {"peerReset", 4, 0, 0,
     [](auto &it, auto &fault) { reset(relaysBetween(it, fault.daemon, fault.otherDaemon)); }},
    {"connectionsSilent", 4, 0, 0, silenceConnections},
    {"killAll", 1, 200, 600, killAll},
    {"storeSlow", 3, 500, 3000,
     [](auto &it, auto &fault) {
         impairStore(it, fault, {.delay = Milliseconds(100 + fault.variant)});
     }},
    {"storeAway", 4, 500, 3000, takeStoreAway},
    {"storeRefuses", 3, 500, 3000,
     [](auto &it, auto &fault) {
         impairStore(it, fault, {.refusal = fault.variant % 2 == 0 ? 503 : 429});
     }},
    {"storeLosesAnswers", 3, 500, 3000,
     [](auto &it, auto &fault) { impairStore(it, fault, {.losesAnswers = true}); }},
    {"storeDropsHistory", 2, 0, 0, [](auto &it, auto &) { it.store.dropHistory(); }},
    {"desiredState", 6, 0, 0, [](auto &it, auto &fault) { it.changeDesiredState(fault.variant); }},
};

/// Each kind as often as its weight says.
static std::vector<const FaultKind *> weightedKinds(const DeploymentOptions &options)
{
    const std::vector<std::string> &prefixes = options.faults;
    std::vector<const FaultKind *> kinds;
    const auto add = [&](const FaultKind &it) {
        const auto isBegin = [&it](const std::string &prefix) {
            return std::string_view(it.name).starts_with(prefix);
        };
        if (prefixes.empty() || std::any_of(prefixes.begin(), prefixes.end(), isBegin))
            kinds.insert(kinds.end(), it.weight, &it);
    };
    std::for_each(std::begin(KINDS), std::end(KINDS), add);
    if (options.isFleet)
        std::for_each(std::begin(FLEET_KINDS), std::end(FLEET_KINDS), add);
    if (options.hasCrowds)
        std::for_each(std::begin(CROWD_KINDS), std::end(CROWD_KINDS), add);
    if (kinds.empty())
        throw std::runtime_error("no such faults");
    return kinds;
}

std::vector<Fault> planFaults(const DeploymentOptions &options)
{
    std::mt19937_64 generator(options.seed);
    const auto draw = [&generator](std::uint64_t max) { return generator() % max; };
    const std::vector<const FaultKind *> kinds = weightedKinds(options);
    std::vector<Fault> faults;
    // Some runs have few faults, others many that overlap.
    const std::uint64_t meanPauseMs = 150 + draw(900);
    Milliseconds time = FIRST_FAULT_MS;
    while (time + MAX_FAULT_MS < options.duration) {
        const FaultKind &kind = *kinds[draw(kinds.size())];
        // Faults come in series: the same kind up to three times, in quick succession.
        const std::uint64_t repetitions = draw(4) == 0 ? 2 + draw(2) : 1;
        for (std::uint64_t i = 0; i < repetitions; ++i) {
            Fault fault;
            fault.kind = &kind;
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

void inject(Deployment &deployment, const Fault &fault)
{
    deployment.journal.note(fmt::format("FAULT {} at {} ms for {} ms: d{} d{} x{:02} variant {}",
                                        fault.kind->name, fault.begin.count(),
                                        fault.duration.count(), fault.daemon, fault.otherDaemon,
                                        fault.executor, fault.variant));
    fault.kind->inject(deployment, fault);
}

} // namespace Soak
