// HTTP server based on RESTinio, on an external Asio event loop.
#include "server.h"

#include "connectionledger.h"
#include "httpconstants.h"
#include "meteredsocket.h"

#include <base/failure.h>
#include <base/log.h>

#include <restinio/all.hpp>

#include <charconv>
#include <utility>

namespace Http {

/// RESTinio reports that its parser has refused a request only in its log.
class ParserErrorListener
{
public:
    explicit ParserErrorListener(std::shared_ptr<ConnectionTable> table)
        : m_table(std::move(table))
    {}

    // The names that RESTinio calls.
    template<class Builder>
    void trace(const Builder &) const noexcept
    {}
    template<class Builder>
    void info(const Builder &) const noexcept
    {}
    template<class Builder>
    void warn(const Builder &) const noexcept
    {}
    template<class Builder>
    void error(const Builder &builder) const
    {
        handle(builder());
    }

private:
    /// \a text has the form "[connection:ID] parser error NAME: DESCRIPTION".
    void handle(std::string_view text) const;

    std::shared_ptr<ConnectionTable> m_table;
};

void ParserErrorListener::handle(std::string_view text) const
{
    static constexpr std::string_view PREFIX = "[connection:";
    static constexpr std::string_view ERROR = "] parser error ";
    if (!text.starts_with(PREFIX))
        return;
    std::uint64_t id = 0;
    const auto [end, ec] =
        std::from_chars(text.data() + PREFIX.size(), text.data() + text.size(), id);
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    if (ec != std::errc() || !text.starts_with(ERROR))
        return;
    text.remove_prefix(ERROR.size());
    const std::string_view name = text.substr(0, text.find(':'));
    Refusal cause = Refusal::RequestMalformed;
    if (name == "HPE_CB_body" || name == "HPE_CB_headers_complete")
        cause = Refusal::BodyTooLarge;
    else if (name == "HPE_CB_url" || name == "HPE_CB_header_field" || name == "HPE_CB_header_value"
             || name == "HPE_HEADER_OVERFLOW")
        cause = Refusal::HeaderTooLarge;
    if (const std::shared_ptr<Connection> connection = m_table->find(id))
        connection->ledger().refuse(connection->number(), cause);
}

struct ServerTraits : public restinio::traits_t<restinio::asio_timer_manager_t, ParserErrorListener,
                                                restinio::details::autodetect_request_handler_type,
                                                restinio::noop_strand_t, MeteredSocket>
{
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

/// What is needed of a request to answer it. RESTinio's object also holds the text of the request,
/// for which an open request would take memory until it is answered.
struct AnswerSlot
{
    AnswerSlot(std::shared_ptr<Connection> it, const restinio::request_handle_t &handle)
        : connection(std::move(it))
        , restinioConnection(std::move(restinio::impl::access_req_connection(*handle)))
        , request(handle->request_id())
        , isKeptAlive(handle->header().should_keep_alive())
    {}

    std::shared_ptr<Connection> connection;
    restinio::impl::connection_handle_t restinioConnection; // null once the answer is sent
    restinio::request_id_t request;
    bool isKeptAlive;
};

static void sendResponse(AnswerSlot &slot, Response &&response)
{
    if (!slot.restinioConnection)
        return;
    const std::shared_ptr<Connection> &connection = slot.connection;
    const std::size_t n = response.body.size() + Constants::ANSWER_HEADER_BYTES;
    connection->ledger().answerQueued(connection->number(), n, std::chrono::steady_clock::now());
    restinio::response_builder_t<restinio::restinio_controlled_output_t> builder(
        restinio::http_status_line_t(
            restinio::http_status_code_t(static_cast<std::uint16_t>(response.status)),
            response.status < 400 ? "OK" : "Error"),
        std::exchange(slot.restinioConnection, {}), slot.request, slot.isKeptAlive);
    builder.append_header(restinio::http_field::content_type, response.contentType);
    if (response.closeConnection)
        builder.connection_close();
    if (response.retryAfterSeconds > 0)
        builder.append_header(restinio::http_field::retry_after,
                              std::to_string(response.retryAfterSeconds));
    builder.set_body(std::move(response.body));
    builder.done([connection, n](const auto &) {
        connection->ledger().answerSent(connection->number(), n, std::chrono::steady_clock::now());
    });
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
    std::shared_ptr<ConnectionTable> table;
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

static restinio::request_handling_status_t handleRequest(const ConnectionTable &table,
                                                         const ServerOptions &options,
                                                         const RequestHandler &handler,
                                                         const restinio::request_handle_t &handle)
{
    const std::shared_ptr<Connection> connection = table.find(handle->connection_id());
    if (!connection)
        return restinio::request_accepted(); // closed while the request was parsed
    connection->ledger().requestComplete(connection->number());
    if (options.connectionClosed && connection->hasCallerLeft()) {
        // The caller may have sent the request again elsewhere.
        Base::log(Base::LogLevel::Info, "requestOfLeftCaller",
                  {{"path", std::string_view(handle->header().path().data(),
                                             handle->header().path().size())}});
        connection->end();
        return restinio::request_accepted();
    }
    const auto slot = std::make_shared<AnswerSlot>(connection, handle);
    Request request;
    try {
        request = makeRequest(options, handle);
    } catch (const std::exception &) {
        sendResponse(*slot, {400, R"({"failure":{"code":"badRequest","message":"malformed URL"}})",
                             "application/json", 0, false});
        return restinio::request_accepted();
    }
    handler(std::move(request), [slot](Response response) {
        try {
            sendResponse(*slot, std::move(response));
        } catch (const std::exception &error) {
            // The connection was closed while the request was handled.
            Base::log(Base::LogLevel::Debug, "responseNotSent", {{"reason", error.what()}});
        }
    });
    return restinio::request_accepted();
}

/// Connections inherit the receive buffer of their listener. Set before it listens, since the
/// window that a connection announces first depends on it.
static void setAcceptorOptions(restinio::acceptor_options_t &acceptor, const TrafficLimits &limits)
{
    acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    if (limits.receiveBufferBytes == 0)
        return;
    asio::error_code ec;
    acceptor.set_option(
        asio::socket_base::receive_buffer_size(static_cast<int>(limits.receiveBufferBytes)), ec);
    if (ec)
        Base::log(Base::LogLevel::Error, "receiveBufferNotSet", {{"reason", ec.message()}});
}

absl::Status Server::open()
{
    const ServerOptions &options = m_d->options;
    const std::shared_ptr<ConnectionLedger> ledger =
        options.ledger ? options.ledger : std::make_shared<ConnectionLedger>(TrafficLimits());
    const auto table = std::make_shared<ConnectionTable>(m_d->io, ledger, options.maxConnections,
                                                         options.connectionClosed);
    const TrafficLimits times = ledger->limits();
    // RESTinio refuses values of the maximum size.
    const auto limits = restinio::incoming_http_msg_limits_t()
                            .max_url_size(options.maxHeaderBytes)
                            .max_field_name_size(options.maxHeaderBytes)
                            .max_field_value_size(options.maxHeaderBytes + 1)
                            .max_field_count(Constants::MAX_HEADER_FIELDS)
                            .max_body_size(options.maxBodyBytes);
    auto settings =
        restinio::server_settings_t<ServerTraits>()
            .port(options.port)
            .address(options.address)
            .incoming_http_msg_limits(limits)
            // The ledger's limits, which are separate, come first.
            .read_next_http_message_timelimit(times.idleTimeout + times.headerTimeout
                                              + times.bodyTimeout)
            .write_http_response_timelimit(Constants::WRITE_TIMEOUT_S)
            .handle_request_timeout(Constants::REQUEST_HANDLING_TIMEOUT_S)
            .separate_accept_and_create_connect(false)
            .max_pipelined_requests(options.connectionClosed ? Constants::MAX_PIPELINED_REQUESTS
                                                             : 1)
            .logger(table)
            .acceptor_options_setter([times](restinio::acceptor_options_t &acceptor) {
                setAcceptorOptions(acceptor, times);
            })
            .request_handler([handler = m_d->handler, options, table](const auto &handle) {
                return handleRequest(*table, options, *handler, handle);
            });
    settings.setConnectionTable(table);
    try {
        m_d->server = std::make_unique<RestinioServer>(restinio::external_io_context(m_d->io),
                                                       std::move(settings));
        m_d->server->open_sync();
        m_d->table = table;
        table->start();
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
    m_d->table->stop();
    try {
        m_d->server->close_sync();
    } catch (const std::exception &error) {
        Base::log(Base::LogLevel::Warning, "serverCloseFailed", {{"reason", error.what()}});
    }
}

} // namespace Http
