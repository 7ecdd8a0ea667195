// Pages of the store with one broken row or member among good ones, also over a real connection.
#include <platform/storeclient.h>
#include <platform/storepage.h>
#include <platform/textcodec.h>

#include <http/server.h>
#include <storage/tablefollower.h>
#include <support/manualtimers.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <deque>

using namespace Platform;
using namespace std::chrono_literals;
using nlohmann::json;
using Storage::StoreVersion;

namespace {

constexpr std::size_t DEEP = 100'000;

std::string row(const std::string &key, std::uint64_t version)
{
    return json({{"table", "servers"},
                 {"part", ""},
                 {"key", key},
                 {"value", encodeBase64("value of " + key)},
                 {"ver", version}})
        .dump();
}

/// A page with the good rows a and z around \a odd.
std::string pageWith(const std::string &odd, const std::string &version = "9")
{
    return R"({"nowMs":1,"ver":)" + version + R"(,"rows":[)" + row("a", 3) + "," + odd + ","
           + row("z", 7) + R"(],"truncated":false})";
}

/// Rows that are left out. The key of each sorts between a and z.
std::vector<std::string> oddRows()
{
    std::vector<std::string> rows{"17",
                                  "null",
                                  "true",
                                  "\"text\"",
                                  "[]",
                                  "{}",
                                  "[1,2]",
                                  "1e999",
                                  "-1e999",
                                  "NaN",
                                  "nul",
                                  "{\"key\":}",
                                  "\"\xff\"",
                                  std::string(DEEP, '[') + std::string(DEEP, ']'),
                                  R"({"key":"m","ver":4,"value":1e999})",
                                  "{\"key\":\"\xff\xfe\",\"ver\":4,\"value\":\"\"}"};
    for (const char *version :
         {"-1", "0.5", "1e300", "1e999", "18446744073709551616", "18446744073709551615", "\"4\"",
          "null", "true", "[4]", "{}", "NaN"})
        rows.push_back(std::string(R"({"key":"m","value":"","ver":)") + version + "}");
    rows.push_back(R"({"key":"m","value":""})");
    for (const char *key : {"17", "null", "true", "[]", "{}", "1e999"})
        rows.push_back(std::string(R"({"value":"","ver":4,"key":)") + key + "}");
    rows.push_back(R"({"value":"","ver":4})");
    for (const char *table : {"\"op\"", "17", "null", "[]"})
        rows.push_back(std::string(R"({"key":"m","value":"","ver":4,"table":)") + table + "}");
    for (const char *part : {"\"p\"", "17", "null", "[]"})
        rows.push_back(std::string(R"({"key":"m","value":"","ver":4,"part":)") + part + "}");
    return rows;
}

std::vector<std::string> keysOf(const std::vector<Storage::TableRow> &rows)
{
    std::vector<std::string> keys;
    for (const Storage::TableRow &it : rows)
        keys.push_back(it.key);
    return keys;
}

const std::vector<std::string> GOOD_KEYS{"a", "z"};

} // namespace

BOOST_AUTO_TEST_SUITE(storepages)

// One row with a number such as 1e999, or with invalid UTF-8, made the whole page unreadable.
BOOST_AUTO_TEST_CASE(oddRowsAreLeftOut)
{
    for (const std::string &it : oddRows()) {
        const auto page = decodeStorePage("servers", pageWith(it));
        BOOST_TEST_REQUIRE(page.has_value(), it.substr(0, 60));
        BOOST_TEST_CONTEXT(it.substr(0, 60))
        {
            BOOST_TEST(keysOf(page->rows) == GOOD_KEYS, boost::test_tools::per_element());
            BOOST_TEST(page->version.value() == 9U);
            BOOST_TEST(page->lastKey == "z");
            BOOST_TEST(page->unreadableRows == 1U);
        }
    }
}

