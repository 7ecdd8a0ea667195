// Orders, leases, lifetimes and registration of an executor.
#include "executor.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace Review {

using nlohmann::json;

static constexpr Milliseconds HEARTBEAT_MS{1500};
static constexpr Milliseconds LEASE_CHECK_MS{5};
static constexpr std::int64_t HOLD_MAX_MS = 1000;
static constexpr Milliseconds STOP_MS{20};
static constexpr std::uint64_t MAX_HOLD_WAIT_MS = 2000;
static constexpr std::size_t MAX_LISTED_ENDS = 500;

Milliseconds runTimeOf(const std::string &spec)
{
    return Milliseconds(std::stoul(spec.substr(spec.rfind(' ') + 1)));
}

Executor::Executor(asio::io_context &io, Base::Timers &timers, Soak::Store &store, Record &record,
                   ExecutorOptions options)
    : m_timers(timers)
    , m_store(store)
    , m_record(record)
    , m_options(std::move(options))
    , m_relay(io, m_options.relayPort, m_options.port)
{
    Http::ServerOptions server;
    server.address = "127.0.0.1";
    server.port = m_options.port;
    server.deadlineHeader = "Endivepath-Expect-Instance"; // copied to Request::deadline
    m_server = std::make_unique<Http::Server>(
        io, server, [this](const Http::Request &request, const Http::Respond &respond) {
            handle(request, respond);
        });
    if (!m_server->open().ok())
        throw std::runtime_error("can't open an executor's port");
    begin();
    checkLease();
}

std::int64_t Executor::clock() const
{
    const auto passed = Base::toMilliseconds(m_timers.now() - m_started);
    return 1000 + std::int64_t(double(passed) * m_options.clockRate);
}

/// Calls \a action after \a delay, unless this lifetime has ended by then.
void Executor::schedule(Base::Duration delay, std::function<void()> action)
{
    m_timers.schedule(delay, [this, born = m_born, action = std::move(action)] {
        if (m_born == born)
            action();
    });
}

void Executor::begin()
{
    const auto unixTime = std::chrono::system_clock::now().time_since_epoch();
    m_born = std::uint64_t(std::chrono::duration_cast<Milliseconds>(unixTime).count());
    m_sequence = 0;
    m_started = m_timers.now();
    m_token = 0;
    m_leaseEnd = 0;
    m_refusedUpTo.clear();
    m_ended.clear();
    m_lastEnd = 0;
    m_relay.setRefusing(false);
    m_record.note(fmt::format("executor {} is up, born {}", m_options.id, m_born));
    // Registered at once; the heartbeats of the executors are spread over the period.
    writeRegistration();
    const std::size_t phase = std::hash<std::string>()(m_options.id) % HEARTBEAT_MS.count();
    m_timers.schedule(Milliseconds(phase), [this, born = m_born] { heartbeat(born); });
}

void Executor::heartbeat(std::uint64_t born)
{
    if (m_born != born)
        return;
    writeRegistration();
    m_timers.schedule(HEARTBEAT_MS, [this, born] { heartbeat(born); });
}

void Executor::writeRegistration()
{
    m_store.put("servers", m_options.id,
                json({{"service", "cellarlog"},
                      {"address", fmt::format("127.0.0.1:{}", m_options.relayPort)},
                      {"zone", m_options.zone},
                      {"version", "1"},
                      {"slots", 8},
                      {"state", "ready"},
                      {"coldRemainingMs", 0},
                      {"sequence", ++m_sequence},
                      {"born", m_born},
                      {"capacity", {{"cpu", m_options.cpuMillis}, {"memMb", 65536}, {"gpu", 0}}},
                      {"labels", {"a", "r1-1"}}})
                    .dump());
}

void Executor::crash(Milliseconds downtime)
{
    m_record.note(
        fmt::format("executor {} crashes, {} tasks ran there", m_options.id, m_runs.size()));
    const std::string name = fmt::format("{}/{}", m_options.id, m_born);
    for (const auto &[task, run] : std::exchange(m_runs, {}))
        m_record.ended(task, run.number, name, "crashed");
    m_born = 0;
    m_holds.clear();
    m_relay.setRefusing(true);
    m_relay.reset([] { return true; });
    m_timers.schedule(downtime, [this] { begin(); });
}

void Executor::handle(const Http::Request &request, const Http::Respond &respond)
{
    if (m_born == 0)
        return;
    const json body = json::parse(request.body, nullptr, false);
    if (!request.deadline.empty() && request.deadline != m_options.id) {
        respond(answer(421));
        return;
    }
    if (request.method != "POST" || !body.is_object()) {
        respond(answer(400));
        return;
    }
    const std::uint64_t token = body.value("fencingToken", std::uint64_t(0));
    if (token < m_token) {
        respond(answer(409, "fence"));
        return;
    }
    m_token = token;
    if (request.rawPath == "/run-start")
        respond(start(body));
    else if (request.rawPath == "/run-stop")
        respond(stop(body));
    else if (request.rawPath == "/hold")
        hold(body, respond);
    else
        respond(answer(404));
}

