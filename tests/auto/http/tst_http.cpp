// Tests of the HTTP library over the loopback interface.
#include "../../support/faultrelay.h"

#include <base/failure.h>
#include <http/client.h>
#include <http/server.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <set>
#include <vector>

using namespace Http;

static std::uint16_t freePort(asio::io_context &io)
{
    asio::ip::tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
}

static std::string urlOf(std::uint16_t port, const std::string &path)
{
    return "http://127.0.0.1:" + std::to_string(port) + path;
}

static ServerOptions optionsFor(std::uint16_t port)
{
    ServerOptions options;
    options.address = "127.0.0.1";
    options.port = port;
    options.maxBodyBytes = 1000;
    return options;
}

// Guards against connections that count for good since their request was dropped without a
// response: they filled the limit, and each new connection was closed.
BOOST_AUTO_TEST_CASE(droppedRequestsReleaseTheirConnections)
{
    asio::io_context io;
    const std::uint16_t port = freePort(io);
    ServerOptions options = optionsFor(port);
    options.maxConnections = 10;
    Server server(io, options, [](const Request &request, const Respond &respond) {
        if (!request.matches("GET", {"dropped"}))
            respond({});
    });
    BOOST_TEST_REQUIRE(server.open().ok());
    Client client(io, 4);
    int dropped = 0;
    int status = 0;
    const auto get = [&](const std::string &path, const ResponseHandler &handler) {
        ClientRequest request;
        request.url = urlOf(port, path);
        request.idempotent = false;
        client.send(request, handler);
    };
    for (int i = 0; i < 30; ++i) {
        get("/dropped", [&](const ClientResponse &response) {
            BOOST_TEST(!response.status.ok());
            if (++dropped < 30)
                return;
            get("/answered", [&](const ClientResponse &answer) {
                status = answer.httpStatus;
                io.stop();
            });
        });
    }
    io.run_for(std::chrono::seconds(20));
    BOOST_TEST(dropped == 30);
    BOOST_TEST(status == 200);
}

// Guards against parts of a request or response that client or server drop.
BOOST_AUTO_TEST_CASE(requestsReachTheHandler)
{
    asio::io_context io;
    const std::uint16_t port = freePort(io);
    Server server(io, optionsFor(port), [](Request request, const Respond &respond) {
        BOOST_TEST(request.matches("POST", {"v1", "*", "x y"}));
        BOOST_TEST(request.parameter("waitMs") == "5");
        respond({201, request.body + request.authorization, "text/plain", 0});
    });
    BOOST_TEST_REQUIRE(server.open().ok());
    Client client(io, 4);
    int responseCount = 0;
    for (const bool idempotent : {true, false}) {
        ClientRequest request;
        request.method = "POST";
        request.url = urlOf(port, "/v1/a%2Fb/x%20y?waitMs=5");
        request.body = "body";
        request.authorization = "Bearer t";
        request.idempotent = idempotent;
        client.send(request, [&](const ClientResponse &response) {
            BOOST_TEST(response.status.ok());
            BOOST_TEST(response.httpStatus == 201);
            BOOST_TEST(response.body == "bodyBearer t");
            if (++responseCount == 2)
                io.stop();
        });
    }
    io.run_for(std::chrono::seconds(20));
    BOOST_TEST(responseCount == 2);
}

