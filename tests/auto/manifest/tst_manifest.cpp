// Tests of the manifest library.
#include <manifest/manifestreader.h>
#include <support/jsonmutation.h>

#include <boost/test/unit_test.hpp>

#include <map>

using namespace Manifest;
using namespace TestSupport;
using Base::FailureCode;
using Settings::FaultList;

static std::string exampleText(const std::string &deployment)
{
    return readFile(std::string(EP_EXAMPLES_DIR) + '/' + deployment + "/manifest.json");
}

static Manifest::Manifest parsed(const std::string &text)
{
    FaultList faults;
    const auto manifest = parseManifest(text, faults);
    BOOST_TEST_REQUIRE(manifest.has_value(), describe(faults));
    return *manifest;
}

/// Two domains; group a has upstreams in both, group b only in the first one.
static const nlohmann::json &validDocument()
{
    static const auto DOCUMENT = nlohmann::json::parse(R"({
        "revision": 3, "domains": ["north", "south"], "shardsPerDomain": 4,
        "kinds": [
            {"id": "probe", "repeatable": true, "deadlineMs": 300, "declaredRunTimeMs": 50,
             "upstreamGroups": ["a"]},
            {"id": "audit", "job": true, "deadlineMs": 9000, "declaredRunTimeMs": 200,
             "resources": {"processors": 2, "memoryMb": 100}, "upstreamGroups": ["a", "b"]}],
        "upstreams": [
            {"id": "n1", "group": "a", "domain": "north", "url": "http://127.0.0.1:1",
             "host": "h1", "rack": "r1", "slots": 2, "connections": 4,
             "resources": {"processors": 4, "memoryMb": 100}},
            {"id": "s1", "group": "a", "domain": "south", "url": "http://127.0.0.1:2",
             "host": "h2", "rack": "r2", "slots": 2, "connections": 4, "fencing": false,
             "resources": {"processors": 4, "memoryMb": 100}},
            {"id": "n2", "group": "b", "domain": "north", "url": "http://127.0.0.1:3",
             "host": "h3", "rack": "r1", "slots": 2, "connections": 4}],
        "teams": [{"id": "t", "weight": 2, "maxConcurrentJobs": 5, "maxQueuedTasks": 10}],
        "objective": {"wastedMessageCostMs": 5}})");
    return DOCUMENT;
}

// Guards against examples that no longer parse or no longer have the documented sizes.
BOOST_AUTO_TEST_CASE(examplesParse)
{
    const auto kalkan = parsed(exampleText("kalkan"));
    const auto cevallos = parsed(exampleText("cevallos"));
    BOOST_TEST(kalkan.domains.size() == 4U);
    BOOST_TEST(cevallos.domains.size() == 3U);
    for (const auto *it : {&kalkan, &cevallos}) {
        BOOST_TEST(it->upstreams.size() == 50U);
        BOOST_TEST(it->kinds.size() == 3U);
        std::map<std::string, std::size_t> racks;
        for (const auto &[id, upstream] : it->upstreams) {
            BOOST_TEST(upstream.slots == 8U);
            ++racks[upstream.rack];
        }
        for (const auto &[rack, n] : racks)
            BOOST_TEST(n <= (it == &kalkan ? 6U : 8U), rack);
    }
    BOOST_TEST(kalkan.objective.wastedMessageCostMs > cevallos.objective.wastedMessageCostMs);
}

struct FaultCase
{
    const char *patch;
    const char *path;
    const char *message; // substring
};

