// HTTP interface of the platform stand-in, with fault injection.
#pragma once

#include "tablestore.h"

#include <base/timers.h>
#include <http/server.h>
#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <string>

namespace PlatformStandin {

/// Serves table, objects and hosts as described in docs/protocols.md. POST /control injects faults.
class PlatformServer
{
public:
    PlatformServer(asio::io_context &io, Base::Timers &timers, Http::ServerOptions options);

    absl::Status open();

private:
    void handle(const Http::Request &request, const Http::Respond &respond);
    void serve(const Http::Request &request, const Http::Respond &respond);
    void readRow(const Http::Request &request, const Http::Respond &respond);
    void writeRow(const Http::Request &request, const Http::Respond &respond);
    void readObject(const Http::Request &request, const Http::Respond &respond);
    void writeObject(const Http::Request &request, const Http::Respond &respond);
    void control(const Http::Request &request, const Http::Respond &respond);
    void setHost(const Http::Request &request, const Http::Respond &respond);
    nlohmann::json hostList();

    struct HostChange
    {
        Base::TimePoint visibleAt;
        std::string host;
        std::string state;
    };

    Base::Timers &m_timers;
    Http::Server m_server;
    TableStore m_table;
    std::map<std::string, std::string> m_objects;
    std::map<std::string, std::string> m_hosts; // as visible now
    std::deque<HostChange> m_hostChanges;       // not yet visible, in order
    std::uint64_t m_requestCount = 0;

    // Injected faults.
    bool m_isDown = false;                // every request gets status 503
    bool m_isSilent = false;              // no request gets a response
    std::chrono::milliseconds m_delay{0}; // before a request is processed
    std::chrono::milliseconds m_hostListLag{0};
    std::uint32_t m_responsesToDrop = 0; // the next writes take effect without a response
};

} // namespace PlatformStandin
