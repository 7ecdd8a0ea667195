#include "world.h"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <limits>
#include <sys/wait.h>
#include <unistd.h>

namespace Review {

static constexpr Ms HEARTBEAT{1500};
static constexpr std::int64_t HOLD_MAX_MS = 1000;
static constexpr Ms STOP_TIME{30}; // stopTimeoutMs is 50

Record::Record(const std::string &path)
    : m_file(std::fopen(path.c_str(), "w"))
    , m_start(Clock::now())
{}

Record::~Record()
{
    std::fclose(m_file);
}

double Record::now() const
{
    return std::chrono::duration<double, std::milli>(Clock::now() - m_start).count();
}

void Record::note(const std::string &text)
{
    std::fprintf(m_file, "%9.1f %s\n", now(), text.c_str());
    std::fflush(m_file);
}

std::string base64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t n = 0;
        for (std::size_t j = 0; j < 3; ++j)
            n = n << 8 | (i + j < bytes.size() ? std::uint8_t(bytes[i + j]) : 0);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j < bytes.size() + 1 ? digits[n >> (18 - 6 * j) & 63] : '=';
    }
    return text;
}

static std::string unbase64(const std::string &text)
{
    std::string bytes;
    std::uint32_t n = 0;
    int bits = 0;
    for (const char c : text) {
        int digit = 0;
        if (c >= 'A' && c <= 'Z')
            digit = c - 'A';
        else if (c >= 'a' && c <= 'z')
            digit = c - 'a' + 26;
        else if (c >= '0' && c <= '9')
            digit = c - '0' + 52;
        else if (c == '+')
            digit = 62;
        else if (c == '/')
            digit = 63;
        else
            break;
        n = n << 6 | std::uint32_t(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += char(n >> bits & 255);
        }
    }
    return bytes;
}

Store::Store(asio::io_context &io, Record &record)
    : m_io(io)
    , m_record(record)
{}

void Store::listen(std::size_t reader, std::uint16_t port)
{
    m_servers.push_back(std::make_unique<HttpServer>(
        m_io, port, [this, reader](const Message &message, const Respond &respond) {
            // An answer takes 4 ms.
            after(m_io, Ms(4),
                  [this, reader, message, respond] { handle(reader, message, respond); });
        }));
}

json Store::describe(std::size_t reader, const Key &key, const Row &row) const
{
    json object{{"table", key.first}, {"part", ""}, {"key", key.second}, {"ver", row.version}};
    if (row.isRemoved)
        object["tombstone"] = true;
    else
        object["value"] = base64(m_view(reader, key.first, key.second, row.value));
    return object;
}

std::string Store::page(json rows) const
{
    const auto now = std::chrono::duration_cast<Ms>(Clock::now().time_since_epoch()).count();
    return json{{"rows", std::move(rows)}, {"ver", m_version}, {"nowMs", now}}.dump();
}

void Store::handle(std::size_t reader, const Message &message, const Respond &respond)
{
    const std::string path = message.path();
    if (path == "/rows-tx") {
        const json body = json::parse(message.body);
        for (const json &it : body.value("precondition", json::array())) {
            const auto row = m_rows.find({it.at("table"), it.at("key")});
            const bool exists = row != m_rows.end() && !row->second.isRemoved;
            if ((exists ? row->second.version : 0) != it.at("ver").get<std::uint64_t>()) {
                respond(412, page(json::array()));
                return;
            }
        }
        for (const json &it : body.value("writes", json::array())) {
            if (beforeWrite)
                beforeWrite(it.at("table"), it.at("key"));
        }
        ++m_version;
        std::set<std::string> tables;
        for (const json &it : body.value("writes", json::array())) {
            const std::string table = it.at("table");
            const std::string key = it.at("key");
            m_rows[{table, key}] = {unbase64(it.at("value")), m_version, false};
            tables.insert(table);
            m_record.note("store: " + table + "/" + key + " written, ver "
                          + std::to_string(m_version));
        }
        for (const json &it : body.value("remove", json::array())) {
            m_rows[{it.at("table"), it.at("key")}] = {"", m_version, true};
            tables.insert(it.at("table"));
        }
        respond(200, page(json::array()));
        for (const std::string &it : tables)
            changed(it);
    } else if (path == "/rows-get") {
        json rows = json::array();
        for (const auto &[key, row] : m_rows) {
            if (key.first == message.parameter("table") && !row.isRemoved
                && key.second >= message.parameter("from"))
                rows.push_back(describe(reader, key, row));
        }
        respond(200, page(std::move(rows)));
    } else if (path == "/rows-feed") {
        Feed feed{reader, message.parameter("table"), std::stoull("0" + message.parameter("after")),
                  respond};
        if (answerFeed(feed, false))
            return;
        const std::uint64_t id = ++m_lastFeed;
        m_feeds.emplace(id, feed);
        after(m_io, Ms(std::stol("0" + message.parameter("waitMs"))), [this, id] {
            const auto node = m_feeds.extract(id);
            if (!node.empty())
                answerFeed(node.mapped(), true);
        });
    } else {
        respond(404, "{}");
    }
}