// Guards against a fault that is accepted or reported under the wrong path.
BOOST_AUTO_TEST_CASE(faultsAreReportedAtTheirPaths)
{
    static const FaultCase CASES[] = {
        {"[{'op':'replace','path':'/revision','value':0}]", "/revision", "from 1"},
        {"[{'op':'replace','path':'/domains','value':[]}]", "/domains", "at least one"},
        {"[{'op':'add','path':'/domains/-','value':'north'}]", "/domains/2", "twice"},
        {"[{'op':'add','path':'/domains/-','value':'a:b'}]", "/domains/2", "letters"},
        {"[{'op':'add','path':'/domains/-','value':''}]", "/domains/2", "letters"},
        {"[{'op':'add','path':'/domains/-','value':1}]", "/domains/2", "string"},
        {"[{'op':'replace','path':'/shardsPerDomain','value':0}]", "/shardsPerDomain", "1 to 1024"},
        {"[{'op':'replace','path':'/shardsPerDomain','value':1025}]", "/shardsPerDomain", "1024"},
        {"[{'op':'remove','path':'/objective'}]", "/objective", "missing"},
        {"[{'op':'replace','path':'/objective/wastedMessageCostMs','value':-1}]",
         "/objective/wastedMessageCostMs", "from 0"},
        {"[{'op':'add','path':'/kinds/1/repeatable','value':true}]", "/kinds/1/repeatable",
         "job is never"},
        {"[{'op':'add','path':'/kinds/1/duplicateStragglers','value':true}]",
         "/kinds/1/duplicateStragglers", "repeatable single"},
        {"[{'op':'replace','path':'/kinds/0/repeatable','value':false},"
         "{'op':'add','path':'/kinds/0/duplicateStragglers','value':true}]",
         "/kinds/0/duplicateStragglers", "repeatable single"},
        {"[{'op':'replace','path':'/kinds/1/id','value':'probe'}]", "/kinds/1/id", "twice"},
        {"[{'op':'replace','path':'/kinds/0/deadlineMs','value':0}]", "/kinds/0/deadlineMs",
         "from 1"},
        {"[{'op':'remove','path':'/kinds/0/declaredRunTimeMs'}]", "/kinds/0/declaredRunTimeMs",
         "missing"},
        {"[{'op':'add','path':'/kinds/0/deadlineMS','value':5}]", "/kinds/0/deadlineMS",
         "did you mean \"deadlineMs\""},
        {"[{'op':'replace','path':'/kinds/1/upstreamGroups/1','value':'c'}]",
         "/kinds/1/upstreamGroups/1", "no upstream"},
        {"[{'op':'replace','path':'/kinds/1/upstreamGroups/1','value':'a'}]",
         "/kinds/1/upstreamGroups/1", "twice"},
        {"[{'op':'replace','path':'/kinds/1/resources/processors','value':5},"
         "{'op':'replace','path':'/upstreams/0/resources/processors','value':5}]",
         "/kinds/1/resources", "\"south\""},
        {"[{'op':'replace','path':'/upstreams/1/resources/memoryMb','value':99}]",
         "/kinds/1/resources", "\"south\""},
        {"[{'op':'add','path':'/kinds/1/resources/accelerators','value':'1'}]",
         "/kinds/1/resources/accelerators", "number"},
        {"[{'op':'replace','path':'/upstreams/0/url','value':'http://worker:1'}]",
         "/upstreams/0/url", "IPv4"},
        {"[{'op':'replace','path':'/upstreams/2/url','value':'http://127.0.0.1:1'}]",
         "/upstreams/2/url", "n1"},
        {"[{'op':'replace','path':'/upstreams/2/domain','value':'east'}]", "/upstreams/2/domain",
         "not in /domains"},
        {"[{'op':'replace','path':'/upstreams/2/id','value':'n1'}]", "/upstreams/2/id", "twice"},
        {"[{'op':'replace','path':'/upstreams/0/slots','value':0}]", "/upstreams/0/slots",
         "from 1"},
        {"[{'op':'replace','path':'/upstreams/0/connections','value':1}]",
         "/upstreams/0/connections", "at least slots"},
        {"[{'op':'replace','path':'/upstreams/0/host','value':''}]", "/upstreams/0/host", "empty"},
        {"[{'op':'replace','path':'/teams/0/weight','value':0}]", "/teams/0/weight", "from"},
        {"[{'op':'replace','path':'/teams/0/maxConcurrentJobs','value':0}]",
         "/teams/0/maxConcurrentJobs", "from 1"},
        {"[{'op':'replace','path':'/teams/0/maxQueuedTasks','value':0}]", "/teams/0/maxQueuedTasks",
         "from 1"},
        {"[{'op':'add','path':'/teams/-','value':{'id':'t','maxConcurrentJobs':1,"
         "'maxQueuedTasks':1}}]",
         "/teams/1/id", "twice"},
    };
    for (const FaultCase &it : CASES) {
        BOOST_TEST_CONTEXT(it.patch)
        {
            FaultList faults;
            BOOST_TEST(!parseManifest(patched(validDocument(), it.patch), faults));
            BOOST_TEST_REQUIRE(faults.faults().size() == 1U, describe(faults));
            const Settings::Fault &fault = faults.faults().front();
            BOOST_TEST(fault.path == it.path);
            BOOST_TEST((fault.code == FailureCode::InvalidManifest));
            BOOST_TEST(fault.message.find(it.message) != std::string::npos, fault.message);
        }
    }
}

struct SuccessorCase
{
    const char *patch;
    const char *path; // of the only fault; null if the successor is valid
    FailureCode code;
};

// Guards against a revision that moves keys to another domain or shard, and against one that is not
// higher than the current revision.
BOOST_AUTO_TEST_CASE(successorKeepsPlacement)
{
    static const SuccessorCase CASES[] = {
        {"[{'op':'replace','path':'/revision','value':4}]", nullptr, FailureCode::None},
        {"[]", "/revision", FailureCode::InvalidManifest},
        {"[{'op':'replace','path':'/revision','value':2}]", "/revision",
         FailureCode::InvalidManifest},
        {"[{'op':'replace','path':'/revision','value':4},"
         "{'op':'replace','path':'/domains','value':['south','north']}]",
         "/domains", FailureCode::PlacementChanged},
        {"[{'op':'replace','path':'/revision','value':4},"
         "{'op':'add','path':'/domains/-','value':'east'}]",
         "/domains", FailureCode::PlacementChanged},
        {"[{'op':'replace','path':'/revision','value':4},"
         "{'op':'replace','path':'/shardsPerDomain','value':8}]",
         "/shardsPerDomain", FailureCode::PlacementChanged},
    };
    const auto current = parsed(validDocument().dump());
    for (const SuccessorCase &it : CASES) {
        FaultList faults;
        checkSuccessor(current, parsed(patched(validDocument(), it.patch)), faults);
        BOOST_TEST_REQUIRE(faults.faults().size() == (it.path ? 1U : 0U), it.patch);
        if (!it.path)
            continue;
        BOOST_TEST(faults.faults().front().path == it.path);
        BOOST_TEST((faults.faults().front().code == it.code));
    }
}

