// Rows of other writers: whatever one row contains, only that row is left out.
#include <platform/registrations.h>
#include <support/oddrows.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace Platform;
using namespace TestSupport;
using nlohmann::json;

BOOST_AUTO_TEST_SUITE(oddrows)

static void checkExecutor(const std::string &value, const std::string &what)
{
    BOOST_TEST(!decodeExecutor("i-1", value).has_value(), what.substr(0, 60));
}

BOOST_AUTO_TEST_CASE(oddExecutorValuesAreDropped)
{
    for (const std::string &it : oddValues())
        checkExecutor(it, it);
    // Deeper than any registration, though the rest of it is valid.
    checkExecutor(withMember(goodExecutor(), "/more", nested('[', ']', DEEP)), "deep member");
    checkExecutor(withMember(goodExecutor(), "/more", "1e999"), "number too large for a double");
    checkExecutor(withMember(goodExecutor(), "/more", '"' + std::string(MEGABYTE, 'x') + '"'),
                  "larger than the store's limit of a value");
    BOOST_TEST(decodeExecutor("i-1", goodExecutor().dump()).has_value());
}

// A port beyond 65535, userinfo or a path in the address reached the HTTP client as part of a URL.
BOOST_AUTO_TEST_CASE(executorAddressIsAnEndpoint)
{
    for (const std::string &it : oddEndpoints()) {
        json row = goodExecutor();
        row["address"] = it;
        checkExecutor(row.dump(), it);
    }
    for (const char *it : {"10.0.0.1:1", "10.0.0.1:65535", "127.0.0.1:80"}) {
        json row = goodExecutor();
        row["address"] = it;
        const auto executor = decodeExecutor("i-1", row.dump());
        BOOST_TEST_REQUIRE(executor.has_value(), it);
        BOOST_TEST(executor->address == it);
    }
}

// An executor with a memory of -1 counted as one without memory, one of 1e300 as one of 4 PB.
BOOST_AUTO_TEST_CASE(oddExecutorMembersDropTheRow)
{
    for (const char *member : {"/capacity/cpu", "/capacity/memMb", "/capacity/gpu", "/born"}) {
        for (const std::string &it : oddNumbers())
            checkExecutor(withMember(goodExecutor(), member, it), member + it);
    }
    for (const char *member : {"/capacity/cpu", "/capacity/memMb", "/capacity/gpu"}) {
        checkExecutor(withMember(goodExecutor(), member, "4294967295"), member);
        checkExecutor(withMember(goodExecutor(), member, "4294967296"), member);
    }
    checkExecutor(withMember(goodExecutor(), "/capacity/cpu", "0"), "no processor");
    for (const char *member : {"/service", "/address", "/zone", "/state"}) {
        for (const std::string &it : oddTexts())
            checkExecutor(withMember(goodExecutor(), member, it), member + it);
    }
    for (const char *it : {"17", "null", "true", "[]", "\"text\"", "1e999"})
        checkExecutor(withMember(goodExecutor(), "/capacity", it), it);
    for (const char *it : {"17", "null", "true", "{}", "\"text\"", "1e999"})
        checkExecutor(withMember(goodExecutor(), "/labels", it), it);
    for (const char *it : {"service", "address", "zone", "state", "capacity"}) {
        json row = goodExecutor();
        row.erase(it);
        checkExecutor(row.dump(), it);
    }
    // What is not used may be absent, and may be new.
    json row = goodExecutor();
    for (const char *it : {"labels", "sequence", "version", "slots", "coldRemainingMs"})
        row.erase(it);
    row["new"] = {{"a", {1, 2}}};
    BOOST_TEST(decodeExecutor("i-1", row.dump()).has_value());
}

// The key is sent in a header, which a line break would end.
BOOST_AUTO_TEST_CASE(oddKeysAreDropped)
{
    const std::string executor = goodExecutor().dump();
    const std::string daemon = goodDaemon().dump();
    for (const std::string &it : oddKeys()) {
        BOOST_TEST(!decodeExecutor(it, executor).has_value(), it.substr(0, 60));
        BOOST_TEST(!decodeDaemon(it, daemon).has_value(), it.substr(0, 60));
    }
    BOOST_TEST(decodeExecutor(std::string(200, 'k'), executor).has_value());
}

