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

void WorkerServer::answer(const Http::Respond &respond, int status, const json &body)
{
    if (m_executor.faults.silent)
        return;
    Http::Response response{status, body.dump(), "application/json", 0};
    if (m_executor.faults.answerDelay.count() > 0) {
        m_timers.schedule(m_executor.faults.answerDelay,
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
        answer(respond, 200, {{"freeSlots", m_executor.freeSlots()}});
        return;
    }
    if (request.matches("POST", {"v1", "tasks"})) {
        start(request, respond);
        return;
    }
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        answer(respond, 400, {{"state", "refused"}, {"reason", "badRequest"}});
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
        answer(respond, 404, {{"state", "refused"}, {"reason", "badRequest"}});
}

void WorkerServer::start(const Http::Request &request, const Http::Respond &respond)
{
    const json order = json::parse(request.body, nullptr, false);
    if (!order.is_object() || !order.contains("task")) {
        answer(respond, 400, {{"state", "refused"}, {"reason", "badRequest"}});
        return;
    }
    if (m_executor.faults.receiveDelay.count() > 0) {
        m_timers.schedule(m_executor.faults.receiveDelay,
                          [this, order, respond] { startNow(order, respond); });
        return;
    }
    startNow(order, respond);
}

void WorkerServer::startNow(const json &order, const Http::Respond &respond)
{
    const std::string name = order["task"];
    bool losesAnswer = false;
    if (m_executor.faults.answersToLose > 0) {
        --m_executor.faults.answersToLose;
        losesAnswer = true;
    }
    const StartVerdict verdict = m_executor.start(name, order, [this, name, respond, losesAnswer] {
        if (!losesAnswer)
            answer(respond, 200, m_executor.report(name));
    });
    if (!verdict.accepted && !losesAnswer)
        answer(respond, 409, {{"task", name}, {"state", "refused"}, {"reason", verdict.reason}});
}

void WorkerServer::query(const Http::Request &request, const Http::Respond &respond)
{
    ++m_executor.counts.query;
    const std::string name = request.parameter("task");
    const long waitMs = std::atol(request.parameter("waitMs").c_str());
    // Answers once, at the end of the task or of the wait.
    auto isAnswered = std::make_shared<bool>(false);
    const auto reply = [this, name, respond, isAnswered] {
        if (std::exchange(*isAnswered, true))
            return;
        answer(respond, 200, m_executor.report(name));
    };
    if (waitMs <= 0 || !m_executor.awaitTask(name, reply)) {
        reply();
        return;
    }
    if (!*isAnswered)
        m_timers.schedule(std::chrono::milliseconds(waitMs), reply);
}

void WorkerServer::revoke(const json &body, const Http::Respond &respond)
{
    ++m_executor.counts.revoke;
    if (!m_executor.isFencing()) {
        answer(respond, 404, {{"state", "refused"}, {"reason", "unsupported"}});
        return;
    }
    json reports = json::array();
    for (const std::string name : body.value("tasks", json::array())) {
        m_executor.revoke(name);
        reports.push_back(m_executor.report(name));
    }
    answer(respond, 200, {{"tasks", reports}});
}

void WorkerServer::stop(const json &body, const Http::Respond &respond)
{
    ++m_executor.counts.stop;
    bool isUseful = false;
    json reports = json::array();
    for (const std::string name : body.value("tasks", json::array())) {
        isUseful |= m_executor.stop(name);
        reports.push_back(m_executor.report(name));
    }
    if (!isUseful)
        ++m_executor.counts.uselessStop;
    answer(respond, 200, {{"tasks", reports}});
}

void WorkerServer::fence(const json &body, const Http::Respond &respond)
{
    ++m_executor.counts.fence;
    json reports = json::array();
    for (const std::string &name :
         m_executor.fence(body.value("shard", ""), body.value("epoch", std::uint64_t(0))))
        reports.push_back(m_executor.report(name));
    answer(respond, 200, {{"fenced", m_executor.isFencing()}, {"tasks", reports}});
}

void WorkerServer::control(const json &body, const Http::Respond &respond)
{
    Faults &faults = m_executor.faults;
    faults.refuseAll = body.value("refuseAll", faults.refuseAll);
    faults.failAll = body.value("failAll", faults.failAll);
    faults.silent = body.value("silent", faults.silent);
    faults.slowdown = body.value("slowdown", faults.slowdown);
    faults.answersToLose = body.value("loseAnswers", faults.answersToLose);
    faults.answerDelay =
        std::chrono::milliseconds(body.value("answerDelayMs", faults.answerDelay.count()));
    faults.receiveDelay =
        std::chrono::milliseconds(body.value("receiveDelayMs", faults.receiveDelay.count()));
    respond({200, "{}", "application/json", 0});
}

} // namespace WorkerStandin
