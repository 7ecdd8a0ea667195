// Tests of the manifest service: several daemons on a fake table, object store and peer network.
#include <kernel/servicenames.h>
#include <kernel/serviceregistry.h>
#include <manifest/manifestreader.h>
#include <manifestservice/manifestservice.h>
#include <support/environmentnumber.h>
#include <support/fakepeernetwork.h>
#include <support/faketable.h>
#include <support/manualtimers.h>
#include <telemetry/telemetryservice.h>

#include <asio/io_context.hpp>

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>
#include <random>

using namespace TestSupport;
using ManifestService::ManifestHolder;
using ManifestService::SubmitResult;
using std::chrono::milliseconds;

static std::string makeBody(std::uint64_t revision, std::uint64_t variant)
{
    Manifest::Manifest manifest;
    manifest.revision = Base::Revision(revision);
    manifest.domains = {Base::FailureDomainId("a")};
    manifest.shardsPerDomain = 4;
    Manifest::Upstream upstream;
    upstream.id = Base::UpstreamId("u1");
    upstream.group = Base::UpstreamGroupId("g");
    upstream.domain = manifest.domains.front();
    upstream.url = "http://127.0.0.1:7400";
    upstream.host = "w1";
    upstream.rack = "r1";
    upstream.slots = 8;
    upstream.connections = 60;
    manifest.upstreams[upstream.id] = upstream;
    Manifest::Kind kind;
    kind.id = Base::KindId("k");
    kind.repeatable = true;
    kind.deadline = milliseconds(1000 + variant % 1000);
    kind.declaredRunTime = milliseconds(50);
    kind.upstreamGroups = {upstream.group};
    manifest.kinds[kind.id] = kind;
    Manifest::Team team;
    team.id = Base::TeamId("t");
    team.maxConcurrentJobs = 10;
    team.maxQueuedTasks = 100;
    manifest.teams[team.id] = team;
    return Manifest::writeManifest(manifest);
}

/// The platform client of one daemon, whose table reads can be stale.
class FakePlatformClient : public Kernel::Service,
                           public Storage::Table,
                           public Storage::ObjectStore
{
public:
    FakePlatformClient(FakeTable &table, std::map<std::string, std::string> &objects,
                       ManualTimers &timers)
        : client(table, timers)
        , m_objects(objects)
        , m_timers(timers)
    {}

    absl::Status start(const Kernel::ServiceRegistry &) override { return absl::OkStatus(); }

    void read(std::string_view key, ReadCallback callback) override
    {
        client.read(key, [this, callback](const absl::Status &status, const Storage::Row &row) {
            const bool isStale = status.ok() && staleRow && staleRow->version < row.version;
            callback(status, isStale ? *staleRow : row);
        });
    }
    void compareAndSet(Storage::ConditionalWrite write, WriteCallback callback) override
    {
        client.compareAndSet(std::move(write), std::move(callback));
    }
    void get(std::string_view key, GetCallback callback) override
    {
        const bool fails = client.down || !m_objects.contains(std::string(key));
        const std::string body = fails ? "" : m_objects.at(std::string(key));
        m_timers.schedule(milliseconds(3), [callback, fails, body] {
            callback(fails ? Base::makeFailure(Base::FailureCode::PlatformUnavailable, "fake")
                           : absl::OkStatus(),
                     body);
        });
    }
    void put(std::string_view key, std::string body, PutCallback callback) override
    {
        const bool fails = client.down;
        if (!fails)
            m_objects[std::string(key)] = std::move(body);
        m_timers.schedule(milliseconds(3), [callback, fails] {
            callback(fails ? Base::makeFailure(Base::FailureCode::PlatformUnavailable, "fake")
                           : absl::OkStatus());
        });
    }

    FakeTableClient client;
    std::optional<Storage::Row> staleRow;

private:
    std::map<std::string, std::string> &m_objects;
    ManualTimers &m_timers;
};

class PortService : public Kernel::Service, public FakePeerPort
{
public:
    using FakePeerPort::FakePeerPort;
    absl::Status start(const Kernel::ServiceRegistry &) override { return absl::OkStatus(); }
};

/// Daemons that share a platform and send each other their revision every 300 ms.
class Deployment
{
public:
    explicit Deployment(std::size_t n)
    {
        for (std::size_t i = 0; i < n; ++i) {
            m_daemons.emplace_back();
            restart(i);
        }
        announceRevisions();
    }