// Guards against a writer that loses a member or gives different text for equal manifests.
BOOST_AUTO_TEST_CASE(writtenManifestsRoundTrip)
{
    for (const auto &text :
         {validDocument().dump(), exampleText("kalkan"), exampleText("cevallos")}) {
        const auto manifest = parsed(text);
        const std::string written = writeManifest(manifest);
        BOOST_TEST((parsed(written) == manifest));
        BOOST_TEST(writeManifest(parsed(written)) == written);
    }
    // SHA-256 test vector.
    BOOST_TEST(manifestDigest("abc")
               == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against changes that are missing in the diff.
BOOST_AUTO_TEST_CASE(diffNamesEachChange)
{
    const auto from = parsed(validDocument().dump());
    const auto to = parsed(patched(
        validDocument(), "[{'op':'replace','path':'/kinds/0/deadlineMs','value':250},"
                         "{'op':'remove','path':'/upstreams/2'},"
                         "{'op':'replace','path':'/kinds/1/upstreamGroups','value':['a']},"
                         "{'op':'replace','path':'/teams/0/id','value':'u'},"
                         "{'op':'add','path':'/upstreams/0/resources/accelerators','value':1},"
                         "{'op':'replace','path':'/objective/wastedMessageCostMs','value':6}]"));
    const std::vector<std::string> expected{
        "kinds/audit/upstreamGroups: [\"a\",\"b\"] -> [\"a\"]",
        "kinds/probe/deadlineMs: 300 -> 250",
        "upstreams/n1/resources/accelerators: 0.0 -> 1.0",
        "upstreams/n2: removed",
        "teams/t: removed",
        "teams/u: added {\"id\":\"u\",\"weight\":2.0,\"maxConcurrentJobs\":5,"
        "\"maxQueuedTasks\":10}",
        "objective/wastedMessageCostMs: 5.0 -> 6.0",
    };
    BOOST_TEST(diffManifests(from, to) == expected, boost::test_tools::per_element());
    BOOST_TEST(diffManifests(from, from).empty());
}

// Guards against documents that crash the parser, against a manifest returned along with faults,
// and against accepted manifests that can't be written and read back.
BOOST_AUTO_TEST_CASE(mutatedManifestsParseOrReportFaults)
{
    std::mt19937_64 random(2);
    int valid = 0;
    for (int i = 0; i < 5000; ++i) {
        nlohmann::json document = validDocument();
        for (std::uint64_t n = random() % 3 + 1; n > 0; --n)
            document = mutated(std::move(document), random);
        std::string text = document.dump();
        if (random() % 4 == 0)
            text = mutatedText(std::move(text), random);
        FaultList faults;
        const auto manifest = parseManifest(text, faults);
        BOOST_TEST_REQUIRE(manifest.has_value() == faults.isEmpty(), "step " << i);
        if (!manifest)
            continue;
        ++valid;
        BOOST_TEST_REQUIRE((parsed(writeManifest(*manifest)) == *manifest), "step " << i);
    }
    BOOST_TEST(valid > 0);
    BOOST_TEST(valid < 5000);
}

// Guards against placement that depends on more than the request's identity, the domains and
// shardsPerDomain, that ignores the domain named in a key, or that is uneven over the shards.
BOOST_AUTO_TEST_CASE(placementDependsOnIdentityOnly)
{
    const auto manifest = parsed(exampleText("kalkan"));
    auto otherRevision = manifest;
    otherRevision.revision = Base::Revision(9);
    otherRevision.kinds.clear();
    otherRevision.upstreams.clear();
    std::map<Base::ShardId, int> counts;
    const int n = 64'000;
    for (int i = 0; i < n; ++i) {
        const Base::RequestId id{Base::TeamId("landlords"),
                                 Base::RequestKey("key-" + std::to_string(i))};
        const Base::ShardId shard = shardOf(manifest, id);
        BOOST_TEST_REQUIRE((shardOf(otherRevision, id) == shard));
        BOOST_TEST_REQUIRE(shard.index.value() < manifest.shardsPerDomain);
        ++counts[shard];
        const Base::RequestId named{id.team, Base::RequestKey("auezov:" + id.key.value())};
        BOOST_TEST_REQUIRE(shardOf(manifest, named).domain.value() == "auezov");
    }
    BOOST_TEST(counts.size() == 64U);
    // The mean is 1,000 keys per shard for 64 shards; five standard deviations are 158.
    for (const auto &[shard, count] : counts)
        BOOST_TEST(std::abs(count - 1000) < 158);
}
