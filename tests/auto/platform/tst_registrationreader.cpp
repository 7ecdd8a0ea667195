// How soon all daemons of a large deployment know of a change in the executor table, and how many
// rows they read: the daemons run the real dispatch code and exchange state messages on a simulated
// network.
#include "../dispatch/dispatchcluster.h"

#include <platform/registrationreader.h>
#include <platform/wirenames.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace Platform;
using namespace std::chrono_literals;
using DispatchTest::DispatchCluster;
using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds DRAIN_TIME{2000};
constexpr Base::Duration OWNER_BOUND = DRAIN_TIME / 4;
constexpr Base::Duration OTHER_BOUND = DRAIN_TIME / 2;
constexpr Base::Duration LATENCY = 2ms; // of the store, in each direction
/// A request and its response, and the step of the test's clock.
constexpr Base::Duration SLACK = LATENCY * 2 + 6ms;
constexpr Base::Duration RENEWAL = 1500ms;
/// The daemons on the largest hosts.
const std::vector<std::string> LARGEST{"a0", "a1", "b0", "b1", "c0", "c1"};

/// The executor table.
class FakeTable
{
public:
    explicit FakeTable(TestSupport::ManualTimers &clock)
        : m_clock(clock)
    {}

    void write(const std::string &key, const std::string &value, bool isRemoved = false)
    {
        m_version = m_version.next();
        m_rows[key] = {key, value, m_version, isRemoved};
        m_history.push_back(m_rows[key]);
        for (const auto &it : std::exchange(m_waiting, {}))
            it();
    }

    Storage::FeedResult all() const
    {
        Storage::FeedResult result{Storage::FeedStatus::Ok, {}, m_version};
        for (const auto &[key, row] : m_rows) {
            if (!row.isRemoved)
                result.rows.push_back(row);
        }
        return result;
    }
    /// Each version of each row, as the store does it.
    Storage::FeedResult changes(Storage::StoreVersion after) const
    {
        Storage::FeedResult result{Storage::FeedStatus::Ok, {}, m_version};
        const auto first = std::upper_bound(
            m_history.begin(), m_history.end(), after,
            [](Storage::StoreVersion version, const auto &row) { return version < row.version; });
        for (auto it = first; it != m_history.end(); ++it) {
            if (result.rows.size() == MAX_ROWS) {
                result.version = result.rows.back().version;
                break;
            }
            result.rows.push_back(*it);
        }
        return result;
    }

    /// Calls \a callback once, at the next change or after \a wait.
    void await(Base::Duration wait, const std::function<void()> &callback)
    {
        const auto isDone = std::make_shared<bool>(false);
        const auto once = [isDone, callback] {
            if (!std::exchange(*isDone, true))
                callback();
        };
        m_waiting.push_back(once);
        m_clock.schedule(wait, once);
    }

private:
    static constexpr std::size_t MAX_ROWS = 500; // of one response

    TestSupport::ManualTimers &m_clock;
    Storage::StoreVersion m_version{1};
    std::map<std::string, Storage::TableRow> m_rows;
    std::vector<Storage::TableRow> m_history;
    std::vector<std::function<void()>> m_waiting;
};

/// A daemon's connection to the table.
class FakeFeed : public Storage::TableFeed
{
public:
    FakeFeed(FakeTable &table, TestSupport::ManualTimers &clock, Base::Timers &process)
        : m_table(table)
        , m_clock(clock)
        , m_process(process)
    {}
    ~FakeFeed() override { *m_isAlive = false; }

    void readAll(const std::string &, Callback callback) override
    {
        request([this, callback] { respond(m_table.all(), callback); }, callback);
    }
    void awaitChanges(const std::string &, Storage::StoreVersion after, Base::Duration wait,
                      Callback callback) override
    {
        request(
            [this, after, wait, callback] {
                const Storage::FeedResult result = m_table.changes(after);
                if (!result.rows.empty()) {
                    respond(result, callback);
                    return;
                }
                m_table.await(wait, [this, alive = m_isAlive, after, callback] {
                    if (*alive)
                        respond(m_table.changes(after), callback);
                });
            },
            callback);
    }

