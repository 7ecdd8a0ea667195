#include "net.h"

#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <stdexcept>

namespace Review {

std::string Message::parameter(const std::string &name) const
{
    const std::string text = target();
    std::size_t at = text.find('?');
    while (at != std::string::npos) {
        const std::size_t end = text.find('&', at + 1);
        const std::string item = text.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        if (item.substr(0, item.find('=')) == name) {
            std::string value;
            for (std::size_t i = name.size() + 1; i < item.size(); ++i) {
                if (item[i] == '%' && i + 2 < item.size()) {
                    value += char(std::stoi(item.substr(i + 1, 2), nullptr, 16));
                    i += 2;
                } else {
                    value += item[i];
                }
            }
            return value;
        }
        at = end;
    }
    return {};
}

std::optional<Message> takeMessage(std::string &buf)
{
    const std::size_t end = buf.find("\r\n\r\n");
    if (end == std::string::npos)
        return std::nullopt;
    Message message;
    std::size_t at = buf.find("\r\n");
    message.first = buf.substr(0, at);
    while (at < end) {
        const std::size_t begin = at + 2;
        at = buf.find("\r\n", begin);
        const std::string line = buf.substr(begin, at - begin);
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return char(std::tolower(c)); });
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        message.headers[name] = value == std::string::npos ? "" : line.substr(value);
    }
    const std::string length = message.header("content-length");
    const std::size_t n = length.empty() ? 0 : std::stoul(length);
    if (buf.size() < end + 4 + n)
        return std::nullopt;
    message.body = buf.substr(end + 4, n);
    buf.erase(0, end + 4 + n);
    return message;
}

