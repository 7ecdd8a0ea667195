// Status codes, resubmission and cancellation in the HTTP interface for callers.
#undef BOOST_TEST_MODULE
#include <platform/jobgateway.h>
#include <support/manualtimers.h>

#include <boost/test/unit_test.hpp>

using namespace Platform;
using namespace std::chrono_literals;

namespace {

class RecordingGroupSender : public Dispatch::GroupSender
{
public:
    bool sendToOwner(const Dispatch::GroupId &, const Wire::Message &message) override
    {
        messages.push_back(message);
        return true;
    }
    std::vector<Wire::Message> messages;
    bool isOwnerReachable(const Dispatch::GroupId &) const override { return true; }
    bool sendClaimsEnd(const Dispatch::GroupId &, std::uint64_t) override { return true; }
};

class FakeCancellationNetwork : public Dispatch::CancellationNetwork
{
public:
    Daemons cancellationDaemons() const override { return daemons; }
    bool sendCancellation(const Base::DaemonId &, const Wire::Message &) override { return true; }
    bool stopTasksOf(const Dispatch::JobId &) override { return false; }
    Daemons daemons;
};

struct Fixture
{
    void removeQueue()
    {
        Dispatch::DesiredState state;
        state.version = Base::Revision(2);
        state.routes.push_back({"one.example", "/other/", {}});
        queues.apply(state);
    }
    void apply()
    {
        Dispatch::DesiredState state;
        state.version = Base::Revision(1);
        Dispatch::QueueRoute route{"one.example", "/q/", {}};
        route.policy.service = Dispatch::ServiceId("s");
        route.policy.stretch = 1.6;
        state.routes.push_back(route);
        queues.apply(state);
    }
    void addExecutor()
    {
        directory.setGroups({{Dispatch::GroupId("g"), Base::FailureDomainId("g")}});
        Wire::GroupLoad load;
        load.group = "g";
        load.executors.push_back({"s", "", "", 16000, 1000, 0, 16000, 100});
        directory.loadReceived(load);
    }
    /// Returns the status code of the response, or 0 if there is none yet.
    int send(const std::string &method, const std::string &target, const std::string &text = "",
             std::uint64_t connection = 1)
    {
        Http::Request request;
        request.method = method;
        request.host = "one.example:8161";
        request.rawPath = target;
        request.body = text;
        request.deadline = "2000";
        request.connection = connection;
        const auto status = std::make_shared<int>(0);
        gateway.handle(request, [this, status](const Http::Response &response) {
            *status = response.status;
            statuses.push_back(response.status);
        });
        return *status;
    }

