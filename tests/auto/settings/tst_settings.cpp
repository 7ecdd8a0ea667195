// Tests of the settings library.
#include <settings/addresses.h>
#include <settings/daemonsettings.h>
#include <support/jsonmutation.h>

#include <boost/test/unit_test.hpp>

#include <filesystem>

using namespace Settings;
using namespace TestSupport;

static std::string examplePath(const std::string &name)
{
    return std::string(EP_EXAMPLES_DIR) + '/' + name;
}

static nlohmann::json validDocument()
{
    return nlohmann::json::parse(readFile(examplePath("kalkan/center-1.json")), nullptr, true,
                                 true);
}

// Guards against examples that no longer parse, and against a deployment whose daemons are
// configured with different endpoints for the same peer.
BOOST_AUTO_TEST_CASE(examplesAreValidAndConsistent)
{
    for (const char *deployment : {"kalkan", "cevallos"}) {
        std::vector<DaemonSettings> all;
        for (const auto &it : std::filesystem::directory_iterator(examplePath(deployment))) {
            if (it.path().filename() == "manifest.json")
                continue;
            FaultList faults;
            const auto settings = parseDaemonSettings(readFile(it.path()), faults);
            BOOST_TEST_REQUIRE(settings.has_value(), it.path() << ": " << describe(faults));
            BOOST_TEST(settings->daemon.value() + ".json" == it.path().filename().string());
            all.push_back(*settings);
        }
        BOOST_TEST(all.size() == 9U);
        for (const DaemonSettings &a : all) {
            BOOST_TEST(a.peers.size() == 8U);
            for (const DaemonSettings &b : all) {
                const PeerSettings expected{b.daemon, b.domain, b.peerEndpoint};
                const auto n = std::count(a.peers.begin(), a.peers.end(), expected);
                BOOST_TEST(n == (a.daemon == b.daemon ? 0 : 1));
                BOOST_TEST((a.peerKey == b.peerKey));
            }
        }
    }
}

struct FaultCase
{
    const char *patch;
    const char *path;
    const char *message; // expected substring
};