    void restart(std::size_t i)
    {
        Daemon &daemon = m_daemons[i];
        const bool wasDown = daemon.platform && daemon.platform->client.down;
        const auto staleRow = daemon.platform ? daemon.platform->staleRow : std::nullopt;
        if (daemon.holder)
            daemon.holder->stop();
        m_retiredRegistries.push_back(std::move(daemon.registry));
        daemon.settings.daemon = idOf(i);
        daemon.settings.domain = Base::FailureDomainId("a");
        const Base::Incarnation incarnation(++m_lastIncarnation);
        daemon.registry = std::make_unique<Kernel::ServiceRegistry>();
        auto platform = std::make_unique<FakePlatformClient>(table, objects, clock);
        daemon.platform = platform.get();
        daemon.platform->client.down = wasDown;
        daemon.platform->staleRow = staleRow;
        auto port = std::make_unique<PortService>(
            network, Wire::PeerIdentity{idOf(i), daemon.settings.domain, incarnation}, clock);
        daemon.port = port.get();
        auto holder = std::make_unique<ManifestHolder>(
            Settings::Runtime{m_io, clock, daemon.settings, incarnation});
        daemon.holder = holder.get();
        daemon.port->setListener(daemon.holder);
        daemon.registry->add(Kernel::ServiceNames::TELEMETRY,
                             std::make_unique<Telemetry::TelemetryService>(
                                 Settings::Runtime{m_io, clock, daemon.settings, incarnation}));
        daemon.registry->add(Kernel::ServiceNames::PLATFORM_CLIENT, std::move(platform));
        daemon.registry->add(Kernel::ServiceNames::PEER_LINK, std::move(port));
        daemon.registry->add(Kernel::ServiceNames::MANIFEST, std::move(holder));
        BOOST_TEST_REQUIRE(daemon.registry->startAll().ok());
    }

    ManifestHolder &holder(std::size_t i) { return *m_daemons[i].holder; }
    FakePlatformClient &platform(std::size_t i) { return *m_daemons[i].platform; }
    std::size_t count() const { return m_daemons.size(); }
    static Base::DaemonId idOf(std::size_t i) { return Base::DaemonId("d" + std::to_string(i)); }

    /// Submits a manifest to daemon \a i. The result has no value until it is known.
    std::shared_ptr<std::optional<SubmitResult>> submit(std::size_t i, std::uint64_t revision,
                                                        std::uint64_t variant)
    {
        auto result = std::make_shared<std::optional<SubmitResult>>();
        holder(i).submit(makeBody(revision, variant), Base::Revision(revision - 1),
                         [result](const SubmitResult &r) { *result = r; });
        return result;
    }

    /// Checks that no daemon has a lower revision than it had before, also across restarts.
    void checkNoneReverted(const char *step)
    {
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            const std::uint64_t now = holder(i).revision().value();
            if (now == 0)
                continue; // restarted; no manifest applied yet
            if (now < m_daemons[i].highest && !isHighestReachable(i))
                m_daemons[i].highest = now;
            BOOST_REQUIRE_MESSAGE(now >= m_daemons[i].highest, step << ": d" << i << " went from "
                                                                    << m_daemons[i].highest
                                                                    << " to " << now);
            m_daemons[i].highest = now;
        }
    }

    std::uint64_t headRevision() const
    {
        const std::string text = table.row("manifest/head").value;
        const std::size_t i = text.find("\"revision\":");
        return i == std::string::npos ? 0 : std::strtoull(text.c_str() + i + 11, nullptr, 10);
    }

    ManualTimers clock;
    FakeTable table{clock};
    FakePeerNetwork network{clock};
    std::map<std::string, std::string> objects;

