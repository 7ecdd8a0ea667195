// Daemons on the platform, with little memory, while a crowd of callers keeps requests open: what
// requests leave behind until their answers, what the kernel holds for them, and jobs that no
// executor can run. Checks only that the processes live within the limits of their hosts, and that
// each serves an ordinary job afterwards.
#include "crowdfixture.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <functional>

using namespace SystemTest;
using namespace TestSupport;

/// The whole program ends within this time, whatever happens.
static constexpr unsigned GUARD_S = 590;
/// Below the connections that the host grants callers, so that each request is read.
static constexpr std::size_t CROWD = 900;
/// Below the limit for a body. Without limits, the requests of the crowd take 225 MB.
static constexpr std::size_t BODY_BYTES = 250'000;
/// The largest job, and a crowd whose tasks take over 400 MB without limits.
static constexpr std::size_t MAX_TASKS = 4000;
static constexpr std::size_t CROWD_OF_LARGE_JOBS = 200;
static constexpr int WAVES = 40;
static constexpr std::size_t WAVE = 240;
static constexpr Milliseconds WAVE_MS{300};
/// The largest job takes seconds on the only executor, which runs in this program, and minutes on a
/// busy machine.
static constexpr Milliseconds LARGEST_JOB_MS{240'000};
/// Up to 450 MB of the crowd are read before an ordinary job, which takes the longer the less of
/// the machine's processors the daemon gets.
static constexpr Milliseconds ORDINARY_JOB_LIMIT_MS{120'000};
/// Time that the process is stopped while the kernel receives.
static constexpr Milliseconds STOPPED_MS{1'500};

struct Guard
{
    Guard() { ChildProcess::armWatchdog(GUARD_S); }
};
BOOST_TEST_GLOBAL_FIXTURE(Guard);

namespace {

struct Fixture : CrowdFixture
{
    Fixture() { ordinaryJobLimit = ORDINARY_JOB_LIMIT_MS; }

    Http::ClientResponse readiness(std::size_t daemon = 0)
    {
        Http::ClientRequest request;
        request.url =
            "http://127.0.0.1:" + std::to_string(daemons[daemon]->readiness()) + "/readiness";
        return send(std::move(request));
    }
    /// Bodies on the connections of which the last byte is missing.
    void crowdOfUnfinishedBodies(std::size_t count)
    {
        const auto body = std::make_shared<const std::string>(BODY_BYTES - 1, ' ');
        for (std::size_t i = 0; i < count; ++i) {
            addSender(daemons[0]->callers(),
                      {std::make_shared<const std::string>(jobHeader(BODY_BYTES)), body});
        }
    }
};

struct DomainFixture : CrowdFixture
{
    DomainFixture()
        : CrowdFixture(3)
    {
        ordinaryJobLimit = ORDINARY_JOB_LIMIT_MS;
    }
    /// Kills all daemons but the first, and calls \a check after each. Whichever owns the
    /// executors, the others take them over.
    void loseDaemons(const std::function<void()> &check)
    {
        while (daemons.size() > 1) {
            daemons.back()->process().kill();
            daemons.pop_back();
            check();
        }
    }
};

/// A job that fills three quarters of the executor until it is stopped. Another of the kind waits;
/// an ordinary job has room beside it.
std::string endlessJob(const std::string &step)
{
    return std::string(R"({"spec":")") + ENDLESS_SPEC
           + R"(","bestEffort":true,"phases":[{"count":1,"cpu":12000,"estimateMs":1)" + step
           + "}]}";
}

std::string jobOfManyTasks()
{
    return std::string(R"({"spec":")") + ENDLESS_SPEC + R"(","bestEffort":true,"phases":[{"count":)"
           + std::to_string(MAX_TASKS) + R"(,"cpu":12000,"estimateMs":1}]})";
}

std::string jobOfManySteps()
{
    std::string job = std::string(R"({"spec":")") + ENDLESS_SPEC + std::string(3'900, ' ')
                      + R"(","bestEffort":true,"phases":[)";
    for (int i = 0; i < 256; ++i)
        job += std::string(i > 0 ? "," : "") + R"({"count":1,"cpu":12000,"estimateMs":1})";
    return job + "]}";
}

/// \a json, padded with \a c before its last \a tail bytes.
std::string padded(std::string json, std::size_t tail, char c)
{
    return json.insert(json.size() - tail, BODY_BYTES - json.size(), c);
}

} // namespace

// Guards against a process that runs out of memory by jobs with a long label, kept until their
// answers.
BOOST_FIXTURE_TEST_CASE(longLabels, Fixture)
{
    crowdOfJobs(padded(endlessJob(R"(,"requirements":"")"), 4, 'x'), CROWD);
    check("long labels");
}

// Guards against the same by a field that does not restrict the executors.
BOOST_FIXTURE_TEST_CASE(longRacks, Fixture)
{
    crowdOfJobs(padded(endlessJob(R"(,"affinity":"")"), 4, 'x'), CROWD);
    check("long racks");
}

// Guards against the same by two requests on each connection.
BOOST_FIXTURE_TEST_CASE(twoRequestsPerConnection, Fixture)
{
    crowdOfJobs(padded(endlessJob(R"(,"affinity":"")"), 4, 'x'), CROWD, 2);
    check("two requests on each connection");
}

// Guards against the same by callers of one job, each of whom sends its whole text.
BOOST_FIXTURE_TEST_CASE(callersOfOneJob, Fixture)
{
    const auto header = std::make_shared<const std::string>(jobHeader(BODY_BYTES));
    const auto body = std::make_shared<const std::string>(padded(endlessJob(""), 0, ' '));
    for (std::size_t i = 0; i < CROWD; ++i) {
        addSender(daemons[0]->callers(), {header, body});
        paceCrowd();
    }
    waitForCrowd();
    check("callers of one job");
}

// Guards against the same by short requests for many tasks.
BOOST_FIXTURE_TEST_CASE(manyTasks, Fixture)
{
    crowdOfJobs(jobOfManyTasks(), CROWD_OF_LARGE_JOBS);
    checkAnswered("many tasks");
}

// Guards against the same by many steps, each of which has the whole text of the job.
BOOST_FIXTURE_TEST_CASE(manySteps, Fixture)
{
    crowdOfJobs(jobOfManySteps(), CROWD_OF_LARGE_JOBS);
    checkAnswered("many steps");
}

// Known to be red: work that need not start soon counts as work ahead of jobs that come before it.
BOOST_FIXTURE_TEST_CASE(ordinaryJobBesideManyTasks, Fixture, *boost::unit_test::disabled())
{
    crowdOfJobs(jobOfManyTasks(), CROWD_OF_LARGE_JOBS);
    check("many tasks");
}

BOOST_FIXTURE_TEST_CASE(ordinaryJobBesideManySteps, Fixture, *boost::unit_test::disabled())
{
    crowdOfJobs(jobOfManySteps(), CROWD_OF_LARGE_JOBS);
    check("many steps");
}

BOOST_FIXTURE_TEST_CASE(ordinaryJobsOfThreeDaemonsBesideManyTasks, DomainFixture,
                        *boost::unit_test::disabled())
{
    crowdOfJobs(padded(endlessJob(R"(,"affinity":"")"), 4, 'x'), CROWD / 2);
    crowdOfJobs(jobOfManyTasks(), CROWD_OF_LARGE_JOBS);
    check("crowd at one of three daemons");
    loseDaemons([this] { check("after the loss of a daemon"); });
}

// Guards against jobs that no executor can run and that count as work ahead of others.
BOOST_FIXTURE_TEST_CASE(unknownLabels, Fixture)
{
    crowdOfJobs(R"({"spec":"text","bestEffort":true,"phases":[)"
                R"({"count":1,"cpu":500,"estimateMs":20000,"requirements":"none"}]})",
                CROWD);
    check("unknown labels");
}

// Guards against the same by tasks that are larger than any executor.
BOOST_FIXTURE_TEST_CASE(tasksLargerThanExecutors, Fixture)
{
    for (const char *shape : {R"("cpu":64000)", R"("cpu":500,"memMb":64000)", R"("gpu":1)"}) {
        crowdOfJobs(std::string(R"({"spec":"text","bestEffort":true,"phases":[{"count":1,)") + shape
                        + R"(,"estimateMs":20000}]})",
                    CROWD / 3);
    }
    check("tasks larger than executors");
}

// Guards against memory that the allocator keeps of bodies whose callers have left: they come and
// go in waves, and stop just short of their ends.
BOOST_FIXTURE_TEST_CASE(wavesOfUnfinishedBodies, Fixture)
{
    for (int i = 0; i < WAVES; ++i) {
        crowdOfUnfinishedBodies(WAVE);
        pass(WAVE_MS);
        if (senders.size() > 3 * WAVE)
            senders.erase(senders.begin(), senders.begin() + std::ptrdiff_t(WAVE));
    }
    check("waves of unfinished bodies");
}

// Guards against what the kernel receives for a process that does not read for a while.
BOOST_FIXTURE_TEST_CASE(stoppedProcess, Fixture)
{
    // All are accepted before.
    for (std::size_t i = 0; i < CROWD; ++i)
        addSender(daemons[0]->callers(),
                  {std::make_shared<const std::string>(jobHeader(BODY_BYTES))});
    waitForCrowd();
    pass(STOPPED_MS);
    daemons[0]->process().signal(SIGSTOP);
    const auto body = std::make_shared<const std::string>(BODY_BYTES - 1, ' ');
    for (const auto &it : senders)
        it->append(body);
    pass(STOPPED_MS);
    daemons[0]->process().signal(SIGCONT);
    waitForCrowd();
    check("stopped process");
}

// Guards against a load balancer that gets no answer while callers and others send too much.
BOOST_FIXTURE_TEST_CASE(readinessBesideCrowds, Fixture)
{
    const auto isReady = [this] { return readiness().httpStatus == 200; };
    crowdOfUnfinishedBodies(CROWD);
    waitForCrowd();
    BOOST_TEST(waitUntil(isReady), "unfinished bodies to the callers' port");
    crowd("GET /readiness HTTP/1.1\r\nHost: a\r\n", CROWD, 1, daemons[0]->readiness());
    BOOST_TEST(waitUntil(isReady), "headers to the readiness port that do not end");
    crowd("", CROWD, 1, daemons[0]->readiness());
    BOOST_TEST(waitUntil(isReady), "silent connections to the readiness port");
    crowd("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n", CROWD, 100, daemons[0]->operators());
    BOOST_TEST(waitUntil(isReady), "metrics that are not read");
    crowd(std::string("\0\xff\xff\xff", 4), CROWD, 1, daemons[0]->peers());
    BOOST_TEST(waitUntil(isReady), "frames to the peers' port");
    check("readiness beside crowds");
}

// Guards against a process that ends, hangs or grows when its settings or the desired state change,
// or the store is away, while a crowd keeps requests open.
BOOST_FIXTURE_TEST_CASE(changesBesideCrowd, Fixture)
{
    for (int i = 0; i < 3; ++i) {
        crowdOfJobs(padded(endlessJob(R"(,"affinity":"")"), 4, 'x'), CROWD / 4);
        daemons[0]->process().signal(SIGHUP);
        changeDesiredState();
        crowdOfUnfinishedBodies(CROWD / 4);
        waitForCrowd();
        store.setAway(true);
        pass(Milliseconds(500));
        store.setAway(false);
        changeDesiredState();
        check("changes beside a crowd");
        senders.resize(senders.size() / 2);
    }
    daemons[0]->process().signal(SIGTERM);
    crowdOfUnfinishedBodies(CROWD / 4);
    BOOST_TEST(waitUntil([this] { return !daemons[0]->process().isRunning(); }),
               "does not end after SIGTERM");
    BOOST_TEST(daemons[0]->process().exitCode() == 0);
}

// Guards against a crowd at one daemon that costs the others of its failure domain memory, and
// against a takeover of its groups that does.
BOOST_FIXTURE_TEST_CASE(crowdAtOneOfThreeDaemons, DomainFixture)
{
    crowdOfJobs(padded(endlessJob(R"(,"affinity":"")"), 4, 'x'), CROWD / 2);
    check("crowd at one of three daemons");
    crowdOfJobs(jobOfManyTasks(), CROWD_OF_LARGE_JOBS);
    checkAnswered("crowd at one of three daemons, with many tasks");
    loseDaemons([this] { checkAnswered("after the loss of a daemon"); });
}

// Guards against limits that refuse a caller within those that the desired state states.
BOOST_FIXTURE_TEST_CASE(largestJobsAreServed, Fixture)
{
    const std::string job =
        R"({"spec":"text","bestEffort":true,"phases":[{"count":1,"cpu":500,"estimateMs":20)";
    BOOST_TEST(completesJob(padded(job + R"(,"affinity":"")" + "}]}", 4, 'x')));
    BOOST_TEST(completesJob(job + R"(,"requirements":"a"}]})"));
    std::string steps =
        R"({"spec":")" + std::string(4000, 'x') + R"(","bestEffort":true,"phases":[)";
    for (int i = 0; i < 256; ++i)
        steps += std::string(i > 0 ? "," : "") + R"({"count":1,"cpu":500,"estimateMs":1})";
    BOOST_TEST(completesJob(steps + "]}"));
    const std::string manyTasks = R"({"spec":"text","bestEffort":true,"phases":[{"count":)"
                                  + std::to_string(MAX_TASKS) + R"(,"cpu":5,"estimateMs":1}]})";
    const auto response = sendJob(manyTasks, {}, 0, "slow", LARGEST_JOB_MS);
    BOOST_TEST(response.body.find("completed") != std::string::npos, response.body);
    check("largest jobs");
}

// Guards against a job that can't be served and is answered only at its deadline.
BOOST_FIXTURE_TEST_CASE(jobsWithoutExecutorAreRefused, Fixture)
{
    for (const char *step : {R"("requirements":"none")", R"("cpu":64000)", R"("gpu":1)"}) {
        const auto response = sendJob(
            std::string(R"({"spec":"text","bestEffort":true,"phases":[{"count":1,"estimateMs":20,)")
                + step + "}]}",
            {}, 0, "slow");
        BOOST_TEST(response.httpStatus == 503, step);
    }
    check("jobs without an executor");
}
