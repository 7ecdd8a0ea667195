// Orders, leases, lifetimes and registrations of the executors.
#include "executors.h"

#include <algorithm>
#include <cstdio>

namespace Review {

using nlohmann::json;

static constexpr Milliseconds HEARTBEAT_MS{1500};
static constexpr std::int64_t HOLD_MAX_MS = 1000;
static constexpr Milliseconds STOP_MS{20}; // stopTimeoutMs is 50
static constexpr Milliseconds CANCEL_MS{3000};
static constexpr std::uint64_t MAX_WAIT_MS = 2000;

Executors::Executors(asio::io_context &io, Store &store, Record &record)
    : m_io(io)
    , m_store(store)
    , m_record(record)
{}

std::size_t Executors::add(const std::string &zone, const std::string &rack,
                           const ExecutorKind &kind)
{
    const std::size_t index = m_executors.size();
    auto executor = std::make_unique<Executor>();
    executor->id = "x" + std::to_string(index);
    executor->zone = zone;
    executor->rack = rack;
    executor->kind = kind;
    executor->server = std::make_unique<HttpServer>(
        m_io, freePort(), [this, index](const Request &request, const Respond &respond) {
            handle(index, request, respond);
        });
    m_executors.push_back(std::move(executor));
    begin(index);
    return index;
}

void Executors::after(std::size_t index, Milliseconds delay, std::function<void(Executor &)> action)
{
    const auto timer = std::make_shared<asio::steady_timer>(m_io, delay);
    timer->async_wait([this, index, timer, born = m_executors[index]->born,
                       action = std::move(action)](const asio::error_code &) {
        Executor &it = *m_executors[index];
        if (it.isUp && it.born == born)
            action(it);
    });
}

std::int64_t Executors::clockOf(const Executor &it) const
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - it.started).count();
}

void Executors::begin(std::size_t index)
{
    Executor &it = *m_executors[index];
    const auto unixTime = std::chrono::system_clock::now().time_since_epoch();
    const auto unixMs = std::uint64_t(std::chrono::duration_cast<Milliseconds>(unixTime).count());
    it.born = std::max(unixMs, it.born + 1);
    it.isUp = true;
    it.sequence = 0;
    it.started = Clock::now();
    it.token = 0;
    it.leaseEnd = 0;
    it.refusedUpTo.clear();
    it.ended.clear();
    it.lastEnd = 0;
    m_record.note("executor " + it.id + " begins, born " + std::to_string(it.born) + ", kind "
                  + it.kind.label + ", cpu " + std::to_string(it.kind.cpuMillis));
    registerNow(index);
    // The heartbeats of the executors are spread over the period.
    scheduleHeartbeat(index, HEARTBEAT_MS * int(index * 7 % 18 + 1) / 18);
}

void Executors::registerNow(std::size_t index)
{
    Executor &it = *m_executors[index];
    if (!it.isStoreReachable)
        return;
    m_store.put(
        "servers", it.id,
        json({{"service", "cellarlog"},
              {"address", std::string(LOOPBACK) + ":" + std::to_string(it.server->port())},
              {"zone", it.zone},
              {"version", "1"},
              {"slots", 8},
              {"state", "ready"},
              {"coldRemainingMs", 0},
              {"sequence", ++it.sequence},
              {"born", it.born},
              {"capacity", {{"cpu", it.kind.cpuMillis}, {"memMb", it.kind.memoryMb}, {"gpu", 0}}},
              {"labels", {it.kind.label, it.rack}}})
            .dump());
}

void Executors::scheduleHeartbeat(std::size_t index, Milliseconds pause)
{
    after(index, pause, [this, index](Executor &) {
        registerNow(index);
        scheduleHeartbeat(index, HEARTBEAT_MS);
    });
}

void Executors::setStoreReachable(std::size_t index, bool isReachable)
{
    m_executors[index]->isStoreReachable = isReachable;
    if (isReachable && m_executors[index]->isUp)
        registerNow(index);
}

void Executors::crash(std::size_t index)
{
    Executor &it = *m_executors[index];
    m_record.note("executor " + it.id + " crashes with " + std::to_string(it.runs.size())
                  + " runs");
    it.isUp = false;
    it.runs.clear();
    it.holds.clear();
    it.server->close();
}

void Executors::restart(std::size_t index, const ExecutorKind &kind)
{
    m_executors[index]->kind = kind;
    m_executors[index]->server->open();
    begin(index);
}