void Executor::extendLease(const json &body)
{
    const auto until = body.find("untilMs");
    if (until != body.end())
        m_leaseEnd =
            std::max(m_leaseEnd, std::min(until->get<std::int64_t>(), clock() + HOLD_MAX_MS));
}

Http::Response Executor::start(const json &body)
{
    const std::string task = body.at("task");
    const std::uint64_t number = body.at("run").get<std::uint64_t>();
    const auto range = m_runs.equal_range(task);
    for (auto it = range.first; it != range.second; ++it) {
        if (it->second.number == number)
            return answer(200);
    }
    if (body.value("untilMs", std::int64_t(0)) <= clock())
        return answer(409, "late");
    extendLease(body);
    const auto refused = m_refusedUpTo.find(task);
    if (refused != m_refusedUpTo.end() && number <= refused->second)
        return answer(409, "old");
    const std::uint64_t id = ++m_lastId;
    m_runs.emplace(task, Run{number, id, false});
    m_record.started(task, number, fmt::format("{}/{}", m_options.id, m_born));
    const double ms = double(runTimeOf(body.at("spec")).count()) / m_options.speed;
    schedule(std::chrono::microseconds(std::int64_t(ms * 1000)),
             [this, task, id] { endRun(task, id, "done"); });
    return answer(200);
}

void Executor::endRun(const std::string &task, std::uint64_t id, const std::string &how)
{
    const auto range = m_runs.equal_range(task);
    const auto it =
        std::find_if(range.first, range.second, [id](const auto &r) { return r.second.id == id; });
    if (it == range.second)
        return;
    const std::uint64_t number = it->second.number;
    m_runs.erase(it);
    m_refusedUpTo[task] = std::max(m_refusedUpTo[task], number);
    m_ended.push_back({++m_lastEnd, task, number, how});
    m_record.ended(task, number, fmt::format("{}/{}", m_options.id, m_born), how);
    for (const auto &[key, respond] : std::exchange(m_holds, {}))
        respond(list());
}

Http::Response Executor::stop(const json &body)
{
    const std::string task = body.at("task");
    const std::uint64_t number = body.at("run").get<std::uint64_t>();
    const auto range = m_runs.equal_range(task);
    for (auto it = range.first; it != range.second; ++it) {
        if (it->second.number == number) {
            schedule(STOP_MS, [this, task, id = it->second.id] { endRun(task, id, "stopped"); });
            return answer(200);
        }
    }
    m_refusedUpTo[task] = std::max(m_refusedUpTo[task], number);
    return answer(200);
}

void Executor::hold(const json &body, const Http::Respond &respond)
{
    const std::uint64_t seen = body.value("seenUpto", std::uint64_t(0));
    while (!m_ended.empty() && m_ended.front().sequence <= seen)
        m_ended.pop_front();
    extendLease(body);
    const std::uint64_t waitMs = std::min(body.value("waitMs", std::uint64_t(0)), MAX_HOLD_WAIT_MS);
    if (waitMs == 0 || !m_ended.empty()) {
        respond(list());
        return;
    }
    const std::uint64_t id = ++m_lastId;
    m_holds.emplace(id, respond);
    schedule(Milliseconds(waitMs), [this, id] {
        const auto node = m_holds.extract(id);
        if (!node.empty())
            node.mapped()(list());
    });
}

/// Ends everything when the lease has expired.
void Executor::checkLease()
{
    if (m_born != 0 && clock() > m_leaseEnd) {
        std::vector<std::pair<std::string, std::uint64_t>> expired;
        for (const auto &[task, run] : m_runs)
            expired.emplace_back(task, run.id);
        for (const auto &[task, id] : expired)
            endRun(task, id, "lapsed");
    }
    m_timers.schedule(LEASE_CHECK_MS, [this] { checkLease(); });
}

Http::Response Executor::list() const
{
    json running = json::array();
    for (const auto &[task, run] : m_runs)
        running.push_back({task, run.number, "", 0});
    json ended = json::array();
    for (const End &it : m_ended) {
        if (ended.size() == MAX_LISTED_ENDS)
            break;
        ended.push_back({it.sequence, it.task, it.run, it.how, ""});
    }
    Http::Response response;
    response.body = json({{"clockMs", clock()},
                          {"born", m_born},
                          {"running", std::move(running)},
                          {"ended", std::move(ended)}})
                        .dump();
    return response;
}

Http::Response Executor::answer(int status, const char *reason) const
{
    json body{{"clockMs", clock()}};
    if (reason)
        body["reason"] = reason;
    Http::Response response;
    response.status = status;
    response.body = body.dump();
    return response;
}

} // namespace Review