    TestSupport::ManualTimers timers;
    Dispatch::GroupDirectory directory{Base::FailureDomainId("g")};
    RecordingGroupSender sender;
    Dispatch::ExecutorLosses losses{timers};
    Dispatch::JobCoordinator jobs{timers, directory, losses, sender};
    FakeCancellationNetwork network;
    Dispatch::JobCancellation cancellation{timers, jobs, network};
    Dispatch::QueueTable queues;
    JobGateway gateway{jobs, cancellation, queues};
    std::vector<int> statuses;
    const std::string path = "/q/5c0e7a21d94b36f8";
    const std::string body =
        R"({"bestEffort":true,"spec":"x","phases":[{"count":1,"cpu":1000,"estimateMs":60}]})";
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(jobgateway, Fixture)

BOOST_AUTO_TEST_CASE(statusCodes)
{
    BOOST_TEST(send("POST", path, body) == 503); // desired state not received yet
    apply();
    BOOST_TEST(send("POST", "/other/5c0e7a21d94b36f8", body) == 404);
    BOOST_TEST(send("POST", "/q/short", body) == 404);
    BOOST_TEST(send("GET", "/q/") == 200);
    BOOST_TEST(send("GET", "/other/") == 404);
    BOOST_TEST(send("GET", path) == 410);
    BOOST_TEST(send("DELETE", "/q/00000000000000ff") == 410);
    BOOST_TEST(send("PATCH", path) == 405);
    BOOST_TEST(send("POST", path, "{") == 400);
    BOOST_TEST(send("POST", path, body) == 503); // no executor is known
    addExecutor();
    BOOST_TEST(send("POST", path, R"({"phases":[{"count":1}]})") == 503); // stored jobs
    BOOST_TEST(send("POST", path, body) == 0);
    BOOST_TEST(sender.messages.size() == 1U);
}

BOOST_AUTO_TEST_CASE(remainingCallerOfAJobIsAnswered)
{
    apply();
    addExecutor();
    send("POST", path, body, 1);
    send("POST", path, body, 2);
    BOOST_TEST(jobs.jobCount() == 1U);
    gateway.connectionClosed(1);
    BOOST_TEST(jobs.jobCount() == 1U);
    jobs.reportsReceived({"g", 1, "5c0e7a21d94b36f8", {{0, 0, 0, 1, 1, "x"}}});
    BOOST_TEST(statuses.size() == 1U);
    BOOST_TEST(statuses.back() == 200);
}

// Guards against jobs that run on for callers that have left, with several requests on a connection
// and several callers of a job.
BOOST_AUTO_TEST_CASE(closedConnectionCancelsItsJobs)
{
    apply();
    addExecutor();
    const auto id = [](int i) { return "/q/5c0e7a21d94b360" + std::to_string(i); };
    send("POST", id(1), body, 1);
    send("POST", id(2), body, 1);
    send("POST", id(2), body, 2);
    send("POST", id(3), body, 2);
    send("POST", id(3), body, 2);
    gateway.connectionClosed(7);
    BOOST_TEST(jobs.jobCount() == 3U);
    gateway.connectionClosed(1);
    BOOST_TEST(jobs.jobCount() == 2U);
    gateway.connectionClosed(1);
    jobs.reportsReceived({"g", 2, "5c0e7a21d94b3602", {{0, 0, 0, 1, 1, "x"}}});
    BOOST_TEST(statuses.size() == 1U);
    send("POST", id(4), body, 1); // a connection may have ended jobs and new ones
    gateway.connectionClosed(2);
    BOOST_TEST(jobs.jobCount() == 1U);
    gateway.connectionClosed(1);
    BOOST_TEST(jobs.jobCount() == 0U);
    BOOST_TEST(statuses.size() == 1U);
}

// Guards against a running job being changed by a caller that reuses its id by mistake.
BOOST_AUTO_TEST_CASE(sameIdWithAnotherBodyIsTheSameJob)
{
    apply();
    addExecutor();
    send("POST", path, body, 1);
    const std::size_t sent = sender.messages.size();
    send("POST", path, R"({"spec":"other","phases":[{"count":9,"cpu":1}],"bestEffort":true})", 2);
    send("POST", path, "{", 3);
    BOOST_TEST(jobs.jobCount() == 1U);
    BOOST_TEST(sender.messages.size() == sent);
    jobs.reportsReceived({"g", 1, "5c0e7a21d94b36f8", {{0, 0, 0, 1, 1, "x"}}});
    BOOST_TEST(statuses == std::vector<int>({200, 200, 200}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(jobOfADisconnectedCallerIsCancelled)
{
    apply();
    addExecutor();
    send("POST", path, body, 1);
    gateway.connectionClosed(1);
    BOOST_TEST(jobs.jobCount() == 0U);
    BOOST_TEST(std::holds_alternative<Wire::StopJob>(sender.messages.back()));
}

// Guards against a response that is held back beyond the job's deadline. The response also states
// whether any task may have run.
BOOST_AUTO_TEST_CASE(deadlineIsReported)
{
    apply();
    addExecutor();
    send("POST", path, body);
    timers.advance(2s);
    jobs.tick();
    BOOST_TEST(statuses.back() == 504);
}

// A job could not be cancelled (404), and ran on, once its queue was removed.
BOOST_AUTO_TEST_CASE(jobStaysAddressableWithoutItsQueue)
{
    apply();
    addExecutor();
    send("POST", path, body, 1);
    removeQueue();
    BOOST_TEST(send("GET", path) == 410);
    BOOST_TEST(send("POST", path, body, 2) == 0); // the same job
    BOOST_TEST(jobs.jobCount() == 1U);
    BOOST_TEST(send("DELETE", path) == 200);
    BOOST_TEST(jobs.jobCount() == 0U);
    BOOST_TEST(std::holds_alternative<Wire::StopJob>(sender.messages.back()));
    BOOST_TEST(statuses == std::vector<int>({410, 200, 200, 200}),
               boost::test_tools::per_element());
    BOOST_TEST(send("GET", path) == 404);
    BOOST_TEST(send("DELETE", path) == 404);
    BOOST_TEST(send("DELETE", "/other/5c0e7a21d94b36f8") == 410);
}

// A copy of the POST of a cancelled job, seconds after the acknowledgement, was run.
BOOST_AUTO_TEST_CASE(copyOfACancelledJobIsNotRun)
{
    apply();
    addExecutor();
    send("POST", path, body, 1);
    BOOST_TEST(send("DELETE", path) == 200);
    const std::size_t sent = sender.messages.size();
    timers.advance(30s);
    cancellation.tick();
    BOOST_TEST(send("POST", path, body, 2) == 200);
    BOOST_TEST(jobs.jobCount() == 0U);
    BOOST_TEST(sender.messages.size() == sent);
    // Also if the request to cancel it overtakes its first submission.
    BOOST_TEST(send("DELETE", "/q/00000000000000aa") == 410);
    BOOST_TEST(send("POST", "/q/00000000000000aa", body) == 200);
    BOOST_TEST(jobs.jobCount() == 0U);
}

// A cancel was acknowledged as that of an unknown job, while another daemon ran the job.
BOOST_AUTO_TEST_CASE(cancelIsAcknowledgedOnlyIfAllDaemonsHaveConfirmedIt)
{
    apply();
    const Base::DaemonId peer("peer");
    network.daemons.ids = {peer};
    BOOST_TEST(send("DELETE", path) == 0);
    timers.advance(2s);
    cancellation.tick();
    BOOST_TEST(statuses.back() == 503); // of an older version, or not connected
    network.daemons.reached = {peer};
    BOOST_TEST(send("DELETE", path) == 0);
    cancellation.received(peer, Wire::CancelAnswer{2, false, false});
    BOOST_TEST(statuses.back() == 410);
    network.daemons.areAllGroupsOwned = false;
    BOOST_TEST(send("DELETE", path) == 0);
    cancellation.received(peer, Wire::CancelAnswer{3, true, true});
    BOOST_TEST(statuses.back() == 200);
}

BOOST_AUTO_TEST_SUITE_END()
