// HTTP server on the daemon's event loop.
#pragma once

#include "trafficlimits.h"

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace asio {
class io_context;
}

namespace Http {

class ConnectionLedger;

/// A received request. Path segments and query values are percent-decoded.
struct Request
{
    std::string method;
    std::vector<std::string> path;
    std::map<std::string, std::string> query;
    std::string authorization; // value of the Authorization header
    std::string body;
    std::string rawPath;          // as received, without the query
    std::string host;             // value of the Host header
    std::string deadline;         // value of the header that ServerOptions::deadlineHeader names
    std::uint64_t connection = 0; // identifies the connection within this server

    /// Value of query parameter \a name, or an empty string.
    std::string parameter(const std::string &name) const;
    /// Whether the method is \a verb and the path matches \a pattern, where "*" is any one segment.
    bool matches(std::string_view verb, std::initializer_list<std::string_view> pattern) const;
};

struct Response
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::uint32_t retryAfterSeconds = 0; // sent if not zero
    bool closeConnection = false;
};

struct ServerOptions
{
    std::string address;
    std::uint16_t port = 0;
    std::uint32_t maxBodyBytes = 8U << 20;
    std::uint32_t maxHeaderBytes = 16U << 10; // per header field
    std::uint32_t maxConnections = 1000;
    /// Budgets, shared by the servers of a process. If it is null, the server has its own with
    /// default limits.
    std::shared_ptr<ConnectionLedger> ledger;
    std::string deadlineHeader; // name of the header that is copied to Request::deadline
    /// Called after a connection was closed. If it is set, a client that closes or half-closes its
    /// connection is taken to have left: the connection is closed however many requests are open on
    /// it, and a request that was not read before is not handed over.
    std::function<void(std::uint64_t connection)> connectionClosed;
};

/// Sends the response to a request. Call it once, immediately or later, on the event loop's thread.
/// If it is destroyed without a call, the client gets no response; its connection is closed.
using Respond = std::function<void(Response)>;
using RequestHandler = std::function<void(Request, Respond)>;

/// Listens on one port. A connection whose request exceeds the limits is closed; such a request
/// does not reach the handler.
class Server
{
public:
    Server(asio::io_context &io, ServerOptions options, RequestHandler handler);
    ~Server();

    /// Errors: invalidSettings if the port can't be opened.
    absl::Status open();
    /// Stops listening and closes idle connections. Responses in progress are still sent while the
    /// event loop runs.
    void close();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace Http