bool Store::answerFeed(const Feed &feed, bool isLast)
{
    std::map<std::uint64_t, json> changes;
    for (const auto &[key, row] : m_rows) {
        if (key.first == feed.table && row.version > feed.after)
            changes.emplace(row.version, describe(feed.reader, key, row));
    }
    if (changes.empty() && !isLast)
        return false;
    json rows = json::array();
    for (const auto &it : changes)
        rows.push_back(it.second);
    feed.respond(200, page(std::move(rows)));
    return true;
}

void Store::changed(const std::string &table)
{
    std::erase_if(m_feeds, [&](const auto &it) {
        return it.second.table == table && answerFeed(it.second, false);
    });
}

std::uint64_t Store::versionOf(const std::string &table, const std::string &key) const
{
    const auto it = m_rows.find({table, key});
    return it == m_rows.end() ? 0 : it->second.version;
}

std::uint64_t Store::put(const std::string &table, const std::string &key, const std::string &value)
{
    m_rows[{table, key}] = {value, ++m_version, false};
    changed(table);
    return m_version;
}

void Store::remove(const std::string &table, const std::string &key)
{
    m_rows[{table, key}] = {"", ++m_version, true};
    changed(table);
}

Executor::Executor(World &world, Options options)
    : m_world(world)
    , m_options(std::move(options))
    , m_port(freePort())
    , m_server(std::make_unique<HttpServer>(
          world.io, m_port,
          [this](const Message &message, const Respond &respond) { handle(message, respond); }))
{
    begin();
}

void Executor::later(Ms delay, std::function<void()> action)
{
    after(m_world.io, delay, [this, life = m_life, action = std::move(action)] {
        if (m_isUp && m_life == life)
            action();
    });
}

std::int64_t Executor::clock() const
{
    return 1000 + std::chrono::duration_cast<Ms>(Clock::now() - m_started).count();
}

void Executor::begin()
{
    m_isUp = true;
    m_isDraining = false;
    ++m_life;
    const auto unixTime = std::chrono::system_clock::now().time_since_epoch();
    m_born = std::uint64_t(std::chrono::duration_cast<Ms>(unixTime).count());
    m_sequence = 0;
    m_token = 0;
    m_leaseEnd = 0;
    m_started = Clock::now();
    m_refusedUpTo.clear();
    m_ends.clear();
    m_lastEnd = 0;
    beat(m_life);
}

void Executor::beat(std::uint64_t life)
{
    if (!m_isUp || m_life != life)
        return;
    m_world.store.put(
        "servers", m_options.id,
        json{{"service", m_options.service},
             {"address", "127.0.0.1:" + std::to_string(m_port)},
             {"zone", m_options.zone},
             {"version", "1"},
             {"slots", 8},
             {"state", m_isDraining ? "draining" : "ready"},
             {"coldRemainingMs", 0},
             {"sequence", ++m_sequence},
             {"born", m_born},
             {"capacity", {{"cpu", m_options.cpu}, {"memMb", m_options.memMb}, {"gpu", 0}}},
             {"labels", {m_options.kind, m_options.rack}},
             {"clockMs", clock()}}
            .dump());
    after(m_world.io, HEARTBEAT, [this, life] { beat(life); });
}

