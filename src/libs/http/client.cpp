// Drives libcurl's multi interface from an Asio event loop: curl requests the sockets and the
// timeout to wait for, the loop waits and notifies curl.
#include "client.h"

#include "httpconstants.h"

#include <base/failure.h>
#include <base/softassert.h>

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>

#include <unistd.h>

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Http {

using Base::FailureCode;
using Base::makeFailure;

/// Ends of a connection. Different for all connections that are open at the same time.
struct ConnectionEnds
{
    std::string peerAddress;
    long peerPort = 0;
    long localPort = 0;

    auto operator<=>(const ConnectionEnds &) const = default; // NOLINT(modernize-use-nullptr)
};

/// The open connections over which a response was received, and the instances that they lead to.
class ConnectionTable
{
public:
    /// The connection of a transfer that has ended and is still in \a easy; 0 if it is closed.
    ConnectionId idOf(CURL *easy);
    void closed(curl_socket_t fd);
    void setInstance(ConnectionId id, PeerInstance instance);
    /// 0 if unknown.
    PeerInstance instanceAt(const ConnectionEnds &ends) const;

private:
    struct Connection
    {
        ConnectionEnds ends;
        PeerInstance instance;
    };

    ConnectionId m_lastId;
    // The same connections are in all three: curl reports the end of each.
    std::map<ConnectionId, Connection> m_connections;
    std::map<ConnectionEnds, ConnectionId> m_byEnds;
    std::unordered_map<curl_socket_t, ConnectionId> m_bySocket;
};

struct Transfer
{
    std::uint64_t id = 0;
    CURL *easy = nullptr;
    curl_slist *headers = nullptr;
    std::string requestBody;
    std::size_t bodyOffset = 0; // bytes of requestBody already handed to curl
    std::string responseBody;
    std::size_t maxResponseBytes = Constants::MAX_RESPONSE_BYTES;
    bool isTooLarge = false;
    PeerInstance instance; // 0: any
    /// curl was kept from using another connection, at first or after the one to the instance was
    /// closed without a response.
    bool isConnectionRefused = false;
    const ConnectionTable *connections = nullptr;
    ResponseHandler handler;
};

/// A socket that curl has asked to wait for.
struct WatchedSocket
{
    explicit WatchedSocket(asio::io_context &io, int fd)
        : descriptor(io, fd)
    {}

    asio::posix::stream_descriptor descriptor;
    int interest = CURL_POLL_NONE;
    bool isReadWaitPending = false;
    bool isWriteWaitPending = false;
};

struct Client::Private
{
    Private(asio::io_context &ioContext, long maxConnectionsPerHost);
    ~Private();

    static int socketCallback(CURL *, curl_socket_t fd, int what, void *user, void *)
    {
        static_cast<Private *>(user)->updateSocket(fd, what);
        return 0;
    }
    static int closeSocketCallback(void *user, curl_socket_t fd)
    {
        static_cast<Private *>(user)->connections.closed(fd);
        return close(fd);
    }
    static int timerCallback(CURLM *, long milliseconds, void *user)
    {
        static_cast<Private *>(user)->setTimeout(milliseconds);
        return 0;
    }

    void updateSocket(curl_socket_t fd, int what);
    void startWaits(curl_socket_t fd, std::uint64_t generation);
    void socketReady(curl_socket_t fd, std::uint64_t generation, int event);
    void setTimeout(long milliseconds);
    void performSocketAction(curl_socket_t fd, int event);
    void finishTransfers();
    void finishTransfer(CURL *easy, CURLcode code);
    void release(Transfer &transfer);
    CURL *takeHandle();
    void configure(Transfer &transfer, const ClientRequest &request);

    asio::io_context &io;
    asio::steady_timer timer;
    std::uint64_t timerGeneration = 0;
    CURLM *multi = nullptr;
    std::uint64_t lastId = 0;
    std::uint64_t lastGeneration = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<Transfer>> transfers;
    // The generation distinguishes a reused descriptor number from that of a stale wait.
    std::unordered_map<curl_socket_t, std::pair<std::uint64_t, std::unique_ptr<WatchedSocket>>>
        sockets;
    std::vector<CURL *> idleHandles;
    ConnectionTable connections;
    // Captured by Asio handlers, so that they do nothing after the client is destroyed.
    std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

ConnectionId ConnectionTable::idOf(CURL *easy)
{
    const char *address = nullptr;
    ConnectionEnds ends;
    curl_easy_getinfo(easy, CURLINFO_PRIMARY_IP, &address);
    curl_easy_getinfo(easy, CURLINFO_PRIMARY_PORT, &ends.peerPort);
    curl_easy_getinfo(easy, CURLINFO_LOCAL_PORT, &ends.localPort);
    ends.peerAddress = address ? address : "";
    const auto known = m_byEnds.find(ends);
    if (known != m_byEnds.end())
        return known->second;
    curl_socket_t fd = CURL_SOCKET_BAD;
    curl_easy_getinfo(easy, CURLINFO_ACTIVESOCKET, &fd);
    if (fd == CURL_SOCKET_BAD)
        return {};
    EP_ASSERT(!m_bySocket.contains(fd), closed(fd));
    m_lastId = m_lastId.next();
    m_connections.emplace(m_lastId, Connection{ends, {}});
    m_byEnds.emplace(ends, m_lastId);
    m_bySocket.emplace(fd, m_lastId);
    return m_lastId;
}

void ConnectionTable::closed(curl_socket_t fd)
{
    const auto it = m_bySocket.find(fd);
    if (it == m_bySocket.end())
        return;
    const auto connection = m_connections.find(it->second);
    m_byEnds.erase(connection->second.ends);
    m_connections.erase(connection);
    m_bySocket.erase(it);
}

void ConnectionTable::setInstance(ConnectionId id, PeerInstance instance)
{
    const auto it = m_connections.find(id);
    if (it != m_connections.end())
        it->second.instance = instance;
}

PeerInstance ConnectionTable::instanceAt(const ConnectionEnds &ends) const
{
    const auto it = m_byEnds.find(ends);
    return it == m_byEnds.end() ? PeerInstance() : m_connections.at(it->second).instance;
}

/// Called in place of opening a socket for a request to a certain instance.
static curl_socket_t refuseSocket(void *user, curlsocktype, curl_sockaddr *)
{
    static_cast<Transfer *>(user)->isConnectionRefused = true;
    return CURL_SOCKET_BAD;
}

/// Called when curl has chosen a connection for a request to a certain instance, before it sends
/// anything.
static int checkInstance(void *user, char *peerAddress, char *, int peerPort, int localPort)
{
    auto *transfer = static_cast<Transfer *>(user);
    const PeerInstance instance =
        transfer->connections->instanceAt({peerAddress, peerPort, localPort});
    if (instance == transfer->instance)
        return CURL_PREREQFUNC_OK;
    transfer->isConnectionRefused = true;
    return CURL_PREREQFUNC_ABORT;
}

static std::size_t writeCallback(char *data, std::size_t, std::size_t n, void *user)
{
    auto *transfer = static_cast<Transfer *>(user);
    if (n > transfer->maxResponseBytes - transfer->responseBody.size()) {
        transfer->isTooLarge = true;
        return 0; // ends the transfer
    }
    transfer->responseBody.append(data, n);
    return n;
}

static std::size_t readCallback(char *buf, std::size_t size, std::size_t count, void *user)
{
    auto *transfer = static_cast<Transfer *>(user);
    const std::size_t n =
        std::min(size * count, transfer->requestBody.size() - transfer->bodyOffset);
    std::copy_n(transfer->requestBody.data() + transfer->bodyOffset, n, buf);
    transfer->bodyOffset += n;
    return n;
}

Client::Private::Private(asio::io_context &ioContext, long maxConnectionsPerHost)
    : io(ioContext)
    , timer(ioContext)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    multi = curl_multi_init();
    curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, socketCallback);
    curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, timerCallback);
    curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi, CURLMOPT_MAX_HOST_CONNECTIONS, maxConnectionsPerHost);
    curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, Constants::MAX_CACHED_CONNECTIONS);
    curl_multi_setopt(multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
}

