// Calls of the store.
#include "store.h"

#include <platform/textcodec.h>

#include <algorithm>
#include <charconv>
#include <set>
#include <stdexcept>

namespace Soak {

using nlohmann::json;

static constexpr std::uint64_t MAX_ROWS_PER_RESPONSE = 500;
static constexpr std::uint64_t MAX_FEED_WAIT_MS = 30'000;
static constexpr std::size_t MAX_ENTRIES = 100;

static std::uint64_t numberParameter(const Http::Request &request, const char *name,
                                     std::uint64_t defaultValue = 0)
{
    const std::string text = request.parameter(name);
    std::uint64_t n = defaultValue;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

static Http::Response status(int code)
{
    Http::Response response;
    response.status = code;
    response.body = "{}";
    return response;
}

Store::Store(asio::io_context &io, Base::Timers &timers, View view)
    : m_io(io)
    , m_timers(timers)
    , m_view(std::move(view))
{}

void Store::listen(std::uint16_t port)
{
    const std::size_t daemon = m_impairments.size();
    m_impairments.emplace_back();
    Http::ServerOptions options;
    options.address = "127.0.0.1";
    options.port = port;
    m_servers.push_back(std::make_unique<Http::Server>(
        m_io, options, [this, daemon](const Http::Request &request, const Http::Respond &respond) {
            handle(daemon, request, respond);
        }));
    if (!m_servers.back()->open().ok())
        throw std::runtime_error("can't open the store's port");
}

void Store::handle(std::size_t daemon, const Http::Request &request, const Http::Respond &respond)
{
    const StoreImpairment &impairment = m_impairments[daemon];
    if (impairment.isSilent)
        return;
    if (impairment.refusal != 0) {
        respond(status(impairment.refusal));
        return;
    }
    const Http::Respond answer = impairment.losesAnswers ? [](const Http::Response &) {} : respond;
    if (impairment.delay.count() == 0) {
        serve(daemon, request, answer);
        return;
    }
    m_timers.schedule(impairment.delay,
                      [this, daemon, request, answer] { serve(daemon, request, answer); });
}

void Store::serve(std::size_t daemon, const Http::Request &request, const Http::Respond &respond)
{
    if (request.matches("POST", {"rows-tx"}))
        respond(transact(daemon, request.body));
    else if (request.matches("GET", {"rows-get"}))
        respond(read(daemon, request));
    else if (request.matches("GET", {"rows-parts"}))
        respond(listParts(request));
    else if (request.matches("GET", {"rows-feed"}))
        follow(daemon, request, respond);
    else
        respond(status(404));
}

json Store::describe(std::size_t daemon, const RowKey &key, const Row &row) const
{
    json object{{"table", key.table}, {"part", key.part}, {"key", key.key}, {"ver", row.version}};
    if (row.isRemoved)
        object["tombstone"] = true;
    else
        object["value"] = Platform::encodeBase64(m_view(daemon, key.table, key.key, row.value));
    return object;
}

Http::Response Store::respondRows(json rows, int code, bool isTruncated) const
{
    json body{{"rows", std::move(rows)},
              {"ver", m_version},
              {"nowMs", Base::toMilliseconds(m_timers.now().time_since_epoch())}};
    if (isTruncated)
        body["truncated"] = true;
    Http::Response response;
    response.status = code;
    response.body = body.dump();
    return response;
}

Http::Response Store::transact(std::size_t daemon, const std::string &text)
{
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object())
        return status(400);
    const auto entries = [&body](const char *name) { return body.value(name, json::array()); };
    const auto keyOf = [](const json &it) {
        return RowKey{it.at("table"), it.value("part", ""), it.at("key")};
    };
    json conflicts = json::array();
    std::set<std::string> parts;
    std::set<std::string> tables;
    std::size_t n = 0;
    try {
        for (const char *name : {"precondition", "writes", "remove"}) {
            for (const json &it : entries(name)) {
                const RowKey key = keyOf(it);
                parts.insert(key.part);
                ++n;
                if (name != std::string("precondition"))
                    tables.insert(key.table);
            }
        }
        if (parts.size() > 1 || n > MAX_ENTRIES)
            return status(400);
        if (tables.contains("op") || tables.contains("servers"))
            return status(403);
        bool isMet = true;
        for (const json &it : entries("precondition")) {
            const auto row = m_rows.find(keyOf(it));
            const bool exists = row != m_rows.end() && !row->second.isRemoved;
            isMet = isMet && (exists ? row->second.version : 0) == it.at("ver");
            if (exists)
                conflicts.push_back(describe(daemon, row->first, row->second));
        }
        if (!isMet)
            return respondRows(conflicts, 412, false);
        ++m_version;
        for (const json &it : entries("writes"))
            m_rows[keyOf(it)] = {Platform::decodeBase64(it.at("value")), m_version, false};
        for (const json &it : entries("remove")) {
            const auto row = m_rows.find(keyOf(it));
            if (row != m_rows.end())
                row->second = {"", m_version, true};
        }
    } catch (const json::exception &) {
        return status(400);
    }
    for (const std::string &it : tables)
        answerFeeds(it);
    return respondRows(json::array(), 200, false);
}

Http::Response Store::read(std::size_t daemon, const Http::Request &request) const
{
    const RowKey first{request.parameter("table"), request.parameter("part"),
                       request.parameter("from")};
    const std::string to = request.parameter("to");
    const std::uint64_t limit =
        std::min(numberParameter(request, "limit", MAX_ROWS_PER_RESPONSE), MAX_ROWS_PER_RESPONSE);
    json rows = json::array();
    for (auto it = m_rows.lower_bound(first); it != m_rows.end(); ++it) {
        const auto &[key, row] = *it;
        if (key.table != first.table || key.part != first.part || (!to.empty() && key.key >= to))
            break;
        if (row.isRemoved)
            continue;
        if (rows.size() == limit)
            return respondRows(std::move(rows), 200, true);
        rows.push_back(describe(daemon, key, row));
    }
    return respondRows(std::move(rows), 200, false);
}

Http::Response Store::listParts(const Http::Request &request) const
{
    std::set<std::string> parts;
    for (const auto &[key, row] : m_rows) {
        if (key.table == request.parameter("table") && !row.isRemoved
            && key.part > request.parameter("after")) {
            parts.insert(key.part);
        }
    }
    Http::Response response;
    response.body = json({{"parts", parts}, {"ver", m_version}}).dump();
    return response;
}

void Store::follow(std::size_t daemon, const Http::Request &request, const Http::Respond &respond)
{
    Feed feed{daemon, request.parameter("table"), numberParameter(request, "after"), respond};
    if (feed.after < m_historyStart) {
        respond(status(410));
        return;
    }
    if (answerFeed(feed, false))
        return;
    const std::uint64_t id = ++m_nextFeed;
    m_feeds.emplace(id, std::move(feed));
    const Milliseconds wait(std::min(numberParameter(request, "waitMs"), MAX_FEED_WAIT_MS));
    m_timers.schedule(wait, [this, id] {
        const auto node = m_feeds.extract(id);
        if (!node.empty())
            answerFeed(node.mapped(), true);
    });
}

bool Store::answerFeed(const Feed &feed, bool isLast) const
{
    std::vector<std::pair<std::uint64_t, json>> changes;
    const RowKey first{feed.table, "", ""};
    for (auto it = m_rows.lower_bound(first); it != m_rows.end() && it->first.table == feed.table;
         ++it) {
        if (it->second.version > feed.after)
            changes.emplace_back(it->second.version, describe(feed.daemon, it->first, it->second));
    }
    if (changes.empty() && !isLast)
        return false;
    std::sort(changes.begin(), changes.end(),
              [](const auto &a, const auto &b) { return a.first < b.first; });
    json rows = json::array();
    for (auto &[version, row] : changes)
        rows.push_back(std::move(row));
    const StoreImpairment &impairment = m_impairments[feed.daemon];
    if (!impairment.isSilent && !impairment.losesAnswers)
        feed.respond(respondRows(std::move(rows), 200, false));
    return true;
}

void Store::answerFeeds(const std::string &table)
{
    std::erase_if(m_feeds, [&](const auto &it) {
        return it.second.table == table && answerFeed(it.second, false);
    });
}

void Store::put(const std::string &table, const std::string &key, const std::string &value)
{
    m_rows[{table, "", key}] = {value, ++m_version, false};
    answerFeeds(table);
}

void Store::remove(const std::string &table, const std::string &key)
{
    const auto it = m_rows.find({table, "", key});
    if (it == m_rows.end() || it->second.isRemoved)
        return;
    it->second = {"", ++m_version, true};
    answerFeeds(table);
}

} // namespace Soak