// Guards against a response that fills the memory.
BOOST_AUTO_TEST_CASE(oversizedResponsesFail)
{
    asio::io_context io;
    const std::uint16_t port = freePort(io);
    Server server(io, optionsFor(port), [](const Request &, const Respond &respond) {
        Response response;
        response.body.assign(100'000, 'x');
        respond(response);
    });
    BOOST_TEST_REQUIRE(server.open().ok());
    Client client(io, 4);
    int responseCount = 0;
    for (const std::size_t limit : {99'999, 100'000}) {
        ClientRequest request;
        request.url = urlOf(port, "/");
        request.maxResponseBytes = limit;
        client.send(request, [&, limit](const ClientResponse &response) {
            const bool fits = limit == 100'000;
            BOOST_TEST(response.status.ok() == fits);
            BOOST_TEST(response.isTooLarge == !fits);
            BOOST_TEST(response.body.size() == (fits ? 100'000U : 0U));
            if (++responseCount == 2)
                io.stop();
        });
    }
    io.run_for(std::chrono::seconds(20));
    BOOST_TEST(responseCount == 2);
}

// Guards against bodies over the limit reaching the handler.
BOOST_AUTO_TEST_CASE(oversizedBodiesAreRejected)
{
    asio::io_context io;
    const std::uint16_t port = freePort(io);
    bool isHandled = false;
    Server server(io, optionsFor(port), [&](const Request &, const Respond &respond) {
        isHandled = true;
        respond({});
    });
    BOOST_TEST_REQUIRE(server.open().ok());
    Client client(io, 4);
    ClientRequest request;
    request.method = "POST";
    request.url = urlOf(port, "/");
    request.body.assign(2000, 'x');
    bool isResponseReceived = false;
    client.send(request, [&](const ClientResponse &response) {
        isResponseReceived = true;
        BOOST_TEST((!response.status.ok() || response.httpStatus >= 400));
        io.stop();
    });
    io.run_for(std::chrono::seconds(20));
    BOOST_TEST(isResponseReceived);
    BOOST_TEST(!isHandled);
}

// Guards against a refused connection being reported as a request that may have been received.
BOOST_AUTO_TEST_CASE(refusedConnectionIsPeerUnreachable)
{
    asio::io_context io;
    Client client(io, 4);
    ClientRequest request;
    request.method = "POST";
    request.url = urlOf(freePort(io), "/");
    Base::FailureCode code = Base::FailureCode::None;
    client.send(request, [&](const ClientResponse &response) {
        code = Base::failureCode(response.status);
        io.stop();
    });
    io.run_for(std::chrono::seconds(20));
    BOOST_TEST((code == Base::FailureCode::PeerUnreachable));
}

/// A server that responds to the first request of each connection and closes it on the second.
class ClosingServer
{
public:
    ClosingServer(asio::io_context &io, std::uint16_t port)
        : m_acceptor(io, {asio::ip::make_address("127.0.0.1"), port})
    {
        accept();
    }

    int requestCount() const { return m_requestCount; }

private:
    struct Connection
    {
        explicit Connection(asio::ip::tcp::socket s)
            : socket(std::move(s))
        {}

        asio::ip::tcp::socket socket;
        asio::streambuf buf;
        int requestCount = 0;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const asio::error_code &ec, asio::ip::tcp::socket socket) {
            if (ec)
                return;
            read(std::make_shared<Connection>(std::move(socket)));
            accept();
        });
    }

    void read(const std::shared_ptr<Connection> &connection)
    {
        asio::async_read_until(connection->socket, connection->buf, "start-task",
                               [this, connection](const asio::error_code &ec, std::size_t n) {
                                   if (ec)
                                       return;
                                   connection->buf.consume(n);
                                   ++m_requestCount;
                                   if (++connection->requestCount > 1)
                                       return; // closes the connection
                                   sendResponse(connection);
                               });
    }

    void sendResponse(const std::shared_ptr<Connection> &connection)
    {
        static const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        asio::async_write(connection->socket, asio::buffer(response),
                          [this, connection](const asio::error_code &ec, std::size_t) {
                              if (!ec)
                                  read(connection);
                          });
    }

    asio::ip::tcp::acceptor m_acceptor;
    int m_requestCount = 0;
};

// Guards against libcurl retrying a request whose reused connection was closed before a response:
// the worker may have started the task, and would start it twice.
BOOST_AUTO_TEST_CASE(nonIdempotentRequestIsSentOnce)
{
    asio::io_context io;
    const std::uint16_t port = freePort(io);
    ClosingServer server(io, port);
    Client client(io, 4);
    ClientRequest request;
    request.method = "POST";
    request.url = urlOf(port, "/");
    request.body = "start-task";
    request.idempotent = false;
    Base::FailureCode code = Base::FailureCode::None;
    client.send(request, [&](const ClientResponse &first) {
        BOOST_TEST(first.status.ok());
        client.send(request, [&](const ClientResponse &second) {
            code = Base::failureCode(second.status);
            io.stop();
        });
    });
    io.run_for(std::chrono::seconds(20));
    BOOST_TEST((code == Base::FailureCode::FateUnknown));
    BOOST_TEST(server.requestCount() == 2);
}

/// Sends a request for \a instance, if that is not 0, and returns the response. \a whileOpen is
/// called before it is waited for.
static ClientResponse sendTo(
    asio::io_context &io, Client &client, std::uint16_t port, PeerInstance instance,
    const std::function<void()> &whileOpen = [] {})
{
    ClientRequest request;
    request.method = "POST";
    request.url = urlOf(port, "/");
    request.body = "start-task";
    request.idempotent = false;
    request.instance = instance;
    ClientResponse result;
    bool isDone = false;
    client.send(request, [&](const ClientResponse &response) {
        result = response;
        isDone = true;
    });
    whileOpen();
    for (int i = 0; i < 2000 && !isDone; ++i)
        io.run_for(std::chrono::milliseconds(10));
    BOOST_TEST_REQUIRE(isDone);
    return result;
}

// Guards against requests that reach another process than the one they are meant for, since it was
// started again at the same address.
BOOST_AUTO_TEST_CASE(requestToAnInstanceIsSentOverItsConnectionsOnly)
{
    asio::io_context io;
    const std::uint16_t serverPort = freePort(io);
    const std::uint16_t port = freePort(io);
    TestSupport::FaultRelay relay(io, port, serverPort);
    int handledCount = 0;
    std::set<std::uint64_t> connections;
    const auto handler = [&](const Request &request, const Respond &respond) {
        ++handledCount;
        connections.insert(request.connection);
        respond({});
    };
    Server server(io, optionsFor(serverPort), handler);
    BOOST_TEST_REQUIRE(server.open().ok());
    Client client(io, 4);
    const auto isUnconfirmed = [&](std::uint64_t instance) {
        const int before = handledCount;
        const ClientResponse response = sendTo(io, client, port, PeerInstance(instance));
        const bool isUnreachable =
            Base::failureCode(response.status) == Base::FailureCode::PeerUnreachable;
        BOOST_TEST(response.isInstanceUnconfirmed == isUnreachable);
        BOOST_TEST(handledCount == before + (isUnreachable ? 0 : 1));
        return response.isInstanceUnconfirmed;
    };
    BOOST_TEST(isUnconfirmed(1)); // no connection
    const ClientResponse first = sendTo(io, client, port, {});
    BOOST_TEST_REQUIRE(first.connection.value() != 0U);
    client.setInstance(first.connection, PeerInstance(1));
    BOOST_TEST(!isUnconfirmed(1));
    BOOST_TEST(!isUnconfirmed(1));
    BOOST_TEST((sendTo(io, client, port, {}).connection == first.connection));
    BOOST_TEST(connections.size() == 1U);
    BOOST_TEST(isUnconfirmed(2)); // which closes the connection
    BOOST_TEST(isUnconfirmed(1));
    const ClientResponse second = sendTo(io, client, port, {});
    BOOST_TEST((second.connection != first.connection));
    client.setInstance(first.connection, PeerInstance(1)); // closed
    BOOST_TEST(isUnconfirmed(1));
    client.setInstance(sendTo(io, client, port, {}).connection, PeerInstance(1));
    BOOST_TEST(!isUnconfirmed(1));
    relay.reset(); // as a process does that ends
    io.run_for(std::chrono::milliseconds(50));
    BOOST_TEST(isUnconfirmed(1));
}

// Guards against requests that count as not sent although the peer received them: curl tries them
// again on a new connection, which is refused, when the peer closes theirs without a response.
BOOST_AUTO_TEST_CASE(requestToAnInstanceThatIsCutOffMayHaveBeenReceived)
{
    asio::io_context io;
    const std::uint16_t port = freePort(io);
    ClosingServer server(io, port);
    Client client(io, 4);
    client.setInstance(sendTo(io, client, port, {}).connection, PeerInstance(1));
    const ClientResponse response = sendTo(io, client, port, PeerInstance(1));
    BOOST_TEST(server.requestCount() == 2);
    BOOST_TEST((Base::failureCode(response.status) == Base::FailureCode::FateUnknown));
    BOOST_TEST(!response.isInstanceUnconfirmed);
    BOOST_TEST(response.isDisconnected);
}

// A second request does not open a connection while the one to its instance is in use.
BOOST_AUTO_TEST_CASE(requestToAnInstanceWhoseConnectionsAreBusyIsNotSent)
{
    asio::io_context io;
    const std::uint16_t port = freePort(io);
    std::vector<Respond> open;
    Server server(io, optionsFor(port), [&](const Request &, const Respond &respond) {
        open.push_back(respond);
        if (open.size() != 2)
            respond({});
    });
    BOOST_TEST_REQUIRE(server.open().ok());
    Client client(io, 4);
    client.setInstance(sendTo(io, client, port, {}).connection, PeerInstance(1));
    const ClientResponse held = sendTo(io, client, port, PeerInstance(1), [&] {
        while (open.size() < 2)
            io.run_for(std::chrono::milliseconds(10));
        BOOST_TEST(sendTo(io, client, port, PeerInstance(1)).isInstanceUnconfirmed);
        BOOST_TEST(open.size() == 2U);
        open.back()({});
    });
    BOOST_TEST(held.status.ok());
    BOOST_TEST(sendTo(io, client, port, PeerInstance(1)).status.ok());
}

/// Sends \a requests over a new connection and returns it.
static asio::ip::tcp::socket sendText(asio::io_context &io, std::uint16_t port,
                                      const std::string &text)
{
    asio::ip::tcp::socket socket(io);
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    asio::write(socket, asio::buffer(text));
    return socket;
}

static void closeSocket(asio::ip::tcp::socket &socket, bool isReset)
{
    socket.set_option(asio::socket_base::linger(isReset, 0));
    socket.close();
}

// Guards against jobs that go on after their caller has left, since the server reads no further
// while it has as many open requests of a connection as it takes, with or without more behind them.
BOOST_AUTO_TEST_CASE(endOfConnectionWithOpenRequestsIsNoticed)
{
    for (const int requests : {1, 2, 3, 7}) {
        for (const bool isReset : {false, true}) {
            BOOST_TEST_CONTEXT(requests << " requests, reset: " << isReset)
            {
                asio::io_context io;
                const std::uint16_t port = freePort(io);
                std::vector<Respond> open;
                int closedCount = 0;
                ServerOptions options = optionsFor(port);
                options.connectionClosed = [&](std::uint64_t) {
                    ++closedCount;
                    open.clear();
                    io.stop();
                };
                Server server(io, options, [&](const Request &, const Respond &respond) {
                    open.push_back(respond);
                });
                BOOST_TEST_REQUIRE(server.open().ok());
                std::string text;
                for (int i = 0; i < requests; ++i)
                    text += "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx";
                auto socket = sendText(io, port, text);
                io.run_for(std::chrono::milliseconds(300));
                BOOST_TEST(open.size() == std::size_t(std::min(requests, 2)));
                BOOST_TEST(closedCount == 0);
                closeSocket(socket, isReset);
                io.run_for(std::chrono::seconds(20));
                BOOST_TEST(closedCount == 1);
            }
        }
    }
}

// Guards against a request that is started although its caller left before it was read, and has
// sent it again elsewhere by then.
BOOST_AUTO_TEST_CASE(requestOfALeftCallerIsNotHandedOver)
{
    for (const bool isReset : {false, true}) {
        asio::io_context io;
        const std::uint16_t port = freePort(io);
        int handledCount = 0;
        ServerOptions options = optionsFor(port);
        options.connectionClosed = [](std::uint64_t) {};
        Server server(io, options, [&](const Request &request, const Respond &respond) {
            handledCount += request.rawPath == "/left" ? 1 : 0;
            respond({});
            if (request.rawPath == "/stayed")
                io.stop();
        });
        BOOST_TEST_REQUIRE(server.open().ok());
        auto left = sendText(io, port, "POST /left HTTP/1.1\r\nContent-Length: 1\r\n\r\nx");
        closeSocket(left, isReset); // before the server's loop has run
        const auto stayed = sendText(io, port, "GET /stayed HTTP/1.1\r\n\r\n");
        io.run_for(std::chrono::seconds(20));
        BOOST_TEST(handledCount == 0);
    }
}
