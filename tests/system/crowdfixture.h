// Daemons on the platform, each with the limits of a small host, and crowds of callers that send
// them more than these hold. The stand-ins and the callers run in the test program.
#pragma once

#include "../support/childprocess.h"
#include "../support/crowdsender.h"
#include "../support/freeport.h"
#include "platformstandin.h"

#include <base/asiotimers.h>
#include <http/client.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace SystemTest {

using Milliseconds = std::chrono::milliseconds;
using TestSupport::Sender;
using TestSupport::SharedText;

inline constexpr Milliseconds LIMIT_MS{20'000};
inline constexpr Milliseconds REQUEST_TIMEOUT_MS{5'000};
inline constexpr const char *HOST = "limits.example";
/// Limits of the smallest host.
inline constexpr std::size_t MEMORY_MB = 120;
inline constexpr std::size_t MAX_FDS = 3075;
/// What the limits of the desired state allow a caller.
inline constexpr std::size_t MAX_BODY_BYTES = 262'144;
inline constexpr std::size_t MAX_HEADER_BYTES = 16'384;
/// A task with this spec runs until it is stopped.
inline constexpr const char *ENDLESS_SPEC = "endless";

/// A daemon and what its host counts.
class CrowdedDaemon
{
public:
    CrowdedDaemon(std::string name, const std::string &folder, std::uint16_t store);

    /// Starts the process, with new ports on each call.
    void start();
    TestSupport::ChildProcess &process() const { return *m_process; }

    std::uint16_t callers() const { return m_callers; }
    std::uint16_t readiness() const { return m_readiness; }
    std::uint16_t operators() const { return m_operators; }
    std::uint16_t peers() const { return m_peers; }

    /// Updates peakKb().
    void measure();
    /// Highest sum of resident memory and bytes in the receive queues of sockets so far, in KiB.
    std::size_t peakKb() const { return m_peakKb; }

private:
    const std::string m_name;
    const std::string m_folder;
    const std::uint16_t m_store;
    std::uint16_t m_callers = 0;
    std::uint16_t m_readiness = 0;
    std::uint16_t m_operators = 0;
    std::uint16_t m_peers = 0;
    std::unique_ptr<TestSupport::ChildProcess> m_process;
    std::size_t m_peakKb = 0;
};

/// The queue "/crowd/" has an objective of a second, "/slow/" one of a minute. Both go to a service
/// with one executor of 16 cores.
class CrowdFixture
{
public:
    explicit CrowdFixture(std::size_t daemons = 1);
    ~CrowdFixture();
    CrowdFixture(const CrowdFixture &) = delete;
    CrowdFixture &operator=(const CrowdFixture &) = delete;

    void pass(Milliseconds time);
    bool waitUntil(const std::function<bool()> &condition, Milliseconds limit = LIMIT_MS);

    /// Writes the next version of the desired state.
    void changeDesiredState();

    static std::string jobBody();
    /// The header of the POST of a new job, up to the length of the body.
    std::string jobHeader(std::size_t bodyBytes, const std::string &queue = "slow");
    /// Sends a request on a new connection and returns the response, whose status is 0 if there is
    /// none.
    Http::ClientResponse send(Http::ClientRequest request,
                              Milliseconds timeout = REQUEST_TIMEOUT_MS);
    Http::ClientResponse sendJob(const std::string &body, std::vector<std::string> headers = {},
                                 std::size_t daemon = 0, const std::string &queue = "crowd",
                                 Milliseconds timeout = REQUEST_TIMEOUT_MS);
    bool completesJob(const std::string &body, std::vector<std::string> headers = {},
                      std::size_t daemon = 0);

    /// Lets \a count connections send \a text to \a port; 0 is that of the callers.
    void crowd(const std::string &text, std::size_t count, std::size_t repetitions = 1,
               std::uint16_t port = 0);
    /// Lets \a count connections send \a perConnection different jobs each, all with \a body. Few
    /// of them send at the same time, so that most are read to their end.
    void crowdOfJobs(const std::string &body, std::size_t count, std::size_t perConnection = 1);
    void addSender(std::uint16_t port, std::vector<SharedText> parts, std::size_t repetitions = 1);
    /// Until few connections are sending, or for a while.
    void paceCrowd();
    /// Until the crowd has sent everything, or nothing is read of it any more.
    void waitForCrowd();

    /// Each process serves an ordinary job, and is within the limits of its host until then.
    void check(const char *form);
    /// The same, with any answer to an ordinary job.
    void checkAnswered(const char *form);
    void checkLimits(const char *form);

    asio::io_context io{1};
    Base::AsioTimers timers{io};
    Http::Client client{io, 4};
    std::uint16_t storePort = TestSupport::freePort();
    StoreStandIn store{io, timers, storePort};
    ExecutorStandIn executor{io, timers, TestSupport::freePort()};
    std::string folder;
    std::vector<std::unique_ptr<CrowdedDaemon>> daemons;
    std::vector<std::unique_ptr<Sender>> senders;
    Milliseconds ordinaryJobLimit = LIMIT_MS; // until an ordinary job is completed, or answered

private:
    void renew();
    void measure();

    std::uint64_t m_stateVersion = 6;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_jobs = 0;
};

/// A POST to the queue "/crowd/", up to its last fields.
std::string crowdHeader(const std::string &fields);
std::string chunk(const std::string &bytes);

} // namespace SystemTest
