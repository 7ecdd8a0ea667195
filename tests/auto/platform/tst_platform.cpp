// Decoding of the platform's formats, also with malformed input from other writers.
#include <dispatch/dispatchconstants.h>
#include <platform/drainnotices.h>
#include <platform/executorcodec.h>
#include <platform/jobcodec.h>
#include <platform/platformsettings.h>
#include <platform/registrations.h>
#include <platform/textcodec.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <set>

using namespace Platform;
using nlohmann::json;
using namespace std::chrono_literals;

static const char *const ID = "5c0e7a21d94b36f8";

BOOST_AUTO_TEST_SUITE(registrations)

static json registration()
{
    return {{"service", "huvo11a"},
            {"address", "10.128.0.9:8080"},
            {"zone", "center"},
            {"state", "ready"},
            {"capacity", {{"cpu", 16000}, {"memMb", 32768}, {"gpu", 0}}},
            {"labels", {"a", "r1-3"}},
            {"born", 1767266036033},
            {"sequence", 4}};
}

BOOST_AUTO_TEST_CASE(executorIsDecoded)
{
    const auto executor = decodeExecutor("i-1", registration().dump());
    BOOST_REQUIRE(executor.has_value());
    BOOST_TEST(executor->id.value() == "i-1");
    BOOST_TEST(executor->domain.value() == "center");
    BOOST_TEST(executor->capacity.cpuMillis == 16000U);
    BOOST_TEST(executor->kind == "a");
    BOOST_TEST(executor->rack == "r1-3");
    BOOST_TEST(!executor->draining);
    BOOST_TEST(executor->lifetime.value() == 1767266036033U);
}

