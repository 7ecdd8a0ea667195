// Small HTTP server and client and a TCP relay for the review's stand-ins. Loopback only.
#pragma once

#include <asio.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;
using Tcp = asio::ip::tcp;

inline Tcp::endpoint loopback(std::uint16_t port)
{
    return {asio::ip::make_address("127.0.0.1"), port};
}

/// Runs \a action after \a delay.
inline void after(asio::io_context &io, Ms delay, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(io, delay);
    timer->async_wait([timer, action = std::move(action)](asio::error_code ec) {
        if (!ec)
            action();
    });
}

struct Message
{
    std::string first; // request or status line
    std::map<std::string, std::string> headers;
    std::string body;
    std::string caller; // the machine that sent it through a relay

    std::string header(const std::string &name) const
    {
        const auto it = headers.find(name);
        return it == headers.end() ? std::string() : it->second;
    }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        const std::size_t a = first.find(' ') + 1;
        return first.substr(a, first.find(' ', a) - a);
    }
    std::string path() const { return target().substr(0, target().find('?')); }
    std::string parameter(const std::string &name) const;
    int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
};

/// Takes one message off the front of \a buf, if it is complete.
std::optional<Message> takeMessage(std::string &buf);

using Respond = std::function<void(int status, const std::string &body)>;
using Handler = std::function<void(const Message &, Respond)>;

/// Keeps connections; handles one request of a connection at a time.
class HttpServer
{
public:
    HttpServer(asio::io_context &io, std::uint16_t port, Handler handler);
    /// Resets all connections. Later ones are reset too until open() is called.
    void shut();
    void open() { m_isShut = false; }

private:
    struct Connection;
    void accept();
    void read(const std::shared_ptr<Connection> &connection);
    void next(const std::shared_ptr<Connection> &connection);

    Tcp::acceptor m_acceptor;
    Handler m_handler;
    bool m_isShut = false;
    std::set<std::shared_ptr<Connection>> m_connections;
};

/// A client's channel to a front address. Calls done with status 0 if it ends without an answer.
class Channel : public std::enable_shared_from_this<Channel>
{
public:
    using Done = std::function<void(int status, const std::string &body)>;

    Channel(asio::io_context &io, std::uint16_t port);
    /// One request at a time.
    void send(const std::string &method, const std::string &path, const std::string &host,
              const std::string &body, std::uint64_t deadlineMs, Done done);
    void close();
    bool isOpen() const { return m_isOpen; }
    bool isBusy() const { return bool(m_done); }
    std::uint16_t port() const { return m_port; }

private:
    void read();
    void finish(int status, const std::string &body);

    asio::io_context &m_io;
    std::uint16_t m_port;
    Tcp::socket m_socket;
    std::string m_buf;
    std::string m_out;
    std::array<char, 16384> m_chunk{};
    Done m_done;
    bool m_isOpen = false;
};

/// Forwards connections to a port. While it is cut, nothing passes and nothing is lost or reset.
class Relay
{
public:
    Relay(asio::io_context &io, std::uint16_t port, std::uint16_t target);
    /// Silent in both directions; connections that were open or opened meanwhile are dead for good
    /// and are closed when the cut ends.
    void cut();
    void heal();
    /// The connections that are open now stay open and carry nothing any more; later ones work.
    void silence();
    bool isCut() const { return m_isCut; }
    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    /// Names the machine whose connections pass here, so that a server can tell who calls.
    void setCaller(const std::string &caller) { m_caller = caller; }

private:
    struct Pair;
    void accept();
    void pump(const std::shared_ptr<Pair> &pair, bool isForward);
    void end(const std::shared_ptr<Pair> &pair);

    asio::io_context &m_io;
    Tcp::acceptor m_acceptor;
    std::uint16_t m_target;
    bool m_isCut = false;
    std::string m_caller;
    std::set<std::shared_ptr<Pair>> m_pairs;
};

/// Machines by the port from which a relay calls for them.
std::map<std::uint16_t, std::string> &callersByPort();

std::uint16_t freePort();

} // namespace Review
