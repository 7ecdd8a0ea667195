// A daemon's dispatcher that sends orders over HTTP to executors that restart.
#include "../../support/faultrelay.h"
#include "../../support/freeport.h"

#include <base/asiotimers.h>
#include <dispatch/dispatchnode.h>
#include <http/client.h>
#include <http/server.h>
#include <platform/executorclient.h>

#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <map>
#include <optional>

using namespace Dispatch;
using nlohmann::json;
using Milliseconds = std::chrono::milliseconds;

namespace {

constexpr Milliseconds LIMIT_MS{20'000};
constexpr Milliseconds RUN_TIME_MS{5};

/// Executor whose lifetimes share a port. Carries out each order, whatever its token and lease.
class RestartingExecutor
{
public:
    RestartingExecutor(asio::io_context &io, Base::Timers &timers)
        : m_timers(timers)
        , m_port(TestSupport::freePort())
        , m_relay(io, TestSupport::freePort(), m_port)
    {
        Http::ServerOptions options;
        options.address = "127.0.0.1";
        options.port = m_port;
        m_server = std::make_unique<Http::Server>(
            io, options, [this](const Http::Request &request, const Http::Respond &respond) {
                handle(request, respond);
            });
        BOOST_TEST_REQUIRE(m_server->open().ok());
    }

    std::string address() const { return fmt::format("127.0.0.1:{}", m_relay.port()); }

    /// Ends the present lifetime, with its connections.
    void begin(Lifetime lifetime)
    {
        m_relay.reset();
        m_lifetime = lifetime;
        m_running.clear();
        m_ended = json::array();
    }

    std::map<Lifetime, int> starts;
    std::map<Lifetime, int> holds;

private:
    std::int64_t clock() const { return Base::toMilliseconds(m_timers.now().time_since_epoch()); }

    static void reply(const Http::Respond &respond, const json &body)
    {
        Http::Response response;
        response.body = body.dump();
        respond(response);
    }

    void handle(const Http::Request &request, const Http::Respond &respond)
    {
        const json body = json::parse(request.body);
        if (request.rawPath == "/hold") {
            ++holds[m_lifetime];
            list(body.at("seenUpto"), m_timers.now() + Milliseconds(body.value("waitMs", 0)),
                 respond);
            return;
        }
        if (request.rawPath == "/run-start") {
            ++starts[m_lifetime];
            const std::string task = body.at("task");
            m_running[task] = body.at("run");
            m_timers.schedule(RUN_TIME_MS, [this, task, lifetime = m_lifetime] {
                if (m_lifetime == lifetime)
                    endRun(task, "done");
            });
        } else {
            endRun(body.at("task"), "stopped");
        }
        reply(respond, {{"clockMs", clock()}});
    }

    void endRun(const std::string &task, const char *how)
    {
        const auto run = m_running.extract(task);
        if (run)
            m_ended.push_back({m_ended.size() + 1, task, run.mapped(), how, ""});
    }

    void list(std::size_t seenUpTo, Base::TimePoint until, const Http::Respond &respond)
    {
        if (m_ended.size() <= seenUpTo && m_timers.now() < until) {
            m_timers.schedule(Milliseconds(1),
                              [this, seenUpTo, until, respond] { list(seenUpTo, until, respond); });
            return;
        }
        json body{{"clockMs", clock()},
                  {"born", m_lifetime.value()},
                  {"running", json::array()},
                  {"ended", json::array()}};
        for (const auto &[task, run] : m_running)
            body["running"].push_back({task, run, "", 0});
        for (std::size_t i = seenUpTo; i < m_ended.size(); ++i)
            body["ended"].push_back(m_ended[i]);
        reply(respond, body);
    }

    Base::Timers &m_timers;
    const std::uint16_t m_port;
    TestSupport::FaultRelay m_relay;
    Lifetime m_lifetime;
    std::unique_ptr<Http::Server> m_server;
    std::map<std::string, std::uint64_t> m_running; // run numbers by task
    json m_ended = json::array();
};

class NoPeers : public Wire::PeerPort
{
public:
    bool send(const Base::DaemonId &, const Wire::Message &) override { return false; }
    bool isConnected(const Base::DaemonId &) const override { return false; }
};

struct Fixture
{
    Fixture()
        : timers(io)
        , http(io, 12)
        , client(http)
        , node(Base::DaemonId("d"), Base::FailureDomainId("center"), timers, client, peers)
        , restarting(io, timers)
        , other(io, timers)
    {
        restarting.begin(FIRST);
        other.begin(FIRST);
        node.setExecutors({info("x1", restarting, FIRST), info("x2", other, FIRST)});
        node.setDaemonNumber(1);
        node.start();
        BOOST_TEST_REQUIRE(
            runUntil([this] { return restarting.holds[FIRST] > 0 && other.holds[FIRST] > 0; }));
        runFor(Milliseconds(300)); // until the load of the group is known
        // One job with a task for each executor, so that both have open connections.
        BOOST_TEST_REQUIRE((submit("warm-up") == JobOutcome::Completed));
        BOOST_TEST_REQUIRE(restarting.starts[FIRST] > 0);
        runFor(Milliseconds(500)); // until nothing is under way at the executors
    }
    ~Fixture() { node.stop(); }
    Fixture(const Fixture &) = delete;
    Fixture &operator=(const Fixture &) = delete;

    static ExecutorInfo info(const char *id, const RestartingExecutor &executor, Lifetime lifetime)
    {
        ExecutorInfo info;
        info.id = ExecutorId(id);
        info.address = executor.address();
        info.domain = Base::FailureDomainId("center");
        info.service = ServiceId("service");
        info.capacity = {16000, 65536, 0};
        info.kind = "a";
        info.lifetime = lifetime;
        return info;
    }

    void runFor(Milliseconds time) { io.run_for(time); }

    bool runUntil(const std::function<bool()> &condition)
    {
        const Base::TimePoint end = timers.now() + LIMIT_MS;
        while (!condition() && timers.now() < end)
            io.run_for(Milliseconds(5));
        return condition();
    }

    /// Submits a job of two tasks that require the label "a" and an executor each.
    std::optional<JobOutcome> submit(const char *id)
    {
        JobRequest request;
        request.spec.id = JobId(id);
        StepSpec step;
        step.count = 2;
        step.shape = {16000, 64, 0};
        step.estimate = RUN_TIME_MS;
        step.requiredLabel = "a";
        request.spec.steps = {step};
        request.policy.service = ServiceId("service");
        request.policy.maxAttempts = 3;
        request.policy.targetCompletion = std::chrono::seconds(10);
        request.policy.timeout = std::chrono::seconds(10);
        request.timeLeft = std::chrono::seconds(10);
        std::optional<JobOutcome> outcome;
        node.jobs().submit(request,
                           [&outcome](const JobResult &result) { outcome = result.outcome; });
        runUntil([&outcome] { return outcome.has_value(); });
        return outcome;
    }

    static constexpr Lifetime FIRST{1000};
    static constexpr Lifetime SECOND{2000};

    asio::io_context io;
    Base::AsioTimers timers;
    NoPeers peers;
    Http::Client http;
    Platform::ExecutorClient client;
    DispatchNode node;
    RestartingExecutor restarting;
    RestartingExecutor other;
};

} // namespace

BOOST_AUTO_TEST_SUITE(executorClient)

// Tasks were started on idle executors that had restarted without the label that they require,
// until the owner of the group learned of the restart.
BOOST_FIXTURE_TEST_CASE(idleExecutorThatRestartedGetsNoTaskOfItsEarlierLifetime, Fixture)
{
    restarting.begin(SECOND);
    runFor(Milliseconds(50));
    BOOST_TEST((submit("job") == JobOutcome::Completed));
    BOOST_TEST(restarting.starts[SECOND] == 0);
    BOOST_TEST(restarting.holds[SECOND] > 0);
    // Its registration says that it is of the same kind.
    node.setExecutors({info("x1", restarting, SECOND), info("x2", other, FIRST)});
    runFor(Milliseconds(200));
    BOOST_TEST((submit("later") == JobOutcome::Completed));
    BOOST_TEST(restarting.starts[SECOND] > 0);
}

BOOST_AUTO_TEST_SUITE_END()
