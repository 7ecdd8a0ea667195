// Orders, leases, lifetimes and registrations of the executors.
#include "executors.h"

#include <algorithm>
#include <stdexcept>

namespace Soak {

using nlohmann::json;

static constexpr Milliseconds HEARTBEAT_MS{1500};
static constexpr int MISSED_HEARTBEATS = 3;
static constexpr Milliseconds REGISTRATION_CHECK_MS{100};
static constexpr std::uint64_t STOP_TIMEOUT_MS = 50;
static constexpr std::uint64_t MAX_HOLD_WAIT_MS = 2000;
static constexpr std::size_t MAX_LISTED_ENDS = 500;
static constexpr Milliseconds CRASH_AFTER_MS{10};
static constexpr Milliseconds CRASH_DOWNTIME_MS{700};
static constexpr std::uint32_t CAPACITY_CPU_MILLIS = 4000;
static constexpr std::uint32_t CAPACITY_MEMORY_MB = 4096;

Executors::Executors(asio::io_context &io, Base::Timers &timers, Store &store, Ledger &ledger,
                     Journal &journal, std::uint64_t seed)
    : m_io(io)
    , m_timers(timers)
    , m_store(store)
    , m_ledger(ledger)
    , m_journal(journal)
    , m_random(seed)
{
    checkRegistrations();
}

void Executors::add(const std::string &service, const std::string &zone, std::uint16_t port,
                    const std::vector<std::uint16_t> &relayPorts)
{
    const std::size_t index = m_executors.size();
    auto executor = std::make_unique<Executor>();
    executor->life.id = fmt::format("x{:02}", index);
    executor->service = service;
    executor->zone = zone;
    executor->port = port;
    executor->guardsRoom = service == "guarded";
    executor->kind = EXECUTOR_KINDS[index % 2];
    Http::ServerOptions options;
    options.address = "127.0.0.1";
    options.port = port;
    options.deadlineHeader = "Endivepath-Expect-Instance";
    executor->server = std::make_unique<Http::Server>(
        m_io, options, [this, index](const Http::Request &request, const Http::Respond &respond) {
            handle(index, request, respond);
        });
    if (!executor->server->open().ok())
        throw std::runtime_error("can't open an executor's port");
    for (const std::uint16_t it : relayPorts)
        executor->relays.push_back(std::make_unique<FaultRelay>(m_io, it, port));
    m_executors.push_back(std::move(executor));
    begin(index);
}

FaultRelay &Executors::relay(std::size_t executor, std::size_t daemon)
{
    return *m_executors[executor]->relays[daemon];
}

std::uint16_t Executors::relayPort(std::size_t executor, std::size_t daemon) const
{
    return m_executors[executor]->relays[daemon]->port();
}

std::size_t Executors::indexOf(const std::string &id)
{
    return std::stoul(id.substr(1));
}

std::int64_t Executors::clockOf(const Executor &executor) const
{
    const auto passed = Base::toMilliseconds(m_timers.now() - executor.started);
    return executor.offsetMs + std::int64_t(double(passed) * executor.rate);
}

/// Calls \a action after \a delay, unless the executor's lifetime has ended by then.
void Executors::schedule(std::size_t index, Milliseconds delay,
                         std::function<void(Executor &)> action)
{
    m_timers.schedule(delay, [this, index, life = m_executors[index]->life, action] {
        Executor &it = *m_executors[index];
        if (it.isUp && it.life == life)
            action(it);
    });
}

void Executors::begin(std::size_t index)
{
    Executor &it = *m_executors[index];
    const auto unixTime = std::chrono::system_clock::now().time_since_epoch();
    const auto unixMs = std::uint64_t(std::chrono::duration_cast<Milliseconds>(unixTime).count());
    if (it.timeOffset.count() != 0) {
        const std::uint64_t born = unixMs + std::uint64_t(it.timeOffset.count());
        it.life.born = born == it.life.born ? born + 1 : born; // lifetimes differ
    } else {
        m_lastBorn = std::max(m_lastBorn + 1, unixMs);
        it.life.born = m_lastBorn;
    }
    it.kind = it.kind == EXECUTOR_KINDS[0] ? EXECUTOR_KINDS[1] : EXECUTOR_KINDS[0];
    it.isUp = true;
    it.isDraining = false;
    it.sequence = 0;
    it.started = m_timers.now();
    it.rate = random(4) == 0 ? 0.98 : 1;
    it.offsetMs = std::int64_t(random(1'000'000));
    it.token = 0;
    it.leaseEnd = 0;
    it.refusedUpTo.clear();
    it.ended.clear();
    it.lastEnd = 0;
    m_journal.note(
        fmt::format("executor {} begins, born {}, kind {}", it.life.id, it.life.born, it.kind));
    // Registered at once; the heartbeats of the executors are spread over the period.
    const Milliseconds pause(1 + random(HEARTBEAT_MS.count()));
    if (it.registrationDelay.count() == 0)
        heartbeat(index, it.life, pause);
    else
        m_timers.schedule(it.registrationDelay,
                          [this, index, life = it.life, pause] { heartbeat(index, life, pause); });
}

void Executors::heartbeat(std::size_t index, const ExecutorLife &life, Milliseconds pause)
{
    Executor &it = *m_executors[index];
    if (!it.isUp || it.life != life)
        return;
    if (it.storeCuts == 0) {
        it.heard = m_timers.now();
        m_store.put(
            "servers", it.life.id,
            json({{"service", it.service},
                  {"address", fmt::format("127.0.0.1:{}", it.port)},
                  {"zone", it.zone},
                  {"version", "1"},
                  {"slots", 8},
                  {"state", it.isDraining ? "draining" : "ready"},
                  {"coldRemainingMs", 0},
                  {"sequence", ++it.sequence},
                  {"born", it.life.born},
                  {"capacity",
                   {{"cpu", CAPACITY_CPU_MILLIS}, {"memMb", CAPACITY_MEMORY_MB}, {"gpu", 0}}},
                  {"labels", {it.kind, "r1-1"}}})
                .dump());
    }
    m_timers.schedule(pause, [this, index, life] { heartbeat(index, life, HEARTBEAT_MS); });
}

void Executors::checkRegistrations()
{
    for (const auto &it : m_executors) {
        if (m_timers.now() - it->heard > HEARTBEAT_MS * MISSED_HEARTBEATS)
            m_store.remove("servers", it->life.id);
    }
    m_timers.schedule(REGISTRATION_CHECK_MS, [this] { checkRegistrations(); });
}

/// Ends everything that runs, with the executor's lifetime.
void Executors::stopAt(Executor &it, bool isCrash)
{
    m_journal.note(fmt::format("executor {} {}", it.life.id, isCrash ? "crashes" : "leaves"));
    it.isUp = false;
    for (const auto &[name, run] : std::exchange(it.runs, {})) {
        if (isCrash)
            m_ledger.crashed(run.task, it.life);
        else
            m_ledger.left(run.task, it.life);
    }
    for (const End &end : it.ended) {
        TaskName task;
        if (isCrash && TaskName::parse(end.task, task))
            m_ledger.crashed(task, it.life);
    }
    it.holds.clear();
    for (const auto &relay : it.relays)
        relay->reset();
}

void Executors::crash(std::size_t index, LinkFault links, Milliseconds downtime)
{
    Executor &it = *m_executors[index];
    if (!it.isUp)
        return;
    stopAt(it, true);
    for (const auto &relay : it.relays)
        relay->apply(links);
    m_timers.schedule(downtime, [this, index, links] {
        for (const auto &relay : m_executors[index]->relays)
            relay->lift(links, Lift::Reset);
        begin(index);
    });
}

void Executors::drain(std::size_t index, Milliseconds drain, Milliseconds downtime)
{
    Executor &it = *m_executors[index];
    if (!it.isUp || it.isDraining)
        return;
    m_journal.note(fmt::format("executor {} drains", it.life.id));
    it.isDraining = true;
    heartbeat(index, it.life, HEARTBEAT_MS);
    schedule(index, drain, [this, index, downtime](Executor &executor) {
        stopAt(executor, false);
        m_store.remove("servers", executor.life.id);
        for (const auto &relay : executor.relays)
            relay->apply(LinkFault::Refused);
        m_timers.schedule(downtime, [this, index] {
            for (const auto &relay : m_executors[index]->relays)
                relay->lift(LinkFault::Refused, Lift::Reset);
            begin(index);
        });
    });
}

bool Executors::findLongRun(Milliseconds left, std::size_t &executor, TaskName &task)
{
    std::vector<std::pair<std::size_t, TaskName>> found;
    for (std::size_t i = 0; i < m_executors.size(); ++i) {
        for (const auto &[name, run] : m_executors[i]->runs) {
            if (run.due - m_timers.now() >= left)
                found.emplace_back(i, run.task);
        }
    }
    if (found.empty())
        return false;
    std::tie(executor, task) = found[random(found.size())];
    return true;
}

bool Executors::find(const TaskName &task, std::size_t &executor) const
{
    for (std::size_t i = 0; i < m_executors.size(); ++i) {
        if (m_executors[i]->runs.contains(task.text())) {
            executor = i;
            return true;
        }
    }
    return false;
}

std::size_t Executors::runCount() const
{
    std::size_t n = 0;
    for (const auto &it : m_executors)
        n += it->runs.size();
    return n;
}

Http::Response Executors::answer(const Executor &executor, int status, const char *reason) const
{
    json body{{"clockMs", clockOf(executor)}};
    if (*reason != '\0')
        body["reason"] = reason;
    Http::Response response;
    response.status = status;
    response.body = body.dump();
    return response;
}

void Executors::handle(std::size_t index, const Http::Request &request,
                       const Http::Respond &respond)
{
    const Milliseconds delay = m_executors[index]->orderDelay;
    if (delay.count() == 0) {
        carryOut(index, request, respond);
        return;
    }
    schedule(index, delay, [this, index, request](Executor &) {
        carryOut(index, request, [](const Http::Response &) {});
    });
}

void Executors::carryOut(std::size_t index, const Http::Request &request,
                         const Http::Respond &respond)
{
    Executor &it = *m_executors[index];
    const json body = json::parse(request.body, nullptr, false);
    if (!it.isUp)
        return; // an order that was under way when the executor crashed
    if (!request.deadline.empty() && request.deadline != it.life.id) {
        respond(answer(it, 421));
        return;
    }
    if (it.refusal != 0) {
        respond(answer(it, it.refusal));
        return;
    }
    if (!body.is_object()) {
        respond(answer(it, 400));
        return;
    }
    const std::uint64_t token = body.value("fencingToken", std::uint64_t(0));
    if (token < it.token) {
        respond(answer(it, 409, "fence"));
        return;
    }
    it.token = token;
    try {
        if (request.rawPath == "/run-start")
            respond(start(index, body));
        else if (request.rawPath == "/run-stop")
            respond(stop(index, body));
        else if (request.rawPath == "/hold")
            hold(index, body, respond);
        else
            respond(answer(it, 404));
    } catch (const json::exception &error) {
        m_journal.find(fmt::format("malformed order: {} {}", request.rawPath, request.body));
        respond(answer(it, 400));
    }
}

void Executors::extendLease(std::size_t index, const json &body)
{
    Executor &it = *m_executors[index];
    const std::int64_t now = clockOf(it);
    const std::int64_t end =
        std::min<std::int64_t>(body.value("untilMs", std::int64_t(0)), now + HOLD_MAX_MS.count());
    if (end <= std::max(now, it.leaseEnd))
        return;
    it.leaseEnd = end;
    const auto wait = Milliseconds(std::int64_t(double(end - now) / it.rate) + 1);
    schedule(index, wait, [this, index, end](Executor &executor) {
        if (executor.leaseEnd != end)
            return;
        for (const auto &[name, run] : std::map(executor.runs))
            endRun(index, name, RunOutcome::Lapsed);
    });
}

Http::Response Executors::start(std::size_t index, const json &body)
{
    Executor &it = *m_executors[index];
    const std::string name = body.at("task");
    Run run;
    run.number = body.at("run").get<std::uint64_t>();
    if (!TaskName::parse(name, run.task))
        return answer(it, 400);
    const auto running = it.runs.find(name);
    if (running != it.runs.end() && running->second.number == run.number)
        return answer(it, 200);
    if (running != it.runs.end() || run.number <= it.refusedUpTo[name]) {
        if (running != it.runs.end() && run.number > running->second.number)
            m_journal.find("a second run of a task on one executor: " + name);
        extendLease(index, body);
        return answer(it, 409, "old");
    }
    if (body.value("untilMs", std::int64_t(0)) <= clockOf(it))
        return answer(it, 409, "late");
    std::uint32_t cpuMillis = 0;
    std::uint32_t memoryMb = 0;
    for (const auto &[other, active] : it.runs) {
        cpuMillis += active.cpuMillis;
        memoryMb += active.memoryMb;
    }
    const JobPlan *plan = m_ledger.planOf(run.task);
    if (plan) {
        run.cpuMillis = plan->steps[run.task.step].cpuMillis;
        run.memoryMb = plan->steps[run.task.step].memoryMb;
    }
    if (cpuMillis + run.cpuMillis > CAPACITY_CPU_MILLIS
        || memoryMb + run.memoryMb > CAPACITY_MEMORY_MB) {
        if (it.guardsRoom) {
            extendLease(index, body);
            return answer(it, 409, "room");
        }
        m_journal.find(fmt::format("over capacity: {} on {}", name, it.life.id));
    }
    if (!m_ledger.started(run.task, body.at("spec"), it.life))
        return answer(it, 400);
    if (plan->service != it.service)
        m_journal.find(fmt::format("a start on another service: {} on {}", name, it.life.id));
    const std::string &requiredKind = plan->steps[run.task.step].requiredKind;
    if (!requiredKind.empty() && requiredKind != it.kind) {
        m_journal.find(fmt::format("a start without the required label {}: {} on {}, born {}",
                                   requiredKind, name, it.life.id, it.life.born));
    }
    extendLease(index, body);
    run.id = ++m_lastId;
    const std::uint32_t ms = plan->steps[run.task.step].runMs;
    run.due = m_timers.now()
              + Milliseconds(std::int64_t(double(ms * (80 + random(40))) / 100 / it.speed));
    it.runs.emplace(name, run);
    scheduleEnd(index, *plan, run);
    return answer(it, 200);
}

void Executors::scheduleEnd(std::size_t index, const JobPlan &plan, const Run &run)
{
    const bool isFirst = run.task.step == 0 && run.task.index == 0;
    const bool fails =
        isFirst
        && (plan.trouble == Trouble::FailsAlways
            || (plan.trouble == Trouble::FailsOnce && m_ledger.startsOf(run.task) == 1));
    const auto isActive = [run](const Executor &it) {
        const auto active = it.runs.find(run.task.text());
        return active != it.runs.end() && active->second.id == run.id && !active->second.isStopping;
    };
    if (isFirst && plan.trouble == Trouble::Crashes) {
        schedule(index, CRASH_AFTER_MS, [this, index, isActive](Executor &it) {
            if (isActive(it))
                crash(index, LinkFault::Refused, CRASH_DOWNTIME_MS);
        });
    }
    schedule(index, std::chrono::ceil<Milliseconds>(run.due - m_timers.now()),
             [this, index, isActive, fails, name = run.task.text()](Executor &it) {
                 if (isActive(it))
                     endRun(index, name, fails ? RunOutcome::Failed : RunOutcome::Done);
             });
}

void Executors::endRun(std::size_t index, const std::string &name, RunOutcome outcome)
{
    Executor &it = *m_executors[index];
    const auto node = it.runs.extract(name);
    if (node.empty())
        return;
    const Run &run = node.mapped();
    it.refusedUpTo[name] = std::max(it.refusedUpTo[name], run.number);
    it.ended.push_back({++it.lastEnd, name, run.number, outcome});
    m_ledger.ended(run.task, it.life, outcome);
    for (const auto &[id, respond] : std::exchange(it.holds, {}))
        respond(list(it));
}

Http::Response Executors::stop(std::size_t index, const json &body)
{
    Executor &it = *m_executors[index];
    const std::string name = body.at("task");
    const std::uint64_t number = body.at("run").get<std::uint64_t>();
    const auto running = it.runs.find(name);
    if (running == it.runs.end() || running->second.number > number) {
        it.refusedUpTo[name] = std::max(it.refusedUpTo[name], number);
        return answer(it, 200);
    }
    running->second.isStopping = true;
    schedule(index, Milliseconds(random(STOP_TIMEOUT_MS)),
             [this, index, name, id = running->second.id](Executor &executor) {
                 const auto active = executor.runs.find(name);
                 if (active != executor.runs.end() && active->second.id == id)
                     endRun(index, name, RunOutcome::Stopped);
             });
    return answer(it, 200);
}

Http::Response Executors::list(const Executor &executor) const
{
    json running = json::array();
    for (const auto &[name, run] : executor.runs)
        running.push_back({name, run.number, "", 0});
    json ended = json::array();
    for (const End &it : executor.ended) {
        if (ended.size() == MAX_LISTED_ENDS)
            break;
        ended.push_back({it.sequence, it.task, it.run, toString(it.outcome), ""});
    }
    Http::Response response;
    response.body = json({{"clockMs", clockOf(executor)},
                          {"born", executor.life.born},
                          {"running", std::move(running)},
                          {"ended", std::move(ended)}})
                        .dump();
    return response;
}

void Executors::hold(std::size_t index, const json &body, const Http::Respond &respond)
{
    Executor &it = *m_executors[index];
    const std::uint64_t seen = body.at("seenUpto").get<std::uint64_t>();
    while (!it.ended.empty() && it.ended.front().sequence <= seen)
        it.ended.pop_front();
    extendLease(index, body);
    const std::uint64_t waitMs = std::min(body.value("waitMs", std::uint64_t(0)), MAX_HOLD_WAIT_MS);
    if (waitMs == 0 || !it.ended.empty()) {
        respond(list(it));
        return;
    }
    const std::uint64_t id = ++m_lastId;
    it.holds.emplace(id, respond);
    schedule(index, Milliseconds(waitMs), [this, id](Executor &executor) {
        const auto node = executor.holds.extract(id);
        if (!node.empty())
            node.mapped()(list(executor));
    });
}

} // namespace Soak