void Executor::setCpu(std::uint32_t cpu)
{
    m_options.cpu = cpu;
    beat(m_life);
}

void Executor::sayDraining()
{
    m_isDraining = true;
    beat(m_life);
}

void Executor::crash(Ms downtime)
{
    m_world.record.note("executor " + m_options.id + " crashes");
    m_isUp = false;
    for (const auto &[task, run] : m_runs) {
        m_world.runs[run.record].end = m_world.record.now();
        m_world.runs[run.record].how = "crashed";
    }
    m_runs.clear();
    m_holds.clear();
    m_server->shut();
    after(m_world.io, downtime, [this] {
        m_world.record.note("executor " + m_options.id + " starts again, kind " + m_options.kind);
        m_server->open();
        begin();
    });
}

std::uint32_t Executor::usedCpu() const
{
    std::uint32_t used = 0;
    for (const auto &[task, run] : m_runs)
        used += run.cpu;
    return used;
}

std::string Executor::answer(const char *reason) const
{
    json body{{"clockMs", clock()}};
    if (*reason != '\0')
        body["reason"] = reason;
    return body.dump();
}

void Executor::handle(const Message &message, const Respond &respond)
{
    const json body = json::parse(message.body, nullptr, false);
    const std::string path = message.path();
    const std::string expected = message.header("endivepath-expect-instance");
    const auto late = lateness ? lateness(path, body) : std::nullopt;
    if (!late) {
        carryOut(path, body, expected, message.caller, respond);
        return;
    }
    m_world.record.note("executor " + m_options.id + " leaves unanswered " + path + " "
                        + message.body);
    later(*late, [this, path, body, expected, caller = message.caller] {
        m_world.record.note("executor " + m_options.id + " carries out late " + path + " "
                            + body.dump());
        carryOut(path, body, expected, caller, [](int, const std::string &) {});
    });
}

void Executor::carryOut(const std::string &path, const json &body, const std::string &expected,
                        const std::string &caller, const Respond &respond)
{
    if (!expected.empty() && expected != m_options.id) {
        respond(421, answer());
        return;
    }
    if (!body.is_object()) {
        respond(400, answer());
        return;
    }
    const std::uint64_t token = body.value("fencingToken", std::uint64_t(0));
    if (token < m_token) {
        if (token > 0)
            m_world.record.note("executor " + m_options.id + " refuses token "
                                + std::to_string(token) + " (" + std::to_string(m_token) + ")");
        respond(409, answer("fence"));
        return;
    }
    if (token > m_token)
        m_world.record.note("executor " + m_options.id + " sees token " + std::to_string(token));
    m_token = token;
    if (path == "/run-start")
        start(body, caller, respond);
    else if (path == "/run-stop")
        stop(body, respond);
    else if (path == "/hold")
        hold(body, respond);
    else
        respond(404, answer());
}

void Executor::extend(const json &body)
{
    const std::int64_t now = clock();
    const std::int64_t end = std::min(body.value("untilMs", std::int64_t(0)), now + HOLD_MAX_MS);
    if (end <= std::max(now, m_leaseEnd))
        return;
    m_leaseEnd = end;
    later(Ms(end - now + 1), [this, end] {
        if (m_leaseEnd != end)
            return;
        const auto runs = m_runs;
        for (const auto &[task, run] : runs)
            endRun(task, "lapsed");
    });
}

