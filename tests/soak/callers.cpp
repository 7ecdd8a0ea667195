// Load, connections and responses.
#include "callers.h"

#include <asio/write.hpp>

#include <algorithm>

namespace Soak {

using asio::ip::tcp;
using nlohmann::json;

/// A caller sends a job again this long after a broken connection, 502 or 504.
static constexpr Milliseconds RETRANSMIT_MS{1300};
static constexpr int MAX_ATTEMPTS = 4;
/// A request has its answer this long after its deadline, apart from pauses of the daemon.
static constexpr Milliseconds ANSWER_MARGIN_MS{4000};
/// The end of a process is known this long after its connections broke.
static constexpr Milliseconds END_NOTICE_MS{1000};

struct Callers::Connection
{
    explicit Connection(asio::io_context &io)
        : socket(io)
    {}

    void close()
    {
        isClosed = true;
        asio::error_code ec;
        socket.close(ec);
    }

    tcp::socket socket;
    std::array<char, 4096> buffer{};
    std::string received;
    std::string sent;
    std::size_t daemon = 0;
    std::uint64_t generation = 0; // of the daemon's process
    std::uint64_t requestNumber = 0;
    bool isConnected = false;
    bool isClosed = false;
    /// Set while a request waits for its answer; status 0 stands for a broken connection.
    std::function<void(int status, const std::string &state)> done;
};

Callers::Callers(asio::io_context &io, Base::Timers &timers, Daemons &daemons, Ledger &ledger,
                 Journal &journal, std::uint64_t seed)
    : m_io(io)
    , m_timers(timers)
    , m_daemons(daemons)
    , m_ledger(ledger)
    , m_journal(journal)
    , m_random(seed)
{}

Callers::~Callers()
{
    for (const Caller &it : m_callers) {
        if (it.connection)
            it.connection->close();
    }
}

void Callers::start(std::size_t callers, Milliseconds meanPause)
{
    m_meanPause = meanPause;
    m_callers.resize(callers);
    for (std::size_t i = 0; i < callers; ++i)
        scheduleNext(i);
}

/// A part of the jobs requires a kind of executor. Not drawn, so that a seed keeps its load.
void Callers::requireKind(JobPlan &plan) const
{
    static constexpr std::uint64_t PERIOD = 3;
    if (m_jobCount % PERIOD != 0 || plan.trouble != Trouble::None)
        return;
    for (StepPlan &it : plan.steps)
        it.requiredKind = EXECUTOR_KINDS[m_jobCount / PERIOD % std::size(EXECUTOR_KINDS)];
}

JobPlan Callers::makeShortJob()
{
    static constexpr std::uint32_t CPU_MILLIS = 1700;
    JobPlan plan;
    plan.id = fmt::format("{:08x}{:08x}", random(1ULL << 32), ++m_jobCount);
    plan.queue = "batch";
    plan.service = "plain";
    const std::uint64_t kind = random(100);
    if (kind < 71)
        plan.steps.push_back({2, CPU_MILLIS, 64, 200, {}});
    else if (kind < 96)
        plan.steps.push_back({8, CPU_MILLIS, 64, 60, {}});
    else
        plan.steps.push_back({4, CPU_MILLIS, 64, 900, {}});
    return plan;
}

JobPlan Callers::makeJob()
{
    if (m_hasShortJobs)
        return makeShortJob();
    JobPlan plan;
    plan.id = fmt::format("{:08x}{:08x}", random(1ULL << 32), ++m_jobCount);
    plan.queue = "batch";
    plan.service = "plain";
    const std::uint64_t kind = random(100);
    if (kind < 12) { // long tasks, which outlast faults
        plan.steps.push_back(
            {1 + std::uint32_t(random(2)), 400, 64, 1500 + std::uint32_t(random(2000)), {}});
        return plan;
    }
    if (kind < 25) { // two steps
        plan.steps.push_back({1 + std::uint32_t(random(3)), 500, 128, 40, {}});
        plan.steps.push_back({1 + std::uint32_t(random(4)), 700, 128, 80, {0}});
    } else {
        plan.steps.push_back({1 + std::uint32_t(random(6)),
                              300 + std::uint32_t(random(1500)),
                              256,
                              20 + std::uint32_t(random(200)),
                              {}});
    }
    if (kind < 45) {
        plan.queue = "guarded";
        plan.service = "guarded";
    } else if (kind < 55 && m_hasExtraQueue) {
        plan.queue = EXTRA_QUEUE;
    }
    const std::uint64_t trouble = random(1000);
    if (trouble < 4)
        plan.trouble = Trouble::Crashes;
    else if (trouble < 15)
        plan.trouble = Trouble::FailsAlways;
    else if (trouble < 50)
        plan.trouble = Trouble::FailsOnce;
    return plan;
}

void Callers::scheduleNext(std::size_t caller)
{
    if (m_isStopped)
        return;
    const Milliseconds pause(1 + random(2 * std::uint64_t(m_meanPause.count())));
    m_timers.schedule(pause, [this, caller] {
        if (m_isStopped)
            return;
        JobPlan plan = makeJob();
        requireKind(plan);
        m_ledger.add(plan);
        ++m_open;
        send(caller, plan, MAX_ATTEMPTS);
    });
}

/// New connections mostly go to daemons that serve, as the platform's load balancer does it.
std::size_t Callers::chooseDaemon()
{
    std::size_t daemon = random(m_daemons.count());
    for (int i = 0; i < 4 && !m_daemons.isServing(daemon); ++i)
        daemon = random(m_daemons.count());
    return daemon;
}

void Callers::send(std::size_t index, const JobPlan &plan, int attemptsLeft)
{
    Caller &caller = m_callers[index];
    if (!caller.connection || caller.connection->isClosed || caller.requestsLeft == 0) {
        if (caller.connection)
            caller.connection->close();
        caller.connection = open(chooseDaemon());
        caller.requestsLeft = 1 + random(60);
    }
    --caller.requestsLeft;
    const ConnectionPtr connection = caller.connection;
    request(connection, plan, [=, this](int status, const std::string &) {
        attemptEnded(index, plan, attemptsLeft, status);
    });
    if (random(40) != 0)
        return;
    // The caller closes the connection before the answer.
    m_timers.schedule(Milliseconds(random(300)),
                      [this, connection, number = connection->requestNumber] {
                          if (connection->done && connection->requestNumber == number)
                              broken(connection);
                      });
}

void Callers::attemptEnded(std::size_t caller, const JobPlan &plan, int attemptsLeft, int status)
{
    const bool isRepeated = status == 0 || status == 502 || status == 504;
    if (!isRepeated || attemptsLeft <= 1) {
        --m_open;
        scheduleNext(caller);
        return;
    }
    m_timers.schedule(RETRANSMIT_MS,
                      [this, caller, plan, attemptsLeft] { send(caller, plan, attemptsLeft - 1); });
}

Callers::ConnectionPtr Callers::open(std::size_t daemon)
{
    auto connection = std::make_shared<Connection>(m_io);
    connection->daemon = daemon;
    connection->generation = m_daemons.generation(daemon);
    const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), m_daemons.callerPort(daemon));
    connection->socket.async_connect(endpoint, [this, connection](const asio::error_code &ec) {
        if (connection->isClosed)
            return;
        if (ec) {
            broken(connection);
            return;
        }
        connection->isConnected = true;
        asio::async_write(connection->socket, asio::buffer(connection->sent),
                          [](const asio::error_code &, std::size_t) {});
        read(connection);
    });
    return connection;
}

