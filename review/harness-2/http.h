// A small HTTP/1.1 server and client on loopback addresses, on one event loop.
#pragma once

#include <asio.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Review {

using asio::ip::tcp;

constexpr char LOOPBACK[] = "127.0.0.1";

/// A port on which nothing listens, below the range of outgoing connections.
std::uint16_t freePort();

struct Request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

struct Response
{
    int status = 200;
    std::string body = "{}";
};

using Respond = std::function<void(const Response &)>;
using Handler = std::function<void(const Request &, Respond)>;

class HttpServer
{
public:
    HttpServer(asio::io_context &io, std::uint16_t port, Handler handler);

    std::uint16_t port() const { return m_port; }
    void open();
    /// Refuses connections, and closes those that are open.
    void close();

private:
    struct Session;
    void accept();

    asio::io_context &m_io;
    const std::uint16_t m_port;
    const Handler m_handler;
    tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<Session>> m_sessions;
};

/// One request, or several pipelined ones, over a connection of its own. \a done is called for each
/// response, and once more if the connection ends before the last one: status 0 stands for a
/// connection without a response.
class Call : public std::enable_shared_from_this<Call>
{
public:
    using Done = std::function<void(int status, const std::string &body)>;

    static std::shared_ptr<Call> send(asio::io_context &io, std::uint16_t port, std::string text,
                                      Done done, std::size_t requests = 1);
    /// Closes the connection; \a done is not called.
    void abandon();
    /// The same with a reset.
    void reset();

private:
    Call(asio::io_context &io, std::string text, Done done, std::size_t requests);
    void read();
    void finish(int status, const std::string &body);
    bool takeResponse();

    tcp::socket m_socket;
    const std::string m_text;
    std::string m_received;
    std::array<char, 4096> m_buffer{};
    Done m_done;
    std::size_t m_open; // requests without a response
};

} // namespace Review