private:
    struct Daemon
    {
        Settings::DaemonSettings settings;
        std::unique_ptr<Kernel::ServiceRegistry> registry;
        FakePlatformClient *platform = nullptr;
        PortService *port = nullptr;
        ManifestHolder *holder = nullptr;
        std::uint64_t highest = 0;
    };

    /// Whether daemon \a i can reach the platform or a peer with its highest revision. With seed 4,
    /// a daemon restarted while the platform was down and its only link was to a peer that was 15
    /// revisions behind. Daemons persist nothing on their hosts, so a lower revision is correct
    /// then.
    bool isHighestReachable(std::size_t i)
    {
        if (!platform(i).client.down)
            return true;
        for (std::size_t j = 0; j < m_daemons.size(); ++j) {
            if (i != j && !network.isPartitioned(idOf(i), idOf(j))
                && holder(j).revision().value() >= m_daemons[i].highest)
                return true;
        }
        return false;
    }

    void announceRevisions()
    {
        clock.schedule(milliseconds(300), [this] { announceRevisions(); });
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            for (std::size_t j = 0; j < m_daemons.size(); ++j) {
                if (i != j && m_daemons[i].port->isConnected(idOf(j)))
                    holder(j).revisionAnnounced(idOf(i), holder(i).revision());
            }
        }
    }

    asio::io_context m_io;
    std::deque<Daemon> m_daemons;
    // Kept alive, since callbacks of the fakes may run after a restart.
    std::vector<std::unique_ptr<Kernel::ServiceRegistry>> m_retiredRegistries;
    std::uint64_t m_lastIncarnation = 0;
};

// Guards against two concurrent submissions of the same revision that are both reported as
// accepted.
BOOST_AUTO_TEST_CASE(onlyOneOfTwoConcurrentSubmissionsIsAccepted)
{
    Deployment deployment(3);
    const auto first = deployment.submit(0, 1, 1);
    const auto second = deployment.submit(1, 1, 2);
    deployment.clock.advance(std::chrono::seconds(5));
    BOOST_TEST_REQUIRE((first->has_value() && second->has_value()));
    BOOST_TEST((*first)->status.ok() != (*second)->status.ok());
    const SubmitResult &loser = (*first)->status.ok() ? **second : **first;
    BOOST_TEST((Base::failureCode(loser.status) == Base::FailureCode::VersionMismatch));
    for (std::size_t i = 0; i < deployment.count(); ++i)
        BOOST_TEST(deployment.holder(i).body() == deployment.holder(0).body());
}

// Guards against a lost reply to the head write that is reported as a conflict, or as success
// although the write had no effect.
BOOST_AUTO_TEST_CASE(lostRepliesAreResolved)
{
    for (const TableFault fault :
         {TableFault::LostAfter, TableFault::LostBefore, TableFault::Delayed}) {
        Deployment deployment(2);
        deployment.platform(0).client.scriptWrites({fault});
        const auto result = deployment.submit(0, 1, 1);
        deployment.clock.advance(std::chrono::seconds(20));
        BOOST_TEST_REQUIRE(result->has_value());
        BOOST_TEST((*result)->status.ok());
        BOOST_TEST(deployment.holder(1).revision().value() == 1);
    }
}

// Guards against an invalid revision in the table that replaces the current one or blocks the valid
// revision that follows.
BOOST_AUTO_TEST_CASE(invalidRevisionIsRefusedByAllDaemons)
{
    Deployment deployment(3);
    deployment.submit(0, 1, 1);
    deployment.clock.advance(std::chrono::seconds(5));
    const std::string invalid = R"({"revision": 2})";
    const std::string digest = Manifest::manifestDigest(invalid);
    deployment.objects["manifest/" + digest] = invalid;
    std::uint64_t version = 0;
    BOOST_TEST_REQUIRE(deployment.table
                           .apply({"manifest/head", R"({"revision":2,"digest":")" + digest + "\"}",
                                   deployment.table.row("manifest/head").version, "by hand"},
                                  version)
                           .ok());
    deployment.clock.advance(std::chrono::seconds(5));
    for (std::size_t i = 0; i < deployment.count(); ++i) {
        BOOST_TEST(deployment.holder(i).revision().value() == 1);
        BOOST_TEST(deployment.holder(i).refusedRevision().value() == 2);
    }
    const auto next = deployment.submit(1, 3, 3);
    deployment.clock.advance(std::chrono::seconds(5));
    BOOST_TEST((*next)->status.ok());
    for (std::size_t i = 0; i < deployment.count(); ++i)
        BOOST_TEST(deployment.holder(i).revision().value() == 3);
}

