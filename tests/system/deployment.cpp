// Settings, processes and calls of the deployment.
#include "deployment.h"

#include "../support/freeport.h"

#include <manifest/manifestreader.h>

#include <boost/test/results_collector.hpp>
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace SystemTest {

using TestSupport::freePort;

static constexpr const char *TEAM = "team";
static constexpr const char *TOKEN = "system-test-operator-token-0123456789";
static constexpr std::size_t SHARDS = 4;
static constexpr long CONNECTIONS_PER_HOST = 200;
static constexpr Milliseconds START_LIMIT_MS{20'000};

static std::string loopback(std::uint16_t port)
{
    return "http://127.0.0.1:" + std::to_string(port);
}

std::string Deployment::writeFile(const std::string &name, const std::string &text) const
{
    const std::string path = m_folder + "/" + name;
    std::ofstream(path) << text;
    return path;
}

json Deployment::makeManifest()
{
    json manifest{
        {"revision", 1},
        {"domains", {"north", "south"}},
        {"shardsPerDomain", SHARDS},
        {"teams",
         {{{"id", TEAM}, {"weight", 1}, {"maxConcurrentJobs", 200}, {"maxQueuedTasks", 50000}}}},
        {"objective", {{"wastedMessageCostMs", 40}}}};
    const auto addKind = [&](const char *id, bool job, bool repeatable, int deadlineMs) {
        manifest["kinds"].push_back({{"id", id},
                                     {"job", job},
                                     {"repeatable", repeatable},
                                     {"deadlineMs", deadlineMs},
                                     {"declaredRunTimeMs", 20},
                                     {"resources", {{"processors", 1}, {"memoryMb", 64}}},
                                     {"upstreamGroups", {"general"}},
                                     {"duplicateStragglers", false}});
    };
    addKind("probe", false, true, 5000);
    addKind("audit", true, false, 10'000);
    addKind("alarm", false, false, 10'000);
    for (std::size_t i = 0; i < UPSTREAM_COUNT; ++i) {
        m_upstreamUrls.push_back(loopback(freePort()));
        const std::string name = "worker-" + std::to_string(i);
        manifest["upstreams"].push_back({{"id", "executor-" + std::to_string(i)},
                                         {"group", "general"},
                                         {"domain", i < NORTH_UPSTREAMS ? "north" : "south"},
                                         {"url", m_upstreamUrls.back()},
                                         {"host", name},
                                         {"rack", "rack"},
                                         {"slots", 6},
                                         {"connections", 60},
                                         {"resources", {{"processors", 16}, {"memoryMb", 4096}}}});
    }
    return manifest;
}

std::string Deployment::makeSettings(std::size_t daemon) const
{
    const Daemon &self = m_daemons[daemon];
    const auto endpoint = [](std::uint16_t port) {
        return json{{"address", "127.0.0.1"}, {"port", port}};
    };
    json peers = json::array();
    for (const Daemon &it : m_daemons) {
        if (it.id != self.id) {
            peers.push_back(
                {{"daemon", it.id},
                 {"domain", it.domain},
                 {"endpoint", endpoint(it.domain == self.domain ? it.peers : it.relay)}});
        }
    }
    const bool isNorth = self.domain == "north";
    return json({{"daemon", self.id},
                 {"domain", self.domain},
                 {"callers", endpoint(self.callers)},
                 {"operators", endpoint(self.operators)},
                 {"operatorToken", TOKEN},
                 {"peerEndpoint", endpoint(self.peers)},
                 {"peerKey", "system-test-peer-key-0123456789abcdef"},
                 {"peers", peers},
                 {"platformUrl", loopback(isNorth ? m_platformPort : m_platformRelayPort)},
                 {"platformTimeoutMs", 1000},
                 {"drain", {{"noticeMs", 500}, {"graceMs", 15'000}}},
                 {"logLevel", "info"}})
        .dump();
}

Deployment::Deployment()
    : m_io(1)
    , m_timers(m_io)
    , m_client(m_io, CONNECTIONS_PER_HOST)
{
    std::string folder = (std::filesystem::temp_directory_path() / "tst_system.XXXXXX").string();
    if (!mkdtemp(folder.data()))
        throw std::runtime_error("can't create a temporary folder");
    m_folder = folder;
    const json manifest = makeManifest();
    m_manifestText = manifest.dump();
    Settings::FaultList faults;
    m_manifest = Manifest::parseManifest(m_manifestText, faults);
    if (!m_manifest)
        throw std::runtime_error("the test's manifest: " + std::string(faults.status().message()));
    m_platformPort = freePort();
    m_platformRelayPort = freePort();
    const std::string bin = EP_BIN_DIR;
    m_platform = std::make_unique<TestSupport::ChildProcess>(
        std::vector<std::string>{bin + "/platformstandin", "--port",
                                 std::to_string(m_platformPort)},
        m_folder + "/platform.log");
    for (std::size_t i = 0; i < UPSTREAM_COUNT; ++i) {
        json single = manifest;
        single["upstreams"] = json::array({manifest["upstreams"][i]});
        const std::string name = "worker-" + std::to_string(i);
        m_workers.push_back(std::make_unique<TestSupport::ChildProcess>(
            std::vector<std::string>{bin + "/workerstandin", "--manifest",
                                     writeFile(name + ".json", single.dump())},
            m_folder + "/" + name + ".log"));
    }
    m_relays.push_back(
        std::make_unique<TestSupport::TcpRelay>(m_io, m_platformRelayPort, m_platformPort));
    for (std::size_t i = 0; i < DAEMON_COUNT; ++i) {
        const bool isNorth = i < NORTH_DAEMONS;
        m_daemons.push_back({(isNorth ? "north-" : "south-") + std::to_string(i),
                             isNorth ? "north" : "south", freePort(), freePort(), freePort(),
                             freePort(), nullptr});
        m_relays.push_back(std::make_unique<TestSupport::TcpRelay>(m_io, m_daemons.back().relay,
                                                                   m_daemons.back().peers));
    }
    for (std::size_t i = 0; i < DAEMON_COUNT; ++i) {
        writeFile(m_daemons[i].id + ".json", makeSettings(i));
        startDaemon(i);
    }
    const bool isStarted = waitUntil(
        [this] {
            int httpStatus = 0;
            operate(0, "POST", "/v1/manifest?parent=0", m_manifestText, &httpStatus);
            return httpStatus == 200;
        },
        START_LIMIT_MS);
    const bool isReplicated = waitUntil(
        [this] {
            return areShardsReplicated(0, NORTH_DAEMONS)
                   && areShardsReplicated(NORTH_DAEMONS, DAEMON_COUNT);
        },
        START_LIMIT_MS);
    if (!isStarted || !isReplicated)
        throw std::runtime_error("the deployment does not start; logs in " + m_folder);
}

Deployment::~Deployment()
{
    namespace Unit = boost::unit_test;
    const auto id = Unit::framework::current_test_case().p_id;
    std::error_code ec;
    // The logs of a failed case are kept.
    if (Unit::results_collector.results(id).p_assertions_failed == 0U
        && std::uncaught_exceptions() == 0)
        std::filesystem::remove_all(m_folder, ec);
}

void Deployment::startDaemon(std::size_t daemon)
{
    Daemon &it = m_daemons[daemon];
    it.process.reset();
    it.process = std::make_unique<TestSupport::ChildProcess>(
        std::vector<std::string>{std::string(EP_BIN_DIR) + "/endivepathd", "--settings",
                                 m_folder + "/" + it.id + ".json"},
        m_folder + "/" + it.id + ".log");
}

std::string Deployment::callers(std::size_t daemon) const
{
    return loopback(m_daemons[daemon].callers);
}

std::string Deployment::platformUrl() const
{
    return loopback(m_platformPort);
}

void Deployment::partitionSouth()
{
    for (const auto &it : m_relays)
        it->partition();
}

void Deployment::restoreSouth()
{
    for (const auto &it : m_relays)
        it->restore();
}

bool Deployment::waitUntil(const std::function<bool()> &condition, Milliseconds limit)
{
    const Base::TimePoint end = m_timers.now() + limit;
    while (!condition()) {
        if (m_timers.now() >= end)
            return false;
        pass(Milliseconds(20));
    }
    return true;
}

void Deployment::pass(Milliseconds time)
{
    m_io.restart();
    m_io.run_for(time);
}

Http::ClientResponse Deployment::call(const std::string &method, const std::string &url,
                                      const std::string &body, Milliseconds timeout)
{
    Http::ClientRequest request;
    request.method = method;
    request.url = url;
    request.body = body;
    request.timeout = timeout;
    request.authorization = std::string("Bearer ") + TOKEN;
    std::optional<Http::ClientResponse> response;
    m_client.send(request, [&](Http::ClientResponse it) { response = std::move(it); });
    m_io.restart();
    while (!response)
        m_io.run_one();
    return *response;
}

json Deployment::operate(std::size_t daemon, const std::string &method, const std::string &path,
                         const std::string &body, int *httpStatus)
{
    const auto response = call(method, loopback(m_daemons[daemon].operators) + path, body);
    if (httpStatus)
        *httpStatus = response.httpStatus;
    const json answer = json::parse(response.body, nullptr, false);
    return answer.is_object() ? answer : json();
}

void Deployment::submitManifest(std::size_t daemon, std::uint64_t parent, const std::string &body,
                                std::function<void(int)> done)
{
    Http::ClientRequest request;
    request.method = "POST";
    request.url =
        loopback(m_daemons[daemon].operators) + "/v1/manifest?parent=" + std::to_string(parent);
    request.body = body;
    request.authorization = std::string("Bearer ") + TOKEN;
    request.timeout = std::chrono::seconds(5);
    m_client.send(request, [done](const auto &response) { done(response.httpStatus); });
}

void Deployment::setFault(const std::string &url, const json &fault)
{
    BOOST_TEST_REQUIRE(call("POST", url + "/control", fault.dump()).httpStatus == 200);
}

bool Deployment::areShardsReplicated(std::size_t firstDaemon, std::size_t lastDaemon)
{
    std::size_t n = 0; // shards whose owner requires the promises of all others
    for (std::size_t i = firstDaemon; i < lastDaemon; ++i) {
        const json status = operate(i, "GET", "/v1/status");
        if (status.is_null())
            continue;
        for (const json &shard : status["shards"])
            n +=
                shard["leased"] && shard["replicas"].size() + 1 == lastDaemon - firstDaemon ? 1 : 0;
    }
    return n == SHARDS;
}

std::shared_ptr<Sent> Deployment::submit(std::size_t daemon, const std::string &kind,
                                         const std::string &key, std::size_t tasks, double runMs,
                                         const json &extra)
{
    auto sent = std::make_shared<Sent>();
    sent->record.key = key;
    sent->record.kind = kind;
    sent->record.tasks = tasks;
    sent->record.runMs = runMs;
    sent->record.isSingleStart = kind != "probe";
    m_sent.push_back(sent);
    json body = json::parse(LoadGen::makeBody(sent->record, TEAM));
    body.update(extra);
    Http::ClientRequest request;
    request.method = "POST";
    request.url = callers(daemon) + "/v1/requests";
    request.body = body.dump();
    request.timeout = std::chrono::seconds(15);
    m_client.send(request, [this, sent, start = now()](const Http::ClientResponse &response) {
        sent->record.answers.push_back(LoadGen::readAnswer(response, sent->record));
        sent->record.answers.back().time = now() - start;
        sent->isAnswered = true;
    });
    return sent;
}

bool Deployment::waitForAnswers(Milliseconds limit)
{
    return waitUntil(
        [this] {
            for (const auto &it : m_sent) {
                if (!it->isAnswered)
                    return false;
            }
            return true;
        },
        limit);
}

std::unique_ptr<LoadGen::Load> Deployment::startLoad(const std::string &mix, double rate,
                                                     Milliseconds duration)
{
    LoadGen::LoadOptions options;
    for (std::size_t i = 0; i < DAEMON_COUNT; ++i)
        options.callers.push_back(callers(i));
    options.mix = LoadGen::parseMix(mix);
    options.team = TEAM;
    options.keyPrefix = "load-" + std::to_string(++m_loads) + "-";
    options.rate = rate;
    options.duration = duration;
    options.resubmitFraction = 0.1;
    options.seed = m_loads;
    auto load = std::make_unique<LoadGen::Load>(m_timers, m_client, *m_manifest, options);
    load->start();
    return load;
}

void Deployment::finish(LoadGen::Load &load)
{
    BOOST_TEST_REQUIRE(waitUntil([&] { return load.isDone(); }, Milliseconds(40'000)));
    m_loadRecords.insert(m_loadRecords.end(), load.records().begin(), load.records().end());
}

Base::ShardId Deployment::shardOf(const std::string &key) const
{
    return Manifest::shardOf(*m_manifest, {Base::TeamId(TEAM), Base::RequestKey(key)});
}

std::size_t Deployment::ownerOf(const std::string &key)
{
    const auto owner = findOwner(key);
    if (!owner)
        throw std::runtime_error("no owner of the shard of " + key);
    return *owner;
}

std::optional<std::size_t> Deployment::findOwner(const std::string &key)
{
    const Base::ShardId shard = shardOf(key);
    for (std::size_t i = 0; i < DAEMON_COUNT; ++i) {
        if (m_daemons[i].domain != shard.domain.value())
            continue;
        const json status = operate(i, "GET", "/v1/status");
        if (!status.is_null() && status["shards"][shard.index.value()]["leased"])
            return i;
    }
    return {};
}

std::string Deployment::siblingOf(const std::string &key)
{
    for (;;) {
        const std::string sibling =
            shardOf(key).domain.value() + ":s" + std::to_string(m_siblings++);
        if (shardOf(sibling) == shardOf(key))
            return sibling;
    }
}

std::uint64_t Deployment::startsOn(std::size_t upstream)
{
    const json audit = json::parse(call("GET", upstreamUrl(upstream) + "/v1/audit").body);
    const json &messages = audit["messages"];
    return messages["start"].get<std::uint64_t>() - messages["refusedStart"].get<std::uint64_t>();
}

LoadGen::Audit Deployment::audit()
{
    pass(Milliseconds(200));
    std::optional<LoadGen::WorkerRecords> after;
    LoadGen::fetchWorkerRecords(m_client, *m_manifest, [&](auto it) { after = std::move(it); });
    BOOST_TEST_REQUIRE(waitUntil([&] { return after.has_value(); }, Milliseconds(15'000)));
    std::vector<LoadGen::RequestRecord> records = m_loadRecords;
    std::map<std::string, std::size_t> places; // of submitted keys, so that each counts once
    for (const auto &it : m_sent) {
        const auto [place, isNew] = places.try_emplace(it->record.key, records.size());
        if (isNew) {
            records.push_back(it->record);
            continue;
        }
        auto &answers = records[place->second].answers;
        answers.insert(answers.end(), it->record.answers.begin(), it->record.answers.end());
    }
    return LoadGen::makeAudit(records, TEAM, {}, *after);
}

std::string Deployment::describeLogs() const
{
    return m_folder;
}

} // namespace SystemTest