Client::Private::~Private()
{
    *isAlive = false;
    for (auto &it : transfers) {
        curl_multi_remove_handle(multi, it.second->easy);
        curl_easy_cleanup(it.second->easy);
        curl_slist_free_all(it.second->headers);
    }
    for (CURL *it : idleHandles)
        curl_easy_cleanup(it);
    curl_multi_cleanup(multi);
    for (auto &it : sockets)
        it.second.second->descriptor.release();
}

void Client::Private::updateSocket(curl_socket_t fd, int what)
{
    const auto it = sockets.find(fd);
    if (what == CURL_POLL_REMOVE) {
        if (it == sockets.end())
            return;
        // curl owns and closes the descriptor.
        it->second.second->descriptor.release();
        sockets.erase(it);
        return;
    }
    if (it == sockets.end()) {
        sockets.emplace(fd, std::pair(++lastGeneration, std::make_unique<WatchedSocket>(io, fd)));
    }
    auto &[generation, socket] = sockets.at(fd);
    socket->interest = what;
    startWaits(fd, generation);
}

void Client::Private::startWaits(curl_socket_t fd, std::uint64_t generation)
{
    const auto it = sockets.find(fd);
    if (it == sockets.end() || it->second.first != generation)
        return;
    WatchedSocket &socket = *it->second.second;
    if ((socket.interest & CURL_POLL_IN) && !socket.isReadWaitPending) {
        socket.isReadWaitPending = true;
        socket.descriptor.async_wait(
            asio::posix::stream_descriptor::wait_read,
            [this, alive = isAlive, fd, generation](const asio::error_code &ec) {
                if (*alive && !ec)
                    socketReady(fd, generation, CURL_CSELECT_IN);
            });
    }
    if ((socket.interest & CURL_POLL_OUT) && !socket.isWriteWaitPending) {
        socket.isWriteWaitPending = true;
        socket.descriptor.async_wait(
            asio::posix::stream_descriptor::wait_write,
            [this, alive = isAlive, fd, generation](const asio::error_code &ec) {
                if (*alive && !ec)
                    socketReady(fd, generation, CURL_CSELECT_OUT);
            });
    }
}

