// HTTP client on the daemon's loop, with connection reuse.
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
    /// Bound on opening a connection; 0 stands for the library's default.
    Base::Duration connectTimeout{0};
    /// A request that is not idempotent is never sent a second time by the library, not even if a
    /// kept-alive connection is closed before an answer arrives.
    bool idempotent = true;
};

struct ClientResponse
{
    /// OK if an HTTP response of any status arrived whole. peerUnreachable: no byte of the request
    /// was sent. fateUnknown: the request may have been received.
    absl::Status status;
    int httpStatus = 0;
    std::string body;
};

using ClientRequestId = Base::Number<struct ClientRequestIdTag>;
using ResponseHandler = std::function<void(ClientResponse)>;

/// Sends requests on an Asio loop through libcurl. Handlers run on the loop and never from within
/// send().
class Client
{
public:
    /// \a maxConnectionsPerHost bounds parallel connections; further requests wait.
    Client(asio::io_context &io, long maxConnectionsPerHost);
    ~Client();

    ClientRequestId send(ClientRequest request, ResponseHandler handler);
    /// Drops a request; its handler is not called. Unknown ids are ignored.
    void cancel(ClientRequestId id);
    std::size_t pendingCount() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace Http