static std::string encodeRequest(const JobPlan &plan)
{
    json phases = json::array();
    for (const StepPlan &it : plan.steps) {
        phases.push_back({{"count", it.count},
                          {"cpu", it.cpuMillis},
                          {"memMb", it.memoryMb},
                          {"estimateMs", it.runMs}});
        if (!it.after.empty())
            phases.back()["after"] = it.after;
        if (!it.requiredKind.empty())
            phases.back()["requirements"] = it.requiredKind;
    }
    const std::string body =
        json({{"spec", plan.spec()}, {"phases", phases}, {"bestEffort", true}}).dump();
    return fmt::format("POST /{}/{} HTTP/1.1\r\nHost: soak.example\r\n"
                       "Content-Type: application/json\r\nEndivepath-Deadline-Ms: {}\r\n"
                       "Content-Length: {}\r\n\r\n{}",
                       plan.queue, plan.id, CALLER_DEADLINE_MS.count(), body.size(), body);
}

void Callers::request(const ConnectionPtr &connection, const JobPlan &plan,
                      std::function<void(int, const std::string &)> done)
{
    m_ledger.attempted(plan.id);
    m_journal.note(fmt::format("send {} to {}, queue {}", plan.id,
                               m_daemons.nameOf(connection->daemon), plan.queue));
    const std::uint64_t number = ++connection->requestNumber;
    connection->done = [this, it = connection.get(), id = plan.id, done](int status,
                                                                         const std::string &state) {
        if (it->isConnected)
            m_ledger.answered(id, status, state);
        else
            m_ledger.notSent(id);
        done(status, state);
    };
    connection->sent = encodeRequest(plan);
    if (connection->isConnected) {
        asio::async_write(connection->socket, asio::buffer(connection->sent),
                          [](const asio::error_code &, std::size_t) {});
    }
    const std::size_t daemon = connection->daemon;
    // Checked again until then, since the daemon may be paused meanwhile.
    const auto check = std::make_shared<std::function<void()>>();
    const Base::TimePoint begin = m_timers.now();
    const Base::Duration pausedBefore = m_daemons.pausedTime(daemon);
    *check = [=, this, weak = std::weak_ptr(check)] {
        if (!connection->done || connection->requestNumber != number)
            return;
        const Base::Duration limit =
            CALLER_DEADLINE_MS + ANSWER_MARGIN_MS + m_daemons.pausedTime(daemon) - pausedBefore;
        if (m_timers.now() - begin >= limit) {
            m_journal.find(
                fmt::format("{} did not answer job {}", m_daemons.nameOf(daemon), plan.id));
            broken(connection);
            return;
        }
        m_timers.schedule(Milliseconds(500), [self = weak.lock()] { (*self)(); });
    };
    m_timers.schedule(CALLER_DEADLINE_MS, [check] { (*check)(); });
}