// Among all odd rows, the decoder of the daemon finds the two good ones, and again after renewals.
BOOST_AUTO_TEST_CASE(goodRowsAmongOddOnesAreDecoded)
{
    std::map<std::string, Storage::TableRow> rows;
    const auto add = [&rows](const std::string &key, const std::string &value) {
        rows[key] = {key, value, Storage::StoreVersion(rows.size() + 1), false};
    };
    add("a", goodExecutor().dump());
    add("z", goodExecutor().dump());
    for (const std::string &it : oddValues())
        add("odd-" + std::to_string(rows.size()), it);
    for (const std::string &it : oddEndpoints()) {
        json row = goodExecutor();
        row["address"] = it;
        add("odd-" + std::to_string(rows.size()), row.dump());
    }
    for (const std::string &it : oddKeys())
        add(it, goodExecutor().dump());
    RegistrationDecoder decoder;
    for (std::uint64_t renewal = 0; renewal < 3; ++renewal) {
        std::vector<std::string> good;
        for (auto &[key, row] : rows) {
            row.version = Storage::StoreVersion(row.version.value() + rows.size());
            if (decoder.decode(row))
                good.push_back(key);
        }
        decoder.retain(rows);
        BOOST_TEST(good == std::vector<std::string>({"a", "z"}), boost::test_tools::per_element());
    }
    BOOST_TEST(decoder.parsedCount() == rows.size());
}

BOOST_AUTO_TEST_CASE(oddDaemonRowsAreDropped)
{
    const auto check = [](const std::string &value, const std::string &what) {
        BOOST_TEST(!decodeDaemon("edge-1", value).has_value(), what.substr(0, 60));
    };
    for (const std::string &it : oddValues())
        check(it, it);
    for (const std::string &it : oddNumbers())
        check(withMember(goodDaemon(), "/port", it), it);
    for (const char *it : {"0", "65536", "4294967296", "7720.5", "7720.0"})
        check(withMember(goodDaemon(), "/port", it), it);
    for (const char *member : {"/failureDomain", "/address"}) {
        for (const std::string &it : oddTexts())
            check(withMember(goodDaemon(), member, it), member + it);
    }
    // Each was dialed as 0.0.0.0 ten times per second.
    for (const char *it :
         {"host", "10.0.0", "10.0.0.1:80", " 10.0.0.1", "0.0.0.0", "::", "[::1]"}) {
        json row = goodDaemon();
        row["address"] = it;
        check(row.dump(), it);
    }
    for (const char *it : {"failureDomain", "address", "port"}) {
        json row = goodDaemon();
        row.erase(it);
        check(row.dump(), it);
    }
    json row = goodDaemon();
    row["new"] = 1;
    BOOST_TEST(decodeDaemon("edge-1", row.dump()).has_value());
}

// A version beyond 2^64 was converted to an undefined one; the state in force is kept instead.
BOOST_AUTO_TEST_CASE(oddDesiredStatesAreRejected)
{
    const auto check = [](const std::string &value, const std::string &what) {
        BOOST_TEST(!decodeDesiredState(value).has_value(), what.substr(0, 60));
    };
    for (const std::string &it : oddValues())
        check(it, it);
    for (const std::string &it : oddNumbers())
        check(withMember(goodState(), "/version", it), "version " + it);
    for (const char *member :
         {"/routes/0/priority", "/routes/0/maxAttempts", "/limits/maxBodyBytes"}) {
        for (const std::string &it : oddNumbers()) {
            if (it != "9223372036854775808") // a limit may be any whole number
                check(withMember(goodState(), member, it), member + it);
        }
    }
    for (const char *member :
         {"/routes/0/stretch", "/routes/0/targetCompletionMs", "/routes/0/timeoutMs"}) {
        for (const char *it : {"1e999", "-1", "\"8\"", "null", "true", "[]", "1e300"})
            check(withMember(goodState(), member, it), member + std::string(it));
    }
    for (const char *member :
         {"/routes/0/name", "/routes/0/host", "/routes/0/pathPrefix", "/routes/0/service"}) {
        for (const char *it : {"17", "null", "true", "[]", "{}", "\"\xff\"", "1e999"})
            check(withMember(goodState(), member, it), member + std::string(it));
    }
    for (const char *it : {"17", "null", "{}", "\"text\"", "[17]", "[null]", "[[]]", "[\"a\"]"})
        check(withMember(goodState(), "/routes", it), it);
    check(withMember(goodState(), "/limits", "17"), "limits");
    check(withMember(goodState(), "/more", nested('[', ']', DEEP)), "deep member");
    for (const char *it : {"version", "routes"}) {
        json state = goodState();
        state.erase(it);
        check(state.dump(), it);
    }
    json state = goodState();
    state["new"] = {{"a", nullptr}};
    BOOST_TEST(decodeDesiredState(state.dump()).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