void Executor::start(const json &body, const std::string &caller, const Respond &respond)
{
    const std::string task = body.at("task");
    const std::uint64_t number = body.at("run");
    const auto running = m_runs.find(task);
    if (running != m_runs.end() && running->second.number == number) {
        respond(200, answer());
        return;
    }
    if (running != m_runs.end() || number <= m_refusedUpTo[task]) {
        extend(body);
        respond(409, answer("old"));
        return;
    }
    if (body.value("untilMs", std::int64_t(0)) <= clock()) {
        respond(409, answer("late"));
        return;
    }
    const Job *job = m_world.jobOf(task);
    if (!job) {
        m_world.record.note("executor " + m_options.id + ": a task that nobody sent: " + task);
        respond(400, answer());
        return;
    }
    Run run;
    run.number = number;
    run.cpu = job->cpu;
    run.id = ++m_lastRun;
    run.record = m_world.runs.size();
    m_world.runs.push_back({task, number, m_options.id, m_world.record.now(), 0, "", caller});
    m_runs.emplace(task, run);
    extend(body);
    const bool isOver = usedCpu() > m_options.cpu;
    m_world.overCapacity += isOver ? 1 : 0;
    if (!job->requirements.empty() && job->requirements != m_options.kind) {
        ++m_world.withoutLabel;
        m_world.record.note("executor " + m_options.id + " has no label " + job->requirements + " ("
                            + m_options.kind + "), in this lifetime for "
                            + std::to_string(clock() - 1000) + " ms");
    }
    m_world.record.note("executor " + m_options.id + " starts " + task + " run "
                        + std::to_string(number) + " token "
                        + std::to_string(body.value("fencingToken", std::uint64_t(0)))
                        + (isOver ? " OVER CAPACITY: " + std::to_string(usedCpu()) + " of "
                                        + std::to_string(m_options.cpu)
                                  : std::string()));
    later(Ms(job->workMs), [this, task, id = run.id] {
        const auto it = m_runs.find(task);
        if (it != m_runs.end() && it->second.id == id && !it->second.isStopping)
            endRun(task, "done");
    });
    respond(200, answer());
}

void Executor::endRun(const std::string &task, const std::string &how)
{
    const auto node = m_runs.extract(task);
    if (node.empty())
        return;
    const Run &run = node.mapped();
    m_world.runs[run.record].end = m_world.record.now();
    m_world.runs[run.record].how = how;
    m_refusedUpTo[task] = std::max(m_refusedUpTo[task], run.number);
    m_ends.push_back({++m_lastEnd, task, run.number, how});
    m_world.record.note("executor " + m_options.id + " ends " + task + " run "
                        + std::to_string(run.number) + " " + how);
    for (const auto &[id, respond] : std::exchange(m_holds, {}))
        respond(200, list());
}

void Executor::stop(const json &body, const Respond &respond)
{
    const std::string task = body.at("task");
    const std::uint64_t number = body.at("run");
    const auto running = m_runs.find(task);
    if (running == m_runs.end() || running->second.number > number) {
        m_refusedUpTo[task] = std::max(m_refusedUpTo[task], number);
    } else {
        running->second.isStopping = true;
        later(STOP_TIME, [this, task, id = running->second.id] {
            const auto it = m_runs.find(task);
            if (it != m_runs.end() && it->second.id == id)
                endRun(task, "stopped");
        });
    }
    respond(200, answer());
}

std::string Executor::list() const
{
    json running = json::array();
    for (const auto &[task, run] : m_runs)
        running.push_back({task, run.number, "", 0, 0});
    json ended = json::array();
    for (const End &it : m_ends) {
        if (ended.size() < 500)
            ended.push_back({it.sequence, it.task, it.run, it.how, ""});
    }
    return json{{"clockMs", clock()},
                {"born", m_born},
                {"running", std::move(running)},
                {"ended", std::move(ended)}}
        .dump();
}

void Executor::hold(const json &body, const Respond &respond)
{
    const std::uint64_t seen = body.value("seenUpto", std::uint64_t(0));
    while (!m_ends.empty() && m_ends.front().sequence <= seen)
        m_ends.pop_front();
    extend(body);
    const auto waitMs = std::min<std::uint64_t>(body.value("waitMs", std::uint64_t(0)), 2000);
    if (waitMs == 0 || !m_ends.empty()) {
        respond(200, list());
        return;
    }
    const std::uint64_t id = ++m_lastHold;
    m_holds.emplace(id, respond);
    later(Ms(waitMs), [this, id] {
        const auto node = m_holds.extract(id);
        if (!node.empty())
            node.mapped()(200, list());
    });
}

std::string Job::body() const
{
    json step{{"count", count}, {"cpu", cpu}, {"memMb", 64}, {"estimateMs", estimateMs}};
    if (!requirements.empty())
        step["requirements"] = requirements;
    json phases = json::array();
    for (std::uint32_t i = 0; i < steps; ++i) {
        if (i > 0)
            step["after"] = json::array({i - 1});
        phases.push_back(step);
    }
    return json{{"spec", "work of " + id}, {"bestEffort", true}, {"phases", phases}}.dump();
}

