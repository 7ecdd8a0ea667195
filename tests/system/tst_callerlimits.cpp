// One daemon on the platform, with little memory, while a crowd of callers sends too much. Checks
// only that the process goes on within its host's memory and descriptors, and serves a caller
// within the limits afterwards.
#include "crowdfixture.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <boost/test/unit_test.hpp>

using namespace SystemTest;
using namespace TestSupport;

/// The whole program ends within this time, whatever happens.
static constexpr unsigned GUARD_S = 290;
/// The crowd is small, so that the fault shows within seconds: without limits, 40 bodies of 7 MB
/// take 280 MB.
static constexpr std::size_t CROWD = 40;
static constexpr std::size_t HUGE_BODY_BYTES = 7'000'000;
static constexpr std::size_t LARGE_CHUNK_BYTES = 65'536;
static constexpr std::size_t SMALL_CHUNKS = 600'000;
static constexpr std::size_t SILENT_CONNECTIONS = 1500;

struct Guard
{
    Guard() { ChildProcess::armWatchdog(GUARD_S); }
};
BOOST_TEST_GLOBAL_FIXTURE(Guard);

namespace {

struct Fixture : CrowdFixture
{
};

} // namespace

// Guards against a process that runs out of memory by bodies that are declared, and sent except
// for their last byte.
BOOST_FIXTURE_TEST_CASE(declaredBodies, Fixture)
{
    crowd(crowdHeader("Content-Length: 1000000000\r\n\r\n") + std::string(HUGE_BODY_BYTES, 'x'),
          CROWD);
    check("far over the limit");
    crowd(crowdHeader("Content-Length: " + std::to_string(HUGE_BODY_BYTES + 1) + "\r\n\r\n")
              + std::string(HUGE_BODY_BYTES, 'x'),
          CROWD);
    check("over the limit");
}

// Guards against the same by bodies of large chunks, whose length is not declared.
BOOST_FIXTURE_TEST_CASE(largeChunks, Fixture)
{
    std::string body = crowdHeader("Transfer-Encoding: chunked\r\n\r\n");
    while (body.size() < HUGE_BODY_BYTES)
        body += chunk(std::string(LARGE_CHUNK_BYTES, 'x'));
    crowd(body, CROWD);
    check("large chunks");
}

// Guards against the same by chunks of one byte: each is recorded in 16 bytes.
BOOST_FIXTURE_TEST_CASE(smallChunks, Fixture)
{
    std::string body = crowdHeader("Transfer-Encoding: chunked\r\n\r\n");
    for (std::size_t i = 0; i < SMALL_CHUNKS; ++i)
        body += "1\r\nx\r\n";
    crowd(body, CROWD);
    check("chunks of one byte");
    // Within the limit for one body.
    body.resize(crowdHeader("Transfer-Encoding: chunked\r\n\r\n").size()
                + 6 * (MAX_BODY_BYTES - 1));
    crowd(body, CROWD * 4);
    check("bodies within the limit that do not end");
}

// Guards against descriptors and memory that silent connections use up, and against a listener that
// accepts no caller while they stay.
BOOST_FIXTURE_TEST_CASE(silentConnections, Fixture)
{
    crowd("", SILENT_CONNECTIONS);
    check("silent connections");
    senders.clear();
    crowd(crowdHeader(""), SILENT_CONNECTIONS);
    check("headers that do not end");
}

// Guards against memory taken by headers without an end, and by thousands of header fields.
BOOST_FIXTURE_TEST_CASE(endlessHeaders, Fixture)
{
    std::string fields;
    for (int i = 0; i < 200'000; ++i)
        fields += "a:b\r\n";
    crowd(crowdHeader(fields), CROWD);
    check("header fields");
    crowd(crowdHeader("a: ") + std::string(HUGE_BODY_BYTES, 'x'), CROWD);
    check("a header without an end");
    crowd("GET /" + std::string(HUGE_BODY_BYTES, 'x'), CROWD);
    check("a path without an end");
}

// Guards against memory taken by pipelined requests, and by answers that are not read.
BOOST_FIXTURE_TEST_CASE(unreadAnswers, Fixture)
{
    std::string requests;
    for (int i = 0; i < 1000; ++i)
        requests += "GET /crowd/ HTTP/1.1\r\nHost: " + std::string(HOST) + "\r\n\r\n";
    crowd(requests, CROWD, 100);
    check("answers that are not read");
    const std::string job = crowdHeader("Content-Length: " + std::to_string(jobBody().size())
                                        + "\r\nExpect: 100-continue\r\n\r\n")
                            + jobBody();
    requests.clear();
    for (int i = 0; i < 1000; ++i)
        requests += job;
    crowd(requests, CROWD, 10);
    check("pipelined jobs");
}

// Guards against the same faults on the ports of operators and peers.
BOOST_FIXTURE_TEST_CASE(otherPorts, Fixture)
{
    std::string body = crowdHeader("Transfer-Encoding: chunked\r\n\r\n");
    while (body.size() < HUGE_BODY_BYTES)
        body += chunk(std::string(LARGE_CHUNK_BYTES, 'x'));
    crowd(body, CROWD, 1, daemons[0]->operators());
    check("bodies to the operators' port");
    crowd(std::string("\0\xff\xff\xff", 4) + std::string(HUGE_BODY_BYTES, 'x'), CROWD, 1,
          daemons[0]->peers());
    check("frames before the handshake");
    crowd("x", SILENT_CONNECTIONS, 1, daemons[0]->peers());
    check("silent connections to the peers' port");
}

// Guards against limits that refuse a caller within those that the desired state states.
BOOST_FIXTURE_TEST_CASE(largestRequestIsServed, Fixture)
{
    std::string body = jobBody();
    body.resize(MAX_BODY_BYTES, '\n');
    BOOST_TEST(completesJob(body));
    // Many short fields, up to the limit; 500 bytes are left for those that the client adds.
    std::vector<std::string> fields;
    for (std::size_t bytes = 500; bytes + 8 <= MAX_HEADER_BYTES; bytes += 8)
        fields.emplace_back("a: bcd");
    BOOST_TEST(completesJob(body, fields));
    BOOST_TEST(completesJob(body, {"a: " + std::string(MAX_HEADER_BYTES - 500, 'x')}));

    // In chunks of one byte.
    std::string text = crowdHeader("Transfer-Encoding: chunked\r\n\r\n");
    for (const char it : body)
        text += chunk(std::string(1, it));
    text += "0\r\n\r\n";
    // The stand-in of the executor answered nothing meanwhile.
    BOOST_TEST(waitUntil([this] { return completesJob(jobBody()); }));
    asio::ip::tcp::socket socket(io);
    socket.connect({asio::ip::make_address("127.0.0.1"), daemons[0]->callers()});
    std::string answer(4096, 0);
    std::size_t n = 0;
    asio::async_write(socket, asio::buffer(text), [&](const asio::error_code &, std::size_t) {
        socket.async_read_some(asio::buffer(answer),
                               [&](const asio::error_code &, std::size_t read) { n = read; });
    });
    BOOST_TEST(waitUntil([&] { return n > 0; }));
    BOOST_TEST(answer.find("completed") != std::string::npos, answer.substr(0, n));
    check("largest requests");
}