// Guards against a fault that is accepted or reported with a wrong path.
BOOST_AUTO_TEST_CASE(everyFaultIsReportedAtItsPath)
{
    static const FaultCase CASES[] = {
        {"[{'op':'remove','path':'/daemon'}]", "/daemon", "missing"},
        {"[{'op':'replace','path':'/daemon','value':''}]", "/daemon", "letters"},
        {"[{'op':'replace','path':'/daemon','value':'a:b'}]", "/daemon", "letters"},
        {"[{'op':'replace','path':'/domain','value':7}]", "/domain", "string, not number"},
        {"[{'op':'replace','path':'/callers','value':[]}]", "/callers", "object, not array"},
        {"[{'op':'replace','path':'/callers/address','value':'localhost'}]", "/callers/address",
         "numeric"},
        {"[{'op':'replace','path':'/callers/port','value':0}]", "/callers/port", "1 to 65535"},
        {"[{'op':'replace','path':'/callers/port','value':65536}]", "/callers/port", "65535"},
        {"[{'op':'replace','path':'/callers/port','value':-1}]", "/callers/port", "65535"},
        {"[{'op':'replace','path':'/callers/port','value':1.5}]", "/callers/port", "fraction"},
        {"[{'op':'replace','path':'/operators/port','value':7101}]", "/operators", "differ"},
        {"[{'op':'replace','path':'/peerEndpoint','value':{'address':'0.0.0.0','port':7201}}]",
         "/peerEndpoint", "differ from operators"},
        {"[{'op':'replace','path':'/operatorToken','value':'123456789012345'}]", "/operatorToken",
         "at least 16"},
        {"[{'op':'replace','path':'/peerKey','value':'short'}]", "/peerKey", "at least 16"},
        {"[{'op':'replace','path':'/peers','value':{}}]", "/peers", "array"},
        {"[{'op':'replace','path':'/peers/0','value':1}]", "/peers/0", "object"},
        {"[{'op':'replace','path':'/peers/1/daemon','value':'center-1'}]", "/peers/1/daemon",
         "own id"},
        {"[{'op':'replace','path':'/peers/1/daemon','value':'center-2'}]", "/peers/1/daemon",
         "twice"},
        {"[{'op':'replace','path':'/peers/2/endpoint/port','value':7302}]", "/peers/2/endpoint",
         "center-2"},
        {"[{'op':'replace','path':'/peers/2/endpoint/port','value':7301}]", "/peers/2/endpoint",
         "own peerEndpoint"},
        {"[{'op':'replace','path':'/platformUrl','value':'http://host:80'}]", "/platformUrl",
         "http://IPv4:port"},
        {"[{'op':'replace','path':'/platformTimeoutMs','value':0}]", "/platformTimeoutMs",
         "from 1"},
        {"[{'op':'add','path':'/limits/maxBodyBytes','value':0}]", "/limits/maxBodyBytes",
         "from 1"},
        {"[{'op':'add','path':'/limits/maxRecordBytes','value':'1'}]", "/limits/maxRecordBytes",
         "whole number"},
        {"[{'op':'add','path':'/limits/retentionSeconds','value':0}]", "/limits/retentionSeconds",
         "from 1"},
        {"[{'op':'add','path':'/drain/graceMs','value':600001}]", "/drain/graceMs", "600000"},
        {"[{'op':'replace','path':'/logLevel','value':'loud'}]", "/logLevel", "debug"},
        {"[{'op':'add','path':'/limits/maxQuedTasks','value':5}]", "/limits/maxQuedTasks",
         "did you mean \"maxQueuedTasks\""},
        {"[{'op':'add','path':'/a~1b','value':5}]", "/a~1b", "unknown member"},
    };
    for (const FaultCase &it : CASES) {
        BOOST_TEST_CONTEXT(it.patch)
        {
            FaultList faults;
            BOOST_TEST(!parseDaemonSettings(patched(validDocument(), it.patch), faults));
            BOOST_TEST_REQUIRE(faults.faults().size() == 1U, describe(faults));
            const Fault &fault = faults.faults().front();
            BOOST_TEST(fault.path == it.path);
            BOOST_TEST((fault.code == Base::FailureCode::InvalidSettings));
            BOOST_TEST(fault.message.find(it.message) != std::string::npos, fault.message);
        }
    }
}

// Guards against a reader that stops at the first fault.
BOOST_AUTO_TEST_CASE(allFaultsAreReportedAtOnce)
{
    FaultList faults;
    BOOST_TEST(!parseDaemonSettings("{\"daemon\": 1, \"Domain\": \"center\"}", faults));
    const std::string text = describe(faults);
    for (const char *it :
         {"/daemon ", "/domain ", "/Domain ", "/callers ", "/operators ", "/operatorToken ",
          "/peerEndpoint ", "/peerKey ", "/peers ", "/platformUrl "}) {
        BOOST_TEST(text.find(it) != std::string::npos, it << " in " << text);
    }
    BOOST_TEST((Base::failureCode(faults.status()) == Base::FailureCode::InvalidSettings));
}

// Guards against duplicate members that are accepted silently, and against syntax errors that
// terminate the process.
BOOST_AUTO_TEST_CASE(malformedTextIsReported)
{
    FaultList duplicateFaults;
    BOOST_TEST(!parseDaemonSettings(R"({"a": [0, {"b": 1, "b": 2}]})", duplicateFaults));
    BOOST_TEST(duplicateFaults.faults().front().path == "/a/1/b");
    for (const char *it : {"", "{", "[]", "{} {}", "{\"a\": 1e999}", "\xff", "/* {} "}) {
        FaultList faults;
        BOOST_TEST(!parseDaemonSettings(it, faults), it);
        BOOST_TEST(!faults.isEmpty());
    }
}