std::uint32_t Executors::usedCpu(std::size_t index) const
{
    std::uint32_t sum = 0;
    for (const auto &[task, run] : m_executors[index]->runs)
        sum += run.cpuMillis;
    return sum;
}

std::size_t Executors::runCountOf(const std::string &job) const
{
    std::size_t n = 0;
    for (const auto &executor : m_executors) {
        for (const auto &[task, run] : executor->runs)
            n += run.job == job ? 1 : 0;
    }
    return n;
}

Response Executors::answer(const Executor &it, int status, const char *reason) const
{
    json body{{"clockMs", clockOf(it)}};
    if (*reason != '\0')
        body["reason"] = reason;
    return {status, body.dump()};
}

void Executors::handle(std::size_t index, const Request &request, const Respond &respond)
{
    Executor &it = *m_executors[index];
    if (!it.isUp)
        return;
    const auto expected = request.headers.find("endivepath-expect-instance");
    if (expected != request.headers.end() && expected->second != it.id) {
        respond(answer(it, 421));
        return;
    }
    const json body = json::parse(request.body, nullptr, false);
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
    if (request.path == "/run-start")
        respond(start(index, body));
    else if (request.path == "/run-stop")
        respond(stop(index, body));
    else if (request.path == "/hold")
        hold(index, body, respond);
    else
        respond(answer(it, 404));
}

void Executors::extendLease(std::size_t index, const json &body)
{
    Executor &it = *m_executors[index];
    const std::int64_t now = clockOf(it);
    const std::int64_t end =
        std::min<std::int64_t>(body.value("untilMs", std::int64_t(0)), now + HOLD_MAX_MS);
    if (end <= std::max(now, it.leaseEnd))
        return;
    it.leaseEnd = end;
    after(index, Milliseconds(end - now + 1), [this, index, end](Executor &executor) {
        if (executor.leaseEnd != end)
            return;
        for (const auto &[task, run] : std::map<std::string, Run>(executor.runs))
            endRun(index, task, "lapsed");
    });
}

/// Reads the job, step and index from ID.K.STEP.INDEX.
static bool parseTask(const std::string &name, std::string &job, std::uint32_t &step,
                      std::uint32_t &index)
{
    unsigned occurrence = 0;
    char id[17] = {};
    int length = 0;
    if (std::sscanf(name.c_str(), "%16[0-9a-f].%u.%u.%u%n", id, &occurrence, &step, &index, &length)
            != 4
        || std::size_t(length) != name.size()) {
        return false;
    }
    job = id;
    return true;
}

Response Executors::start(std::size_t index, const json &body)
{
    Executor &it = *m_executors[index];
    const std::string task = body.at("task");
    Run run;
    run.number = body.at("run").get<std::uint64_t>();
    std::uint32_t position = 0;
    if (!parseTask(task, run.job, run.step, position))
        return answer(it, 400);
    const auto active = it.runs.find(task);
    if (active != it.runs.end() && active->second.number == run.number)
        return answer(it, 200);
    const auto refused = it.refusedUpTo.find(task);
    if (active != it.runs.end()
        || (refused != it.refusedUpTo.end() && run.number <= refused->second)) {
        extendLease(index, body);
        return answer(it, 409, "old");
    }
    if (body.value("untilMs", std::int64_t(0)) <= clockOf(it))
        return answer(it, 409, "late");
    const auto job = m_jobs.find(run.job);
    const bool isKnown = job != m_jobs.end() && run.step < job->second.steps.size()
                         && position < job->second.steps[run.step].count
                         && body.at("spec") == job->second.spec();
    if (!isKnown) {
        m_record.broken("UNASKED", "a start of what no client sent: " + task);
        return answer(it, 400);
    }
    const Step &step = job->second.steps[run.step];
    run.cpuMillis = step.cpuMillis;
    run.memoryMb = step.memoryMb;
    run.id = ++m_lastId;
    ++m_starts;
    m_record.note("start " + task + " run " + std::to_string(run.number) + " on " + it.id);
    checkStart(it, task, run);
    extendLease(index, body);
    it.runs.emplace(task, run);
    after(index, Milliseconds(std::int64_t(step.runMs * it.slowness)),
          [this, index, task, id = run.id](Executor &executor) {
              const auto found = executor.runs.find(task);
              if (found != executor.runs.end() && found->second.id == id
                  && !found->second.isStopping) {
                  endRun(index, task, "done");
              }
          });
    return answer(it, 200);
}

