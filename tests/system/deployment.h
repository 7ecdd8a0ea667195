// A deployment of real programs: stand-ins, three daemons in domain north and two in domain south.
#pragma once

#include "../support/childprocess.h"
#include "../support/tcprelay.h"

#include <loadgen/audit.h>
#include <loadgen/load.h>

#include <base/asiotimers.h>
#include <nlohmann/json.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace SystemTest {

using nlohmann::json;
using Milliseconds = std::chrono::milliseconds;

constexpr std::size_t NORTH_DAEMONS = 3;
constexpr std::size_t DAEMON_COUNT = 5; // the first three in north, the others in south
constexpr std::size_t NORTH_UPSTREAMS = 4;
constexpr std::size_t UPSTREAM_COUNT = 6;

/// A submission with its answer.
struct Sent
{
    LoadGen::RequestRecord record;
    bool isAnswered = false;
    LoadGen::Answer answer() const { return record.answers.at(0); }
};

/// All programs end with the object. Every wait is bounded and runs the loop of client and relays.
class Deployment
{
public:
    /// Starts everything and waits until every shard has an owner and all its replicas.
    Deployment();
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    void startDaemon(std::size_t daemon);
    TestSupport::ChildProcess &daemon(std::size_t index) { return *m_daemons[index].process; }
    TestSupport::ChildProcess &worker(std::size_t index) { return *m_workers[index]; }
    std::string callers(std::size_t daemon) const;
    const std::string &upstreamUrl(std::size_t upstream) const { return m_upstreamUrls[upstream]; }
    std::string platformUrl() const;
    const std::string &manifestText() const { return m_manifestText; }
    /// Partitions the failure domain south from north and from the platform.
    void partitionSouth();
    void restoreSouth();

    bool waitUntil(const std::function<bool()> &condition, Milliseconds limit);
    void pass(Milliseconds time);
    Http::ClientResponse call(const std::string &method, const std::string &url,
                              const std::string &body = {},
                              Milliseconds timeout = Milliseconds(5000));
    /// A call to the operators' port. Null if there is no JSON answer.
    json operate(std::size_t daemon, const std::string &method, const std::string &path,
                 const std::string &body = {}, int *httpStatus = nullptr);
    /// Does not wait; \a done gets the HTTP status.
    void submitManifest(std::size_t daemon, std::uint64_t parent, const std::string &body,
                        std::function<void(int)> done);
    void setFault(const std::string &url, const json &fault);
    bool areShardsReplicated(std::size_t firstDaemon, std::size_t lastDaemon);

    /// Sends a request without waiting. \a extra is merged into the body.
    std::shared_ptr<Sent> submit(std::size_t daemon, const std::string &kind,
                                 const std::string &key, std::size_t tasks, double runMs,
                                 const json &extra = json::object());
    /// Waits for all submissions so far.
    bool waitForAnswers(Milliseconds limit = Milliseconds(20'000));
    std::unique_ptr<LoadGen::Load> startLoad(const std::string &mix, double rate,
                                             Milliseconds duration);
    void finish(LoadGen::Load &load);
    Base::ShardId shardOf(const std::string &key) const;
    /// Index of the daemon that holds the lease of the shard of \a key.
    std::size_t ownerOf(const std::string &key);
    std::optional<std::size_t> findOwner(const std::string &key);
    /// A new key in the same shard.
    std::string siblingOf(const std::string &key);
    /// Tasks started on one upstream.
    std::uint64_t startsOn(std::size_t upstream);
    /// Compares all answers with the workers' records.
    LoadGen::Audit audit();
    Base::TimePoint now() const { return m_timers.now(); }
    std::string describeLogs() const;

private:
    struct Daemon
    {
        std::string id;
        std::string domain;
        std::uint16_t callers = 0;
        std::uint16_t operators = 0;
        std::uint16_t peers = 0;
        std::uint16_t relay = 0; // to the peer port, for the other failure domain
        std::unique_ptr<TestSupport::ChildProcess> process;
    };

    std::string writeFile(const std::string &name, const std::string &text) const;
    json makeManifest();
    std::string makeSettings(std::size_t daemon) const;

    asio::io_context m_io;
    Base::AsioTimers m_timers;
    Http::Client m_client;
    std::string m_folder;
    std::uint16_t m_platformPort = 0;
    std::uint16_t m_platformRelayPort = 0; // used by south
    std::vector<std::unique_ptr<TestSupport::TcpRelay>> m_relays;
    std::unique_ptr<TestSupport::ChildProcess> m_platform;
    std::vector<std::string> m_upstreamUrls;
    std::vector<std::unique_ptr<TestSupport::ChildProcess>> m_workers;
    std::vector<Daemon> m_daemons;
    std::string m_manifestText;
    std::optional<Manifest::Manifest> m_manifest;
    std::deque<std::shared_ptr<Sent>> m_sent;
    std::vector<LoadGen::RequestRecord> m_loadRecords;
    std::uint64_t m_siblings = 0;
    std::uint64_t m_loads = 0;
};

} // namespace SystemTest