// Other writers leave rows that are not valid registrations. They are skipped, and all other rows
// must still be decoded.
BOOST_AUTO_TEST_CASE(malformedRegistrationsAreRejected)
{
    BOOST_TEST(!decodeExecutor("i", "").has_value());
    BOOST_TEST(!decodeExecutor("i", "\xff\xfe\x00").has_value());
    BOOST_TEST(!decodeExecutor("i", "[1,2]").has_value());
    BOOST_TEST(!decodeExecutor("i", std::string(20'000, '[')).has_value());
    for (const char *it : {"service", "address", "zone", "state", "capacity"}) {
        json row = registration();
        row.erase(it);
        BOOST_TEST(!decodeExecutor("i", row.dump()).has_value(), it);
        row[it] = 17;
        BOOST_TEST(!decodeExecutor("i", row.dump()).has_value(), it);
    }
    json row = registration();
    row["state"] = "sleeping";
    BOOST_TEST(!decodeExecutor("i", row.dump()).has_value());
    row = registration();
    row["born"] = 1.5;
    BOOST_TEST(!decodeExecutor("i", row.dump()).has_value());
    row = registration();
    row["labels"] = {1, nullptr, "b"};
    BOOST_TEST(decodeExecutor("i", row.dump())->kind == "b");
}

// Guards against parsing every row at every renewal, which took most of the CPU time of an idle
// daemon.
BOOST_AUTO_TEST_CASE(renewedRegistrationsAreNotParsedAgain)
{
    RegistrationDecoder decoder;
    json row = registration();
    std::map<std::string, Storage::TableRow> rows;
    const auto renew = [&](std::uint64_t version) {
        rows["i-1"] = {"i-1", row.dump(), Storage::StoreVersion(version), false};
        return decoder.decode(rows.at("i-1"));
    };
    BOOST_TEST(renew(1)->address == "10.128.0.9:8080");
    for (std::uint64_t i = 2; i < 20; ++i) {
        row["sequence"] = i;
        BOOST_TEST(renew(i).has_value());
    }
    BOOST_TEST(decoder.parsedCount() == 1U);
    row["state"] = "draining";
    BOOST_TEST(renew(20)->draining);
    BOOST_TEST(decoder.parsedCount() == 2U);
    // A row that is removed and written again is parsed again.
    decoder.retain({});
    BOOST_TEST(renew(21)->draining);
    BOOST_TEST(decoder.parsedCount() == 3U);
}

// Daemons compare the digest of what they know of the executors.
BOOST_AUTO_TEST_CASE(digestDependsOnTheContentOnly)
{
    const auto digest = [](const std::vector<json> &registrations, std::uint64_t version = 1) {
        RegistrationDecoder decoder;
        for (std::size_t i = 0; i < registrations.size(); ++i) {
            const std::string key = "i-" + std::to_string(i);
            decoder.decode({key, registrations[i].dump(), Storage::StoreVersion(version), false});
        }
        return decoder.digest();
    };
    const json base = registration();
    json renewed = base;
    renewed["sequence"] = 77;
    renewed["drainRemainingMs"] = 1500; // differs with the time of the read
    BOOST_TEST(digest({base}) == digest({renewed}, 5));
    BOOST_TEST(digest({}) == 0U);
    std::set<std::uint64_t> digests{digest({base}), digest({}), digest({base, base})};
    for (const auto &[path, value] : std::vector<std::pair<std::string, json>>{
             {"/state", "draining"},
             {"/address", "10.128.0.9:8081"},
             {"/zone", "other"},
             {"/service", "other"},
             {"/born", 1234567},
             {"/capacity/cpu", 1},
             {"/capacity/memMb", 1},
             {"/capacity/gpu", 7},
             {"/labels", {"other"}},
             {"/labels", {"r9-9"}},
         }) {
        json changed = base;
        changed[json::json_pointer(path)] = value;
        BOOST_TEST(digests.insert(digest({changed})).second, path);
    }

    RegistrationDecoder decoder;
    const Storage::TableRow row{"i-0", base.dump(), Storage::StoreVersion(1), false};
    decoder.decode(row);
    decoder.decode({"i-1", base.dump(), Storage::StoreVersion(2), false});
    decoder.decode({"i-1", renewed.dump(), Storage::StoreVersion(3), false});
    BOOST_TEST(decoder.digest() == digest({base, base}));
    decoder.decode({"i-1", "unreadable", Storage::StoreVersion(4), false});
    BOOST_TEST(decoder.digest() == digest({base}));
    decoder.retain({{"i-0", row}});
    BOOST_TEST(decoder.digest() == digest({base}));
    decoder.retain({});
    BOOST_TEST(decoder.digest() == 0U);
}

BOOST_AUTO_TEST_CASE(drainingExecutor)
{
    json row = registration();
    row["state"] = "draining";
    BOOST_TEST(decodeExecutor("i", row.dump())->draining);
}

// A notice that can't be read must not make the executor unknown.
BOOST_AUTO_TEST_CASE(drainNoticeIsDecoded)
{
    json row = registration();
    BOOST_TEST(!decodeExecutor("i", row.dump())->leavesIn.has_value());
    for (const json &it : {json(nullptr), json(-1), json("soon"), json(0), json(1e300)}) {
        row["drainRemainingMs"] = it;
        BOOST_REQUIRE(decodeExecutor("i", row.dump()).has_value());
        BOOST_TEST(!decodeExecutor("i", row.dump())->leavesIn.has_value());
    }
    row["drainRemainingMs"] = 2500.5;
    BOOST_TEST((decodeExecutor("i", row.dump())->leavesIn == 2500500us));
    row["state"] = "draining";
    row["drainRemainingMs"] = 0;
    BOOST_TEST((decodeExecutor("i", row.dump())->leavesIn == 0us));
}

// The times must not be later than they are, however old the row was when it was read.
BOOST_AUTO_TEST_CASE(drainNoticeIsResolvedByTheAgeOfTheRow)
{
    using Dispatch::ExecutorInfo;
    const Base::TimePoint t0{1h};
    const auto resolve = [](ExecutorInfo info, const ExecutorInfo *known, Base::TimePoint now,
                            Base::TimePoint previous) {
        resolveDrainNotice(info, known, {now, previous}, 2000ms);
        return info;
    };
    ExecutorInfo info;
    info.lifetime = Dispatch::Lifetime(1);
    const ExecutorInfo ready = resolve(info, nullptr, t0, {});
    BOOST_TEST(!ready.leavesAt.has_value());
    info.draining = true;
    info.leavesIn = 6s;
    // Written at any time since the previous read.
    const ExecutorInfo known = resolve(info, &ready, t0 + 600ms, t0 + 100ms);
    BOOST_TEST((known.leavesAt == t0 + 6100ms));
    BOOST_TEST((known.lastStart == t0 + 900ms)); // an order may be carried out a lease later
    BOOST_TEST(!known.leavesIn.has_value());
    // The same row in later reads, and a renewal of it.
    BOOST_TEST((resolve(info, &known, t0 + 1100ms, t0 + 600ms) == known));
    info.leavesIn = 4700ms;
    BOOST_TEST((resolve(info, &known, t0 + 1500ms, t0 + 1100ms).leavesAt == t0 + 5800ms));
    // Seen for the first time, here or in this lifetime: since when it drains is not known.
    for (const ExecutorInfo *it : {static_cast<const ExecutorInfo *>(nullptr), &ready}) {
        info.lifetime = Dispatch::Lifetime(2);
        const ExecutorInfo first = resolve(info, it, t0 + 5s, t0 + 4s);
        BOOST_TEST(!first.lastStart.has_value());
        BOOST_TEST((first.leavesAt == t0 + 5200ms));
    }
}

BOOST_AUTO_TEST_CASE(desiredState)
{
    const json document = {{"version", 7},
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
    const auto state = decodeDesiredState(document.dump());
    BOOST_REQUIRE(state.has_value());
    BOOST_TEST(state->version.value() == 7U);
    BOOST_TEST(state->maxBodyBytes == 262144U);
    const Dispatch::QueuePolicy &policy = state->routes.at(0).policy;
    BOOST_TEST(policy.priority == 1U);
    BOOST_TEST(policy.maxAttempts == 4U);
    BOOST_TEST((policy.targetCompletion == 60ms));
    BOOST_TEST(!decodeDesiredState("{}").has_value());
    BOOST_TEST(!decodeDesiredState(R"({"version":0,"routes":[]})").has_value());
    BOOST_TEST(!decodeDesiredState(R"({"version":3,"routes":[4]})").has_value());
}

BOOST_AUTO_TEST_CASE(daemonRow)
{
    const Settings::PeerSettings peer{
        Base::DaemonId("edge-1"), Base::FailureDomainId("center"), {"10.1.0.1", 7720}};
    const auto decoded = decodeDaemon("edge-1", encodeDaemon(peer));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((*decoded == peer));
    BOOST_TEST(!decodeDaemon("edge-1", "{}").has_value());
    // A port beyond 16 bits led to another one.
    json row = json::parse(encodeDaemon(peer));
    row["port"] = 65536 + 7720;
    BOOST_TEST(!decodeDaemon("edge-1", row.dump()).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(textcodec)

BOOST_AUTO_TEST_CASE(base64)
{
    for (const char *it : {"", "a", "ab", "abc", "abcd"})
        BOOST_TEST(decodeBase64(encodeBase64(it)) == it);
}

// A row whose value was "====" ended the process: its padding is longer than its content.
BOOST_AUTO_TEST_CASE(malformedBase64IsEmpty)
{
    for (const char *it : {"=", "==", "====", "A===", "========", "A", "AB=", "@@@@", "AA=A"})
        BOOST_TEST(decodeBase64(it).size() <= 2U, it);
}

// A key with '&' or '%' changed the request for the next page of a table.
BOOST_AUTO_TEST_CASE(queryIsEscaped)
{
    BOOST_TEST(escapeQuery("i-1_a.b") == "i-1_a.b");
    BOOST_TEST(escapeQuery(std::string("a&b%") + '\x01') == "a%26b%25%01");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(executors)

BOOST_AUTO_TEST_CASE(taskNames)
{
    const Dispatch::TaskId task{Dispatch::JobId(ID), 0, 1, 17};
    BOOST_TEST(encodeTaskName(task) == std::string(ID) + ".0.1.17");
    BOOST_TEST((decodeTaskName(encodeTaskName(task)) == task));
    for (const char *it : {"", ".", "x", "x.1", "x.1.2", "x.a.b.c", ".0.0.0", "x.1.2.3.4",
                           "x.1.2.3x", "x.1.2.3.", "x.1,2.3"})
        BOOST_TEST(!decodeTaskName(it).has_value(), it);
}

BOOST_AUTO_TEST_CASE(orderResponses)
{
    using Dispatch::OrderOutcome;
    using Dispatch::RefusalReason;
    BOOST_TEST((decodeOrderResponse(200, R"({"clockMs":482113})").clock->count() == 482113));
    const std::pair<const char *, RefusalReason> reasons[] = {{"fence", RefusalReason::Fenced},
                                                              {"old", RefusalReason::OldRun},
                                                              {"late", RefusalReason::LeaseExpired},
                                                              {"room", RefusalReason::NoResources},
                                                              {"ticket", RefusalReason::Other}};
    for (const auto &[name, reason] : reasons) {
        const auto result = decodeOrderResponse(409, json({{"reason", name}}).dump());
        BOOST_TEST((result.outcome == OrderOutcome::Refused));
        BOOST_TEST((result.refusal == reason), name);
    }
    BOOST_TEST((decodeOrderResponse(421, "").outcome == OrderOutcome::OtherLifetime));
    BOOST_TEST((decodeOrderResponse(503, "").outcome == OrderOutcome::Unhealthy));
    BOOST_TEST((decodeOrderResponse(429, "{").outcome == OrderOutcome::Unhealthy));
    // A status code that the platform does not define leaves the outcome unknown.
    BOOST_TEST((decodeOrderResponse(500, "").outcome == OrderOutcome::Unknown));
}

BOOST_AUTO_TEST_CASE(listing)
{
    const std::string name = std::string(ID) + ".0.1.";
    const json body = {{"clockMs", 5},
                       {"born", 9},
                       {"running", {{name + "17", 2, "", 41}, {"broken", 1}, 5, {name + "1"}}},
                       {"ended",
                        {{59, name + "9", 1, "failed", ""},
                         {58, name + "8", 1, "done", ""},
                         {60, name + "7", 1, "vanished", ""}}}};
    const auto result = decodeHoldResponse(200, body.dump());
    BOOST_TEST(result.lifetime.value() == 9U);
    BOOST_REQUIRE(result.running.size() == 1U);
    BOOST_TEST(result.running[0].run.value() == 2U);
    BOOST_REQUIRE(result.ended.size() == 2U);
    BOOST_TEST(result.ended[0].sequence.value() == 58U);
    BOOST_TEST((result.ended[1].end == Dispatch::RunEnd::Failed));
}

BOOST_AUTO_TEST_CASE(orders)
{
    Dispatch::StartOrder start;
    start.task = {Dispatch::JobId(ID), 0, 0, 3};
    start.run = Dispatch::RunNumber(2);
    start.payload = "quote \" and \xC3\xA9";
    start.token = Dispatch::FencingToken(7);
    json body = json::parse(encodeStart(start));
    BOOST_TEST(!body.contains("untilMs"));
    BOOST_TEST(body["spec"] == start.payload);
    start.leaseEnd = 486000ms;
    body = json::parse(encodeStart(start));
    BOOST_TEST(body["untilMs"] == 486000);
    Dispatch::HoldOrder hold;
    hold.wait = 300ms;
    body = json::parse(encodeHold(hold));
    BOOST_TEST(body["waitMs"] == 300);
    BOOST_TEST(body["seenUpto"] == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(jobs)

static std::optional<DecodedJob> decode(const std::string &body)
{
    std::string error;
    auto job = decodeJob(ID, body, error);
    BOOST_TEST((job.has_value() || !error.empty()));
    return job;
}

BOOST_AUTO_TEST_CASE(jobIsDecoded)
{
    const auto job = decode(
        R"({"spec":"text","bestEffort":true,"phases":[
            {"count":4,"cpu":500,"memMb":256,"estimateMs":900,"affinity":"r1-3"},
            {"count":20,"cpu":2000,"estimateMs":7000,"after":[0],"maxPerServer":2}]})");
    BOOST_REQUIRE(job.has_value());
    BOOST_TEST(job->isBestEffort);
    BOOST_TEST(job->unsupported.empty());
    BOOST_TEST(job->spec.steps.size() == 2U);
    BOOST_TEST(job->spec.steps[0].preferredRack == "r1-3");
    BOOST_TEST(job->spec.steps[1].after.size() == 1U);
    BOOST_TEST(job->spec.steps[1].maxPerExecutor == 2U);
}

// Guards against labels of any length, which a job keeps until its end and sends to other daemons.
BOOST_AUTO_TEST_CASE(labelsTooLongForExecutorsAreCut)
{
    const std::string longest(MAX_NAME_BYTES, 'x');
    for (const char *member : {"requirements", "affinity"}) {
        const auto label = [&](const std::string &text) {
            const auto job = decode(R"({"bestEffort":true,"phases":[{"count":1,")"
                                    + std::string(member) + R"(":")" + text + R"("}]})");
            BOOST_REQUIRE(job.has_value());
            const Dispatch::StepSpec &step = job->spec.steps[0];
            return member == std::string("affinity") ? step.preferredRack : step.requiredLabel;
        };
        BOOST_TEST(label(longest) == longest);
        const std::string cut = label(std::string(250'000, 'x'));
        BOOST_TEST(cut.size() < 1000U);
        // No executor has it.
        json row = registrations::registration();
        row["labels"] = {cut};
        BOOST_TEST(decodeExecutor("i-1", row.dump())->kind != cut);
    }
}

// Guards against lists that name a step many times.
BOOST_AUTO_TEST_CASE(repeatedIndexesCountOnce)
{
    std::string after = "0";
    for (int i = 0; i < 1000; ++i)
        after += ",0";
    const auto job =
        decode(R"({"bestEffort":true,"phases":[{"count":1},{"count":1,"after":[)" + after + "]}]}");
    BOOST_REQUIRE(job.has_value());
    BOOST_TEST(job->spec.steps[1].after.size() == 1U);
}

BOOST_AUTO_TEST_CASE(malformedJobs)
{
    const std::string step = R"({"count":1,"cpu":1})";
    std::string many = step;
    for (int i = 0; i < 300; ++i)
        many += "," + step;
    const std::string bodies[] = {
        "",
        "no json",
        "[]",
        "{}",
        R"({"phases":[]})",
        R"({"phases":{}})",
        R"({"phases":[5]})",
        R"({"phases":[{"cpu":1}]})",
        R"({"phases":[{"count":0}]})",
        R"({"phases":[{"count":-1}]})",
        R"({"phases":[{"count":"many"}]})",
        R"({"phases":[{"count":1e18}]})",
        R"({"phases":[{"count":5000}]})",
        R"({"phases":[{"count":1,"cpu":-5}]})",
        R"({"phases":[{"count":1,"after":[0]}]})",
        R"({"phases":[{"count":1,"after":5}]})",
        R"({"spec":5,"phases":[{"count":1}]})",
        R"({"spec":")" + std::string(5000, 'x') + R"(","phases":[{"count":1}]})",
        R"({"phases":[)" + many + "]}",
        std::string(100'000, '['),
        R"({"phases":)" + std::string(10'000, '['),
    };
    for (const std::string &it : bodies)
        BOOST_TEST(!decode(it).has_value(), it.substr(0, 60));
}

BOOST_AUTO_TEST_CASE(unsupportedFeaturesAreNamed)
{
    const auto job = decode(R"({"bestEffort":true,"phases":[{"count":2,"coSchedule":true}]})");
    BOOST_TEST(job->unsupported == "coSchedule");
    BOOST_TEST(decode(R"({"repeatCount":3,"phases":[{"count":2}]})")->unsupported == "repeatCount");
}

BOOST_AUTO_TEST_CASE(jobIds)
{
    BOOST_TEST(isJobId(ID));
    BOOST_TEST(!isJobId("5c0e7a21d94b36f"));
    BOOST_TEST(!isJobId("5c0e7a21d94b36fg"));
    BOOST_TEST(!isJobId(""));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(settings)

static const char *const VALID_SETTINGS = R"({
  "daemon": "edge-1", "failureDomain": "center", "address": "10.1.0.13", "peerPort": 7720,
  "operatorPort": 7721, "callers": "10.1.0.13:8161", "readiness": "10.1.0.13:8167",
  "store": "10.200.1.7:8169", "orders": "invocation", "graceSeconds": 6, "leaseMs": 1000 })";

BOOST_AUTO_TEST_CASE(validSettings)
{
    Settings::FaultList faults;
    const auto parsed = parsePlatformSettings(VALID_SETTINGS, faults);
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed->store.port == 8169);
    BOOST_TEST(parsed->daemon.peerEndpoint.port == 7720);
    BOOST_TEST((parsed->grace == 6s));
    BOOST_TEST((parsed->executorDrainTime == 2s)); // the default
    json document = json::parse(VALID_SETTINGS);
    document["executorDrainMs"] = 4000;
    BOOST_TEST((parsePlatformSettings(document.dump(), faults)->executorDrainTime == 4s));
    document["executorDrainMs"] = 1;
    BOOST_TEST((parsePlatformSettings(document.dump(), faults)->executorDrainTime == 1s));
}

// All faults are reported at once, each with its path.
BOOST_AUTO_TEST_CASE(invalidSettings)
{
    json document = json::parse(VALID_SETTINGS);
    document["store"] = "nowhere";
    document["callers"] = "10.1.0.13:0";
    document["readiness"] = "10.1.0.13:8167x";
    document["executorDrainMs"] = "soon";
    document["orders"] = "heartbeat";
    document["leaseMs"] = 100;
    document["surplus"] = 1;
    document.erase("daemon");
    Settings::FaultList faults;
    BOOST_TEST(!parsePlatformSettings(document.dump(), faults).has_value());
    BOOST_TEST(faults.faults().size() == 8U);
}

// Guards against budgets that do not follow the host, and against values that are taken silently.
BOOST_AUTO_TEST_CASE(limitsOfCallers)
{
    json document = json::parse(VALID_SETTINGS);
    Settings::FaultList faults;
    for (const auto &[memoryMb, maxFds] : {std::pair(120, 3075), std::pair(512, 10'250)}) {
        document["memoryMb"] = memoryMb;
        document["maxFds"] = maxFds;
        const auto parsed = parsePlatformSettings(document.dump(), faults);
        BOOST_REQUIRE(parsed.has_value());
        const Settings::LimitSettings &limits = parsed->daemon.limits;
        const bool isSmall = memoryMb == 120;
        BOOST_TEST(limits.traffic.maxRequestBytes == std::size_t(memoryMb) * 1024 * 1024 / 5);
        BOOST_TEST(limits.maxCallerConnections == (isSmall ? 960U : 3416U));
        // What the desired state lets callers rely on.
        BOOST_TEST(limits.maxBodyBytes >= 262'144U);
        BOOST_TEST(limits.maxHeaderBytes >= 16'384U);
        BOOST_TEST((limits.traffic.headerTimeout >= 3s && limits.traffic.idleTimeout >= 15s));
    }
    document["limits"] = {{"headerTimeoutMs", 200}, {"maxCallerConnections", 7}};
    const auto parsed = parsePlatformSettings(document.dump(), faults);
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST((parsed->daemon.limits.traffic.headerTimeout == 200ms));
    BOOST_TEST(parsed->daemon.limits.maxCallerConnections == 7U);
    document["limits"] = {{"headerTimeoutMs", 99}, {"maxRequestBytes", 65'536}};
    BOOST_TEST(!parsePlatformSettings(document.dump(), faults).has_value());
    BOOST_REQUIRE(faults.faults().size() == 2U);
    BOOST_TEST(faults.faults()[0].path == "/limits/headerTimeoutMs");
    BOOST_TEST(faults.faults()[0].message == "99 must be from 100 to 600000");
    BOOST_TEST(faults.faults()[1].path == "/limits/maxRequestBytes");
    BOOST_TEST(faults.faults()[1].message == "65536 must be at least maxConnectionBytes, 16777216");
}

// Guards against budgets that leave no room for the largest job, or for each other.
BOOST_AUTO_TEST_CASE(memoryOfJobsFollowsTheHost)
{
    json document = json::parse(VALID_SETTINGS);
    Settings::FaultList faults;
    document["memoryMb"] = 120;
    document["maxFds"] = 3075;
    const auto parsed = parsePlatformSettings(document.dump(), faults);
    BOOST_REQUIRE(parsed.has_value());
    const Dispatch::MemoryLimits &memory = parsed->dispatch.memory;
    const Settings::LimitSettings &limits = parsed->daemon.limits;
    const std::size_t tasks = Dispatch::Constants::MAX_TASKS_PER_JOB;
    BOOST_TEST(memory.maxJobBytes / 2 > tasks * 300);
    BOOST_TEST(memory.maxTaskBytes / 2 > tasks * Dispatch::Constants::QUEUED_TASK_BYTES);
    BOOST_TEST(memory.maxOpenRequests == 2U * limits.maxCallerConnections);
    const std::size_t sum = memory.maxJobBytes + memory.maxTaskBytes
                            + limits.traffic.maxRequestBytes + limits.traffic.maxAnswerBytes
                            + limits.traffic.receiveBufferBytes * limits.maxCallerConnections;
    BOOST_TEST(sum < std::size_t(90) << 20);
    document["dispatch"] = {{"maxJobBytes", 1'000'000}, {"maxTaskBytes", 1}};
    BOOST_TEST(!parsePlatformSettings(document.dump(), faults).has_value());
    BOOST_REQUIRE(faults.faults().size() == 1U);
    BOOST_TEST(faults.faults()[0].path == "/dispatch/maxTaskBytes");
}

// A policy that is not known is a fault that names the path, the value and those that are known.
BOOST_AUTO_TEST_CASE(policiesOfTheDispatcher)
{
    json document = json::parse(VALID_SETTINGS);
    Settings::FaultList faults;
    Dispatch::DispatchOptions options = parsePlatformSettings(document.dump(), faults)->dispatch;
    options.memory = {}; // follows the host
    BOOST_TEST((options == Dispatch::DispatchOptions()));
    document["dispatch"] = {{"orders", "measuredTimeout"},
                            {"runTimes", "learned"},
                            {"queueOrder", "byJob"},
                            {"placement", "lookAhead"},
                            {"admission", "forecast"}};
    const auto parsed = parsePlatformSettings(document.dump(), faults);
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST((parsed->dispatch.orders == Dispatch::OrderPolicy::MeasuredTimeout));
    BOOST_TEST((parsed->dispatch.runTimes == Dispatch::RunTimePolicy::Learned));
    BOOST_TEST((parsed->dispatch.queueOrder == Dispatch::QueueOrderPolicy::ByJob));
    BOOST_TEST((parsed->dispatch.placement == Dispatch::PlacementPolicy::LookAhead));
    BOOST_TEST((parsed->dispatch.admission == Dispatch::AdmissionPolicy::Forecast));
    document["dispatch"] = {{"placement", "lookahead"}};
    BOOST_TEST(!parsePlatformSettings(document.dump(), faults).has_value());
    BOOST_REQUIRE(faults.faults().size() == 1U);
    BOOST_TEST(faults.faults()[0].path == "/dispatch/placement");
    BOOST_TEST(faults.faults()[0].message
               == "\"lookahead\" must be one of: fastestFree, lookAhead");
}

BOOST_AUTO_TEST_SUITE_END()