// A value that can't be decoded names nothing, which also ends what the row stated before.
BOOST_AUTO_TEST_CASE(oddValuesAreEmpty)
{
    for (const char *it : {"\"====\"", "\"not base64\"", "\"YQ\"", "17", "null", "{}", "\"\""}) {
        const auto page = decodeStorePage(
            "servers", pageWith(std::string(R"({"key":"m","ver":4,"value":)") + it + "}"));
        BOOST_TEST_REQUIRE(page.has_value());
        BOOST_TEST_REQUIRE(page->rows.size() == 3U);
        BOOST_TEST(page->rows[1].value.empty(), it);
        BOOST_TEST(page->rows[2].value == "value of z");
    }
}

// A position of 2^64 or of 0 skips all changes, or asks for a history that is gone.
BOOST_AUTO_TEST_CASE(oddVersionIsThatOfTheNewestRow)
{
    for (const char *it : {"-1", "0.5", "1e300", "1e999", "18446744073709551616",
                           "18446744073709551615", "\"4\"", "null", "true", "[4]", "{}", "NaN"}) {
        const auto page = decodeStorePage("servers", pageWith("{}", it));
        BOOST_TEST_REQUIRE(page.has_value(), it);
        BOOST_TEST(page->version.value() == 7U, it);
        BOOST_TEST(keysOf(page->rows) == GOOD_KEYS, boost::test_tools::per_element());
    }
    // Nothing is newer than the store, or its next versions would be ignored.
    const auto page = decodeStorePage("servers", pageWith(row("m", 1'000'000)));
    BOOST_TEST(page->rows.at(1).version.value() == 9U);
}