World::World(Record &rec, std::string program, std::string folder)
    : record(rec)
    , store(io, rec)
    , m_program(std::move(program))
    , m_folder(std::move(folder))
{
    store.setView([this](std::size_t reader, const std::string &table, const std::string &key,
                         const std::string &value) { return viewOf(reader, table, key, value); });
}

World::~World()
{
    for (const auto &it : processes) {
        if (it->pid > 0 && !hasEnded(*it)) {
            kill(it->pid, SIGKILL);
            waitpid(it->pid, nullptr, 0);
        }
    }
}

Executor &World::addExecutor(const Executor::Options &options)
{
    executors.push_back(std::make_unique<Executor>(*this, options));
    return *executors.back();
}

Process &World::addProcess(const std::string &name, const std::string &zone)
{
    auto process = std::make_unique<Process>();
    process->name = name;
    process->zone = zone;
    process->front = freePort();
    process->ready = freePort();
    process->peer = freePort();
    process->operators = freePort();
    processes.push_back(std::move(process));
    return *processes.back();
}

void World::connect()
{
    for (std::size_t i = 0; i < processes.size(); ++i) {
        Process &it = *processes[i];
        const std::uint16_t storePort = freePort();
        store.listen(i, storePort);
        it.store = std::make_unique<Relay>(io, freePort(), storePort);
        for (const auto &peer : processes)
            it.toPeers[peer->name] = std::make_unique<Relay>(io, freePort(), peer->peer);
    }
    for (const auto &executor : executors) {
        for (const auto &it : processes) {
            it->toExecutors[executor->options().id] =
                std::make_unique<Relay>(io, freePort(), executor->port());
            it->toExecutors[executor->options().id]->setCaller(it->name);
        }
    }
}

std::string World::viewOf(std::size_t reader, const std::string &table, const std::string &key,
                          const std::string &value) const
{
    if (reader >= processes.size() || (table != "servers" && table != "daemons"))
        return value;
    json document = json::parse(value);
    const Process &process = *processes[reader];
    if (table == "servers") {
        const auto it = process.toExecutors.find(key);
        if (it != process.toExecutors.end())
            document["address"] = "127.0.0.1:" + std::to_string(it->second->port());
    } else {
        const auto it = process.toPeers.find(key);
        if (it != process.toPeers.end())
            document["port"] = it->second->port();
    }
    return document.dump();
}

void World::startProcess(Process &process)
{
    const auto endpoint = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
    // The fields of deploy/settings.json.in, with the figures of DEPLOY.md.
    json document{{"daemon", process.name},
                  {"failureDomain", process.zone},
                  {"address", "127.0.0.1"},
                  {"peerPort", process.peer},
                  {"operatorPort", process.operators},
                  {"callers", endpoint(process.front)},
                  {"readiness", endpoint(process.ready)},
                  {"store", endpoint(process.store->port())},
                  {"orders", "invocation"},
                  {"graceSeconds", 6},
                  {"executorDrainMs", 2000},
                  {"leaseMs", 1000},
                  {"cpuShare", 0.25},
                  {"cores", 1},
                  {"memoryMb", 260},
                  {"maxFds", 4100},
                  {"dispatch", {{"orders", "measuredTimeout"}, {"runTimes", "learned"}}},
                  {"logLevel", "info"}};
    document.update(settings);
    const std::string file = m_folder + "/" + process.name + ".json";
    std::ofstream(file) << document.dump();
    const pid_t pid = fork();
    if (pid == 0) {
        setenv("ENDIVEPATH_SETTINGS", file.c_str(), 1);
        const int log = open((m_folder + "/" + process.name + ".log").c_str(),
                             O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, 1);
        dup2(log, 2);
        for (int fd = 3; fd < 1024; ++fd)
            close(fd);
        execl(m_program.c_str(), m_program.c_str(), "--platform", nullptr);
        _exit(127);
    }
    process.pid = pid;
    process.exitStatus = -1;
    record.note("process " + process.name + " started");
    disruptionEnds(process.name);
}

