// Injection of the faults, and the phases of a run.
#include "soakrun.h"

namespace Soak {

using nlohmann::json;

static constexpr Milliseconds START_LIMIT_MS{20'000};
/// A fresh job is completed at each daemon this long after the last fault.
static constexpr Milliseconds RECOVERY_MS{12'000};
static constexpr Milliseconds PROBE_PAUSE_MS{300};
/// All requests are answered, and jobs that were to be sent again are, after this.
static constexpr Milliseconds LAST_ANSWERS_MS{45'000};
/// Nothing runs any more this long after the last answer.
static constexpr Milliseconds QUIET_MS{6000};
static constexpr Milliseconds END_LIMIT_MS{10'000};
static constexpr Milliseconds MEAN_CALLER_PAUSE_MS{700};
/// For how long the next executor of a task that is followed is waited for.
static constexpr Milliseconds FOLLOW_LIMIT_MS{6000};
static constexpr Milliseconds FOLLOW_CHECK_MS{20};
/// A followed task has run for this long when its next executor is cut off.
static constexpr Milliseconds FOLLOWED_RUN_MS{150};
static constexpr Milliseconds FOLLOWED_RUN_LEFT_MS{1000};

Run::Run(const RunOptions &options)
    : m_options(options)
    , m_journal(options.folder + "/soak.log")
    , m_store(m_io, m_timers,
              [this](std::size_t reader, const std::string &table, const std::string &key,
                     const std::string &value) { return viewOf(reader, table, key, value); })
    , m_daemons(m_io, m_timers, m_journal, options.folder)
    , m_executors(m_io, m_timers, m_store, m_ledger, m_journal, options.seed + 1)
    , m_callers(m_io, m_timers, m_daemons, m_ledger, m_journal, options.seed + 2)
{
    static const char *const ZONES[] = {"north", "south"};
    for (std::size_t i = 0; i < options.daemons; ++i) {
        const std::uint16_t storePort = freePort();
        m_store.listen(storePort);
        m_daemons.add(ZONES[i % 2], storePort);
    }
    for (std::size_t i = 0; i < options.executors; ++i) {
        std::vector<std::uint16_t> relayPorts;
        for (std::size_t daemon = 0; daemon < options.daemons; ++daemon)
            relayPorts.push_back(freePort());
        m_executors.add(i % 4 == 3 ? "guarded" : "plain", ZONES[i / 2 % 2], freePort(), relayPorts);
    }
    writeDesiredState();
}

bool Run::waitUntil(const std::function<bool()> &condition, Milliseconds limit)
{
    const Base::TimePoint end = m_timers.now() + limit;
    while (!condition()) {
        if (m_timers.now() >= end)
            return false;
        m_io.run_for(std::chrono::milliseconds(10));
    }
    return true;
}

/// A daemon finds executors and other daemons at its own relays.
std::string Run::viewOf(std::size_t reader, const std::string &table, const std::string &key,
                        const std::string &value) const
{
    const bool isExecutor = table == "servers";
    if (!isExecutor && table != "daemons")
        return value;
    json document = json::parse(value, nullptr, false);
    if (!document.is_object())
        return value;
    if (isExecutor) {
        const std::size_t executor = m_executors.indexOf(key);
        document["address"] = fmt::format("127.0.0.1:{}", m_executors.relayPort(executor, reader));
    } else {
        document["port"] = m_daemons.peerPortFor(reader, key);
    }
    return document.dump();
}

void Run::writeDesiredState()
{
    const auto route = [this](const char *queue, const char *service, int priority) {
        return json{{"name", queue},
                    {"host", "soak.example"},
                    {"pathPrefix", fmt::format("/{}/", queue)},
                    {"service", service},
                    {"priority", priority},
                    {"maxAttempts", 3},
                    {"stretch", 2 + m_variant % 3},
                    {"targetCompletionMs", 3000 + m_variant % 5 * 500},
                    {"timeoutMs", 8000}};
    };
    json routes = {route("batch", "plain", 1), route("guarded", "guarded", int(m_variant % 2))};
    if (m_hasExtraRoute)
        routes.push_back(route("extra", "plain", 0));
    m_version += 1 + m_variant % 3;
    m_store.put("op", "config",
                json({{"version", m_version},
                      {"routes", routes},
                      {"services",
                       {{{"name", "plain"}, {"rejectsOverload", false}},
                        {{"name", "guarded"}, {"rejectsOverload", true}}}},
                      {"limits", {{"maxBodyBytes", 1'000'000}}}})
                    .dump());
}

void Run::changeDesiredState(std::uint64_t variant)
{
    m_variant = variant;
    m_hasExtraRoute = variant % 2 == 0;
    m_callers.setHasExtraQueue(m_hasExtraRoute);
    writeDesiredState();
}

static Lift liftOf(const Fault &fault)
{
    return fault.variant % 2 == 0 ? Lift::Deliver : Lift::Reset;
}

void Run::cut(const std::vector<FaultRelay *> &relays, LinkFault kind, const Fault &fault)
{
    for (FaultRelay *it : relays)
        it->apply(kind);
    m_timers.schedule(fault.duration, [relays, kind, fault] {
        for (FaultRelay *it : relays)
            it->lift(kind, liftOf(fault));
    });
}

std::vector<FaultRelay *> Run::relaysTo(std::size_t executor)
{
    std::vector<FaultRelay *> relays;
    for (std::size_t i = 0; i < m_options.daemons; ++i)
        relays.push_back(&m_executors.relay(executor, i));
    return relays;
}

/// Cuts an executor off from all daemons, and in some cases from the store.
void Run::cutExecutor(std::size_t executor, LinkFault kind, const Fault &fault)
{
    cut(relaysTo(executor), kind, fault);
    if (fault.variant % 3 != 0)
        return;
    m_executors.cutFromStore(executor, true);
    m_timers.schedule(fault.duration,
                      [this, executor] { m_executors.cutFromStore(executor, false); });
}

void Run::followTask(const TaskName &task, const Fault &fault, Base::TimePoint until)
{
    m_timers.schedule(FOLLOW_CHECK_MS, [=, this] {
        std::size_t executor = 0;
        if (m_timers.now() > until)
            return;
        if (!m_executors.find(task, executor)) {
            followTask(task, fault, until);
            return;
        }
        m_timers.schedule(FOLLOWED_RUN_MS, [=, this] {
            m_journal.note(fmt::format("cut off x{:02}, which runs {}", executor, task.text()));
            cutExecutor(executor, LinkFault::Silent, fault);
        });
    });
}

void Run::injectAtExecutor(const Fault &fault)
{
    const std::size_t executor = fault.executor;
    switch (fault.kind) {
    case FaultKind::ExecutorSilent:
        cutExecutor(executor, LinkFault::Silent, fault);
        break;
    case FaultKind::ExecutorOneWay:
        cutExecutor(executor, LinkFault::SilentToClient, fault);
        break;
    case FaultKind::ExecutorSlow:
        cut(relaysTo(executor), LinkFault::Slow, fault);
        break;
    case FaultKind::ExecutorReset:
        for (FaultRelay *it : relaysTo(executor))
            it->reset();
        break;
    case FaultKind::ExecutorUnhealthy:
        m_executors.setRefusal(executor, 503);
        m_timers.schedule(fault.duration, [=, this] { m_executors.setRefusal(executor, 0); });
        break;
    case FaultKind::ExecutorCrash:
        m_executors.crash(executor, fault.variant % 2 == 0 ? CrashKind::Process : CrashKind::Host,
                          fault.duration);
        break;
    case FaultKind::ExecutorDrain:
        m_executors.drain(executor, EXECUTOR_DRAIN_MS + Milliseconds(fault.variant),
                          fault.duration);
        break;
    default:
        break;
    }
}

void Run::injectAtDaemon(const Fault &fault)
{
    switch (fault.kind) {
    case FaultKind::DaemonPause:
        m_daemons.pause(fault.daemon, fault.duration);
        break;
    case FaultKind::DaemonKill:
        m_daemons.kill(fault.daemon, fault.duration);
        break;
    case FaultKind::DaemonTerminate:
        m_daemons.terminate(fault.daemon, fault.duration);
        break;
    case FaultKind::DaemonHangUp:
        m_daemons.hangUp(fault.daemon);
        break;
    case FaultKind::KillAll:
        for (std::size_t i = 0; i < m_options.daemons; ++i)
            m_daemons.kill(i, fault.duration);
        break;
    case FaultKind::DaemonCutOff: {
        std::vector<FaultRelay *> relays;
        for (std::size_t i = fault.variant % 2; i < m_options.executors; i += 2)
            relays.push_back(&m_executors.relay(i, fault.daemon));
        cut(relays, LinkFault::Silent, fault);
        break;
    }
    case FaultKind::ConnectionsSilent:
        for (std::size_t i = 0; i < m_options.executors; ++i)
            m_executors.relay(i, fault.daemon).silenceOpen();
        for (std::size_t i = 0; i < m_options.daemons; ++i)
            m_daemons.peerRelay(fault.daemon, i).silenceOpen();
        m_daemons.storeRelay(fault.daemon).silenceOpen();
        break;
    default:
        break;
    }
}

void Run::injectBetweenDaemons(const Fault &fault)
{
    std::vector<FaultRelay *> relays;
    const auto add = [&](std::size_t a, std::size_t b) {
        relays.push_back(&m_daemons.peerRelay(a, b));
        relays.push_back(&m_daemons.peerRelay(b, a));
    };
    switch (fault.kind) {
    case FaultKind::DaemonIsolated:
        for (std::size_t i = 0; i < m_options.daemons; ++i) {
            if (i != fault.daemon)
                add(fault.daemon, i);
        }
        cut(relays, LinkFault::Silent, fault);
        break;
    case FaultKind::PeerSilent:
        add(fault.daemon, fault.otherDaemon);
        cut(relays, LinkFault::Silent, fault);
        break;
    case FaultKind::PeerOneWay:
        // Each direction has a connection of its own.
        cut({&m_daemons.peerRelay(fault.daemon, fault.otherDaemon)}, LinkFault::SilentToServer,
            fault);
        cut({&m_daemons.peerRelay(fault.otherDaemon, fault.daemon)}, LinkFault::SilentToClient,
            fault);
        break;
    case FaultKind::PeerReset:
        add(fault.daemon, fault.otherDaemon);
        for (FaultRelay *it : relays)
            it->reset();
        break;
    default:
        break;
    }
}

void Run::injectAtStore(const Fault &fault)
{
    if (fault.kind == FaultKind::StoreDropsHistory) {
        m_store.dropHistory();
        return;
    }
    const bool isForAll = fault.variant % 3 != 0;
    const bool isAway = fault.kind == FaultKind::StoreAway;
    for (std::size_t i = 0; i < m_options.daemons; ++i) {
        if (!isForAll && i != fault.daemon)
            continue;
        StoreImpairment &it = m_store.impairment(i);
        if (isAway && fault.variant % 2 == 0)
            cut({&m_daemons.storeRelay(i)}, LinkFault::Refused, fault);
        if (isAway)
            it.isSilent = true;
        else if (fault.kind == FaultKind::StoreSlow)
            it.delay = Milliseconds(100 + fault.variant);
        else if (fault.kind == FaultKind::StoreRefuses)
            it.refusal = fault.variant % 2 == 0 ? 503 : 429;
        else
            it.losesAnswers = true;
        // The end of a fault ends others of the same daemon: outages are short in any case.
        m_timers.schedule(fault.duration, [this, i] { m_store.impairment(i) = {}; });
    }
    if (!isAway || !isForAll)
        return;
    m_executors.setStoreAway(++m_outages > 0);
    m_timers.schedule(fault.duration, [this] { m_executors.setStoreAway(--m_outages > 0); });
}

void Run::inject(const Fault &fault)
{
    m_journal.note("FAULT " + fault.text());
    switch (fault.kind) {
    case FaultKind::TaskFollowed: {
        std::size_t executor = 0;
        TaskName task;
        if (!m_executors.findLongRun(FOLLOWED_RUN_LEFT_MS, executor, task))
            break;
        m_journal.note(fmt::format("cut off x{:02}, which runs {}", executor, task.text()));
        cutExecutor(executor, LinkFault::Silent, fault);
        // The lease of the run ends before the task is started elsewhere.
        m_timers.schedule(HOLD_MAX_MS,
                          [=, this] { followTask(task, fault, m_timers.now() + FOLLOW_LIMIT_MS); });
        break;
    }
    case FaultKind::DesiredState:
        changeDesiredState(fault.variant);
        break;
    default:
        // Each of these handles its kinds and ignores the others.
        injectAtExecutor(fault);
        injectAtDaemon(fault);
        injectBetweenDaemons(fault);
        if (fault.kind >= FaultKind::StoreSlow && fault.kind <= FaultKind::StoreDropsHistory)
            injectAtStore(fault);
        break;
    }
}

void Run::probe(std::size_t daemon, const std::shared_ptr<std::vector<bool>> &completed)
{
    m_callers.probe(daemon, [this, daemon, completed](bool isCompleted) {
        (*completed)[daemon] = isCompleted;
        if (!isCompleted)
            m_timers.schedule(PROBE_PAUSE_MS,
                              [this, daemon, completed] { probe(daemon, completed); });
    });
}

void Run::checkService(Milliseconds limit)
{
    const auto completed = std::make_shared<std::vector<bool>>(m_options.daemons);
    for (std::size_t i = 0; i < m_options.daemons; ++i)
        probe(i, completed);
    const auto isComplete = [completed] {
        return std::find(completed->begin(), completed->end(), false) == completed->end();
    };
    if (waitUntil(isComplete, limit))
        return;
    for (std::size_t i = 0; i < m_options.daemons; ++i) {
        if (!(*completed)[i])
            m_journal.find(fmt::format("no fresh job was completed at {}", m_daemons.nameOf(i)));
    }
    completed->assign(m_options.daemons, true);
}

void Run::checkQuiet()
{
    if (!waitUntil([this] { return m_callers.openCount() == 0; }, LAST_ANSWERS_MS))
        m_journal.find(fmt::format("{} jobs are still open", m_callers.openCount()));
    if (!waitUntil([this] { return m_executors.runCount() == 0; }, QUIET_MS))
        m_journal.find(fmt::format("{} runs of no job go on", m_executors.runCount()));
}

void Run::checkEnd()
{
    m_daemons.terminateAll();
    if (!waitUntil([this] { return m_daemons.areAllEnded(); }, END_LIMIT_MS))
        m_journal.find("not all daemons have ended");
}

std::vector<std::string> Run::execute()
{
    m_daemons.start();
    checkService(START_LIMIT_MS);
    if (m_journal.findings().empty()) {
        m_callers.start(m_options.callers, MEAN_CALLER_PAUSE_MS);
        for (const Fault &it : planFaults(
                 {m_options.seed, m_options.duration, m_options.daemons, m_options.executors})) {
            m_timers.schedule(it.begin, [this, it] { inject(it); });
        }
        waitUntil([] { return false; }, m_options.duration);
        m_callers.stop();
        m_journal.note("end of the faults");
        checkService(RECOVERY_MS);
        checkQuiet();
    }
    checkEnd();
    m_journal.note(summary());
    return m_journal.findings();
}

} // namespace Soak