    bool isUnreachable = false;
    std::uint64_t calls = 0;
    std::uint64_t rows = 0;

private:
    void request(const std::function<void()> &action, const Callback &callback)
    {
        ++calls;
        m_clock.schedule(LATENCY, [this, alive = m_isAlive, action, callback] {
            if (!*alive)
                return;
            if (isUnreachable)
                m_process.schedule(300ms, [callback] { callback({}); });
            else
                action();
        });
    }
    void respond(const Storage::FeedResult &result, const Callback &callback)
    {
        rows += result.rows.size();
        m_clock.schedule(LATENCY, [this, alive = m_isAlive, result, callback] {
            if (*alive) // a paused process reads the response when it continues
                m_process.schedule(0ms, [callback, result] { callback(result); });
        });
    }

    FakeTable &m_table;
    TestSupport::ManualTimers &m_clock;
    Base::Timers &m_process;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

/// What a daemon consists of besides its dispatcher.
struct Reader
{
    Reader(DispatchTest::Daemon &owner, FakeTable &table, TestSupport::ManualTimers &clock,
           bool usesStatements)
        : daemon(owner)
        , feed(table, clock, owner.timers)
        , registrations(feed, owner.timers, DRAIN_TIME, [this] { changed(); })
    {
        if (usesStatements)
            daemon.node.setStateListener(&registrations);
        registrations.start();
        updateRole();
    }
    ~Reader() { daemon.node.setStateListener(nullptr); }

    void changed()
    {
        std::vector<Dispatch::ExecutorInfo> executors;
        for (const auto &[id, executor] : registrations.executors())
            executors.push_back(executor);
        daemon.node.setExecutors(executors);
    }
    void updateRole()
    {
        registrations.updateRole(daemon.node);
        daemon.timers.schedule(RegistrationReader::ROLE_CHECK_MS, [this] { updateRole(); });
    }

    DispatchTest::Daemon &daemon;
    FakeFeed feed;
    RegistrationReader registrations;
    /// Since when it runs, reaches the store, and either owns groups or does not.
    Base::TimePoint isCalmSince;
    bool isOwner = false;
};

/// Three failure domains with 100 executors.
struct Fixture
{
    explicit Fixture(int daemons = 8)
        : daemonsPerDomain(daemons)
    {}
    void start(bool usesStatements = true)
    {
        for (const std::string domain : {"a", "b", "c"}) {
            for (int i = 0; i < daemonsPerDomain; ++i) {
                const std::string name = domain + std::to_string(i);
                cluster.addDaemon(name, domain);
                cluster.capacities[name] = i < 2 ? 2000 : 1000;
            }
        }
        cluster.addExecutors("a", 50);
        cluster.addExecutors("b", 25);
        cluster.addExecutors("c", 25);
        Base::Duration phase{0};
        for (const Dispatch::ExecutorInfo &it : cluster.executors.infos()) {
            states[it.id.value()] = "ready";
            infos[it.id.value()] = it;
            write(it.id.value());
            phase += RENEWAL / 100;
            cluster.clock.schedule(phase, [this, id = it.id.value()] { renew(id); });
        }
        cluster.startAll();
        for (const auto &[name, daemon] : cluster.daemons)
            readers[name] = std::make_unique<Reader>(*daemon, table, cluster.clock, usesStatements);
        run(5s);
    }
    ~Fixture()
    {
        BOOST_TEST(changes.empty()); // all daemons know of all changes
        readers.clear();
    }

    void write(const std::string &id)
    {
        const Dispatch::ExecutorInfo &info = infos.at(id);
        const json row = {{"service", info.service.value()},
                          {"address", "10.1.0.1:8206"},
                          {"zone", info.domain.value()},
                          {"state", states.at(id)},
                          {"born", info.lifetime.value()},
                          {"capacity",
                           {{"cpu", info.capacity.cpuMillis},
                            {"memMb", info.capacity.memoryMb},
                            {"gpu", info.capacity.gpus}}},
                          {"sequence", ++sequence}};
        table.write(id, row.dump(), states.at(id).empty());
    }
    void renew(const std::string &id)
    {
        if (!states.at(id).empty())
            write(id);
        cluster.clock.schedule(RENEWAL, [this, id] { renew(id); });
    }
    /// An empty state removes the row.
    void change(const std::string &id, const std::string &state)
    {
        states[id] = state;
        write(id);
        changes.push_back({id, state, cluster.clock.now(), {}});
    }