void Callers::read(const ConnectionPtr &connection)
{
    connection->socket.async_read_some(
        asio::buffer(connection->buffer),
        [this, connection](const asio::error_code &ec, std::size_t n) {
            if (connection->isClosed)
                return;
            connection->received.append(connection->buffer.data(), n);
            if (ec) {
                checkBroken(connection, connection->received.empty() ? "without an answer"
                                                                     : "within an answer");
                broken(connection);
                return;
            }
            received(connection);
            if (!connection->isClosed)
                read(connection);
        });
}

/// The value of a header field of a response, in lower case, or an empty string.
static std::string headerField(std::string head, const std::string &name)
{
    std::transform(head.begin(), head.end(), head.begin(),
                   [](unsigned char c) { return char(std::tolower(c)); });
    const std::size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    const std::size_t begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

void Callers::received(const ConnectionPtr &connection)
{
    std::string &text = connection->received;
    if (!connection->done) {
        m_journal.find(fmt::format("{} sent an answer without a request: {}",
                                   m_daemons.nameOf(connection->daemon), text));
        connection->close();
        return;
    }
    const std::size_t headEnd = text.find("\r\n\r\n");
    if (headEnd == std::string::npos)
        return;
    const std::string head = text.substr(0, headEnd + 2);
    const std::string length = headerField(head, "content-length");
    const std::size_t end = headEnd + 4 + (length.empty() ? 0 : std::stoul(length));
    if (text.size() < end)
        return;
    const json body = json::parse(text.substr(headEnd + 4, end - headEnd - 4), nullptr, false);
    const int status = head.starts_with("HTTP/1.1 ") ? std::atoi(head.c_str() + 9) : 0;
    if (status == 0 || !body.is_object() || text.size() > end)
        m_journal.find("malformed response: " + text);
    text.clear();
    if (headerField(head, "connection") == "close")
        connection->close();
    const auto done = std::exchange(connection->done, nullptr);
    done(status, body.is_object() ? body.value("state", "") : "");
}

void Callers::broken(const ConnectionPtr &connection)
{
    connection->close();
    if (const auto done = std::exchange(connection->done, nullptr))
        done(0, "");
}

/// A daemon may break the connection of a request only with the end of its process.
void Callers::checkBroken(const ConnectionPtr &connection, const std::string &what)
{
    if (!connection->done)
        return;
    m_timers.schedule(END_NOTICE_MS, [=, this] {
        const std::size_t daemon = connection->daemon;
        if (m_daemons.isRunning(daemon) && m_daemons.generation(daemon) == connection->generation) {
            m_journal.find(fmt::format("{} broke a connection {} and goes on",
                                       m_daemons.nameOf(daemon), what));
        }
    });
}

void Callers::probe(std::size_t daemon, std::function<void(bool)> done)
{
    JobPlan plan;
    plan.id = fmt::format("{:08x}{:08x}", random(1ULL << 32), ++m_jobCount);
    plan.queue = "batch";
    plan.service = "plain";
    plan.steps.push_back({2, 500, 128, 40, {}});
    m_ledger.add(plan);
    const ConnectionPtr connection = open(daemon);
    request(connection, plan, [connection, done](int, const std::string &state) {
        connection->close();
        done(state == "completed");
    });
}

} // namespace Soak
