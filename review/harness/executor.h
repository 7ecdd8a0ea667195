// Stand-in for an executor of the platform, after PROTOCOL.md: fencing tokens, leases on its own
// clock, run numbers, listings, and lifetimes under one id.
#pragma once

#include "record.h"
#include "relay.h"

#include <base/timers.h>
#include <http/server.h>
#include <nlohmann/json.hpp>
#include <tests/soak/store.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace Review {

struct ExecutorOptions
{
    std::string id;
    std::string zone;
    std::uint16_t port = 0;      // of its server
    std::uint16_t relayPort = 0; // at which the daemons find it
    std::uint32_t cpuMillis = 16'000;
    double clockRate = 1; // of its steady clock; may be 2 % slow
    double speed = 1;
};

class Executor
{
public:
    Executor(asio::io_context &io, Base::Timers &timers, Soak::Store &store, Record &record,
             ExecutorOptions options);

    const ExecutorOptions &options() const { return m_options; }
    Relay &relay() { return m_relay; }
    std::size_t runCount() const { return m_runs.size(); }
    /// The highest token that it has seen.
    std::uint64_t token() const { return m_token; }
    /// The process dies, and starts again under the same id after \a downtime.
    void crash(Milliseconds downtime);

private:
    struct Run
    {
        std::uint64_t number = 0;
        std::uint64_t id = 0; // unique
        bool isStopping = false;
    };
    struct End
    {
        std::uint64_t sequence = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
    };

    void begin();
    void heartbeat(std::uint64_t born);
    void writeRegistration();
    std::int64_t clock() const;
    void schedule(Base::Duration delay, std::function<void()> action);
    void handle(const Http::Request &request, const Http::Respond &respond);
    Http::Response start(const nlohmann::json &body);
    Http::Response stop(const nlohmann::json &body);
    void hold(const nlohmann::json &body, const Http::Respond &respond);
    void extendLease(const nlohmann::json &body);
    void checkLease();
    void endRun(const std::string &task, std::uint64_t id, const std::string &how);
    Http::Response list() const;
    Http::Response answer(int status, const char *reason = nullptr) const;

    Base::Timers &m_timers;
    Soak::Store &m_store;
    Record &m_record;
    const ExecutorOptions m_options;
    Relay m_relay;
    std::unique_ptr<Http::Server> m_server;
    std::uint64_t m_born = 0; // 0 while it is down
    std::uint64_t m_sequence = 0;
    Base::TimePoint m_started;
    std::uint64_t m_token = 0;
    std::int64_t m_leaseEnd = 0; // on its clock
    std::multimap<std::string, Run> m_runs;
    std::map<std::string, std::uint64_t> m_refusedUpTo;
    std::deque<End> m_ended;
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, Http::Respond> m_holds; // that wait for an end
};

/// Run time on an executor of speed 1, which the stand-ins' clients state in the spec.
Milliseconds runTimeOf(const std::string &spec);

} // namespace Review
