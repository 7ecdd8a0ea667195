// Sessions of the server, and the client's calls.
#include "http.h"

#include <unistd.h>

#include <algorithm>
#include <stdexcept>

namespace Review {

std::uint16_t freePort()
{
    static unsigned next = unsigned(getpid()) * 211;
    asio::io_context io;
    for (int i = 0; i < 20'000; ++i) {
        const auto port = std::uint16_t(10'000 + next++ % 20'000);
        tcp::acceptor acceptor(io);
        asio::error_code ec;
        acceptor.open(tcp::v4());
        acceptor.bind({asio::ip::make_address(LOOPBACK), port}, ec);
        if (!ec)
            return port;
    }
    throw std::runtime_error("no free port");
}

static std::string lowered(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return char(std::tolower(c)); });
    return text;
}

static std::string unescaped(const std::string &text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += char(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

/// Splits the lines of a head into the first one and the fields.
static std::string parseHead(const std::string &head, std::map<std::string, std::string> &fields)
{
    std::size_t at = head.find("\r\n");
    const std::string first = head.substr(0, at);
    while (at != std::string::npos) {
        const std::size_t begin = at + 2;
        at = head.find("\r\n", begin);
        const std::string line = head.substr(begin, at - begin);
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        fields[lowered(line.substr(0, colon))] =
            value == std::string::npos ? std::string() : line.substr(value);
    }
    return first;
}

static Request parseRequest(const std::string &head)
{
    Request request;
    const std::string line = parseHead(head, request.headers);
    const std::size_t first = line.find(' ');
    const std::size_t last = line.rfind(' ');
    request.method = line.substr(0, first);
    const std::string target = line.substr(first + 1, last - first - 1);
    const std::size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    std::string rest = mark == std::string::npos ? "" : target.substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string item = rest.substr(0, end);
        const std::size_t equals = item.find('=');
        if (equals != std::string::npos)
            request.query[item.substr(0, equals)] = unescaped(item.substr(equals + 1));
        rest = end < rest.size() ? rest.substr(end + 1) : "";
    }
    return request;
}

struct HttpServer::Session : std::enable_shared_from_this<Session>
{
    Session(HttpServer &owner, tcp::socket peer)
        : server(owner)
        , socket(std::move(peer))
    {}

    void read()
    {
        socket.async_read_some(
            asio::buffer(buffer),
            [self = shared_from_this()](const asio::error_code &ec, std::size_t n) {
                if (ec) {
                    self->end();
                    return;
                }
                self->received.append(self->buffer.data(), n);
                self->process();
                if (!self->isEnded)
                    self->read();
            });
    }

    void process()
    {
        const std::size_t end = received.find("\r\n\r\n");
        if (isBusy || end == std::string::npos)
            return;
        Request request = parseRequest(received.substr(0, end));
        const auto length = request.headers.find("content-length");
        const std::size_t n = length == request.headers.end() ? 0 : std::stoul(length->second);
        if (received.size() < end + 4 + n)
            return;
        request.body = received.substr(end + 4, n);
        received.erase(0, end + 4 + n);
        isBusy = true;
        server.m_handler(request, [weak = weak_from_this()](const Response &response) {
            if (const auto self = weak.lock())
                self->respond(response);
        });
    }

    void respond(const Response &response)
    {
        if (isEnded)
            return;
        const auto text = std::make_shared<std::string>(
            "HTTP/1.1 " + std::to_string(response.status)
            + " X\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(response.body.size()) + "\r\n\r\n" + response.body);
        asio::async_write(socket, asio::buffer(*text),
                          [text](const asio::error_code &, std::size_t) {});
        isBusy = false;
        asio::post(server.m_io, [self = shared_from_this()] {
            if (!self->isEnded)
                self->process();
        });
    }

    void end()
    {
        if (std::exchange(isEnded, true))
            return;
        asio::error_code ec;
        socket.close(ec);
        server.m_sessions.erase(shared_from_this());
    }

    HttpServer &server;
    tcp::socket socket;
    std::array<char, 16384> buffer{};
    std::string received;
    bool isBusy = false;
    bool isEnded = false;
};

HttpServer::HttpServer(asio::io_context &io, std::uint16_t port, Handler handler)
    : m_io(io)
    , m_port(port)
    , m_handler(std::move(handler))
    , m_acceptor(io)
{
    open();
}

void HttpServer::open()
{
    m_acceptor = tcp::acceptor(m_io);
    m_acceptor.open(tcp::v4());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind({asio::ip::make_address(LOOPBACK), m_port});
    m_acceptor.listen();
    accept();
}

void HttpServer::accept()
{
    m_acceptor.async_accept([this](const asio::error_code &ec, tcp::socket socket) {
        if (ec)
            return;
        asio::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        const auto session = std::make_shared<Session>(*this, std::move(socket));
        m_sessions.insert(session);
        session->read();
        accept();
    });
}

void HttpServer::close()
{
    asio::error_code ec;
    m_acceptor.close(ec);
    for (const auto &it : std::set<std::shared_ptr<Session>>(m_sessions))
        it->end();
}

Call::Call(asio::io_context &io, std::string text, Done done, std::size_t requests)
    : m_socket(io)
    , m_text(std::move(text))
    , m_done(std::move(done))
    , m_open(requests)
{}

std::shared_ptr<Call> Call::send(asio::io_context &io, std::uint16_t port, std::string text,
                                 Done done, std::size_t requests)
{
    const std::shared_ptr<Call> call(new Call(io, std::move(text), std::move(done), requests));
    call->m_socket.async_connect(
        {asio::ip::make_address(LOOPBACK), port}, [call](const asio::error_code &ec) {
            if (ec) {
                call->finish(0, "");
                return;
            }
            asio::async_write(call->m_socket, asio::buffer(call->m_text),
                              [call](const asio::error_code &, std::size_t) {});
            call->read();
        });
    return call;
}

void Call::abandon()
{
    m_done = {};
    asio::error_code ec;
    m_socket.close(ec);
}

void Call::reset()
{
    asio::error_code ec;
    m_socket.set_option(asio::socket_base::linger(true, 0), ec);
    abandon();
}

void Call::read()
{
    m_socket.async_read_some(
        asio::buffer(m_buffer),
        [self = shared_from_this()](const asio::error_code &ec, std::size_t n) {
            if (!self->m_done)
                return;
            if (ec) {
                self->finish(0, "");
                return;
            }
            self->m_received.append(self->m_buffer.data(), n);
            while (self->m_done && self->takeResponse()) {
            }
            if (self->m_done)
                self->read();
        });
}

/// Returns false if no response is complete.
bool Call::takeResponse()
{
    const std::size_t end = m_received.find("\r\n\r\n");
    if (end == std::string::npos)
        return false;
    std::map<std::string, std::string> fields;
    const std::string line = parseHead(m_received.substr(0, end), fields);
    const std::size_t length = std::stoul("0" + fields["content-length"]);
    if (m_received.size() < end + 4 + length)
        return false;
    const std::string body = m_received.substr(end + 4, length);
    m_received.erase(0, end + 4 + length);
    const int status = std::atoi(line.c_str() + line.find(' ') + 1);
    if (--m_open == 0)
        finish(status, body);
    else
        m_done(status, body);
    return true;
}

void Call::finish(int status, const std::string &body)
{
    asio::error_code ec;
    m_socket.close(ec);
    if (const Done done = std::exchange(m_done, {}))
        done(status, body);
}

} // namespace Review
