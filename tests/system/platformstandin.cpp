// Requests of the store and of the executors.
#include "platformstandin.h"

#include <platform/textcodec.h>

#include <base/utf8.h>
#include <nlohmann/json.hpp>

#include <stdexcept>

namespace SystemTest {

using nlohmann::json;
using Milliseconds = std::chrono::milliseconds;

static constexpr std::size_t MAX_PAGE_ROWS = 500;
static constexpr std::size_t MAX_PAGE_BYTES = 1'000'000;
static constexpr Milliseconds RUN_TIME_MS{5};
static constexpr Milliseconds LISTING_CHECK_MS{5};
static constexpr std::uint64_t BORN = 1767266036033;
static constexpr const char *ENDLESS_SPEC = "endless";

static std::unique_ptr<Http::Server> openServer(asio::io_context &io, std::uint16_t port,
                                                Http::RequestHandler handler)
{
    Http::ServerOptions options;
    options.address = "127.0.0.1";
    options.port = port;
    auto server = std::make_unique<Http::Server>(io, options, std::move(handler));
    if (!server->open().ok())
        throw std::runtime_error("can't open port " + std::to_string(port));
    return server;
}

static void reply(const Http::Respond &respond, std::string body)
{
    Http::Response response;
    response.body = std::move(body);
    respond(std::move(response));
}

StoreStandIn::StoreStandIn(asio::io_context &io, Base::Timers &timers, std::uint16_t port)
    : m_timers(timers)
    , m_server(
          openServer(io, port, [this](const Http::Request &request, const Http::Respond &respond) {
              handle(request, respond);
          }))
{}

/// \a text as a JSON string whose bytes above ASCII are not checked.
static std::string quoted(const std::string &text)
{
    std::string result = "\"";
    for (const char c : text) {
        const bool isPlain = static_cast<unsigned char>(c) >= 0x80 || c == 0x7f;
        result += isPlain ? std::string(1, c) : [c] {
            const std::string dumped = json(std::string(1, c)).dump();
            return dumped.substr(1, dumped.size() - 2);
        }();
    }
    return result + '"';
}

void StoreStandIn::write(const std::string &table, const std::string &key, const std::string &value)
{
    writeRaw(table, key,
             R"({"table":")" + table + R"(","part":"","key":)" + quoted(key) + R"(,"value":")"
                 + Platform::encodeBase64(value) + R"(","ver":@VER})");
}

void StoreStandIn::writeRaw(const std::string &table, const std::string &key,
                            const std::string &text)
{
    Row row{text, ++m_version};
    const std::size_t at = row.text.rfind("@VER");
    if (at != std::string::npos)
        row.text.replace(at, 4, std::to_string(m_version));
    m_tables[table][key] = std::move(row);
    // After all writes of the same turn of the loop.
    m_timers.schedule(Milliseconds(1), [this] { answerFeeds(); });
}

bool StoreStandIn::hasRow(const std::string &table, const std::string &key) const
{
    const auto it = m_tables.find(table);
    return it != m_tables.end() && it->second.contains(key);
}

void StoreStandIn::handle(const Http::Request &request, const Http::Respond &respond)
{
    if (m_isAway)
        return;
    if (request.rawPath == "/rows-tx") {
        transact(request, respond);
        return;
    }
    ++m_reads;
    if (request.rawPath == "/rows-get")
        read(request, respond);
    else
        feed(request, respond);
}

std::string StoreStandIn::page(const std::string &rows, bool isTruncated) const
{
    return R"({"ver":)" + std::to_string(m_version) + R"(,"nowMs":1,"truncated":)"
           + (isTruncated ? "true" : "false") + R"(,"rows":[)" + rows + "]}";
}

void StoreStandIn::read(const Http::Request &request, const Http::Respond &respond) const
{
    std::string rows;
    std::size_t n = 0;
    const auto table = m_tables.find(request.parameter("table"));
    if (table == m_tables.end()) {
        reply(respond, page(rows, false));
        return;
    }
    for (auto it = table->second.lower_bound(request.parameter("from")); it != table->second.end();
         ++it) {
        if (n >= MAX_PAGE_ROWS || rows.size() >= MAX_PAGE_BYTES) {
            reply(respond, page(rows, true));
            return;
        }
        rows += (n++ > 0 ? "," : "") + it->second.text;
    }
    reply(respond, page(rows, false));
}