    /// Runs the daemons and checks the delay of each change at each of them.
    void run(Base::Duration duration)
    {
        const Base::TimePoint end = cluster.clock.now() + duration;
        while (cluster.clock.now() < end) {
            cluster.clock.advance(5ms);
            for (const auto &[name, reader] : readers)
                check(name, *reader);
        }
        BOOST_TEST(cluster.executors.violation == "");
    }

    void check(const std::string &name, Reader &reader)
    {
        const Base::TimePoint now = cluster.clock.now();
        const bool isOwner = !reader.daemon.node.ownedGroups().empty();
        // A new owner adapts its delay with the next check of its role.
        if (reader.daemon.timers.isPaused() || reader.feed.isUnreachable)
            reader.isCalmSince = now + 1s; // until a retry
        else if (std::exchange(reader.isOwner, isOwner) != isOwner)
            reader.isCalmSince =
                std::max(reader.isCalmSince, now + RegistrationReader::ROLE_CHECK_MS);
        for (Change &it : changes) {
            if (it.known.contains(name))
                continue;
            const auto executor =
                reader.registrations.executors().find(Dispatch::ExecutorId(it.id));
            const bool exists = executor != reader.registrations.executors().end();
            const std::string known =
                exists ? (executor->second.draining ? "draining" : "ready") : "";
            // A later change of the same executor may hide this one.
            if (known == it.state || states.at(it.id) != it.state) {
                it.known.insert(name);
                continue;
            }
            const Base::Duration delay = now - std::max(it.time, reader.isCalmSince);
            const Base::Duration bound = isOwner ? OWNER_BOUND : OTHER_BOUND;
            longestDelay = std::max(longestDelay, now - it.time);
            if (delay > bound + SLACK) {
                BOOST_ERROR(name << " does not know that " << it.id << " is '" << it.state << "' "
                                 << Base::toMilliseconds(delay) << " ms after the change");
                it.known.insert(name);
            }
        }
        std::erase_if(changes, [&](const Change &it) { return it.known.size() >= readers.size(); });
    }

    /// Changes an executor about every 700 ms.
    void runWithChanges(Base::Duration duration)
    {
        const Base::TimePoint end = cluster.clock.now() + duration;
        while (cluster.clock.now() < end) {
            run(std::chrono::milliseconds(random() % 1400));
            auto it = states.begin();
            std::advance(it, random() % states.size());
            change(it->first, it->second == "ready"      ? "draining"
                              : it->second == "draining" ? ""
                                                         : "ready");
        }
        run(OTHER_BOUND + 2s);
    }

    void kill(const std::string &name)
    {
        readers.erase(name);
        cluster.kill(name);
    }
    struct Reads
    {
        std::uint64_t rows = 0;
        std::uint64_t calls = 0;
    };
    /// Of all daemons during \a duration.
    Reads reads(Base::Duration duration)
    {
        const Reads before = total();
        run(duration);
        const Reads after = total();
        return {after.rows - before.rows, after.calls - before.calls};
    }
    Reads total() const
    {
        Reads n;
        for (const auto &[name, reader] : readers) {
            n.rows += reader->feed.rows;
            n.calls += reader->feed.calls;
        }
        return n;
    }

    struct Change
    {
        std::string id;
        std::string state;
        Base::TimePoint time;
        std::set<std::string> known; // daemons
    };