static void reset(Tcp::socket &socket)
{
    asio::error_code ec;
    socket.set_option(asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
}

struct HttpServer::Connection
{
    explicit Connection(Tcp::socket it)
        : socket(std::move(it))
    {}
    Tcp::socket socket;
    std::string buf;
    std::string out;
    std::array<char, 16384> chunk{};
    bool isBusy = false;
};

HttpServer::HttpServer(asio::io_context &io, std::uint16_t port, Handler handler)
    : m_acceptor(io, loopback(port))
    , m_handler(std::move(handler))
{
    accept();
}

void HttpServer::shut()
{
    m_isShut = true;
    for (const auto &it : m_connections)
        reset(it->socket);
    m_connections.clear();
}

void HttpServer::accept()
{
    m_acceptor.async_accept([this](asio::error_code ec, Tcp::socket socket) {
        if (ec)
            return;
        socket.set_option(Tcp::no_delay(true), ec);
        auto connection = std::make_shared<Connection>(std::move(socket));
        if (m_isShut) {
            reset(connection->socket);
        } else {
            m_connections.insert(connection);
            read(connection);
        }
        accept();
    });
}

void HttpServer::read(const std::shared_ptr<Connection> &connection)
{
    connection->socket.async_read_some(asio::buffer(connection->chunk),
                                       [this, connection](asio::error_code ec, std::size_t n) {
                                           if (ec) {
                                               m_connections.erase(connection);
                                               asio::error_code ignored;
                                               connection->socket.close(ignored);
                                               return;
                                           }
                                           connection->buf.append(connection->chunk.data(), n);
                                           next(connection);
                                           read(connection);
                                       });
}

void HttpServer::next(const std::shared_ptr<Connection> &connection)
{
    if (connection->isBusy)
        return;
    auto message = takeMessage(connection->buf);
    if (!message)
        return;
    connection->isBusy = true;
    asio::error_code ec;
    const auto caller = callersByPort().find(connection->socket.remote_endpoint(ec).port());
    if (caller != callersByPort().end())
        message->caller = caller->second;
    m_handler(*message, [this, connection](int status, const std::string &body) {
        connection->out = "HTTP/1.1 " + std::to_string(status)
                          + " X\r\nContent-Type: application/json\r\nContent-Length: "
                          + std::to_string(body.size()) + "\r\n\r\n" + body;
        asio::async_write(connection->socket, asio::buffer(connection->out),
                          [this, connection](asio::error_code ec, std::size_t) {
                              connection->isBusy = false;
                              if (!ec)
                                  next(connection);
                          });
    });
}

Channel::Channel(asio::io_context &io, std::uint16_t port)
    : m_io(io)
    , m_port(port)
    , m_socket(io)
{
    asio::error_code ec;
    m_socket.connect(loopback(port), ec);
    m_isOpen = !ec;
    if (m_isOpen)
        m_socket.set_option(Tcp::no_delay(true), ec);
}

void Channel::send(const std::string &method, const std::string &path, const std::string &host,
                   const std::string &body, std::uint64_t deadlineMs, Done done)
{
    m_done = std::move(done);
    if (!m_isOpen) {
        asio::post(m_io, [self = shared_from_this()] { self->finish(0, "not connected"); });
        return;
    }
    m_out = method + " " + path + " HTTP/1.1\r\nHost: " + host
            + "\r\nContent-Type: application/json\r\nEndivepath-Deadline-Ms: "
            + std::to_string(deadlineMs) + "\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
    asio::async_write(m_socket, asio::buffer(m_out),
                      [self = shared_from_this()](asio::error_code ec, std::size_t) {
                          if (ec)
                              self->finish(0, ec.message());
                      });
    read();
}

void Channel::read()
{
    m_socket.async_read_some(asio::buffer(m_chunk),
                             [self = shared_from_this()](asio::error_code ec, std::size_t n) {
                                 if (ec) {
                                     self->finish(0, ec.message());
                                     return;
                                 }
                                 self->m_buf.append(self->m_chunk.data(), n);
                                 if (auto message = takeMessage(self->m_buf)) {
                                     const bool isLast = message->header("connection") == "close";
                                     self->finish(message->status(), message->body);
                                     if (isLast)
                                         self->close();
                                 } else {
                                     self->read();
                                 }
                             });
}

void Channel::finish(int status, const std::string &body)
{
    if (status == 0)
        close();
    if (const Done done = std::exchange(m_done, {}))
        done(status, body);
}

void Channel::close()
{
    m_isOpen = false;
    asio::error_code ec;
    m_socket.close(ec);
}

struct Relay::Pair
{
    explicit Pair(Tcp::socket it, asio::io_context &io)
        : near(std::move(it))
        , far(io)
    {}
    Tcp::socket near;
    Tcp::socket far;
    std::array<char, 16384> bufs[2];
    bool isDead = false;
};

Relay::Relay(asio::io_context &io, std::uint16_t port, std::uint16_t target)
    : m_io(io)
    , m_acceptor(io, loopback(port))
    , m_target(target)
{
    accept();
}

void Relay::cut()
{
    m_isCut = true;
    for (const auto &it : m_pairs)
        it->isDead = true;
}

void Relay::silence()
{
    for (const auto &it : m_pairs)
        it->isDead = true;
}

void Relay::heal()
{
    m_isCut = false;
    const auto pairs = m_pairs;
    for (const auto &it : pairs) {
        if (it->isDead)
            end(it);
    }
}

void Relay::accept()
{
    m_acceptor.async_accept([this](asio::error_code ec, Tcp::socket socket) {
        if (ec)
            return;
        auto pair = std::make_shared<Pair>(std::move(socket), m_io);
        m_pairs.insert(pair);
        if (m_isCut) {
            pair->isDead = true;
        } else {
            pair->near.set_option(Tcp::no_delay(true), ec);
            pair->far.async_connect(loopback(m_target), [this, pair](asio::error_code error) {
                if (error) {
                    end(pair);
                    return;
                }
                asio::error_code ignored;
                pair->far.set_option(Tcp::no_delay(true), ignored);
                if (!m_caller.empty())
                    callersByPort()[pair->far.local_endpoint(ignored).port()] = m_caller;
                pump(pair, true);
                pump(pair, false);
            });
        }
        accept();
    });
}

void Relay::pump(const std::shared_ptr<Pair> &pair, bool isForward)
{
    Tcp::socket &from = isForward ? pair->near : pair->far;
    from.async_read_some(asio::buffer(pair->bufs[isForward ? 0 : 1]),
                         [this, pair, isForward](asio::error_code ec, std::size_t n) {
                             if (pair->isDead)
                                 return; // lost in the cut
                             if (ec) {
                                 end(pair);
                                 return;
                             }
                             Tcp::socket &to = isForward ? pair->far : pair->near;
                             asio::async_write(
                                 to, asio::buffer(pair->bufs[isForward ? 0 : 1].data(), n),
                                 [this, pair, isForward](asio::error_code error, std::size_t) {
                                     if (error)
                                         end(pair);
                                     else
                                         pump(pair, isForward);
                                 });
                         });
}

void Relay::end(const std::shared_ptr<Pair> &pair)
{
    if (m_pairs.erase(pair) == 0)
        return;
    reset(pair->near);
    reset(pair->far);
}

std::map<std::uint16_t, std::string> &callersByPort()
{
    static std::map<std::uint16_t, std::string> callers;
    return callers;
}

std::uint16_t freePort()
{
    static unsigned next = unsigned(getpid()) * 97;
    asio::io_context io;
    for (int i = 0; i < 20000; ++i) {
        const auto port = std::uint16_t(2000 + next++ % 8000);
        Tcp::acceptor acceptor(io);
        asio::error_code ec;
        acceptor.open(Tcp::v4());
        acceptor.bind(loopback(port), ec);
        if (!ec)
            return port;
    }
    throw std::runtime_error("no free port");
}

} // namespace Review
