// The real programs under faults. Each case compares all answers with the workers' own records.
#include "deployment.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <iostream>

using namespace SystemTest;
using LoadGen::Outcome;

/// The whole program ends within this time, whatever happens.
static constexpr unsigned GUARD_S = 240;
static constexpr Milliseconds RECOVERY_LIMIT_MS{20'000};

struct Guard
{
    Guard() { TestSupport::ChildProcess::armWatchdog(GUARD_S); }
};
BOOST_TEST_GLOBAL_FIXTURE(Guard);

static const char *const MIX = "probe:5:1:20,audit:1:40:20,alarm:2:1:20";

template<class... Values>
static void print(const Values &...values)
{
    (std::cout << ... << values) << std::endl;
}

static void checkAudit(Deployment &deployment, const char *name)
{
    const LoadGen::Audit audit = deployment.audit();
    for (const auto *it :
         {&audit.doubleStarts, &audit.falseNotRun, &audit.wrongAnswers, &audit.conflictingAnswers})
        BOOST_TEST(*it == std::vector<std::string>(), boost::test_tools::per_element());
    print(name, ": ", audit.answeredRequests, " answered, ", audit.startedTasks, " tasks, ",
          audit.workerRequestsPerTask(), " requests to workers per task, ",
          audit.wastedPerAnsweredRequest(), " wasted messages per answered request; logs in ",
          deployment.describeLogs());
}

static void checkOutcome(const Sent &sent, std::initializer_list<Outcome> allowed)
{
    BOOST_TEST_CONTEXT(sent.record.kind << " " << sent.record.key)
    {
        BOOST_TEST_REQUIRE(sent.isAnswered);
        const LoadGen::Answer answer = sent.answer();
        const bool isAllowed =
            std::find(allowed.begin(), allowed.end(), answer.outcome) != allowed.end();
        BOOST_TEST(isAllowed,
                   "outcome " << LoadGen::outcomeName(answer.outcome) << " " << answer.failure);
    }
}

/// Every answer to the load is one of \a allowed.
static void checkLoad(const LoadGen::Load &load, std::initializer_list<Outcome> allowed)
{
    BOOST_TEST(!load.records().empty());
    for (const LoadGen::RequestRecord &record : load.records()) {
        BOOST_TEST(record.answers.size() == record.submissions);
        for (const LoadGen::Answer &it : record.answers) {
            const bool isAllowed =
                std::find(allowed.begin(), allowed.end(), it.outcome) != allowed.end();
            BOOST_TEST(isAllowed, record.kind << " " << record.key << ": "
                                              << LoadGen::outcomeName(it.outcome) << " "
                                              << it.failure);
        }
    }
}

/// A daemon of domain north other than \a daemon.
static std::size_t otherNorth(std::size_t daemon)
{
    return (daemon + 1) % NORTH_DAEMONS;
}

static void waitForHeal(Deployment &deployment)
{
    const bool isReplicated = deployment.waitUntil(
        [&] {
            return deployment.areShardsReplicated(0, NORTH_DAEMONS)
                   && deployment.areShardsReplicated(NORTH_DAEMONS, DAEMON_COUNT);
        },
        Milliseconds(30'000));
    BOOST_TEST_REQUIRE(isReplicated);
}

// Guards against entry daemons that answer jobs of another owner or domain incompletely.
BOOST_AUTO_TEST_CASE(jobCompletesThroughEveryEntry)
{
    Deployment deployment;
    std::vector<std::shared_ptr<Sent>> sent;
    for (std::size_t i = 0; i < DAEMON_COUNT; ++i) {
        for (const char *home : {"north:", "south:"})
            sent.push_back(deployment.submit(i, "audit", home + std::to_string(i), 300, 5));
    }
    BOOST_TEST(deployment.waitForAnswers());
    for (const auto &it : sent)
        checkOutcome(*it, {Outcome::Complete});
    const auto load = deployment.startLoad(MIX, 40, Milliseconds(2000));
    deployment.finish(*load);
    checkLoad(*load, {Outcome::Complete});
    checkAudit(deployment, "no faults");
}

// Guards against tasks started again by the new owner, and against callers left without an outcome.
static void killOwner(bool isReplyLost, const char *name)
{
    Deployment deployment;
    const std::string key = "north:killed";
    const std::size_t owner = deployment.ownerOf(key);
    const auto job = deployment.submit(otherNorth(owner), "audit", key, 300, 50);
    deployment.pass(Milliseconds(300));
    BOOST_TEST(!job->isAnswered);
    if (isReplyLost)
        // Enough for the removals by the other owner, which come first, and for the takeovers.
        deployment.setFault(deployment.platformUrl(), {{"loseReplies", 6}});
    deployment.daemon(owner).kill();
    const Base::TimePoint killedAt = deployment.now();
    const auto next =
        deployment.submit(otherNorth(owner), "audit", deployment.siblingOf(key), 1, 5);
    const auto elapsed = [&] {
        return std::chrono::duration_cast<Milliseconds>(deployment.now() - killedAt).count();
    };
    const bool isTakenOver = deployment.waitUntil(
        [&] { return deployment.findOwner(key).has_value(); }, RECOVERY_LIMIT_MS);
    BOOST_TEST(isTakenOver);
    print(name, ": another daemon holds the lease after ", elapsed(), " ms");
    BOOST_TEST(deployment.waitUntil([&] { return next->isAnswered; }, RECOVERY_LIMIT_MS));
    print(name, ": a job sent at the kill is answered after ", elapsed(), " ms");
    BOOST_TEST(deployment.waitForAnswers());
    checkOutcome(*job, {Outcome::Complete, Outcome::Failed});
    checkOutcome(*next, {Outcome::Complete});
    print(name, ": the job's outcome is ", LoadGen::outcomeName(job->answer().outcome), " ",
          job->answer().failure);
    // The same key has the same outcome at the other entry daemon.
    const auto again = deployment.submit(otherNorth(otherNorth(owner)), "audit", key, 300, 50);
    BOOST_TEST(deployment.waitForAnswers());
    checkOutcome(*again, {job->answer().outcome});
    checkAudit(deployment, name);
}

BOOST_AUTO_TEST_CASE(killedOwner)
{
    killOwner(false, "killed owner");
}

BOOST_AUTO_TEST_CASE(platformReplyLostDuringTakeover)
{
    killOwner(true, "lost platform replies");
}

// Guards against an owner that goes on starting tasks after its lease expired in a pause.
BOOST_AUTO_TEST_CASE(pausedOwner)
{
    Deployment deployment;
    const std::string key = "north:paused";
    const std::size_t owner = deployment.ownerOf(key);
    const auto job = deployment.submit(otherNorth(owner), "audit", key, 300, 50);
    const auto atOwner = deployment.submit(owner, "audit", deployment.siblingOf(key), 100, 50);
    deployment.pass(Milliseconds(300));
    deployment.daemon(owner).signal(SIGSTOP);
    deployment.pass(Milliseconds(4000));
    deployment.daemon(owner).signal(SIGCONT);
    BOOST_TEST(deployment.waitForAnswers());
    const auto outcomes = {Outcome::Complete, Outcome::Failed};
    checkOutcome(*job, outcomes);
    checkOutcome(*atOwner, outcomes);
    for (std::size_t i = 0; i < NORTH_DAEMONS; ++i) {
        const auto again = deployment.submit(i, "audit", key, 300, 50);
        BOOST_TEST(deployment.waitForAnswers());
        checkOutcome(*again, {job->answer().outcome});
    }
    checkAudit(deployment, "paused owner");
}

// Guards against requests lost in a graceful shutdown.
BOOST_AUTO_TEST_CASE(drainEachDaemonUnderLoad)
{
    Deployment deployment;
    for (std::size_t i = 0; i < DAEMON_COUNT; ++i) {
        const auto load = deployment.startLoad(MIX, 30, Milliseconds(1500));
        deployment.pass(Milliseconds(700));
        load->removeCaller(i);
        deployment.daemon(i).signal(SIGTERM);
        deployment.finish(*load);
        BOOST_TEST(deployment.waitUntil([&] { return !deployment.daemon(i).isRunning(); },
                                        RECOVERY_LIMIT_MS));
        BOOST_TEST(deployment.daemon(i).exitCode() == 0);
        BOOST_TEST_CONTEXT("daemon " << i)
        {
            checkLoad(*load, {Outcome::Complete, Outcome::Failed, Outcome::NotRun});
        }
        deployment.startDaemon(i);
        waitForHeal(deployment);
        // The balancer sends no callers to a daemon that is not ready.
        BOOST_TEST(deployment.waitUntil(
            [&] {
                return deployment.call("GET", deployment.callers(i) + "/v1/ready", "").httpStatus
                       == 200;
            },
            RECOVERY_LIMIT_MS));
    }
    checkAudit(deployment, "drain");
}

// Guards against a dependency of running requests on the platform, and of a start on it.
BOOST_AUTO_TEST_CASE(platformDown)
{
    Deployment deployment;
    deployment.setFault(deployment.platformUrl(), {{"down", true}});
    deployment.pass(Milliseconds(2000)); // longer than the lease
    const auto load = deployment.startLoad(MIX, 30, Milliseconds(1500));
    deployment.finish(*load);
    checkLoad(*load, {Outcome::Complete});
    checkAudit(deployment, "platform down");

    // A restarted daemon gets the manifest from its peers.
    deployment.daemon(1).kill();
    deployment.startDaemon(1);
    BOOST_TEST(deployment.waitUntil(
        [&] {
            const json status = deployment.operate(1, "GET", "/v1/status");
            return !status.is_null() && status["manifestRevision"] == 1;
        },
        RECOVERY_LIMIT_MS));
    BOOST_TEST(deployment.call("GET", deployment.callers(1) + "/v1/ready").httpStatus == 200);
}

// Guards against lost answers and second starts when workers misbehave.
BOOST_AUTO_TEST_CASE(workerFaults)
{
    struct Row
    {
        const char *name;
        std::size_t upstream;
        json fault;
        json repair;
        bool isComplete; // whether every request must be complete
    };
    const std::vector<Row> rows{
        {"answers lost", 0, {{"loseAnswers", 5}}, {{"loseAnswers", 0}}, true},
        {"fails everything", 1, {{"failAll", true}}, {{"failAll", false}}, false},
        {"silent", 2, {{"silent", true}}, {{"silent", false}}, false},
        {"killed", 3, {}, {}, false},
    };
    Deployment deployment;
    for (const Row &row : rows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            const auto load = deployment.startLoad(MIX, 30, Milliseconds(1200));
            deployment.pass(Milliseconds(300));
            if (row.fault.is_null())
                deployment.worker(row.upstream).kill();
            else
                deployment.setFault(deployment.upstreamUrl(row.upstream), row.fault);
            deployment.finish(*load);
            if (!row.repair.is_null())
                deployment.setFault(deployment.upstreamUrl(row.upstream), row.repair);
            if (row.isComplete)
                checkLoad(*load, {Outcome::Complete});
            else
                checkLoad(*load, {Outcome::Complete, Outcome::Failed, Outcome::NotRun});
            checkAudit(deployment, row.name);
        }
    }
    // The other workers go on.
    for (int i = 0; i < 10; ++i)
        deployment.submit(0, "probe", "after-" + std::to_string(i), 1, 5);
    BOOST_TEST(deployment.waitForAnswers());
    checkAudit(deployment, "after the worker faults");
}

// Guards against new starts on an upstream that is leaving.
BOOST_AUTO_TEST_CASE(leavingUpstream)
{
    Deployment deployment;
    const auto load = deployment.startLoad(MIX, 40, Milliseconds(9000));
    // A daemon uses its own slots a few seconds after its start.
    BOOST_TEST_REQUIRE(
        deployment.waitUntil([&] { return deployment.startsOn(0) > 0; }, Milliseconds(5000)));
    const auto response = deployment.call("PUT", deployment.platformUrl() + "/v1/hosts/worker-0",
                                          R"({"state":"leaving"})");
    BOOST_TEST_REQUIRE(response.httpStatus == 200);
    deployment.pass(Milliseconds(3000)); // the list of the stand-in has no lag
    const std::uint64_t n = deployment.startsOn(0);
    deployment.finish(*load);
    BOOST_TEST(deployment.startsOn(0) == n);
    checkLoad(*load, {Outcome::Complete});
    checkAudit(deployment, "leaving upstream");
}

// Guards against two manifests in force after a race of operators.
BOOST_AUTO_TEST_CASE(concurrentManifests)
{
    Deployment deployment;
    std::vector<int> statuses;
    for (const std::size_t i : {0, 3}) {
        json manifest = json::parse(deployment.manifestText());
        manifest["revision"] = 2;
        manifest["objective"]["wastedMessageCostMs"] = 50 + i;
        deployment.submitManifest(i, 1, manifest.dump(),
                                  [&](int httpStatus) { statuses.push_back(httpStatus); });
    }
    BOOST_TEST(deployment.waitUntil([&] { return statuses.size() == 2; }, Milliseconds(10'000)));
    std::sort(statuses.begin(), statuses.end());
    BOOST_TEST(statuses == std::vector<int>({200, 409}), boost::test_tools::per_element());
    const auto manifestOf = [&](std::size_t i) {
        return deployment.operate(i, "GET", "/v1/manifest");
    };
    BOOST_TEST(deployment.waitUntil(
        [&] {
            for (std::size_t i = 0; i < DAEMON_COUNT; ++i) {
                const json manifest = manifestOf(i);
                if (manifest.is_null() || manifest["revision"] != 2 || manifest != manifestOf(0))
                    return false;
            }
            return true;
        },
        Milliseconds(14'000)));
}

// Guards against a domain that stops with its links, and against untruthful answers about a home
// that can't be reached.
BOOST_AUTO_TEST_CASE(domainPartitioned)
{
    Deployment deployment;
    deployment.partitionSouth();
    deployment.pass(Milliseconds(3000)); // longer than the lease and the freshness of heartbeats
    std::vector<std::shared_ptr<Sent>> own;
    for (std::size_t i = 0; i < 20; ++i) {
        const std::size_t daemon = i % DAEMON_COUNT;
        const std::string home = daemon < NORTH_DAEMONS ? "north:" : "south:";
        own.push_back(deployment.submit(daemon, "audit", home + std::to_string(i), 20, 10));
        own.push_back(deployment.submit(daemon, "probe", home + "p" + std::to_string(i), 1, 10));
    }
    const json wait{{"waitMs", 1500}};
    const json waitFirst{{"waitMs", 1500}, {"firstSubmission", true}};
    const auto unknown = deployment.submit(0, "audit", "south:unknown", 3, 10, wait);
    const auto first = deployment.submit(0, "audit", "south:first", 3, 10, waitFirst);
    const auto firstBack = deployment.submit(3, "audit", "north:first", 3, 10, waitFirst);
    BOOST_TEST(deployment.waitForAnswers());
    for (const auto &it : own)
        checkOutcome(*it, {Outcome::Complete});
    checkOutcome(*unknown, {Outcome::Pending});
    checkOutcome(*first, {Outcome::NotRun});
    checkOutcome(*firstBack, {Outcome::NotRun});
    for (const auto &it : {unknown, first, firstBack})
        BOOST_TEST(it->answer().failure == "homeUnreachable");
    deployment.restoreSouth();
    BOOST_TEST(deployment.waitUntil(
        [&, n = 0]() mutable {
            const auto sent =
                deployment.submit(0, "audit", "south:r" + std::to_string(n++), 3, 10, wait);
            deployment.waitForAnswers();
            return sent->answer().outcome == Outcome::Complete;
        },
        RECOVERY_LIMIT_MS));
    checkAudit(deployment, "domain cut off");
}