void Client::Private::socketReady(curl_socket_t fd, std::uint64_t generation, int event)
{
    const auto it = sockets.find(fd);
    if (it == sockets.end() || it->second.first != generation)
        return;
    WatchedSocket &socket = *it->second.second;
    const bool isRead = event == CURL_CSELECT_IN;
    (isRead ? socket.isReadWaitPending : socket.isWriteWaitPending) = false;
    if (socket.interest & (isRead ? CURL_POLL_IN : CURL_POLL_OUT))
        performSocketAction(fd, event);
    startWaits(fd, generation);
}

void Client::Private::setTimeout(long milliseconds)
{
    const std::uint64_t generation = ++timerGeneration;
    timer.cancel();
    if (milliseconds < 0)
        return;
    timer.expires_after(std::chrono::milliseconds(milliseconds));
    timer.async_wait([this, alive = isAlive, generation](const asio::error_code &ec) {
        if (*alive && !ec && generation == timerGeneration)
            performSocketAction(CURL_SOCKET_TIMEOUT, 0);
    });
}

void Client::Private::performSocketAction(curl_socket_t fd, int event)
{
    int running = 0;
    curl_multi_socket_action(multi, fd, event, &running);
    finishTransfers();
}

void Client::Private::finishTransfers()
{
    int remaining = 0;
    while (const CURLMsg *message = curl_multi_info_read(multi, &remaining)) {
        if (message->msg == CURLMSG_DONE)
            finishTransfer(message->easy_handle, message->data.result);
    }
}

static absl::Status transferStatus(CURL *easy, CURLcode code)
{
    if (code == CURLE_OK)
        return absl::OkStatus();
    long requestBytes = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &requestBytes);
    const FailureCode failure =
        requestBytes == 0 ? FailureCode::PeerUnreachable : FailureCode::FateUnknown;
    return makeFailure(failure, curl_easy_strerror(code));
}

/// Whether the transfer failed because the peer closed, reset or refused the connection.
static bool isDisconnectedByPeer(CURL *easy, CURLcode code)
{
    long error = 0; // errno of a failed connect
    curl_easy_getinfo(easy, CURLINFO_OS_ERRNO, &error);
    return code == CURLE_GOT_NOTHING || code == CURLE_RECV_ERROR || code == CURLE_SEND_ERROR
           || code == CURLE_PARTIAL_FILE
           || (code == CURLE_COULDNT_CONNECT && (error == ECONNREFUSED || error == ECONNRESET));
}

