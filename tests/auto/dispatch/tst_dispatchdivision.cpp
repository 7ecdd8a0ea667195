// Tests of the division of a failure domain into groups.
// The build defines the module for every file, but only tst_dispatch.cpp may contain main().
#undef BOOST_TEST_MODULE
#include "dispatchcluster.h"

#include <boost/test/unit_test.hpp>

using namespace DispatchTest;

namespace {

/// A failure domain with 100 executors, which form eight groups.
struct DividedDomain : DispatchCluster
{
    static constexpr int EXECUTOR_COUNT = 100;

    DividedDomain()
    {
        for (const char *it : {"a1", "a2", "a3"})
            addDaemon(it, "a");
        addExecutors("a", EXECUTOR_COUNT);
    }

    /// The registered executors, and a successor at the address of each of them.
    std::vector<ExecutorInfo> listWithSuccessors() const
    {
        std::vector<ExecutorInfo> list = executors.infos();
        for (int i = 0; i < EXECUTOR_COUNT; ++i) {
            ExecutorInfo info = list[static_cast<std::size_t>(i)];
            info.id = ExecutorId(info.id.value() + "-next");
            list.push_back(info);
        }
        return list;
    }

    /// The groups that have an owner.
    std::set<GroupId> ownedGroups() const
    {
        std::set<GroupId> groups;
        for (const auto &[name, daemon] : daemons) {
            for (const auto &[id, group] : daemon->node.ownedGroups())
                groups.insert(id);
        }
        return groups;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(division, DividedDomain)

// Executors that had crashed were still registered beside their successors. A daemon that read such
// a list divided the domain into 32 groups, the others into 8.
BOOST_AUTO_TEST_CASE(executorsAndTheirSuccessorsAreCountedTwice)
{
    for (const ExecutorInfo &it : listWithSuccessors()) {
        if (it.id.value().ends_with("-next"))
            executors.add(it);
    }
    startAll();
    run(4s);
    BOOST_TEST(ownedGroups().size() == 8U);
}

// Guards against a domain whose executors have no address and count as one.
BOOST_AUTO_TEST_CASE(executorsWithoutAddressAreCountedById)
{
    for (const ExecutorInfo &it : executors.infos())
        executors.at(it.id).info.address.clear();
    startAll();
    run(4s);
    BOOST_TEST(ownedGroups().size() == 8U);
}

BOOST_AUTO_TEST_SUITE_END()