void World::signal(Process &process, int number)
{
    record.note("process " + process.name + " gets signal " + std::to_string(number));
    if (number == SIGTERM || number == SIGKILL)
        disruptionBegins(process.name);
    if (number == SIGTERM)
        terminations[process.name].push_back(record.now());
    if (process.pid > 0)
        kill(process.pid, number);
    if (number == SIGKILL && process.pid > 0) {
        waitpid(process.pid, &process.exitStatus, 0);
        process.pid = 0;
    }
}

bool World::hasEnded(Process &process)
{
    if (process.pid == 0)
        return true;
    if (waitpid(process.pid, &process.exitStatus, WNOHANG) != process.pid)
        return false;
    record.note("process " + process.name + " has ended, status "
                + std::to_string(process.exitStatus));
    process.pid = 0;
    return true;
}

bool World::waitReady(Ms limit)
{
    const auto end = Clock::now() + limit;
    for (const auto &it : processes) {
        if (it->pid == 0)
            continue;
        bool isReady = false;
        while (!isReady) {
            if (Clock::now() > end)
                return false;
            auto channel = std::make_shared<Channel>(io, it->ready);
            int status = -1;
            channel->send("GET", "/readiness", "ready", "", 1000,
                          [&status](int code, const std::string &) { status = code; });
            runUntil([&status] { return status >= 0; }, Ms(500));
            channel->close();
            runFor(Ms(20));
            isReady = status == 200;
        }
    }
    return true;
}

void World::runFor(Ms time)
{
    io.run_for(time);
}

bool World::runUntil(const std::function<bool()> &condition, Ms limit)
{
    const auto end = Clock::now() + limit;
    while (!condition()) {
        if (Clock::now() > end)
            return false;
        io.run_for(Ms(2));
    }
    return true;
}

json World::route(const std::string &name, const std::string &service) const
{
    return {{"name", name},
            {"host", host},
            {"pathPrefix", "/" + name + "/"},
            {"service", service},
            {"priority", 1},
            {"maxAttempts", 3},
            {"stretch", 1.6},
            {"targetCompletionMs", 2000},
            {"timeoutMs", 1500}};
}

void World::writeConfig(std::uint64_t version, const json &routes)
{
    std::set<std::string> names;
    for (const json &it : routes)
        names.insert(it.at("service"));
    json services = json::array();
    for (const std::string &it : names)
        services.push_back({{"name", it}, {"rejectsOverload", false}});
    store.put("op", "config",
              json{{"version", version},
                   {"routes", routes},
                   {"services", services},
                   {"limits", {{"maxBodyBytes", 262144}}}}
                  .dump());
    record.note("operator: version " + std::to_string(version) + " confirmed");
}

const Job *World::jobOf(const std::string &task) const
{
    const auto it = m_jobs.find(task.substr(0, task.find('.')));
    return it == m_jobs.end() ? nullptr : &it->second;
}

Executor *World::executor(const std::string &id)
{
    for (const auto &it : executors) {
        if (it->options().id == id)
            return it.get();
    }
    return nullptr;
}

void World::disruptionBegins(const std::string &machine)
{
    m_disruptions[machine].emplace_back(record.now(), std::numeric_limits<double>::max());
}

void World::disruptionEnds(const std::string &machine)
{
    const auto it = m_disruptions.find(machine);
    if (it == m_disruptions.end())
        m_disruptions[machine].emplace_back(0, record.now());
    else
        it->second.back().second = record.now();
}

bool World::isInTouch(const std::string &machine, double time) const
{
    static constexpr double CONTACT_MS = 3000;
    const auto it = m_disruptions.find(machine);
    if (it == m_disruptions.end())
        return false;
    return std::none_of(it->second.begin(), it->second.end(), [time](const auto &span) {
        return span.first <= time && span.second >= time - CONTACT_MS;
    });
}

std::vector<RunRecord> World::runsOf(const std::string &job) const
{
    std::vector<RunRecord> found;
    for (const RunRecord &it : runs) {
        if (it.task.substr(0, it.task.find('.')) == job)
            found.push_back(it);
    }
    return found;
}

} // namespace Review