    const int daemonsPerDomain;
    DispatchCluster cluster;
    FakeTable table{cluster.clock};
    std::map<std::string, std::unique_ptr<Reader>> readers;
    std::map<std::string, Dispatch::ExecutorInfo> infos;
    std::map<std::string, std::string> states; // of the executors in the table
    std::vector<Change> changes;
    std::uint64_t sequence = 0;
    Base::Duration longestDelay{0};
    std::mt19937 random{7};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(registrationreader, Fixture)

// Every daemon read every renewal of every executor, so the bytes read from the store grew with the
// product of both numbers.
BOOST_AUTO_TEST_CASE(renewalsAreNotReadByAllDaemons)
{
    start();
    const Reads now = reads(30s);
    Fixture withoutStatements;
    withoutStatements.start(false);
    const Reads before = withoutStatements.reads(30s);
    BOOST_TEST_MESSAGE("rows " << before.rows << " -> " << now.rows << ", calls " << before.calls
                               << " -> " << now.calls);
    BOOST_TEST(now.rows * 4 < before.rows);
    BOOST_TEST(now.calls < before.calls);
}

BOOST_AUTO_TEST_CASE(smallDeploymentReadsEveryRenewal)
{
    Fixture small(5);
    small.start();
    const Reads now = small.reads(10s);
    Fixture withoutStatements(5);
    withoutStatements.start(false);
    const Reads before = withoutStatements.reads(10s);
    BOOST_TEST(now.rows == before.rows);
    BOOST_TEST(now.calls == before.calls);
}

BOOST_AUTO_TEST_CASE(changesAreKnownInTime)
{
    start();
    runWithChanges(30s);
    BOOST_TEST_MESSAGE("longest delay " << Base::toMilliseconds(longestDelay) << " ms");
}

BOOST_AUTO_TEST_CASE(changesAreKnownInTimeWhenStateMessagesAreLost)
{
    start();
    cluster.network.chooseDelay = [this]() -> std::optional<Base::Duration> {
        if (random() % 3 == 0)
            return std::nullopt;
        return std::chrono::milliseconds(random() % 20);
    };
    runWithChanges(30s);
}

BOOST_AUTO_TEST_CASE(changesAreKnownInTimeWhenReadersDie)
{
    start();
    for (const std::string name : {"a0", "b0", "b1"}) {
        runWithChanges(3s);
        kill(name);
        runWithChanges(3s);
    }
}

BOOST_AUTO_TEST_CASE(changesAreKnownInTimeWhenReadersArePaused)
{
    start();
    for (int i = 0; i < 5; ++i) {
        for (const std::string &name : LARGEST)
            cluster.daemons.at(name)->timers.pause();
        runWithChanges(2s);
        for (const std::string &name : LARGEST)
            cluster.daemons.at(name)->timers.resume();
        runWithChanges(2s);
    }
}

BOOST_AUTO_TEST_CASE(changesAreKnownInTimeDuringPartitions)
{
    start();
    for (int i = 0; i < 3; ++i) {
        cluster.setDomainPartitioned("a", true);
        for (const std::string name : {"b0", "b1"}) {
            for (const std::string other : {"b2", "b3", "b4"})
                cluster.setPartitioned(name, other, true);
        }
        runWithChanges(3s);
        cluster.setDomainPartitioned("a", false);
        for (const std::string name : {"b0", "b1"}) {
            for (const std::string other : {"b2", "b3", "b4"})
                cluster.setPartitioned(name, other, false);
        }
        runWithChanges(3s);
    }
}

BOOST_AUTO_TEST_CASE(changesAreKnownInTimeWhenReadersDoNotReachTheStore)
{
    start();
    for (int i = 0; i < 5; ++i) {
        for (const std::string &name : LARGEST)
            readers.at(name)->feed.isUnreachable = true;
        runWithChanges(2s);
        for (const std::string &name : LARGEST)
            readers.at(name)->feed.isUnreachable = false;
        runWithChanges(2s);
    }
}

// During a rolling restart, the readers may be daemons of an older version, which state nothing.
BOOST_AUTO_TEST_CASE(changesAreKnownInTimeBesideOlderDaemons)
{
    start();
    for (const std::string name : {"a0", "a1", "b0", "b1", "b2", "b3", "b4", "b5", "b6", "b7"})
        cluster.daemons.at(name)->node.setStateListener(nullptr);
    runWithChanges(20s);
}

BOOST_AUTO_TEST_SUITE_END()
