// HTTP server based on RESTinio, on an external Asio event loop.
#include "server.h"

#include "httpconstants.h"

#include <base/failure.h>
#include <base/log.h>

#include <restinio/all.hpp>

#include <utility>

namespace Http {

/// Reports closed connections.
class CloseListener
{
public:
    explicit CloseListener(std::function<void(std::uint64_t)> closed)
        : m_closed(std::move(closed))
    {}

    void state_changed(const restinio::connection_state::notice_t &notice) // NOLINT: library's name
    {
        const auto cause = notice.cause();
        if (m_closed && restinio::holds_alternative<restinio::connection_state::closed_t>(cause))
            m_closed(notice.connection_id());
    }

private:
    std::function<void(std::uint64_t)> m_closed;
};

struct ServerTraits : public restinio::single_thread_traits_t<restinio::asio_timer_manager_t,
                                                              restinio::null_logger_t>
{
    static constexpr bool use_connection_count_limiter = true;
    using connection_state_listener_t = CloseListener; // NOLINT: the library's name
};

using RestinioServer = restinio::http_server_t<ServerTraits>;

std::string Request::parameter(const std::string &name) const
{
    const auto it = query.find(name);
    return it == query.end() ? std::string() : it->second;
}

bool Request::matches(std::string_view verb, std::initializer_list<std::string_view> pattern) const
{
    if (method != verb || path.size() != pattern.size())
        return false;
    auto segment = path.begin();
    for (const std::string_view it : pattern) {
        if (it != "*" && it != *segment)
            return false;
        ++segment;
    }
    return true;
}

static std::vector<std::string> splitPath(std::string_view path)
{
    std::vector<std::string> segments;
    std::size_t begin = 0;
    while (begin < path.size()) {
        const std::size_t slash = path.find('/', begin);
        const std::size_t end = slash == std::string_view::npos ? path.size() : slash;
        if (end > begin) {
            const std::string_view raw = path.substr(begin, end - begin);
            segments.push_back(restinio::utils::unescape_percent_encoding(
                restinio::string_view_t(raw.data(), raw.size())));
        }
        begin = end + 1;
    }
    return segments;
}

static Request makeRequest(const ServerOptions &options, const restinio::request_handle_t &handle)
{
    const restinio::http_request_header_t &header = handle->header();
    Request request;
    request.method = header.method().c_str();
    request.path = splitPath({header.path().data(), header.path().size()});
    const auto query = restinio::parse_query(header.query());
    for (const auto &it : query)
        request.query.emplace(std::string(it.first), std::string(it.second));
    request.authorization = header.get_field_or(restinio::http_field::authorization, "");
    request.body = handle->body();
    request.rawPath = {header.path().data(), header.path().size()};
    request.host = header.get_field_or(restinio::http_field::host, "");
    request.connection = handle->connection_id();
    if (!options.deadlineHeader.empty())
        request.deadline = header.get_field_or(options.deadlineHeader, "");
    return request;
}

static void sendResponse(const restinio::request_handle_t &handle, Response &&response)
{
    auto builder = handle->create_response(restinio::http_status_line_t(
        restinio::http_status_code_t(static_cast<std::uint16_t>(response.status)),
        response.status < 400 ? "OK" : "Error"));
    builder.append_header(restinio::http_field::content_type, response.contentType);
    if (response.closeConnection)
        builder.connection_close();
    if (response.retryAfterSeconds > 0)
        builder.append_header(restinio::http_field::retry_after,
                              std::to_string(response.retryAfterSeconds));
    builder.set_body(std::move(response.body));
    builder.done();
}

struct Server::Private
{
    Private(asio::io_context &ioContext, ServerOptions serverOptions, RequestHandler requestHandler)
        : io(ioContext)
        , options(std::move(serverOptions))
        , handler(std::make_shared<RequestHandler>(std::move(requestHandler)))
    {}

    asio::io_context &io;
    ServerOptions options;
    // Shared with requests in progress, which may outlive the server object.
    std::shared_ptr<RequestHandler> handler;
    std::unique_ptr<RestinioServer> server;
    bool isOpen = false;
};

Server::Server(asio::io_context &io, ServerOptions options, RequestHandler handler)
    : m_d(std::make_unique<Private>(io, std::move(options), std::move(handler)))
{}

Server::~Server()
{
    close();
}

static restinio::request_handling_status_t handleRequest(const ServerOptions &options,
                                                         const RequestHandler &handler,
                                                         const restinio::request_handle_t &handle)
{
    Request request;
    try {
        request = makeRequest(options, handle);
    } catch (const std::exception &) {
        sendResponse(handle, {400, R"({"failure":{"code":"badRequest","message":"malformed URL"}})",
                              "application/json", 0, false});
        return restinio::request_accepted();
    }
    handler(std::move(request), [handle](Response response) {
        try {
            sendResponse(handle, std::move(response));
        } catch (const std::exception &error) {
            // The connection was closed while the request was handled.
            Base::log(Base::LogLevel::Debug, "responseNotSent", {{"reason", error.what()}});
        }
    });
    return restinio::request_accepted();
}

absl::Status Server::open()
{
    const ServerOptions &options = m_d->options;
    const auto limits = restinio::incoming_http_msg_limits_t()
                            .max_url_size(Constants::MAX_URL_BYTES)
                            .max_field_name_size(options.maxHeaderBytes)
                            .max_field_value_size(options.maxHeaderBytes)
                            .max_field_count(Constants::MAX_HEADER_FIELDS)
                            .max_body_size(options.maxBodyBytes);
    auto settings =
        restinio::server_settings_t<ServerTraits>()
            .port(options.port)
            .address(options.address)
            .incoming_http_msg_limits(limits)
            .max_parallel_connections(options.maxConnections)
            .read_next_http_message_timelimit(Constants::READ_WRITE_TIMEOUT_S)
            .write_http_response_timelimit(Constants::READ_WRITE_TIMEOUT_S)
            .handle_request_timeout(Constants::REQUEST_HANDLING_TIMEOUT_S)
            .separate_accept_and_create_connect(false)
            // The next message is read while the first is handled, since only a read detects
            // that the client has disconnected.
            .max_pipelined_requests(options.connectionClosed ? 2 : 1)
            .connection_state_listener(std::make_shared<CloseListener>(options.connectionClosed))
            .request_handler([handler = m_d->handler, options](const auto &handle) {
                return handleRequest(options, *handler, handle);
            });
    try {
        m_d->server = std::make_unique<RestinioServer>(restinio::external_io_context(m_d->io),
                                                       std::move(settings));
        m_d->server->open_sync();
    } catch (const std::exception &error) {
        m_d->server.reset();
        return Base::makeFailure(Base::FailureCode::InvalidSettings,
                                 "can't listen on " + options.address + ":"
                                     + std::to_string(options.port) + ": " + error.what());
    }
    m_d->isOpen = true;
    return absl::OkStatus();
}

void Server::close()
{
    if (!m_d->isOpen)
        return;
    m_d->isOpen = false;
    try {
        m_d->server->close_sync();
    } catch (const std::exception &error) {
        Base::log(Base::LogLevel::Warning, "serverCloseFailed", {{"reason", error.what()}});
    }
}

} // namespace Http