BOOST_AUTO_TEST_CASE(unreadablePages)
{
    const std::string good = pageWith("{}");
    for (std::size_t n = 0; n < good.size(); ++n)
        BOOST_TEST(!decodeStorePage("servers", good.substr(0, n)).has_value(), n);
    for (const std::string &it :
         {std::string(), std::string("null"), std::string("17"), std::string("[]"),
          std::string("{}"), std::string(R"({"rows":[]})"), std::string(R"({"rows":[{}]})"),
          std::string(R"({"ver":4,"rows":17})"), std::string(R"({"ver":4,"rows":{}})"),
          std::string(R"({"ver":-1})"), std::string("1e999"), std::string("[1e999]"),
          std::string(DEEP, '['), std::string(DEEP, '{'), std::string("\xff\xfe"),
          std::string(1'000'000, 'x'), R"({"rows":)" + std::string(DEEP, '[')})
        BOOST_TEST(!decodeStorePage("servers", it).has_value(), it.substr(0, 60));
    BOOST_TEST(decodeStorePage("servers", R"({"ver":4,"rows":[]})").has_value());
    BOOST_TEST(decodeStorePage("servers", R"({"ver":4})")->rows.empty());
    BOOST_TEST(!decodeStoreVersion(R"({"ver":-4})").has_value());
    BOOST_TEST(!decodeStoreVersion("{}").has_value());
    BOOST_TEST(decodeStoreVersion(R"({"ver":4})")->value() == 4U);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

std::uint16_t freePort(asio::io_context &io)
{
    asio::ip::tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
}

/// A store that answers every request at once, whatever wait the request states.
struct Fixture
{
    Fixture()
    {
        Http::ServerOptions options;
        options.address = "127.0.0.1";
        options.port = port;
        server = std::make_unique<Http::Server>(
            io, options, [this](const Http::Request &request, const Http::Respond &respond) {
                ++requests;
                respond(answer(request));
            });
        BOOST_TEST_REQUIRE(server->open().ok());
    }

    /// Runs the loop until nothing but the test's clock can cause a request.
    void settle()
    {
        for (int i = 0; i < 1000 && http.pendingCount() > 0 && requests < LIMIT; ++i) {
            io.restart();
            io.run_for(1ms);
        }
    }
    /// Requests within \a time of the test's clock.
    int requestsIn(std::chrono::milliseconds time)
    {
        const int before = requests;
        for (auto passed = 0ms; passed < time && requests < LIMIT; passed += 50ms) {
            timers.advance(50ms);
            settle();
        }
        return requests - before;
    }
    std::vector<std::string> keys() const
    {
        std::vector<std::string> result;
        for (const auto &[key, row] : follower.rows())
            result.push_back(key);
        return result;
    }

    /// Far more than any case needs; ends a loop of requests.
    static constexpr int LIMIT = 2000;

    asio::io_context io;
    std::uint16_t port = freePort(io);
    std::function<Http::Response(const Http::Request &)> answer;
    int requests = 0;
    std::unique_ptr<Http::Server> server;
    Http::Client http{io, 4};
    StoreClient store{http, {"127.0.0.1", port}};
    TestSupport::ManualTimers timers;
    Storage::TableFollower follower{store, timers, "servers", {}, [] {}};
};

Http::Response reply(const std::string &body, int status = 200)
{
    Http::Response response;
    response.status = status;
    response.body = body;
    return response;
}

bool isFeed(const Http::Request &request)
{
    return request.rawPath == "/rows-feed";
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(storereads, Fixture)

// An odd row in the snapshot, then in the changes: good rows are followed before, beside and after.
BOOST_AUTO_TEST_CASE(goodRowsAreFollowedBesideOddOnes)
{
    for (const std::string &odd : oddRows()) {
        Fixture it;
        std::deque<std::string> changes{R"({"ver":11,"rows":[)" + row("b", 10) + "," + odd + ","
                                            + row("c", 11) + "]}",
                                        R"({"ver":12,"rows":[)" + row("d", 12) + "]}"};
        it.answer = [&](const Http::Request &request) {
            if (!isFeed(request))
                return reply(pageWith(odd));
            if (changes.empty())
                return reply(R"({"ver":12,"rows":[]})");
            const std::string body = changes.front();
            changes.pop_front();
            return reply(body);
        };
        it.follower.start();
        it.settle();
        const int n = it.requestsIn(10'000ms);
        BOOST_TEST_CONTEXT(odd.substr(0, 60))
        {
            BOOST_TEST(it.keys() == std::vector<std::string>({"a", "b", "c", "d", "z"}),
                       boost::test_tools::per_element());
            BOOST_TEST(n <= 30);
        }
    }
}

// Guards against requests without pause to a store that states nothing new.
BOOST_AUTO_TEST_CASE(requestsAreLimited)
{
    const std::string rows = R"("rows":[)" + row("a", 3) + "]";
    struct Case
    {
        const char *name;
        Http::Response read;
        Http::Response feed;
    };
    const std::vector<Case> cases{
        {"changes without version", reply("{\"ver\":9," + rows + "}"), reply("{" + rows + "}")},
        {"version of zero", reply("{\"ver\":9," + rows + "}"), reply("{\"ver\":0," + rows + "}")},
        {"same changes again", reply("{\"ver\":9," + rows + "}"),
         reply("{\"ver\":9," + rows + "}")},
        {"no wait", reply("{\"ver\":9," + rows + "}"), reply(R"({"ver":9,"rows":[]})")},
        {"only odd rows", reply("{\"ver\":9," + rows + "}"), reply(R"({"ver":9,"rows":[17,{}]})")},
        {"no version at all", reply("{" + rows + "}"), reply(R"({"rows":[]})")},
        {"empty object", reply("{\"ver\":9," + rows + "}"), reply("{}")},
        {"not JSON", reply("{\"ver\":9," + rows + "}"), reply("\xff")},
        {"truncated body", reply("{\"ver\":9," + rows + "}"), reply(R"({"ver":10,"rows":[{)")},
        {"history always gone", reply("{\"ver\":9," + rows + "}"), reply("{}", 410)},
        {"gone, and no version", reply("{" + rows + "}"), reply("{}", 410)},
        {"too large", reply("{\"ver\":9," + rows + "}"), reply(std::string(9U << 20, ' '))},
    };
    for (const Case &it : cases) {
        Fixture fixture;
        fixture.answer = [&](const Http::Request &request) {
            return isFeed(request) ? it.feed : it.read;
        };
        fixture.follower.start();
        fixture.settle();
        BOOST_TEST(fixture.requests <= 10, it.name << ": " << fixture.requests << " at once");
        const int n = fixture.requestsIn(10'000ms);
        // Two requests each half second, and the coarse steps of the clock.
        BOOST_TEST(n <= 45, it.name << ": " << n << " in 10 s");
        BOOST_TEST(n >= 10, it.name << ": " << n << " in 10 s"); // following goes on
        BOOST_TEST(fixture.keys() == std::vector<std::string>({"a"}),
                   boost::test_tools::per_element());
        // When the store is sound again, its changes arrive.
        fixture.answer = [&](const Http::Request &request) {
            return reply(isFeed(request)
                             ? R"({"ver":10,"rows":[)" + row("b", 10) + "]}"
                             : R"({"ver":10,"rows":[)" + row("a", 3) + "," + row("b", 10) + "]}");
        };
        fixture.requestsIn(2000ms);
        BOOST_TEST(fixture.keys() == std::vector<std::string>({"a", "b"}),
                   boost::test_tools::per_element());
    }
}

// A truncated page without a further key was requested for ever, and its rows kept each time.
BOOST_AUTO_TEST_CASE(pageWithoutAFurtherKeyEndsTheSnapshot)
{
    for (const char *it :
         {R"({"ver":9,"truncated":true,"rows":[]})", R"({"ver":9,"truncated":true,"rows":[17,{}]})",
          R"({"ver":9,"truncated":true,"rows":[{"key":"a","ver":3,"value":""}]})"}) {
        Fixture fixture;
        fixture.answer = [&](const Http::Request &) { return reply(it); };
        fixture.follower.start();
        fixture.settle();
        BOOST_TEST(fixture.requests <= 2, it);
        BOOST_TEST(fixture.requestsIn(10'000ms) <= 60, it);
        BOOST_TEST(!fixture.follower.hasSnapshot());
    }
}

// The last row of a page states where the next one begins, also if it can't be used.
BOOST_AUTO_TEST_CASE(pagesContinueAfterAnOddRow)
{
    answer = [&](const Http::Request &request) {
        const std::string from = request.parameter("from");
        if (isFeed(request))
            return reply(R"({"ver":9,"rows":[]})");
        if (from.empty())
            return reply(R"({"ver":9,"truncated":true,"rows":[)" + row("a", 3)
                         + R"(,{"key":"m","ver":-1,"value":""}]})");
        return reply(from > "m" ? R"({"ver":9,"rows":[)" + row("z", 7) + "]}" : "{}");
    };
    follower.start();
    settle();
    BOOST_TEST(keys() == GOOD_KEYS, boost::test_tools::per_element());
}

// A key of the greatest length was continued after with a longer one, which the store refuses.
BOOST_AUTO_TEST_CASE(pagesContinueAfterTheLongestKey)
{
    const std::string longest(200, 'b');
    answer = [&](const Http::Request &request) {
        const std::string from = request.parameter("from");
        if (isFeed(request))
            return reply(R"({"ver":9,"rows":[]})");
        if (from.size() > longest.size())
            return reply("{}", 400);
        std::string rows = from.empty() ? row("a", 3) + "," : "";
        rows += row(longest, 4) + (from == longest ? "," + row("z", 7) : "");
        return reply(R"({"ver":9,"truncated":)" + std::string(from.empty() ? "true" : "false")
                     + R"(,"rows":[)" + rows + "]}");
    };
    follower.start();
    settle();
    BOOST_TEST(keys() == std::vector<std::string>({"a", longest, "z"}),
               boost::test_tools::per_element());
}

// A position that is not one of the store's would hide all later changes.
BOOST_AUTO_TEST_CASE(positionAheadOfTheStoreIsGivenUp)
{
    bool isOdd = true;
    answer = [&](const Http::Request &request) {
        if (!isFeed(request))
            return reply(isOdd ? R"({"ver":1000000,"rows":[)" + row("a", 3) + "]}"
                               : R"({"ver":10,"rows":[)" + row("a", 3) + "," + row("b", 10) + "]}");
        isOdd = false;
        return reply(R"({"ver":10,"rows":[]})");
    };
    follower.start();
    settle();
    const int n = requestsIn(10'000ms);
    BOOST_TEST(n <= 45);
    BOOST_TEST(keys() == std::vector<std::string>({"a", "b"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
