// Blocking HTTP client based on libcurl, for a process that sends one request at a time.
#pragma once

#include <absl/status/status.h>

#include <chrono>
#include <memory>
#include <string>

namespace CommandLine {

struct HttpRequest
{
    std::string method; // GET, POST or PUT
    std::string url;
    std::string body;
    std::string token; // for "Authorization: Bearer", if not empty
    std::chrono::milliseconds timeout{0};
};

struct HttpReply
{
    long status = 0;
    std::string body;
};

class HttpClient
{
public:
    HttpClient();
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends \a request and waits for the complete reply, whatever its HTTP status. Errors:
    /// peerUnreachable (not sent), timeout (no complete reply to a GET), fateUnknown (no complete
    /// reply to a request that may have taken effect).
    absl::Status send(const HttpRequest &request, HttpReply &reply);

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

/// \a text with all but the unreserved characters of RFC 3986 percent-encoded.
std::string percentEncoded(const std::string &text);

} // namespace CommandLine
