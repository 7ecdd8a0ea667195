// Stand-in for the platform's store, as PROTOCOL.md describes it: rows, transactions and feeds.
#pragma once

#include "http.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace Review {

class Store
{
public:
    explicit Store(asio::io_context &io);

    std::uint16_t port() const { return m_server.port(); }

    // Access of the operator and of executors; values are not encoded.
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool isRemoved = false; // kept for feeds
    };
    struct Feed
    {
        std::string table;
        std::uint64_t after = 0;
        Respond respond;
        std::shared_ptr<asio::steady_timer> timer;
    };
    using RowKey = std::pair<std::string, std::string>; // table and key; part is always empty

    void handle(const Request &request, const Respond &respond);
    Response transact(const std::string &text);
    Response read(const Request &request) const;
    void follow(const Request &request, const Respond &respond);
    void answerFeeds(const std::string &table);
    std::optional<Response> changes(const Feed &feed) const;
    static nlohmann::json describe(const RowKey &key, const Row &row);
    Response respondRows(const nlohmann::json &rows, int status, bool isTruncated) const;

    asio::io_context &m_io;
    std::map<RowKey, Row> m_rows;
    std::uint64_t m_version = 0;
    std::uint64_t m_nextFeed = 0;
    std::map<std::uint64_t, Feed> m_feeds;
    HttpServer m_server;
};

} // namespace Review
