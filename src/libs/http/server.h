// HTTP server on the daemon's loop.
#pragma once

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
    std::uint64_t connection = 0; // tells connections of this server apart

    /// Value of query parameter \a name, or an empty string.
    std::string parameter(const std::string &name) const;
    /// Whether the path equals \a pattern, in which "*" stands for any one segment.
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
    std::uint32_t maxHeaderBytes = 16U << 10; // of one header field
    std::uint32_t maxConnections = 1000;
    std::string deadlineHeader; // name of a header to pass on in Request::deadline
    /// Called when a connection has ended. If it is set, connections are watched while a request is
    /// handled, so that a caller that leaves is noticed.
    std::function<void(std::uint64_t connection)> connectionClosed;
};

/// Answers a request, once, now or later, from the loop's thread. Dropping it without a call leaves
/// the caller without an answer until the connection times out.
using Respond = std::function<void(Response)>;
using RequestHandler = std::function<void(Request, Respond)>;

/// One listening port. Requests beyond the bounds are answered by the library with 4xx and do not
/// reach the handler.
class Server
{
public:
    Server(asio::io_context &io, ServerOptions options, RequestHandler handler);
    ~Server();

    /// Errors: invalidSettings if the port can't be opened.
    absl::Status open();
    /// Stops listening and closes idle connections. Responses under way are still sent while the
    /// loop runs.
    void close();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace Http