// Guards against defaults that differ from the documented ones.
BOOST_AUTO_TEST_CASE(optionalMembersHaveDefaults)
{
    nlohmann::json document = validDocument();
    for (const char *it : {"platformTimeoutMs", "limits", "drain", "logLevel"})
        document.erase(it);
    FaultList faults;
    const auto settings = parseDaemonSettings(document.dump(), faults);
    BOOST_TEST_REQUIRE(settings.has_value(), describe(faults));
    BOOST_TEST((settings->limits == LimitSettings()));
    BOOST_TEST((settings->drain == DrainSettings()));
    BOOST_TEST(settings->platformTimeout.count() == 2000);
}

// Guards against host names and trailing text where a numeric address is required.
BOOST_AUTO_TEST_CASE(urlsAreNumeric)
{
    BOOST_TEST(isHttpUrl("http://127.0.0.1:65535"));
    for (const char *it : {"http://127.0.0.1", "http://127.0.0.1:", "http://127.0.0.1:0",
                           "http://127.0.0.1:65536", "http://127.0.0.1:80/", "http://[::1]:80",
                           "https://127.0.0.1:80", "http://1.2.3:80", "http://127.0.0.1:080"}) {
        BOOST_TEST(!isHttpUrl(it), it);
    }
    BOOST_TEST(isIpAddress("::1"));
    BOOST_TEST(!isIpAddress(std::string_view("127.0.0.1\0x", 11)));
}

// Guards against an endpoint that is more than one when it becomes part of a URL.
BOOST_AUTO_TEST_CASE(endpointsAreStrict)
{
    const auto endpoint = parseEndpoint("10.0.0.1:65535");
    BOOST_TEST_REQUIRE(endpoint.has_value());
    BOOST_TEST((*endpoint == Endpoint{"10.0.0.1", 65535}));
    BOOST_TEST(toString(*endpoint) == "10.0.0.1:65535");
    BOOST_TEST(parseEndpoint("10.0.0.1:1").has_value());
    for (const char *it : {"",
                           ":",
                           "10.0.0.1",
                           "10.0.0.1:",
                           "10.0.0.1:0",
                           "10.0.0.1:65536",
                           "10.0.0.1:-1",
                           "10.0.0.1:+1",
                           "10.0.0.1:080",
                           "10.0.0.1:80 ",
                           " 10.0.0.1:80",
                           "10.0.0.1:80:80",
                           "10.0.0.1:80/",
                           "a@10.0.0.1:80",
                           "host:80",
                           "10.0.0:80",
                           "[::1]:80",
                           "::1:80",
                           "10.0.0.1:4294967376",
                           "10.0.0.1:http"}) {
        BOOST_TEST(!parseEndpoint(it).has_value(), it);
    }
    BOOST_TEST(!parseEndpoint(std::string_view("10.0.0.1:80\0", 12)).has_value());
    BOOST_TEST(!parseEndpoint(std::string_view("10.0.0.1\0:80", 12)).has_value());
}

// Guards against documents that crash the reader, and against a result despite reported faults.
BOOST_AUTO_TEST_CASE(mutatedSettingsParseOrReportFaults)
{
    std::mt19937_64 random(1);
    const nlohmann::json valid = validDocument();
    int parsed = 0;
    for (int i = 0; i < 5000; ++i) {
        nlohmann::json document = valid;
        for (std::uint64_t n = random() % 3 + 1; n > 0; --n)
            document = mutated(std::move(document), random);
        std::string text = document.dump();
        if (random() % 4 == 0)
            text = mutatedText(std::move(text), random);
        FaultList faults;
        const auto settings = parseDaemonSettings(text, faults);
        BOOST_TEST_REQUIRE(settings.has_value() == faults.isEmpty(), "step " << i);
        parsed += settings ? 1 : 0;
    }
    BOOST_TEST(parsed > 0);
    BOOST_TEST(parsed < 5000);
}