void Executors::checkStart(const Executor &it, const std::string &task, const Run &run)
{
    const Job &job = m_jobs.at(run.job);
    std::uint32_t cpu = run.cpuMillis;
    std::uint32_t memory = run.memoryMb;
    std::uint32_t ofStep = 1;
    for (const auto &[name, other] : it.runs) {
        cpu += other.cpuMillis;
        memory += other.memoryMb;
        ofStep += other.job == run.job && other.step == run.step ? 1 : 0;
    }
    if (cpu > it.kind.cpuMillis || memory > it.kind.memoryMb) {
        m_record.broken("LIMIT", "the start of " + task + " brings " + it.id + " to "
                                     + std::to_string(cpu) + " of "
                                     + std::to_string(it.kind.cpuMillis) + " cpu, "
                                     + std::to_string(memory) + " of "
                                     + std::to_string(it.kind.memoryMb) + " MB");
    }
    const Step &step = job.steps[run.step];
    if (!step.requirement.empty() && step.requirement != it.kind.label) {
        m_record.broken("ROUTE", "the start of " + task + ", which requires " + step.requirement
                                     + ", is on " + it.id + " of kind " + it.kind.label);
    }
    if (step.maxPerExecutor > 0 && ofStep > step.maxPerExecutor)
        m_record.broken("ROUTE", task + " is beyond maxPerServer on " + it.id);
    if (job.isCancelled() && Clock::now() - job.cancelled > CANCEL_MS) {
        m_record.broken("UNASKED", task + " is started more than "
                                       + std::to_string(CANCEL_MS.count())
                                       + " ms after its cancelling was acknowledged, or was to be");
    }
    for (const auto &other : m_executors) {
        if (other->isUp && other->runs.contains(task)) {
            m_record.broken("TWICE",
                            task + " is started on " + it.id + " and runs on " + other->id);
        }
    }
}

Response Executors::stop(std::size_t index, const json &body)
{
    Executor &it = *m_executors[index];
    const std::string task = body.at("task");
    const auto number = body.at("run").get<std::uint64_t>();
    std::uint64_t &refused = it.refusedUpTo[task];
    refused = std::max(refused, number);
    const auto run = it.runs.find(task);
    if (run != it.runs.end() && run->second.number <= number && !run->second.isStopping) {
        run->second.isStopping = true;
        after(index, STOP_MS, [this, index, task, id = run->second.id](Executor &executor) {
            const auto found = executor.runs.find(task);
            if (found != executor.runs.end() && found->second.id == id)
                endRun(index, task, "stopped");
        });
    }
    return answer(it, 200);
}

Response Executors::list(const Executor &it) const
{
    json running = json::array();
    for (const auto &[task, run] : it.runs)
        running.push_back({task, run.number, "", 100, run.cpuMillis});
    json ended = json::array();
    for (const End &end : it.ended)
        ended.push_back({end.number, end.task, end.run, end.how, ""});
    return {
        200,
        json({{"clockMs", clockOf(it)}, {"born", it.born}, {"running", running}, {"ended", ended}})
            .dump()};
}

void Executors::endRun(std::size_t index, const std::string &task, const std::string &how)
{
    Executor &it = *m_executors[index];
    const auto node = it.runs.extract(task);
    if (node.empty())
        return;
    m_record.note("end " + task + " run " + std::to_string(node.mapped().number) + " on " + it.id
                  + ": " + how);
    std::uint64_t &refused = it.refusedUpTo[task];
    refused = std::max(refused, node.mapped().number);
    it.ended.push_back({++it.lastEnd, task, node.mapped().number, how});
    for (const auto &[id, respond] : std::exchange(it.holds, {}))
        respond(list(it));
}

void Executors::hold(std::size_t index, const json &body, const Respond &respond)
{
    Executor &it = *m_executors[index];
    const std::uint64_t seen = body.value("seenUpto", std::uint64_t(0));
    while (!it.ended.empty() && it.ended.front().number <= seen)
        it.ended.pop_front();
    extendLease(index, body);
    const std::uint64_t wait = std::min(body.value("waitMs", std::uint64_t(0)), MAX_WAIT_MS);
    if (wait == 0 || !it.ended.empty()) {
        respond(list(it));
        return;
    }
    const std::uint64_t id = ++m_lastId;
    it.holds.emplace(id, respond);
    after(index, Milliseconds(wait), [this, id](Executor &executor) {
        const auto node = executor.holds.extract(id);
        if (!node.empty())
            node.mapped()(list(executor));
    });
}

} // namespace Review
