// Set-up, settings of the daemons, and clients.
#include "deployment.h"

#include <asio/write.hpp>

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <utility>

namespace Review {

using asio::ip::tcp;
using nlohmann::json;

static constexpr int MAX_ATTEMPTS = 4;
static constexpr Milliseconds RETRANSMIT_MS{1300};
static constexpr Milliseconds ANSWER_MARGIN_MS{500};

/// A free port below the range from which the kernel takes the ports of outgoing connections.
/// Processes that run at the same time search different ranges.
static std::uint16_t freePort()
{
    static unsigned next = unsigned(getpid()) * 512;
    asio::io_context io;
    for (int i = 0; i < 20'000; ++i) {
        const auto port = std::uint16_t(10'000 + next++ % 20'000);
        tcp::acceptor acceptor(io);
        asio::error_code ec;
        acceptor.open(tcp::v4());
        acceptor.bind({asio::ip::make_address("127.0.0.1"), port}, ec);
        if (!ec)
            return port;
    }
    throw std::runtime_error("no free port");
}

struct Deployment::Request
{
    explicit Request(asio::io_context &io)
        : socket(io)
    {}

    tcp::socket socket;
    Job job;
    std::size_t daemon = 0;
    int attempt = 1;
    std::string sent;
    std::string received;
    std::array<char, 4096> buffer{};
    bool isEnded = false;
};

Deployment::Deployment(const std::string &folder, std::uint64_t seed,
                       const std::vector<std::string> &zones,
                       const std::vector<ExecutorPlan> &executors)
    : record(folder + "/record.txt")
    , m_folder(folder)
    , m_random(seed)
    , m_store(io, timers,
              [this](std::size_t reader, const std::string &table, const std::string &key,
                     const std::string &value) { return viewOf(reader, table, key, value); })
{
    const json route{{"name", "shift-audit"},   {"host", "cellar.example"},
                     {"pathPrefix", "/audit/"}, {"service", "cellarlog"},
                     {"priority", 0},           {"maxAttempts", 3},
                     {"stretch", 1.6},          {"targetCompletionMs", 3000},
                     {"timeoutMs", 10'000}};
    m_store.put("op", "config",
                json({{"version", 3},
                      {"routes", {route}},
                      {"services", {{{"name", "cellarlog"}, {"rejectsOverload", false}}}},
                      {"limits", {{"maxBodyBytes", 262'144}}}})
                    .dump());
    for (const ExecutorPlan &it : executors) {
        ExecutorOptions options;
        options.id = fmt::format("x{:02}", m_executors.size());
        options.zone = it.zone;
        options.port = freePort();
        options.relayPort = freePort();
        options.speed = it.speed;
        options.clockRate = it.clockRate;
        m_executors.push_back(
            std::make_unique<Executor>(io, timers, m_store, record, std::move(options)));
    }
    for (const std::string &it : zones) {
        Daemon daemon;
        daemon.name = fmt::format("edge-{}", m_daemons.size());
        daemon.zone = it;
        daemon.peerPort = freePort();
        m_daemons.push_back(std::move(daemon));
    }
    for (Daemon &it : m_daemons) {
        for (std::size_t i = 0; i < m_daemons.size(); ++i)
            it.peers.push_back(std::make_unique<Relay>(io, freePort(), it.peerPort));
    }
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        Daemon &it = m_daemons[i];
        it.storePort = freePort();
        it.frontPort = freePort();
        it.front = std::make_unique<Relay>(io, freePort(), it.frontPort);
        m_store.listen(it.storePort);
        startDaemon(i);
    }
}

Deployment::~Deployment()
{
    for (Daemon &it : m_daemons)
        it.process->kill();
}

/// A daemon finds the others at relays of its own.
std::string Deployment::viewOf(std::size_t reader, const std::string &table, const std::string &key,
                               const std::string &value) const
{
    if (table != "daemons")
        return value;
    json document = json::parse(value, nullptr, false);
    for (const Daemon &it : m_daemons) {
        if (it.name == key)
            document["port"] = it.peers[reader]->port();
    }
    return document.dump();
}

/// Beginning of the paths of the daemon's settings and log.
std::string Deployment::filesOf(const Daemon &daemon) const
{
    const char *const temporary = std::getenv("REVIEW_TMP");
    return fmt::format("{}/{}", temporary ? temporary : m_folder, daemon.name);
}

void Deployment::startDaemon(std::size_t index)
{
    Daemon &it = m_daemons[index];
    const auto endpoint = [](std::uint16_t port) { return fmt::format("127.0.0.1:{}", port); };
    const std::string base = filesOf(it);
    // As rendered from deploy/settings.json.in.
    std::ofstream(base + ".json") << json({{"daemon", it.name},
                                           {"failureDomain", it.zone},
                                           {"address", "127.0.0.1"},
                                           {"peerPort", it.peerPort},
                                           {"operatorPort", freePort()},
                                           {"callers", endpoint(it.frontPort)},
                                           {"readiness", endpoint(freePort())},
                                           {"store", endpoint(it.storePort)},
                                           {"orders", "invocation"},
                                           {"graceSeconds", 6},
                                           {"executorDrainMs", 2000},
                                           {"leaseMs", 1000},
                                           {"cpuShare", 0.25},
                                           {"cores", 1},
                                           {"logLevel", "info"}})
                                         .dump();
    setenv("ENDIVEPATH_SETTINGS", (base + ".json").c_str(), 1);
    it.process = std::make_unique<TestSupport::ChildProcess>(
        std::vector<std::string>{"target/bin/endivepathd", "--platform"}, base + ".log");
}

void Deployment::runFor(Milliseconds duration)
{
    io.run_for(duration);
}

void Deployment::kill(std::size_t index, Milliseconds downtime)
{
    record.note(fmt::format("{} is killed", m_daemons[index].name));
    m_daemons[index].process->kill();
    timers.schedule(downtime, [this, index] { startDaemon(index); });
}

/// The low bits of a token are those of the number under which the daemon has registered, which is
/// in its log.
std::optional<std::size_t> Deployment::giverOf(const Executor &executor)
{
    static constexpr std::uint64_t NUMBER_MASK = 0xffff;
    static constexpr std::string_view NUMBER = " number=";
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        std::ifstream file(filesOf(m_daemons[i]) + ".log");
        std::uint64_t number = 0;
        for (std::string line; std::getline(file, line);) {
            const std::size_t at = line.find(NUMBER);
            if (line.find(" registered ") != std::string::npos && at != std::string::npos)
                number = std::stoull(line.substr(at + NUMBER.size()));
        }
        const bool isGiver =
            number > 0 && (number & NUMBER_MASK) == (executor.token() & NUMBER_MASK);
        if (isGiver && m_daemons[i].process->isRunning())
            return i;
    }
    return std::nullopt;
}

bool Deployment::areDaemonsRunning()
{
    return std::all_of(m_daemons.begin(), m_daemons.end(),
                       [](const Daemon &it) { return it.process->isRunning(); });
}

Job Deployment::makeJob(std::uint32_t tasks, Milliseconds runTime)
{
    Job job;
    job.id = fmt::format("{:08x}{:08x}", random(1ULL << 32), ++m_lastJob);
    job.tasks = tasks;
    job.runTime = runTime;
    return job;
}

bool Deployment::awaitService(Milliseconds limit)
{
    const Base::TimePoint end = timers.now() + limit;
    for (std::size_t i = 0; i < m_daemons.size();) {
        const int before = record.completed;
        submit(makeJob(1, Milliseconds(20)), i, MAX_ATTEMPTS);
        while (m_open > 0 && timers.now() < end)
            io.run_for(Milliseconds(10));
        if (timers.now() >= end)
            return false;
        if (record.completed > before)
            ++i;
        else
            io.run_for(Milliseconds(100));
    }
    return true;
}

void Deployment::submit(const Job &job, std::size_t daemon, int attempt)
{
    if (attempt == 1 || m_open == 0)
        ++m_open;
    auto request = std::make_shared<Request>(io);
    request->job = job;
    request->daemon = daemon;
    request->attempt = attempt;
    const json step{{"count", job.tasks},
                    {"cpu", job.cpuMillis},
                    {"memMb", 64},
                    {"estimateMs", job.runTime.count()}};
    const std::string body =
        json({{"spec", job.spec()}, {"phases", {step}}, {"bestEffort", true}}).dump();
    request->sent = fmt::format("POST /audit/{} HTTP/1.1\r\nHost: cellar.example\r\n"
                                "Content-Type: application/json\r\nEndivepath-Deadline-Ms: {}\r\n"
                                "Content-Length: {}\r\n\r\n{}",
                                job.id, job.deadline.count(), body.size(), body);
    record.note(fmt::format("send {} to {}, attempt {}: {} tasks of {} ms", job.id,
                            m_daemons[daemon].name, attempt, job.tasks, job.runTime.count()));
    const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"),
                                 m_daemons[daemon].front->port());
    request->socket.async_connect(endpoint, [this, request](const asio::error_code &ec) {
        if (request->isEnded)
            return;
        if (ec) {
            ended(request, 0, "");
            return;
        }
        asio::async_write(request->socket, asio::buffer(request->sent),
                          [](const asio::error_code &, std::size_t) {});
        read(request);
    });
    timers.schedule(job.deadline + ANSWER_MARGIN_MS,
                    [this, request] { ended(request, 0, "no answer"); });
}

void Deployment::read(const std::shared_ptr<Request> &request)
{
    request->socket.async_read_some(
        asio::buffer(request->buffer), [this, request](const asio::error_code &ec, std::size_t n) {
            if (request->isEnded)
                return;
            request->received.append(request->buffer.data(), n);
            const std::string &text = request->received;
            const std::size_t head = text.find("\r\n\r\n");
            const std::size_t open = text.find('{');
            if (head != std::string::npos && open != std::string::npos && text.ends_with('}')) {
                const json body = json::parse(text.substr(head + 4), nullptr, false);
                ended(request, std::atoi(text.c_str() + 9),
                      body.is_object() ? body.value("state", "") : "");
                return;
            }
            if (ec)
                ended(request, 0, "broken");
            else
                read(request);
        });
}

void Deployment::ended(const std::shared_ptr<Request> &request, int status,
                       const std::string &state)
{
    if (std::exchange(request->isEnded, true))
        return;
    asio::error_code ec;
    request->socket.close(ec);
    record.note(fmt::format("answer to {} from {}: {} {}", request->job.id,
                            m_daemons[request->daemon].name, status, state));
    record.answered += status != 0 ? 1 : 0;
    record.completed += state == "completed" ? 1 : 0;
    const bool isRepeated = status == 0 || status == 502 || status == 504;
    if (!isRepeated || request->attempt >= MAX_ATTEMPTS) {
        --m_open;
        return;
    }
    const std::size_t n = m_daemons.size();
    const std::size_t next = n > 1 ? (request->daemon + 1 + random(n - 1)) % n : 0;
    timers.schedule(RETRANSMIT_MS, [this, job = request->job, next, attempt = request->attempt] {
        submit(job, next, attempt + 1);
    });
}

int Deployment::resetConnections(std::size_t index, double share)
{
    const auto isChosen = [this, share] { return double(random(1000)) < share * 1000; };
    int n = m_daemons[index].front->reset(isChosen);
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        n += m_daemons[index].peers[i]->reset(isChosen);
        n += m_daemons[i].peers[index]->reset(isChosen);
    }
    record.note(fmt::format("{} connections of {} are reset", n, m_daemons[index].name));
    return n;
}

} // namespace Review
