// HTTP interface of one executor of the worker stand-in.
#pragma once

#include "executor.h"

#include <http/server.h>

namespace WorkerStandin {

/// Serves the worker protocol of docs/protocols.md for one executor, and its control interface.
class WorkerServer
{
public:
    WorkerServer(asio::io_context &io, Base::Timers &timers, Http::ServerOptions options,
                 Executor &executor);

    absl::Status open();

private:
    void handle(const Http::Request &request, const Http::Respond &respond);
    void start(const Http::Request &request, const Http::Respond &respond);
    void startNow(const nlohmann::json &startRequest, const Http::Respond &respond);
    void query(const Http::Request &request, const Http::Respond &respond);
    void revoke(const nlohmann::json &body, const Http::Respond &respond);
    void stop(const nlohmann::json &body, const Http::Respond &respond);
    void fence(const nlohmann::json &body, const Http::Respond &respond);
    void control(const nlohmann::json &body, const Http::Respond &respond);
    void sendResponse(const Http::Respond &respond, int status, const nlohmann::json &body);

    Base::Timers &m_timers;
    Executor &m_executor;
    Http::Server m_server;
};

} // namespace WorkerStandin
