// Uses one libcurl easy handle for all requests, so that connections are kept alive.
#include "httpclient.h"

#include "commandlineconstants.h"

#include <base/failure.h>

#include <curl/curl.h>
#include <fmt/format.h>

#include <cctype>

namespace CommandLine {

using Base::FailureCode;
using Base::makeFailure;

struct HttpClient::Private
{
    CURL *handle = nullptr;
};

HttpClient::HttpClient()
    : m_d(std::make_unique<Private>())
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    m_d->handle = curl_easy_init();
}

HttpClient::~HttpClient()
{
    curl_easy_cleanup(m_d->handle);
    curl_global_cleanup();
}

static std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *user)
{
    auto *body = static_cast<std::string *>(user);
    const std::size_t n = size * count;
    // libcurl aborts the transfer when less than n is returned.
    if (body->size() + n > Constants::MAX_REPLY_BYTES)
        return 0;
    body->append(data, n);
    return n;
}

static absl::Status transportFailure(CURL *handle, CURLcode code, const HttpRequest &request)
{
    curl_off_t connectTime = 0;
    curl_easy_getinfo(handle, CURLINFO_CONNECT_TIME_T, &connectTime);
    const std::string text =
        fmt::format("{} {}: {}", request.method, request.url, curl_easy_strerror(code));
    if (connectTime == 0) {
        return makeFailure(FailureCode::PeerUnreachable,
                           text + "; check the address and that the daemon runs");
    }
    if (request.method == "GET") {
        return makeFailure(FailureCode::Timeout,
                           text + "; repeat the command, with a larger --timeout-ms if it is slow");
    }
    return makeFailure(
        FailureCode::FateUnknown,
        text + "; the request may have taken effect; check the state before repeating it");
}

absl::Status HttpClient::send(const HttpRequest &request, HttpReply &reply)
{
    CURL *handle = m_d->handle;
    if (!handle)
        return makeFailure(FailureCode::Internal, "libcurl could not be initialised");
    curl_easy_reset(handle);
    reply = {};
    curl_slist *headers = curl_slist_append(nullptr, "Content-Type: application/json");
    // Without this, libcurl waits for "100 Continue" before it sends a large body.
    headers = curl_slist_append(headers, "Expect:");
    if (!request.token.empty())
        headers = curl_slist_append(headers, ("Authorization: Bearer " + request.token).c_str());
    curl_easy_setopt(handle, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    // Ignores proxies from the environment: only the given daemon may receive the token.
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &reply.body);
    if (request.method != "GET") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(request.body.size()));
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    }
    const CURLcode code = curl_easy_perform(handle);
    curl_slist_free_all(headers);
    if (code != CURLE_OK)
        return transportFailure(handle, code, request);
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &reply.status);
    return absl::OkStatus();
}

std::string percentEncoded(const std::string &text)
{
    std::string result;
    for (const unsigned char c : text) {
        if (c < 128 && (std::isalnum(c) || c == '-' || c == '.' || c == '_' || c == '~'))
            result += static_cast<char>(c);
        else
            result += fmt::format("%{:02X}", c);
    }
    return result;
}

} // namespace CommandLine
