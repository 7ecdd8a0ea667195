// The store of the platform's published protocol and its executors, within the test program.
#pragma once

#include <base/timers.h>
#include <http/server.h>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace SystemTest {

/// Keeps rows as JSON text, so that a test can add rows that no encoder would produce.
class StoreStandIn
{
public:
    StoreStandIn(asio::io_context &io, Base::Timers &timers, std::uint16_t port);

    /// Writes a row with \a key and \a value. Bytes of the key that are not valid UTF-8 are sent
    /// as they are.
    void write(const std::string &table, const std::string &key, const std::string &value);
    /// Adds \a text as a row of \a table, listed after \a key. "@VER" in it is replaced by a
    /// version.
    void writeRaw(const std::string &table, const std::string &key, const std::string &text);
    bool hasRow(const std::string &table, const std::string &key) const;
    /// Leaves all requests unanswered that come meanwhile.
    void setAway(bool isAway) { m_isAway = isAway; }
    /// Requests for rows so far.
    std::uint64_t reads() const { return m_reads; }

private:
    struct Row
    {
        std::string text;
        std::uint64_t version = 0;
    };
    struct Feed
    {
        std::string table;
        std::uint64_t after = 0;
        Http::Respond respond;
    };

    void handle(const Http::Request &request, const Http::Respond &respond);
    void read(const Http::Request &request, const Http::Respond &respond) const;
    void feed(const Http::Request &request, const Http::Respond &respond);
    void transact(const Http::Request &request, const Http::Respond &respond);
    void answerFeeds();
    std::string changes(const std::string &table, std::uint64_t after) const;
    std::string page(const std::string &rows, bool isTruncated) const;

    Base::Timers &m_timers;
    std::unique_ptr<Http::Server> m_server;
    std::map<std::string, std::map<std::string, Row>> m_tables; // rows by key
    std::uint64_t m_version = 0;
    std::uint64_t m_reads = 0;
    bool m_isAway = false;
    std::list<std::shared_ptr<Feed>> m_feeds;
};

/// Runs every task for a few milliseconds, whatever its token and lease; one with the spec
/// "endless" until it is stopped.
class ExecutorStandIn
{
public:
    ExecutorStandIn(asio::io_context &io, Base::Timers &timers, std::uint16_t port);

    /// Tasks started so far.
    std::size_t starts() const { return m_starts; }
    std::uint16_t port() const { return m_port; }

private:
    void handle(const Http::Request &request, const Http::Respond &respond);
    void hold(std::uint64_t seenUpTo, Base::TimePoint until, const Http::Respond &respond);
    std::string listing(std::uint64_t seenUpTo) const;
    void end(const std::string &task, const char *how);

    Base::Timers &m_timers;
    const std::uint16_t m_port;
    std::unique_ptr<Http::Server> m_server;
    struct End
    {
        std::string task;
        std::uint64_t run = 0;
        std::string how;
    };

    std::map<std::string, std::uint64_t> m_running; // run numbers by task
    std::vector<End> m_ended;                       // in order
    std::size_t m_starts = 0;
};

} // namespace SystemTest
