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

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace Http