std::string StoreStandIn::changes(const std::string &table, std::uint64_t after) const
{
    std::map<std::uint64_t, const std::string *> changed;
    const auto it = m_tables.find(table);
    if (it != m_tables.end()) {
        for (const auto &[key, row] : it->second) {
            if (row.version > after)
                changed.emplace(row.version, &row.text);
        }
    }
    std::string rows;
    for (const auto &[version, text] : changed)
        rows += (rows.empty() ? "" : ",") + *text;
    return rows;
}

void StoreStandIn::feed(const Http::Request &request, const Http::Respond &respond)
{
    const auto pending = std::make_shared<Feed>(
        Feed{request.parameter("table"), std::stoull(request.parameter("after")), respond});
    m_feeds.push_back(pending);
    m_timers.schedule(Milliseconds(std::stoul(request.parameter("waitMs"))),
                      [this, weak = std::weak_ptr(pending)] {
                          const auto it = weak.lock();
                          if (!it)
                              return;
                          m_feeds.remove(it);
                          reply(it->respond, page({}, false));
                      });
    answerFeeds();
}

void StoreStandIn::answerFeeds()
{
    if (m_isAway)
        return;
    for (auto it = m_feeds.begin(); it != m_feeds.end();) {
        const std::string rows = changes((*it)->table, (*it)->after);
        if (rows.empty()) {
            ++it;
            continue;
        }
        reply((*it)->respond, page(rows, false));
        it = m_feeds.erase(it);
    }
}

void StoreStandIn::transact(const Http::Request &request, const Http::Respond &respond)
{
    const json body = json::parse(request.body);
    for (const json &it : body.at("writes"))
        write(it.at("table"), it.at("key"), Platform::decodeBase64(it.at("value")));
    reply(respond, R"({"ver":)" + std::to_string(m_version) + R"(,"nowMs":1})");
}

ExecutorStandIn::ExecutorStandIn(asio::io_context &io, Base::Timers &timers, std::uint16_t port)
    : m_timers(timers)
    , m_port(port)
    , m_server(
          openServer(io, port, [this](const Http::Request &request, const Http::Respond &respond) {
              handle(request, respond);
          }))
{}

std::string ExecutorStandIn::listing(std::uint64_t seenUpTo) const
{
    json body{{"clockMs", Base::toMilliseconds(m_timers.now().time_since_epoch())},
              {"born", BORN},
              {"running", json::array()},
              {"ended", json::array()}};
    for (const auto &[task, run] : m_running)
        body["running"].push_back({task, run, "", 0});
    for (std::size_t i = seenUpTo; i < m_ended.size(); ++i)
        body["ended"].push_back({i + 1, m_ended[i].task, m_ended[i].run, m_ended[i].how, ""});
    return body.dump();
}

void ExecutorStandIn::end(const std::string &task, const char *how)
{
    const auto it = m_running.find(task);
    if (it == m_running.end())
        return;
    m_ended.push_back({task, it->second, how});
    m_running.erase(it);
}

void ExecutorStandIn::hold(std::uint64_t seenUpTo, Base::TimePoint until,
                           const Http::Respond &respond)
{
    if (m_ended.size() > seenUpTo || m_timers.now() >= until) {
        reply(respond, listing(seenUpTo));
        return;
    }
    m_timers.schedule(LISTING_CHECK_MS,
                      [this, seenUpTo, until, respond] { hold(seenUpTo, until, respond); });
}

void ExecutorStandIn::handle(const Http::Request &request, const Http::Respond &respond)
{
    const json body = json::parse(request.body);
    if (request.rawPath == "/hold") {
        hold(body.at("seenUpto"), m_timers.now() + Milliseconds(body.value("waitMs", 0)), respond);
        return;
    }
    if (request.rawPath == "/run-start") {
        ++m_starts;
        const std::string task = body.at("task");
        m_running[task] = body.at("run");
        if (body.value("spec", "") != ENDLESS_SPEC)
            m_timers.schedule(RUN_TIME_MS, [this, task] { end(task, "done"); });
    }
    if (request.rawPath == "/run-stop")
        end(body.at("task"), "stopped");
    reply(respond,
          json({{"clockMs", Base::toMilliseconds(m_timers.now().time_since_epoch())}}).dump());
}

} // namespace SystemTest
