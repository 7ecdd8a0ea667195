// Stand-in for the platform's store: rows with versions, transactions with preconditions, reads,
// lists of parts, and feeds. It loses nothing. Each daemon has a port of its own, so that its
// access can be impaired alone and the addresses that it reads can lead to its own relays.
#pragma once

#include <base/timers.h>
#include <http/server.h>
#include <nlohmann/json.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Soak {

using Milliseconds = std::chrono::milliseconds;

/// How the store treats the calls of a daemon.
struct StoreImpairment
{
    int refusal = 0;           ///< Status with which calls are refused; 0: they are not.
    bool isSilent = false;     ///< Calls are not answered, and not carried out.
    bool losesAnswers = false; ///< Calls are carried out, and not answered.
    Milliseconds delay{0};
};

class Store
{
public:
    /// Returns the value of a row as daemon \a reader gets it.
    using View = std::function<std::string(std::size_t reader, const std::string &table,
                                           const std::string &key, const std::string &value)>;

    Store(asio::io_context &io, Base::Timers &timers, View view);

    /// Opens the port for one more daemon.
    void listen(std::uint16_t port);
    StoreImpairment &impairment(std::size_t daemon) { return m_impairments.at(daemon); }
    /// Feeds that begin before now get 410.
    void dropHistory() { m_historyStart = m_version; }

    // Access of the operator and of executors. \a value is not encoded.
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);

private:
    struct RowKey
    {
        std::string table;
        std::string part;
        std::string key;
        auto operator<=>(const RowKey &) const = default;
    };
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool isRemoved = false; // kept for feeds
    };
    struct Feed
    {
        std::size_t daemon = 0;
        std::string table;
        std::uint64_t after = 0;
        Http::Respond respond;
    };

    void handle(std::size_t daemon, const Http::Request &request, const Http::Respond &respond);
    void serve(std::size_t daemon, const Http::Request &request, const Http::Respond &respond);
    Http::Response transact(std::size_t daemon, const std::string &body);
    Http::Response read(std::size_t daemon, const Http::Request &request) const;
    Http::Response listParts(const Http::Request &request) const;
    void follow(std::size_t daemon, const Http::Request &request, const Http::Respond &respond);
    void answerFeeds(const std::string &table);
    bool answerFeed(const Feed &feed, bool isLast) const;
    nlohmann::json describe(std::size_t daemon, const RowKey &key, const Row &row) const;
    Http::Response respondRows(nlohmann::json rows, int status, bool isTruncated) const;

    asio::io_context &m_io;
    Base::Timers &m_timers;
    const View m_view;
    std::map<RowKey, Row> m_rows;
    std::uint64_t m_version = 0;
    std::uint64_t m_historyStart = 0;
    std::uint64_t m_nextFeed = 0;
    std::map<std::uint64_t, Feed> m_feeds;     // waiting for a change
    std::deque<StoreImpairment> m_impairments; // by daemon
    std::vector<std::unique_ptr<Http::Server>> m_servers;
};

} // namespace Soak
