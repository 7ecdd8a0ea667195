// Request handling of the platform stand-in.
#include "platformserver.h"

namespace PlatformStandin {

using nlohmann::json;

static Http::Response jsonResponse(int status, const json &body)
{
    return {status, body.dump(), "application/json", 0};
}

static std::string joinPath(const Http::Request &request, std::size_t first)
{
    std::string key;
    for (std::size_t i = first; i < request.path.size(); ++i) {
        if (i > first)
            key += '/';
        key += request.path[i];
    }
    return key;
}

PlatformServer::PlatformServer(asio::io_context &io, Base::Timers &timers,
                               Http::ServerOptions options)
    : m_timers(timers)
    , m_server(io, std::move(options),
               [this](const Http::Request &request, const Http::Respond &respond) {
                   handle(request, respond);
               })
{}

absl::Status PlatformServer::open()
{
    return m_server.open();
}

void PlatformServer::handle(const Http::Request &request, const Http::Respond &respond)
{
    if (request.matches("POST", {"control"})) {
        control(request, respond);
        return;
    }
    ++m_requestCount;
    if (m_isDown) {
        respond(jsonResponse(503, {{"failure", {{"code", "platformUnavailable"}}}}));
        return;
    }
    if (m_isSilent)
        return;
    if (m_delay.count() > 0) {
        m_timers.schedule(m_delay, [this, request, respond] { serve(request, respond); });
        return;
    }
    serve(request, respond);
}

void PlatformServer::serve(const Http::Request &request, const Http::Respond &respond)
{
    const bool isTable = request.path.size() > 2 && request.path[1] == "table";
    const bool isObject = request.path.size() > 2 && request.path[1] == "objects";
    if (isTable && request.method == "GET") {
        readRow(request, respond);
    } else if (isTable && request.method == "PUT") {
        writeRow(request, respond);
    } else if (isObject && request.method == "GET") {
        readObject(request, respond);
    } else if (isObject && request.method == "PUT") {
        writeObject(request, respond);
    } else if (request.matches("GET", {"v1", "hosts"})) {
        respond(jsonResponse(200, hostList()));
    } else if (request.matches("PUT", {"v1", "hosts", "*"})) {
        setHost(request, respond);
    } else if (request.matches("GET", {"v1", "statistics"})) {
        respond(
            jsonResponse(200, {{"requests", m_requestCount}, {"writes", m_table.writeCount()}}));
    } else {
        respond(jsonResponse(404, {{"failure", {{"code", "badRequest"}}}}));
    }
}

void PlatformServer::readRow(const Http::Request &request, const Http::Respond &respond)
{
    const StoredRow row = m_table.read(joinPath(request, 2));
    respond(jsonResponse(
        200, {{"value", row.value}, {"version", row.version}, {"transaction", row.transaction}}));
}

void PlatformServer::writeRow(const Http::Request &request, const Http::Respond &respond)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("value") || !body.contains("transaction")) {
        respond(jsonResponse(400, {{"failure", {{"code", "badRequest"}}}}));
        return;
    }
    const auto version =
        m_table.compareAndSet(joinPath(request, 2), body["value"],
                              body.value("expectedVersion", std::uint64_t(0)), body["transaction"]);
    if (m_responsesToDrop > 0) {
        --m_responsesToDrop;
        return;
    }
    if (!version) {
        respond(jsonResponse(409, {{"failure", {{"code", "versionMismatch"}}}}));
        return;
    }
    respond(jsonResponse(200, {{"version", *version}}));
}

void PlatformServer::readObject(const Http::Request &request, const Http::Respond &respond)
{
    const auto it = m_objects.find(joinPath(request, 2));
    if (it == m_objects.end()) {
        respond(jsonResponse(404, {{"failure", {{"code", "unknownRequest"}}}}));
        return;
    }
    respond({200, it->second, "application/octet-stream", 0});
}

void PlatformServer::writeObject(const Http::Request &request, const Http::Respond &respond)
{
    m_objects.emplace(joinPath(request, 2), request.body);
    if (m_responsesToDrop > 0) {
        --m_responsesToDrop;
        return;
    }
    respond(jsonResponse(200, json::object()));
}

void PlatformServer::setHost(const Http::Request &request, const Http::Respond &respond)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("state")) {
        respond(jsonResponse(400, {{"failure", {{"code", "badRequest"}}}}));
        return;
    }
    m_hostChanges.push_back({m_timers.now() + m_hostListLag, request.path[2], body["state"]});
    respond(jsonResponse(200, json::object()));
}

json PlatformServer::hostList()
{
    while (!m_hostChanges.empty() && m_hostChanges.front().visibleAt <= m_timers.now()) {
        m_hosts[m_hostChanges.front().host] = m_hostChanges.front().state;
        m_hostChanges.pop_front();
    }
    json hosts = json::array();
    for (const auto &[host, state] : m_hosts)
        hosts.push_back({{"host", host}, {"state", state}});
    return {{"hosts", hosts}};
}

void PlatformServer::control(const Http::Request &request, const Http::Respond &respond)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        respond(jsonResponse(400, {{"failure", {{"code", "badRequest"}}}}));
        return;
    }
    m_isDown = body.value("down", m_isDown);
    m_isSilent = body.value("silent", m_isSilent);
    m_delay = std::chrono::milliseconds(body.value("delayMs", m_delay.count()));
    m_hostListLag = std::chrono::milliseconds(body.value("hostListLagMs", m_hostListLag.count()));
    m_responsesToDrop = body.value("loseReplies", m_responsesToDrop);
    respond(jsonResponse(200, json::object()));
}

} // namespace PlatformStandin
