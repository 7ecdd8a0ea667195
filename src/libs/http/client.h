// HTTP client on the daemon's event loop, with connection reuse.
#pragma once

#include <absl/status/status.h>
#include <base/ids.h>
#include <base/timers.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace asio {
class io_context;
}

namespace Http {

/// Tells apart the processes that are reachable at one address after each other. The numbers are
/// those of the client's user; 0 stands for an unknown one.
using PeerInstance = Base::Number<struct PeerInstanceTag>;
/// An open connection. Not used again after it was closed; 0 stands for none.
using ConnectionId = Base::Number<struct ConnectionIdTag>;

struct ClientRequest
{
    std::string method = "GET";
    std::string url;
    std::string body;
    Base::Duration timeout{std::chrono::seconds(2)};
    std::string authorization;        // sent if not empty
    std::vector<std::string> headers; // further header lines, "Name: value"
    /// Timeout for opening a connection; 0 stands for Constants::CONNECT_TIMEOUT_MS.
    Base::Duration connectTimeout{0};
    /// A request that is not idempotent is never retried by libcurl, not even if a kept-alive
    /// connection is closed before a response arrives.
    bool idempotent = true;
    /// A response with a longer body fails; 0 stands for Constants::MAX_RESPONSE_BYTES.
    std::size_t maxResponseBytes = 0;
    /// Unless 0, the request is sent only over an open connection to this instance, see
    /// Client::setInstance(). A new connection may lead to another one, so none is opened.
    PeerInstance instance;
};

struct ClientResponse
{
    /// OK if a complete HTTP response of any status was received. peerUnreachable: no byte of the
    /// request was sent. fateUnknown: the request may have been received.
    absl::Status status;
    /// The peer closed, reset or refused the connection; not set if it did not react at all.
    bool isDisconnected = false;
    /// The body exceeded ClientRequest::maxResponseBytes.
    bool isTooLarge = false;
    /// Not sent, since there is no idle connection to ClientRequest::instance; the status is
    /// peerUnreachable.
    bool isInstanceUnconfirmed = false;
    /// Over which the response was received; 0 if it has been closed since.
    ConnectionId connection;
    int httpStatus = 0;
    std::string body;
};

using ClientRequestId = Base::Number<struct ClientRequestIdTag>;
using ResponseHandler = std::function<void(ClientResponse)>;

/// Sends requests through libcurl on an Asio event loop. Handlers are called on that loop, never
/// from within send().
class Client
{
public:
    /// \a maxConnectionsPerHost limits parallel connections; further requests are queued.
    Client(asio::io_context &io, long maxConnectionsPerHost);
    ~Client();

    ClientRequestId send(ClientRequest request, ResponseHandler handler);
    /// Cancels a request without calling its handler. Unknown ids are ignored.
    void cancel(ClientRequestId id);
    std::size_t pendingCount() const;
    /// The process at the other end of \a connection has stated that it is \a instance. That holds
    /// until the connection is closed. Connections that are closed already are ignored.
    void setInstance(ConnectionId connection, PeerInstance instance);

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace Http
