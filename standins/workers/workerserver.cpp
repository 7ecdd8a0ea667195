// Request handling of one executor.
#include "workerserver.h"

#include <memory>

namespace WorkerStandin {

using nlohmann::json;

WorkerServer::WorkerServer(asio::io_context &io, Base::Timers &timers, Http::ServerOptions options,
                           Executor &executor)
    : m_timers(timers)
    , m_executor(executor)
    , m_server(io, std::move(options),
               [this](const Http::Request &request, const Http::Respond &respond) {
                   handle(request, respond);
               })
{}

absl::Status WorkerServer::open()
{
    return m_server.open();
}

void WorkerServer::sendResponse(const Http::Respond &respond, int status, const json &body)
{
    if (m_executor.faults.silent)
        return;
    Http::Response response{status, body.dump(), "application/json", 0};
    if (m_executor.faults.responseDelay.count() > 0) {
        m_timers.schedule(m_executor.faults.responseDelay,
                          [respond, response] { respond(response); });
        return;
    }
    respond(std::move(response));
}

void WorkerServer::handle(const Http::Request &request, const Http::Respond &respond)
{
    if (request.matches("GET", {"v1", "audit"})) {
        respond({200, m_executor.audit().dump(), "application/json", 0});
        return;
    }
    if (request.matches("GET", {"v1", "tasks"})) {
        query(request, respond);
        return;
    }
    if (request.matches("GET", {"v1", "usage"})) {
        sendResponse(respond, 200, {{"freeSlots", m_executor.freeSlots()}});
        return;
    }
    if (request.matches("POST", {"v1", "tasks"})) {
        start(request, respond);
        return;
    }
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        sendResponse(respond, 400, {{"state", "refused"}, {"reason", "badRequest"}});
        return;
    }
    if (request.matches("POST", {"v1", "revoke"}))
        revoke(body, respond);
    else if (request.matches("POST", {"v1", "stop"}))
        stop(body, respond);
    else if (request.matches("POST", {"v1", "fence"}))
        fence(body, respond);
    else if (request.matches("POST", {"control"}))
        control(body, respond);
    else
        sendResponse(respond, 404, {{"state", "refused"}, {"reason", "badRequest"}});
}

void WorkerServer::start(const Http::Request &request, const Http::Respond &respond)
{
    const json startRequest = json::parse(request.body, nullptr, false);
    if (!startRequest.is_object() || !startRequest.contains("task")) {
        sendResponse(respond, 400, {{"state", "refused"}, {"reason", "badRequest"}});
        return;
    }
    if (m_executor.faults.receiveDelay.count() > 0) {
        m_timers.schedule(m_executor.faults.receiveDelay,
                          [this, startRequest, respond] { startNow(startRequest, respond); });
        return;
    }
    startNow(startRequest, respond);
}

void WorkerServer::startNow(const json &startRequest, const Http::Respond &respond)
{
    const std::string name = startRequest["task"];
    bool dropsResponse = false;
    if (m_executor.faults.responsesToDrop > 0) {
        --m_executor.faults.responsesToDrop;
        dropsResponse = true;
    }
    const StartResult result =
        m_executor.start(name, startRequest, [this, name, respond, dropsResponse] {
            if (!dropsResponse)
                sendResponse(respond, 200, m_executor.report(name));
        });
    if (!result.accepted && !dropsResponse)
        sendResponse(respond, 409,
                     {{"task", name}, {"state", "refused"}, {"reason", result.reason}});
}

void WorkerServer::query(const Http::Request &request, const Http::Respond &respond)
{
    ++m_executor.counts.query;
    const std::string name = request.parameter("task");
    const long waitMs = std::atol(request.parameter("waitMs").c_str());
    // Responds once, at the end of the task or of the wait.
    auto hasResponded = std::make_shared<bool>(false);
    const auto sendReport = [this, name, respond, hasResponded] {
        if (std::exchange(*hasResponded, true))
            return;
        sendResponse(respond, 200, m_executor.report(name));
    };
    if (waitMs <= 0 || !m_executor.awaitTask(name, sendReport)) {
        sendReport();
        return;
    }
    if (!*hasResponded)
        m_timers.schedule(std::chrono::milliseconds(waitMs), sendReport);
}

void WorkerServer::revoke(const json &body, const Http::Respond &respond)
{
    ++m_executor.counts.revoke;
    if (!m_executor.isFencing()) {
        sendResponse(respond, 404, {{"state", "refused"}, {"reason", "unsupported"}});
        return;
    }
    json reports = json::array();
    for (const std::string name : body.value("tasks", json::array())) {
        m_executor.revoke(name);
        reports.push_back(m_executor.report(name));
    }
    sendResponse(respond, 200, {{"tasks", reports}});
}

void WorkerServer::stop(const json &body, const Http::Respond &respond)
{
    ++m_executor.counts.stop;
    bool anyStopped = false;
    json reports = json::array();
    for (const std::string name : body.value("tasks", json::array())) {
        anyStopped |= m_executor.stop(name);
        reports.push_back(m_executor.report(name));
    }
    if (!anyStopped)
        ++m_executor.counts.uselessStop;
    sendResponse(respond, 200, {{"tasks", reports}});
}

void WorkerServer::fence(const json &body, const Http::Respond &respond)
{
    ++m_executor.counts.fence;
    json reports = json::array();
    for (const std::string &name :
         m_executor.fence(body.value("shard", ""), body.value("epoch", std::uint64_t(0))))
        reports.push_back(m_executor.report(name));
    sendResponse(respond, 200, {{"fenced", m_executor.isFencing()}, {"tasks", reports}});
}

void WorkerServer::control(const json &body, const Http::Respond &respond)
{
    Faults &faults = m_executor.faults;
    faults.refuseAll = body.value("refuseAll", faults.refuseAll);
    faults.failAll = body.value("failAll", faults.failAll);
    faults.silent = body.value("silent", faults.silent);
    faults.slowdown = body.value("slowdown", faults.slowdown);
    faults.responsesToDrop = body.value("loseAnswers", faults.responsesToDrop);
    faults.responseDelay =
        std::chrono::milliseconds(body.value("answerDelayMs", faults.responseDelay.count()));
    faults.receiveDelay =
        std::chrono::milliseconds(body.value("receiveDelayMs", faults.receiveDelay.count()));
    respond({200, "{}", "application/json", 0});
}

} // namespace WorkerStandin