void Client::Private::finishTransfer(CURL *easy, CURLcode code)
{
    Transfer *owner = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &owner);
    EP_ASSERT(owner, return);
    const auto it = transfers.find(owner->id);
    EP_ASSERT(it != transfers.end(), return);
    const std::unique_ptr<Transfer> transfer = std::move(it->second);
    transfers.erase(it);
    ClientResponse response;
    response.status = transferStatus(easy, code);
    response.isDisconnected = isDisconnectedByPeer(easy, code);
    response.isTooLarge = transfer->isTooLarge;
    if (!response.status.ok() && transfer->isConnectionRefused) {
        const bool isUnsent = Base::failureCode(response.status) == FailureCode::PeerUnreachable;
        (isUnsent ? response.isInstanceUnconfirmed : response.isDisconnected) = true;
    }
    if (response.status.ok()) {
        response.connection = connections.idOf(easy);
        long httpStatus = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &httpStatus);
        response.httpStatus = static_cast<int>(httpStatus);
        response.body = std::move(transfer->responseBody);
    }
    curl_multi_remove_handle(multi, easy);
    const ResponseHandler handler = std::move(transfer->handler);
    release(*transfer);
    handler(std::move(response));
}

void Client::Private::release(Transfer &transfer)
{
    curl_slist_free_all(transfer.headers);
    transfer.headers = nullptr;
    if (idleHandles.size() < Constants::MAX_IDLE_HANDLES) {
        curl_easy_reset(transfer.easy);
        idleHandles.push_back(transfer.easy);
    } else {
        curl_easy_cleanup(transfer.easy);
    }
    transfer.easy = nullptr;
}

CURL *Client::Private::takeHandle()
{
    if (idleHandles.empty())
        return curl_easy_init();
    CURL *easy = idleHandles.back();
    idleHandles.pop_back();
    return easy;
}

void Client::Private::configure(Transfer &transfer, const ClientRequest &request)
{
    CURL *easy = transfer.easy;
    curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(
        easy, CURLOPT_TIMEOUT_MS,
        static_cast<long>(std::max<std::int64_t>(1, Base::toMilliseconds(request.timeout))));
    const Base::Duration connectTimeout = request.connectTimeout.count() > 0
                                              ? request.connectTimeout
                                              : Base::Duration(Constants::CONNECT_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(Base::toMilliseconds(connectTimeout)));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, writeCallback);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
    transfer.headers = curl_slist_append(nullptr, "Content-Type: application/json");
    transfer.headers = curl_slist_append(transfer.headers, "Expect:");
    for (const std::string &it : request.headers)
        transfer.headers = curl_slist_append(transfer.headers, it.c_str());
    if (!request.authorization.empty()) {
        transfer.headers = curl_slist_append(transfer.headers,
                                             ("Authorization: " + request.authorization).c_str());
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, closeSocketCallback);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
    if (request.instance.value() != 0) {
        transfer.instance = request.instance;
        transfer.connections = &connections;
        curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, refuseSocket);
        curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, checkInstance);
        curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
    }
    if (request.method == "GET")
        return;
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(transfer.requestBody.size()));
    if (request.idempotent) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, transfer.requestBody.c_str());
        return;
    }
    // curl silently retries a request if a reused connection is closed before a response, unless
    // it would have to rewind a body that can't be rewound. A read callback without a seek
    // callback makes the request fail instead.
    curl_easy_setopt(easy, CURLOPT_READFUNCTION, readCallback);
    curl_easy_setopt(easy, CURLOPT_READDATA, &transfer);
}

Client::Client(asio::io_context &io, long maxConnectionsPerHost)
    : m_d(std::make_unique<Private>(io, maxConnectionsPerHost))
{}

Client::~Client() = default;

ClientRequestId Client::send(ClientRequest request, ResponseHandler handler)
{
    const std::uint64_t id = ++m_d->lastId;
    auto transfer = std::make_unique<Transfer>();
    transfer->id = id;
    transfer->easy = m_d->takeHandle();
    transfer->requestBody = std::move(request.body);
    if (request.maxResponseBytes > 0)
        transfer->maxResponseBytes = request.maxResponseBytes;
    transfer->handler = std::move(handler);
    m_d->configure(*transfer, request);
    CURL *easy = transfer->easy;
    m_d->transfers.emplace(id, std::move(transfer));
    curl_multi_add_handle(m_d->multi, easy);
    return ClientRequestId(id);
}

void Client::cancel(ClientRequestId id)
{
    const auto it = m_d->transfers.find(id.value());
    if (it == m_d->transfers.end())
        return;
    const std::unique_ptr<Transfer> transfer = std::move(it->second);
    m_d->transfers.erase(it);
    curl_multi_remove_handle(m_d->multi, transfer->easy);
    m_d->release(*transfer);
}

void Client::setInstance(ConnectionId connection, PeerInstance instance)
{
    m_d->connections.setInstance(connection, instance);
}

std::size_t Client::pendingCount() const
{
    return m_d->transfers.size();
}

} // namespace Http
