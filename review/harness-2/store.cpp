// Calls of the store.
#include "store.h"

#include <algorithm>
#include <chrono>

namespace Review {

using nlohmann::json;

static constexpr std::size_t MAX_ROWS = 500;
static constexpr char ALPHABET[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

static std::string toBase64(const std::string &text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        const std::size_t n = std::min<std::size_t>(3, text.size() - i);
        unsigned bits = 0;
        for (std::size_t k = 0; k < 3; ++k)
            bits = bits << 8 | (k < n ? static_cast<unsigned char>(text[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out += k <= n ? ALPHABET[bits >> (18 - 6 * k) & 63] : '=';
    }
    return out;
}

static std::string fromBase64(const std::string &text)
{
    std::string out;
    unsigned bits = 0;
    int n = 0;
    for (const char c : text) {
        const char *const at = std::find(ALPHABET, ALPHABET + 64, c);
        if (at == ALPHABET + 64)
            break;
        bits = bits << 6 | unsigned(at - ALPHABET);
        n += 6;
        if (n >= 8) {
            n -= 8;
            out += char(bits >> n & 255);
        }
    }
    return out;
}

static std::string parameter(const Request &request, const std::string &name)
{
    const auto it = request.query.find(name);
    return it == request.query.end() ? std::string() : it->second;
}

static std::uint64_t numberOf(const Request &request, const std::string &name)
{
    const std::string text = parameter(request, name);
    return text.empty() ? 0 : std::stoull(text);
}

Store::Store(asio::io_context &io)
    : m_io(io)
    , m_server(io, freePort(),
               [this](const Request &request, const Respond &respond) { handle(request, respond); })
{}

void Store::handle(const Request &request, const Respond &respond)
{
    if (request.path == "/rows-tx")
        respond(transact(request.body));
    else if (request.path == "/rows-get")
        respond(read(request));
    else if (request.path == "/rows-feed")
        follow(request, respond);
    else
        respond({404, "{}"});
}

json Store::describe(const RowKey &key, const Row &row)
{
    json out{{"table", key.first}, {"part", ""}, {"key", key.second}, {"ver", row.version}};
    if (row.isRemoved)
        out["tombstone"] = true;
    else
        out["value"] = toBase64(row.value);
    return out;
}

Response Store::respondRows(const json &rows, int status, bool isTruncated) const
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    json body{{"rows", rows},
              {"ver", m_version},
              {"nowMs", std::chrono::duration_cast<std::chrono::milliseconds>(now).count()}};
    if (isTruncated)
        body["truncated"] = true;
    return {status, body.dump()};
}

Response Store::transact(const std::string &text)
{
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object())
        return {400, "{}"};
    const auto entries = [&body](const char *name) { return body.value(name, json::array()); };
    const auto keyOf = [](const json &it) { return RowKey(it.at("table"), it.at("key")); };
    json rows = json::array();
    bool isMet = true;
    for (const json &it : entries("precondition")) {
        const auto row = m_rows.find(keyOf(it));
        const bool exists = row != m_rows.end() && !row->second.isRemoved;
        isMet = isMet && (exists ? row->second.version : 0) == it.at("ver");
        if (exists)
            rows.push_back(describe(row->first, row->second));
    }
    if (!isMet)
        return respondRows(rows, 412, false);
    ++m_version;
    std::set<std::string> tables;
    for (const json &it : entries("writes")) {
        m_rows[keyOf(it)] = {fromBase64(it.at("value")), m_version, false};
        tables.insert(it.at("table").get<std::string>());
    }
    for (const json &it : entries("remove")) {
        m_rows[keyOf(it)] = {"", m_version, true};
        tables.insert(it.at("table").get<std::string>());
    }
    for (const std::string &it : tables)
        answerFeeds(it);
    return respondRows(json::array(), 200, false);
}

Response Store::read(const Request &request) const
{
    const std::string table = parameter(request, "table");
    const std::string to = parameter(request, "to");
    json rows = json::array();
    for (auto it = m_rows.lower_bound({table, parameter(request, "from")});
         it != m_rows.end() && it->first.first == table; ++it) {
        if (it->second.isRemoved || (!to.empty() && it->first.second >= to))
            continue;
        if (rows.size() == MAX_ROWS)
            return respondRows(rows, 200, true);
        rows.push_back(describe(it->first, it->second));
    }
    return respondRows(rows, 200, false);
}

std::optional<Response> Store::changes(const Feed &feed) const
{
    std::vector<std::pair<std::uint64_t, json>> found;
    for (auto it = m_rows.lower_bound({feed.table, ""});
         it != m_rows.end() && it->first.first == feed.table; ++it) {
        if (it->second.version > feed.after)
            found.emplace_back(it->second.version, describe(it->first, it->second));
    }
    if (found.empty())
        return std::nullopt;
    std::sort(found.begin(), found.end(),
              [](const auto &a, const auto &b) { return a.first < b.first; });
    json rows = json::array();
    for (const auto &[version, row] : found)
        rows.push_back(row);
    return respondRows(rows, 200, false);
}

void Store::follow(const Request &request, const Respond &respond)
{
    Feed feed{parameter(request, "table"), numberOf(request, "after"), respond, {}};
    if (const auto response = changes(feed)) {
        respond(*response);
        return;
    }
    const std::uint64_t id = ++m_nextFeed;
    feed.timer = std::make_shared<asio::steady_timer>(
        m_io, std::chrono::milliseconds(numberOf(request, "waitMs")));
    feed.timer->async_wait([this, id](const asio::error_code &ec) {
        if (ec)
            return;
        const auto node = m_feeds.extract(id);
        if (!node.empty())
            node.mapped().respond(respondRows(json::array(), 200, false));
    });
    m_feeds.emplace(id, std::move(feed));
}

void Store::answerFeeds(const std::string &table)
{
    for (auto it = m_feeds.begin(); it != m_feeds.end();) {
        const auto response = it->second.table == table ? changes(it->second) : std::nullopt;
        if (!response) {
            ++it;
            continue;
        }
        it->second.respond(*response);
        it = m_feeds.erase(it);
    }
}

void Store::put(const std::string &table, const std::string &key, const std::string &value)
{
    m_rows[{table, key}] = {value, ++m_version, false};
    answerFeeds(table);
}

void Store::remove(const std::string &table, const std::string &key)
{
    const auto it = m_rows.find({table, key});
    if (it == m_rows.end() || it->second.isRemoved)
        return;
    it->second = {"", ++m_version, true};
    answerFeeds(table);
}

} // namespace Review
