// Tests of parsing the JSON of submissions.
#include <callergateway/requestcodec.h>
#include <support/jsonmutation.h>

#include <base/failure.h>

#include <boost/test/unit_test.hpp>

#include <random>
#include <string>

using Base::FailureCode;
using CallerGateway::ParsedSubmission;
using nlohmann::json;

static const json VALID{
    {"team", "landlords"},     {"key", "medeu:1"},
    {"kind", "shiftAudit"},    {"tasks", {{{"probe", 1}}, "text", 2.5, {1, 2}, nullptr}},
    {"deadlineMs", 500},       {"waitMs", 100},
    {"firstSubmission", true}, {"nonRepeatable", true}};

static FailureCode parse(const std::string &body, ParsedSubmission &parsed)
{
    Settings::LimitSettings limits;
    limits.maxBodyBytes = 4U << 20;
    limits.maxTasksPerJob = 5;
    return Base::failureCode(CallerGateway::parseSubmission(body, limits, parsed));
}

static std::string patched(const std::string &patch)
{
    return TestSupport::patched(VALID, patch);
}

// Guards against members that are ignored or assigned to the wrong field.
BOOST_AUTO_TEST_CASE(readsAllMembers)
{
    ParsedSubmission parsed;
    BOOST_REQUIRE((parse(VALID.dump(), parsed) == FailureCode::None));
    const Jobs::Submission &submission = parsed.submission;
    BOOST_TEST(submission.id.team.value() == "landlords");
    BOOST_TEST(submission.id.key.value() == "medeu:1");
    BOOST_TEST(submission.kind.value() == "shiftAudit");
    BOOST_REQUIRE(submission.payloads.size() == 5);
    BOOST_TEST(submission.payloads[0] == R"({"probe":1})");
    BOOST_TEST(submission.payloads[4] == "null");
    BOOST_TEST((submission.deadline == std::chrono::milliseconds(500)));
    BOOST_TEST((parsed.wait == std::chrono::milliseconds(100)));
    BOOST_TEST(parsed.isFirst);
    BOOST_TEST(submission.nonRepeatable);
}

// Guards against invalid bodies that are accepted or rejected with the wrong code.
BOOST_AUTO_TEST_CASE(rejectsInvalidBodies)
{
    const std::string deepTask = std::string(1'000'000, '[') + std::string(1'000'000, ']');
    const std::string name201(201, 'a');
    const struct
    {
        const char *name;
        std::string body;
        FailureCode code;
    } cases[] = {
        {"empty", "", FailureCode::BadRequest},
        {"not JSON", "{\"team\":", FailureCode::BadRequest},
        {"array", "[]", FailureCode::BadRequest},
        {"not UTF-8", "{\"team\":\"\xff\"}", FailureCode::BadRequest},
        {"unknown member", patched("[{'op':'add','path':'/x','value':1}]"),
         FailureCode::BadRequest},
        {"no team", patched("[{'op':'remove','path':'/team'}]"), FailureCode::BadRequest},
        {"empty key", patched("[{'op':'replace','path':'/key','value':''}]"),
         FailureCode::BadRequest},
        {"slash in key", patched("[{'op':'replace','path':'/key','value':'a/b'}]"),
         FailureCode::BadRequest},
        {"long key", patched("[{'op':'replace','path':'/key','value':'" + name201 + "'}]"),
         FailureCode::BadRequest},
        {"number as kind", patched("[{'op':'replace','path':'/kind','value':1}]"),
         FailureCode::BadRequest},
        {"no task", patched("[{'op':'replace','path':'/tasks','value':[]}]"),
         FailureCode::BadRequest},
        {"too many tasks", patched("[{'op':'add','path':'/tasks/-','value':1}]"),
         FailureCode::TooLarge},
        {"negative deadline", patched("[{'op':'replace','path':'/deadlineMs','value':-1}]"),
         FailureCode::BadRequest},
        {"huge wait", patched("[{'op':'replace','path':'/waitMs','value':18446744073709551615}]"),
         FailureCode::BadRequest},
        {"text as flag", patched("[{'op':'replace','path':'/nonRepeatable','value':'no'}]"),
         FailureCode::BadRequest},
        {"too many bytes", std::string((4U << 20) + 1, ' '), FailureCode::TooLarge},
        {"deep task", R"({"team":"t","key":"k","kind":"x","tasks":[)" + deepTask + "]}",
         FailureCode::TooLarge},
        {"deep object",
         [] {
             std::string text;
             for (int i = 0; i < 500'000; ++i)
                 text += "{\"a\":";
             return text;
         }(),
         FailureCode::TooLarge},
    };
    for (const auto &it : cases) {
        ParsedSubmission parsed;
        const FailureCode code = parse(it.body, parsed);
        BOOST_TEST((code == it.code), it.name << ": " << Base::failureName(code));
    }
}

// Guards against brackets within strings that are counted as nesting.
BOOST_AUTO_TEST_CASE(acceptsBracketsInStrings)
{
    ParsedSubmission parsed;
    json body = VALID;
    body["tasks"] = {"\"\\" + std::string(1000, '[') + "\\\""};
    BOOST_TEST((parse(body.dump(), parsed) == FailureCode::None));
}

// Guards against crashes and unexpected failure codes on bodies mutated in structure and in bytes.
BOOST_AUTO_TEST_CASE(handlesMutatedBodies)
{
    constexpr int SEEDS = 20'000;
    int accepted = 0;
    for (int seed = 0; seed < SEEDS; ++seed) {
        std::mt19937_64 random(static_cast<std::uint64_t>(seed));
        json document = VALID;
        for (auto n = random() % 3; n > 0 && document.is_object() && !document.empty(); --n)
            document = TestSupport::mutated(document, random);
        std::string body = document.dump();
        for (auto n = random() % 4; n > 0 && !body.empty(); --n)
            body = TestSupport::mutatedText(body, random);
        ParsedSubmission parsed;
        const FailureCode code = parse(body, parsed);
        BOOST_TEST((code == FailureCode::None || code == FailureCode::BadRequest
                    || code == FailureCode::TooLarge),
                   "seed " << seed << ": " << Base::failureName(code));
        if (code != FailureCode::None)
            continue;
        ++accepted;
        const Jobs::Submission &submission = parsed.submission;
        BOOST_TEST(CallerGateway::isValidName(submission.id.team.value()), "seed " << seed);
        BOOST_TEST(CallerGateway::isValidName(submission.id.key.value()), "seed " << seed);
        BOOST_TEST(!submission.payloads.empty(), "seed " << seed);
        for (const std::string &payload : submission.payloads)
            BOOST_TEST(json::accept(payload), "seed " << seed << ": " << payload);
    }
    // Both outcomes must be frequent, or the mutations test nothing.
    BOOST_TEST(accepted > SEEDS / 100);
    BOOST_TEST(accepted < SEEDS / 2);
}
