// Rows of executors and daemons as other writers may leave them.
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace TestSupport {

using nlohmann::json;

inline constexpr std::size_t DEEP = 100'000;
inline constexpr std::size_t MEGABYTE = 1'000'000;

inline json goodExecutor()
{
    return {{"service", "huvo11a"},
            {"address", "10.128.0.9:8080"},
            {"zone", "center"},
            {"version", "1.4"},
            {"slots", 4},
            {"state", "ready"},
            {"coldRemainingMs", 0},
            {"capacity", {{"cpu", 16000}, {"memMb", 32768}, {"gpu", 0}}},
            {"labels", {"a", "r1-3"}},
            {"born", 1767266036033},
            {"sequence", 4}};
}

inline json goodDaemon()
{
    return {{"failureDomain", "center"}, {"address", "10.1.0.1"}, {"port", 7720}};
}

inline json goodState()
{
    return {{"version", 7},
            {"routes",
             {{{"name", "r-1"},
               {"host", "nony24.example"},
               {"pathPrefix", "/pule252/"},
               {"service", "s"},
               {"priority", 1},
               {"maxAttempts", 4},
               {"stretch", 1.6},
               {"targetCompletionMs", 60},
               {"timeoutMs", 1500}}}},
            {"limits", {{"maxBodyBytes", 262144}}}};
}

inline std::string nested(char open, char close, std::size_t depth)
{
    return std::string(depth, open) + std::string(depth, close);
}

/// \a document with the value of the member at \a pointer replaced by \a text.
inline std::string withMember(json document, const char *pointer, const std::string &text)
{
    document[json::json_pointer(pointer)] = "@@";
    std::string result = document.dump();
    return result.replace(result.find("\"@@\""), 4, text);
}

/// Values that no document is.
inline std::vector<std::string> oddValues()
{
    return {"",
            " ",
            std::string(1, '\0'),
            "null",
            "17",
            "\"text\"",
            "[]",
            "{",
            "{}",
            "1e999",
            "NaN",
            "\xff\xfe",
            nested('[', ']', DEEP),
            std::string(DEEP, '['),
            std::string(DEEP, '{'),
            R"({"a":)" + nested('[', ']', DEEP) + "}",
            std::string(MEGABYTE, 'x'),
            std::string(MEGABYTE, ' ') + "7",
            '"' + std::string(MEGABYTE, 'x') + '"'};
}

/// Texts for a member that is a whole number, none of which is one from 1 to 2^32.
inline std::vector<std::string> oddNumbers()
{
    return {"1e999",
            "-1e999",
            "-1",
            "18446744073709551616",
            "1e300",
            "0.5",
            "NaN",
            "\"NaN\"",
            "\"8\"",
            "null",
            "true",
            "[8]",
            "{}",
            "-0.5",
            "9223372036854775808"};
}

/// Texts for a member that is a short text.
inline std::vector<std::string> oddTexts()
{
    return {"17",
            "1e999",
            "null",
            "true",
            "[]",
            "{}",
            "[\"a\"]",
            "\"\"",
            "\"\xff\"",
            "\"a\\u0000b\"",
            "\"a\\r\\nb\"",
            '"' + std::string(MEGABYTE, 'x') + '"',
            nested('[', ']', DEEP)};
}

inline std::vector<std::string> oddEndpoints()
{
    return {"10.0.0.1",
            "10.0.0.1:",
            "10.0.0.1:0",
            "10.0.0.1:65536",
            "10.0.0.1:-1",
            "10.0.0.1:+80",
            "10.0.0.1:http",
            "10.0.0.1:80x",
            "10.0.0.1:080",
            "10.0.0.1:80:80",
            "10.0.0.1::80",
            "10.0.0.1:4294967376",
            "10.0.0.1:18446744073709551696",
            "user@10.0.0.1:80",
            "user:pass@10.0.0.1:80",
            " 10.0.0.1:80",
            "10.0.0.1:80 ",
            "10.0.0.1 :80",
            "10.0.0.1: 80",
            "10.0.0.1:80/",
            "10.0.0.1:80/path",
            "10.0.0.1/:80",
            "http://10.0.0.1:80",
            "10.0.0.1:80?a=b",
            "10.0.0.1:80#a",
            "10.0.0.1:80\r\nA: b",
            "host:80",
            "localhost:80",
            "10.0.0:80",
            "10.0.0.0.1:80",
            "256.0.0.1:80",
            "0x0a000001:80",
            "[::1]:80",
            "::1:80",
            ":80",
            "0.0.0.0:80",
            ":",
            "10.0.0.1\\u0000:80",
            "{10,11}.0.0.1:80"};
}

inline std::vector<std::string> oddKeys()
{
    return {"",
            std::string(201, 'k'),
            std::string(MEGABYTE, 'k'),
            "\xff\xfe",
            "a b",
            "a\r\nB: c",
            std::string("a\0b", 3),
            "\x01",
            "\xd0\xb6",
            "\x7f"};
}

} // namespace TestSupport
