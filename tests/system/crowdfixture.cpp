// Settings, processes, measurement, and the connections of the crowds.
#include "crowdfixture.h"

#include "../support/processusage.h"

#include <support/oddrows.h>

#include <boost/test/results_collector.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <utility>

namespace SystemTest {

using namespace TestSupport;

/// A crowd of which nothing is read for this long has sent all that it can.
static constexpr Milliseconds STALL_MS{2'000};
static constexpr Milliseconds CROWD_LIMIT_MS{60'000};
static constexpr std::ptrdiff_t MAX_SENDING = 8;
static constexpr Milliseconds MEASURING_INTERVAL_MS{20};
static constexpr std::uint64_t CROWD_JOBS = 0x5c0e7a2100000000ULL;

static std::string fillIn(std::string text, const std::map<std::string, std::string> &values)
{
    for (const auto &[name, value] : values) {
        for (std::size_t at = text.find(name); at != std::string::npos; at = text.find(name))
            text.replace(at, name.size(), value);
    }
    BOOST_TEST_REQUIRE(text.find("{{") == std::string::npos, text);
    return text;
}

CrowdedDaemon::CrowdedDaemon(std::string name, const std::string &folder, std::uint16_t store)
    : m_name(std::move(name))
    , m_folder(folder)
    , m_store(store)
{}

void CrowdedDaemon::start()
{
    for (std::uint16_t *it : {&m_callers, &m_readiness, &m_operators, &m_peers})
        *it = freePort();
    std::stringstream text;
    text << std::ifstream(EP_SETTINGS_TEMPLATE).rdbuf();
    const auto endpoint = [](std::uint16_t port) {
        return json("127.0.0.1:" + std::to_string(port)).dump();
    };
    const std::string settings =
        fillIn(text.str(), {{"{{nodeName|json}}", json(m_name).dump()},
                            {"{{zone|json}}", R"("center")"},
                            {"{{ip|json}}", R"("127.0.0.1")"},
                            {"{{internalPorts.0}}", std::to_string(m_peers)},
                            {"{{internalPorts.1}}", std::to_string(m_operators)},
                            {"{{listen.front|json}}", endpoint(m_callers)},
                            {"{{listen.ready|json}}", endpoint(m_readiness)},
                            {"{{platform.address|json}}", endpoint(m_store)},
                            {"{{orders|json}}", R"("invocation")"},
                            {"{{bounds.graceS}}", "6"},
                            {"{{#bounds.drainMs}}", ""},
                            {"{{bounds.drainMs}}", "2000"},
                            {"{{/bounds.drainMs}}", ""},
                            {"{{bounds.holdMaxMs}}", "1000"},
                            {"{{limits.cpuShare}}", "0.25"},
                            {"{{limits.cores}}", "1"},
                            {"{{limits.memoryMb}}", std::to_string(MEMORY_MB)},
                            {"{{limits.maxFds}}", std::to_string(MAX_FDS)}});
    const std::string file = m_folder + "/" + m_name;
    std::ofstream(file + ".json") << settings;
    // Another build of the daemon, for comparison.
    const char *program = std::getenv("EP_TEST_DAEMON");
    m_process = std::make_unique<ChildProcess>(
        std::vector<std::string>{program ? program : EP_DAEMON, "--platform", "--settings",
                                 file + ".json"},
        file + ".log");
    m_peakKb = 0;
}

void CrowdedDaemon::measure()
{
    if (m_process && m_process->isRunning())
        m_peakKb = std::max(m_peakKb, statusKb(m_process->pid(), "VmRSS")
                                          + unreadBytes(m_process->pid()) / 1024);
}

CrowdFixture::CrowdFixture(std::size_t count)
{
    std::string path = (std::filesystem::temp_directory_path() / "tst_crowd.XXXXXX").string();
    BOOST_TEST_REQUIRE(mkdtemp(path.data()) != nullptr);
    folder = path;
    changeDesiredState();
    renew();
    for (std::size_t i = 0; i < count; ++i) {
        daemons.push_back(
            std::make_unique<CrowdedDaemon>("edge-" + std::to_string(i + 1), folder, storePort));
        daemons.back()->start();
    }
    measure();
    for (std::size_t i = 0; i < count; ++i)
        BOOST_TEST_REQUIRE(waitUntil([&] { return completesJob(jobBody(), {}, i); }), "no start");
}

CrowdFixture::~CrowdFixture()
{
    const auto id = boost::unit_test::framework::current_test_case().p_id;
    std::error_code ec;
    if (boost::unit_test::results_collector.results(id).p_assertions_failed == 0U)
        std::filesystem::remove_all(folder, ec);
    else
        BOOST_TEST_MESSAGE("logs in " << folder);
}

void CrowdFixture::changeDesiredState()
{
    json routes = json::array();
    for (const auto &[queue, targetMs] : {std::pair("crowd", 1000), std::pair("slow", 60'000)}) {
        routes.push_back({{"name", queue},
                          {"host", HOST},
                          {"pathPrefix", std::string("/") + queue + "/"},
                          {"service", "crowd"},
                          {"stretch", 2},
                          {"maxAttempts", 3},
                          {"timeoutMs", 5000},
                          {"targetCompletionMs", targetMs}});
    }
    store.write(
        "op", "config",
        json{{"version", ++m_stateVersion}, {"routes", routes}, {"limits", json::object()}}.dump());
}

void CrowdFixture::renew()
{
    json row = goodExecutor();
    row["service"] = "crowd";
    row["zone"] = "center";
    row["address"] = "127.0.0.1:" + std::to_string(executor.port());
    row["sequence"] = ++m_sequence;
    store.write("servers", "executor-1", row.dump());
    timers.schedule(Milliseconds(300), [this] { renew(); });
}

void CrowdFixture::measure()
{
    for (const auto &it : daemons)
        it->measure();
    timers.schedule(MEASURING_INTERVAL_MS, [this] { measure(); });
}

void CrowdFixture::pass(Milliseconds time)
{
    io.restart();
    io.run_for(time);
}

bool CrowdFixture::waitUntil(const std::function<bool()> &condition, Milliseconds limit)
{
    const Base::TimePoint end = timers.now() + limit;
    while (!condition()) {
        if (timers.now() >= end)
            return false;
        pass(Milliseconds(20));
    }
    return true;
}

std::string CrowdFixture::jobBody()
{
    return R"({"spec":"text","bestEffort":true,"phases":[{"count":1,"cpu":500,"estimateMs":20}]})";
}

std::string CrowdFixture::jobHeader(std::size_t bodyBytes, const std::string &queue)
{
    std::ostringstream out;
    out << "POST /" << queue << '/' << std::hex << CROWD_JOBS + ++m_jobs << std::dec
        << " HTTP/1.1\r\nHost: " << HOST << "\r\nContent-Length: " << bodyBytes << "\r\n\r\n";
    return out.str();
}

Http::ClientResponse CrowdFixture::send(Http::ClientRequest request, Milliseconds timeout)
{
    request.timeout = timeout;
    request.headers.push_back(std::string("Host: ") + HOST);
    request.headers.emplace_back("Connection: close"); // so that each needs a new connection
    std::optional<Http::ClientResponse> response;
    client.send(request, [&](Http::ClientResponse it) { response = std::move(it); });
    io.restart();
    while (!response)
        io.run_one();
    return *response;
}

Http::ClientResponse CrowdFixture::sendJob(const std::string &body,
                                           std::vector<std::string> headers, std::size_t daemon,
                                           const std::string &queue, Milliseconds timeout)
{
    std::ostringstream id;
    id << std::hex << 0x5c0e7a2200000000ULL + ++m_jobs;
    Http::ClientRequest request;
    request.method = "POST";
    request.url = "http://127.0.0.1:" + std::to_string(daemons[daemon]->callers()) + '/' + queue
                  + '/' + id.str();
    request.body = body;
    request.headers = std::move(headers);
    return send(std::move(request), timeout);
}

bool CrowdFixture::completesJob(const std::string &body, std::vector<std::string> headers,
                                std::size_t daemon)
{
    return sendJob(body, std::move(headers), daemon).body.find("completed") != std::string::npos;
}

void CrowdFixture::addSender(std::uint16_t port, std::vector<SharedText> parts,
                             std::size_t repetitions)
{
    senders.push_back(std::make_unique<Sender>(io, port, std::move(parts), repetitions));
}

void CrowdFixture::crowd(const std::string &text, std::size_t count, std::size_t repetitions,
                         std::uint16_t port)
{
    const auto shared = std::make_shared<const std::string>(text);
    for (std::size_t i = 0; i < count; ++i)
        addSender(port == 0 ? daemons[0]->callers() : port, {shared}, repetitions);
    waitForCrowd();
}

void CrowdFixture::crowdOfJobs(const std::string &body, std::size_t count,
                               std::size_t perConnection)
{
    const auto shared = std::make_shared<const std::string>(body);
    for (std::size_t i = 0; i < count; ++i) {
        std::vector<SharedText> parts;
        for (std::size_t k = 0; k < perConnection; ++k) {
            parts.push_back(std::make_shared<const std::string>(jobHeader(body.size())));
            parts.push_back(shared);
        }
        addSender(daemons[0]->callers(), std::move(parts));
        paceCrowd();
    }
    waitForCrowd();
}

void CrowdFixture::paceCrowd()
{
    const Base::TimePoint end = timers.now() + STALL_MS;
    const auto isSending = [](const auto &it) { return !it->isDone(); };
    while (timers.now() < end
           && std::count_if(senders.begin(), senders.end(), isSending) > MAX_SENDING)
        pass(Milliseconds(1));
}

void CrowdFixture::waitForCrowd()
{
    std::size_t sent = 0;
    Base::TimePoint lastProgress = timers.now();
    waitUntil(
        [&] {
            std::size_t n = 0;
            bool isDone = true;
            for (const auto &it : senders) {
                n += it->sentBytes();
                isDone = isDone && it->isDone();
            }
            if (std::exchange(sent, n) != n)
                lastProgress = timers.now();
            return isDone || timers.now() - lastProgress > STALL_MS;
        },
        CROWD_LIMIT_MS);
}

void CrowdFixture::checkLimits(const char *form)
{
    for (const auto &it : daemons) {
        BOOST_TEST_REQUIRE(it->process().isRunning(), form << ": a process has ended");
        it->measure();
        const std::size_t highestKb = statusKb(it->process().pid(), "VmHWM");
        const std::size_t descriptors = descriptorCount(it->process().pid());
        BOOST_TEST_MESSAGE(form << ": VmHWM " << highestKb << " KiB, with unread bytes "
                                << it->peakKb() << " KiB, " << descriptors << " descriptors");
        BOOST_TEST(highestKb < MEMORY_MB * 1024, form << ": too much memory");
        BOOST_TEST(it->peakKb() < MEMORY_MB * 1024, form << ": too much memory with unread bytes");
        BOOST_TEST(descriptors < MAX_FDS, form << ": too many descriptors");
    }
}

void CrowdFixture::check(const char *form)
{
    for (std::size_t i = 0; i < daemons.size(); ++i) {
        BOOST_TEST(waitUntil([&] { return completesJob(jobBody(), {}, i); }, ordinaryJobLimit),
                   form << ": an ordinary job is not completed");
    }
    checkLimits(form);
}

void CrowdFixture::checkAnswered(const char *form)
{
    for (std::size_t i = 0; i < daemons.size(); ++i) {
        BOOST_TEST(
            waitUntil([&] { return sendJob(jobBody(), {}, i).httpStatus != 0; }, ordinaryJobLimit),
            form << ": an ordinary job is not answered");
    }
    checkLimits(form);
}

std::string crowdHeader(const std::string &fields)
{
    return std::string("POST /crowd/5c0e7a2100000001 HTTP/1.1\r\nHost: ") + HOST + "\r\n" + fields;
}

std::string chunk(const std::string &bytes)
{
    std::ostringstream out;
    out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return out.str();
}

} // namespace SystemTest