// Guards against a restarted daemon that applies an old revision from a stale read although its
// peers have a newer one, or that has no manifest at all while the platform is unavailable.
BOOST_AUTO_TEST_CASE(restartKeepsTheHighestRevision)
{
    Deployment deployment(3);
    deployment.submit(0, 1, 1);
    deployment.clock.advance(std::chrono::seconds(5));
    deployment.platform(2).staleRow = deployment.table.row("manifest/head");
    deployment.submit(0, 2, 2);
    deployment.clock.advance(std::chrono::seconds(5));
    deployment.checkNoneReverted("before the restart");
    deployment.restart(2);
    for (int i = 0; i < 200; ++i) {
        deployment.clock.advance(milliseconds(100));
        deployment.checkNoneReverted("stale read");
    }
    BOOST_TEST(deployment.holder(2).revision().value() == 2);
    deployment.platform(1).client.down = true;
    deployment.restart(1);
    deployment.clock.advance(std::chrono::seconds(10));
    BOOST_TEST(deployment.holder(1).revision().value() == 2);
}

// Guards against a daemon that reverts to a lower revision, and against daemons that end on
// different revisions, with concurrent submissions, lost replies, partitioned links, outages, stale
// reads and restarts.
BOOST_AUTO_TEST_CASE(concurrentSubmissionsConverge)
{
    const std::uint64_t seed = TestSupport::environmentNumber("EP_RANDOM_SEED", 20261204);
    const std::uint64_t submissions = TestSupport::environmentNumber("EP_RANDOM_RUNS", 3000);
    std::cout << "seed " << seed << ", " << submissions << " submissions\n";
    std::mt19937_64 random(seed);
    const auto chance = [&random](int percent) { return random() % 100 < unsigned(percent); };
    Deployment deployment(4);
    deployment.table.chooseFault = [&] {
        return chance(10) ? static_cast<TableFault>(1 + random() % 4) : TableFault::None;
    };
    deployment.network.chooseDelay = [&]() -> std::optional<Base::Duration> {
        if (chance(5))
            return {};
        return milliseconds(random() % (chance(5) ? 3000 : 5));
    };
    std::map<std::uint64_t, std::string> accepted; // body reported as accepted, by revision
    std::vector<std::pair<std::pair<std::uint64_t, std::string>,
                          std::shared_ptr<std::optional<SubmitResult>>>>
        pending;
    for (std::uint64_t n = 0; n < submissions; ++n) {
        const std::uint64_t revision = deployment.headRevision() + 1;
        const std::size_t operators = 1 + random() % 2;
        for (std::size_t k = 0; k < operators; ++k) {
            const std::size_t i = random() % deployment.count();
            pending.emplace_back(std::pair(revision, makeBody(revision, n * 2 + k)),
                                 deployment.submit(i, revision, n * 2 + k));
        }
        const std::size_t target = random() % deployment.count();
        if (chance(5))
            deployment.restart(target);
        if (chance(10))
            deployment.platform(target).client.down = chance(50);
        if (chance(5))
            deployment.platform(target).staleRow = deployment.table.row("manifest/head");
        if (chance(20))
            deployment.platform(target).staleRow.reset();
        if (chance(10)) {
            deployment.network.setPartitioned(Deployment::idOf(target),
                                              Deployment::idOf(random() % deployment.count()),
                                              chance(40));
        }
        for (int step = 0; step < 5; ++step) {
            deployment.clock.advance(milliseconds(random() % 400));
            deployment.checkNoneReverted("random run");
        }
    }
    deployment.table.chooseFault = {};
    deployment.network.chooseDelay = {};
    deployment.network.restoreAll();
    for (std::size_t i = 0; i < deployment.count(); ++i) {
        deployment.platform(i).client.down = false;
        deployment.platform(i).staleRow.reset();
    }
    deployment.clock.advance(std::chrono::seconds(60));
    for (const auto &[body, result] : pending) {
        if (!result->has_value() || !(*result)->status.ok())
            continue;
        const auto [it, isNew] = accepted.emplace(body);
        BOOST_REQUIRE_MESSAGE(isNew || it->second == body.second,
                              "two bodies were accepted as revision " << body.first);
    }
    std::cout << "revision " << deployment.headRevision() << " is the last, " << accepted.size()
              << " were confirmed to an operator\n";
    for (std::size_t i = 0; i < deployment.count(); ++i)
        BOOST_TEST(deployment.holder(i).revision().value() == deployment.headRevision());
    BOOST_TEST(deployment.headRevision() > submissions / 3);
}
