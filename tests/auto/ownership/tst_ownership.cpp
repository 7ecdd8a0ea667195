// Table of hazards of shard ownership. The invariants in DaemonCluster::check() apply throughout.
#include "daemoncluster.h"

#include <base/log.h>

using namespace OwnershipTest;
namespace Constants = Ownership::Constants;

namespace {

struct QuietLog
{
    QuietLog() { Base::setLogLevel(Base::LogLevel::Error); }
};

/// Fates of a write whose reply is lost.
const TableFault LOST_REPLIES[] = {TableFault::LostBefore, TableFault::LostAfter,
                                   TableFault::Delayed};
const auto IGNORE = [](const absl::Status &) {};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(QuietLog);

// Guards against two creators of a missing row, and against waiting for a preferred one that is
// down.
BOOST_AUTO_TEST_CASE(missingRowIsCreatedOnce)
{
    for (const char *missing : {"", "a", "b", "c"}) {
        DaemonCluster cluster({"a", "b", "c"});
        cluster.autoJoin = false;
        cluster.startAll();
        cluster.kill(DaemonId(missing));
        cluster.run(3s);
        BOOST_REQUIRE(cluster.holder());
        BOOST_TEST(cluster.row().epoch == Epoch(1));
        BOOST_TEST(cluster.row().replicas.size() == 1U);
        BOOST_TEST(cluster.holder()->ownership.hasAllRecords(SHARD));
    }
}

// (a) Guards against a takeover by a daemon without the records.
BOOST_AUTO_TEST_CASE(unlistedDaemonNeverTakesOver)
{
    DaemonCluster cluster({"a", "b", "c"});
    cluster.autoJoin = false;
    cluster.startAll();
    cluster.run(3s);
    BOOST_REQUIRE(cluster.holder());
    cluster.kill(cluster.holder()->identity.daemon);
    cluster.run(60s);
    BOOST_TEST(!cluster.holder());
    BOOST_TEST(cluster.row().epoch == Epoch(1));
}

// Guards the goal that a takeover completes within 3 s, with the records.
BOOST_AUTO_TEST_CASE(inSyncReplicaTakesOver)
{
    DaemonCluster cluster({"a", "b", "c"});
    SimulatedDaemon &owner = cluster.settle();
    cluster.commitRecord(SHARD);
    cluster.kill(owner.identity.daemon);
    cluster.run(3s);
    BOOST_REQUIRE(cluster.holder());
    BOOST_TEST(cluster.holder()->ownership.hasAllRecords(SHARD));
    BOOST_TEST(cluster.row().epoch == Epoch(2));
    BOOST_TEST(cluster.holder()->ownership.knownOwner(SHARD)->epoch == Epoch(2));
}

// (b) Guards against a promise to the old owner while a takeover write may still take effect.
BOOST_AUTO_TEST_CASE(noPromiseWhileTakeoverIsUnresolved)
{
    DaemonCluster cluster({"a", "b"});
    SimulatedDaemon &owner = cluster.settle();
    SimulatedDaemon &candidate = cluster.other(owner);
    const auto no = TableFault::Unavailable;
    // The owner can read but not remove the candidate.
    owner.table.scriptWrites({no, no, no, no, no, no, no, no, no, no, no, no, no, no, no, no, no});
    candidate.table.scriptWrites({TableFault::Delayed, no, no, no, no});
    cluster.network.setCut(owner.identity.daemon, candidate.identity.daemon, true);
    cluster.run(2500ms);
    cluster.network.restoreAll();
    BOOST_TEST(!candidate.ownership.acceptsReplication(SHARD, Epoch(1), owner.identity));
    BOOST_TEST((candidate.ownership.highestKnownEpoch(SHARD) == Epoch(2)));
    for (int i = 0; i < 600 && cluster.row().epoch == Epoch(1); ++i) {
        cluster.run(10ms);
        BOOST_TEST(!owner.holds());
    }
    BOOST_TEST(cluster.row().owner == candidate.identity.daemon);
    cluster.run(5s);
    BOOST_TEST(candidate.holds());
}

// (c) Guards against an owner that acts on an expired lease after a pause.
BOOST_AUTO_TEST_CASE(pausedOwnerHoldsNoLease)
{
    DaemonCluster cluster({"a", "b", "c"});
    SimulatedDaemon &owner = cluster.settle();
    owner.timers.pause();
    cluster.run(5s);
    BOOST_TEST(!owner.holds());
    BOOST_REQUIRE(cluster.holder());
    owner.timers.resume();
    BOOST_TEST(!owner.holds());
    cluster.run(5s);
    BOOST_TEST(!owner.holds());
    BOOST_TEST(owner.lostCount == 1);

    SimulatedDaemon &next = *cluster.holder();
    cluster.clock.jump(Constants::LEASE_MS);
    BOOST_TEST(!next.holds());
    cluster.run(15s);
    BOOST_TEST(cluster.holder());
}

// (d) Guards against a restarted replica that has forgotten its promises to a live owner.
BOOST_AUTO_TEST_CASE(restartedReplicaWaits)
{
    DaemonCluster cluster({"a", "b"});
    SimulatedDaemon &owner = cluster.settle();
    const DaemonId replica = cluster.other(owner).identity.daemon;
    owner.table.down = true;
    cluster.network.setCut(owner.identity.daemon, replica, true);
    cluster.start(replica);
    cluster.run(1s);
    BOOST_TEST(owner.holds());
    cluster.run(Constants::RESTARTED_REPLICA_WAIT_MS - 1s);
    BOOST_TEST(cluster.row().owner == owner.identity.daemon);
    cluster.run(2s);
    BOOST_REQUIRE(cluster.holder());
    BOOST_TEST(cluster.holder()->identity.daemon == replica);
    BOOST_TEST(!cluster.holder()->ownership.hasAllRecords(SHARD));
}

// (d) Guards against counting the promise of a restarted replica for the run that is listed: a
// takeover write of that earlier run may still take effect.
BOOST_AUTO_TEST_CASE(promiseOfLaterRunDoesNotCount)
{
    DaemonCluster cluster({"a", "b"});
    SimulatedDaemon &owner = cluster.settle();
    const DaemonId replica = cluster.other(owner).identity.daemon;
    owner.table.down = true;
    cluster.start(replica);
    cluster.run(2s);
    BOOST_TEST(!owner.holds());
    owner.table.down = false;
    cluster.run(6s);
    BOOST_TEST(owner.holds());
    BOOST_TEST(cluster.row().epoch == Epoch(1));
    BOOST_TEST(cluster.row().replicas.size() == 2U);
}

// (e) Guards against dropping a replica that may still be listed.
BOOST_AUTO_TEST_CASE(removedReplicaIsRequiredUntilConfirmed)
{
    for (const TableFault fault : LOST_REPLIES) {
        DaemonCluster cluster({"a", "b", "c"});
        SimulatedDaemon &owner = cluster.settle();
        const DaemonId dead = cluster.other(owner).identity.daemon;
        owner.table.scriptWrites({fault});
        cluster.kill(dead);
        const std::uint64_t writes = cluster.table.writeCount;
        while (cluster.table.writeCount < writes + 2) { // until the write is repeated
            BOOST_TEST(owner.requires_(dead));
            cluster.run(10ms);
        }
        cluster.run(6s);
        BOOST_TEST(!owner.requires_(dead));
        BOOST_TEST(owner.holds());
        BOOST_TEST(cluster.row().epoch == Epoch(1));
    }
}

// (f) Guards against an added replica that could take over without its promise being required.
BOOST_AUTO_TEST_CASE(addedReplicaIsRequiredBeforeTheWrite)
{
    for (const TableFault fault : LOST_REPLIES) {
        DaemonCluster cluster({"a", "b"});
        cluster.autoJoin = false;
        cluster.startAll();
        cluster.run(3s);
        BOOST_REQUIRE(cluster.holder());
        SimulatedDaemon &owner = *cluster.holder();
        SimulatedDaemon &joining = cluster.other(owner);
        owner.table.scriptWrites({fault});
        absl::Status status = absl::UnknownError("no reply");
        owner.ownership.addReplica(SHARD, joining.identity.daemon, joining.identity.incarnation,
                                   [&](const absl::Status &it) { status = it; });
        while (!status.ok()) {
            BOOST_TEST(owner.requires_(joining.identity.daemon));
            BOOST_TEST(owner.holds());
            cluster.run(10ms);
        }
        BOOST_TEST(cluster.row().replicas.size() == 2U);
        cluster.run(2s);
        BOOST_TEST(owner.holds());

        // The lease depends on the added replica, also while the owner can't see the table.
        owner.table.down = true;
        cluster.network.setCut(DaemonId("a"), DaemonId("b"), true);
        cluster.run(3s);
        BOOST_TEST(!owner.holds());
        BOOST_TEST(joining.holds());
    }
}

// (f) Guards against a lease that ignores a replica whose addition has an unknown result.
BOOST_AUTO_TEST_CASE(unresolvedAdditionBindsTheLease)
{
    DaemonCluster cluster({"a", "b"});
    cluster.autoJoin = false;
    cluster.startAll();
    cluster.run(3s);
    BOOST_REQUIRE(cluster.holder());
    SimulatedDaemon &owner = *cluster.holder();
    SimulatedDaemon &joining = cluster.other(owner);
    owner.table.scriptWrites({TableFault::LostAfter});
    owner.ownership.addReplica(SHARD, joining.identity.daemon, joining.identity.incarnation,
                               IGNORE);
    while (cluster.row().replicas.size() < 2)
        cluster.run(10ms);
    owner.table.down = true;
    cluster.network.setCut(DaemonId("a"), DaemonId("b"), true);
    cluster.run(6s);
    BOOST_TEST(joining.holds());
    BOOST_TEST(!owner.holds());
}

// (g) Guards against a lease that needs the platform.
BOOST_AUTO_TEST_CASE(leaseOutlivesThePlatform)
{
    DaemonCluster cluster({"a", "b", "c"});
    SimulatedDaemon &owner = cluster.settle();
    cluster.table.down = true;
    for (int i = 0; i < 60; ++i) {
        cluster.run(1s);
        BOOST_TEST(owner.holds());
    }
    const DaemonId dead = cluster.other(owner).identity.daemon;
    cluster.kill(dead);
    cluster.run(2s);
    BOOST_TEST(!cluster.holder());
    BOOST_TEST(owner.requires_(dead));
    cluster.table.down = false;
    cluster.run(5s);
    BOOST_TEST(owner.holds());
    BOOST_TEST(cluster.row().epoch == Epoch(1));
}

// Guards against table accesses that grow with time or tasks.
BOOST_AUTO_TEST_CASE(steadyStateNeedsNoWrites)
{
    DaemonCluster cluster({"a", "b", "c"});
    cluster.settle();
    const std::uint64_t reads = cluster.table.readCount;
    const std::uint64_t writes = cluster.table.writeCount;
    cluster.run(Constants::ROW_POLL_INTERVAL_MS);
    BOOST_TEST(cluster.table.writeCount == writes);
    BOOST_TEST(cluster.table.readCount <= reads + 3U); // one regular read by each daemon
}

// Guards against a lease that comes back after a lapse although the replica has taken over.
BOOST_AUTO_TEST_CASE(lapsedLeaseNeedsTheRow)
{
    DaemonCluster cluster({"a", "b"});
    SimulatedDaemon &owner = cluster.settle();
    SimulatedDaemon &replica = cluster.other(owner);
    owner.table.down = true;
    cluster.network.setCut(DaemonId("a"), DaemonId("b"), true);
    cluster.run(3s);
    BOOST_TEST(replica.holds());
    replica.heartbeats = false; // so that the old owner learns of the new one by the row only
    cluster.network.restoreAll();
    for (int i = 0; i < 20; ++i) {
        cluster.run(100ms);
        BOOST_TEST(!owner.holds());
    }
    owner.table.down = false;
    cluster.run(5s);
    BOOST_TEST(replica.holds());
}

// Guards against losing a shard of a domain that is cut off for as long as the platform is away,
// because of one pause.
BOOST_AUTO_TEST_CASE(lapsedLeaseReturnsWithoutThePlatform)
{
    DaemonCluster cluster({"a", "b", "c"});
    SimulatedDaemon &owner = cluster.settle();
    cluster.table.down = true;
    cluster.network.setCut(owner.identity.daemon, cluster.other(owner).identity.daemon, true);
    cluster.run(3s);
    BOOST_TEST(!cluster.holder());
    cluster.network.restoreAll();
    cluster.run(1s);
    BOOST_TEST(owner.holds());
    owner.timers.pause();
    cluster.run(4s);
    BOOST_TEST(!cluster.holder());
    owner.timers.resume();
    cluster.run(1s);
    BOOST_TEST(owner.holds());
    BOOST_TEST(cluster.row().epoch == Epoch(1));
}

// (h) Guards against two winners when all candidates write before any sees the other's write.
BOOST_AUTO_TEST_CASE(oneCandidateWins)
{
    DaemonCluster cluster({"a", "b", "c"});
    SimulatedDaemon &owner = cluster.settle();
    cluster.table.latency = 900ms;
    cluster.kill(owner.identity.daemon);
    const std::uint64_t writes = cluster.table.writeCount;
    cluster.run(4s);
    BOOST_TEST(cluster.table.writeCount >= writes + 2);
    cluster.run(4s);
    BOOST_TEST(cluster.holder());
    BOOST_TEST(cluster.row().epoch == Epoch(2));
}

// (i) Guards against an owner that serves on while its hand-over may have taken effect.
BOOST_AUTO_TEST_CASE(handOverWithLostReply)
{
    for (const TableFault fault : LOST_REPLIES) {
        DaemonCluster cluster({"a", "b", "c"});
        SimulatedDaemon &owner = cluster.settle();
        SimulatedDaemon &next = cluster.other(owner);
        cluster.commitRecord(SHARD);
        owner.table.scriptWrites({fault});
        bool done = false;
        owner.ownership.handOver(SHARD, next.identity.daemon, [&](const absl::Status &status) {
            BOOST_TEST(status.ok());
            done = true;
        });
        BOOST_TEST(!owner.holds());
        while (!done) {
            BOOST_TEST(!owner.holds());
            cluster.run(10ms);
        }
        cluster.run(1s);
        BOOST_TEST(next.holds());
        BOOST_TEST(next.ownership.hasAllRecords(SHARD));
        BOOST_TEST(cluster.row().epoch == Epoch(2));
        BOOST_TEST(cluster.row().replicas.size() == 3U);
    }
}

// Guards against a shard that stays down because its hand-over certainly failed.
BOOST_AUTO_TEST_CASE(failedHandOverKeepsTheShard)
{
    DaemonCluster cluster({"a", "b"});
    SimulatedDaemon &owner = cluster.settle();
    cluster.table.down = true;
    Base::FailureCode code = Base::FailureCode::None;
    owner.ownership.handOver(SHARD, cluster.other(owner).identity.daemon,
                             [&](const absl::Status &it) { code = Base::failureCode(it); });
    cluster.run(100ms);
    BOOST_TEST((code == Base::FailureCode::PlatformUnavailable));
    BOOST_TEST(owner.holds());
}

// (j) Guards against claiming knowledge of records that all replicas have lost.
BOOST_AUTO_TEST_CASE(allReplicasRestarted)
{
    DaemonCluster cluster({"a", "b", "c"});
    cluster.settle();
    cluster.commitRecord(SHARD);
    cluster.daemons.clear();
    cluster.startAll();
    cluster.run(Constants::RESTARTED_REPLICA_WAIT_MS);
    BOOST_TEST(!cluster.holder());
    cluster.run(2s);
    BOOST_REQUIRE(cluster.holder());
    BOOST_TEST(!cluster.holder()->ownership.hasAllRecords(SHARD));
}

// (k) Guards the operator's way out when all listed replicas are gone, and against using it by
// mistake.
BOOST_AUTO_TEST_CASE(operatorRecoversShard)
{
    DaemonCluster cluster({"a", "b"});
    SimulatedDaemon &owner = cluster.settle();
    SimulatedDaemon &other = cluster.other(owner);
    Base::FailureCode code = Base::FailureCode::None;
    const auto store = [&](const absl::Status &it) { code = Base::failureCode(it); };
    other.ownership.recoverShard(SHARD, store);
    cluster.run(1s);
    BOOST_TEST((code == Base::FailureCode::BadRequest));
    BOOST_TEST(owner.holds());

    cluster.daemons.clear();
    DaemonCluster lost({"a", "b", "c"});
    lost.autoJoin = false;
    lost.startAll();
    lost.run(3s);
    BOOST_REQUIRE(lost.holder());
    lost.kill(lost.holder()->identity.daemon);
    lost.run(1s);
    SimulatedDaemon &spare = *lost.daemons.begin()->second;
    spare.ownership.recoverShard(SHARD, store);
    lost.run(1s);
    BOOST_TEST((code == Base::FailureCode::None));
    BOOST_TEST(spare.holds());
    BOOST_TEST(!spare.ownership.hasAllRecords(SHARD));
    BOOST_TEST(lost.row().epoch == Epoch(2));
}

// Guards against an owner that serves on although a replica knows a later epoch.
BOOST_AUTO_TEST_CASE(refusedOwnerStopsAndRenews)
{
    DaemonCluster cluster({"a", "b"});
    SimulatedDaemon &owner = cluster.settle();
    owner.ownership.ownershipRefused(SHARD, Epoch(0));
    BOOST_TEST(owner.holds()); // a delayed refusal of an earlier epoch
    owner.ownership.ownershipRefused(SHARD, Epoch(2));
    BOOST_TEST(!owner.holds());
    cluster.run(5s);
    BOOST_TEST(owner.holds());
    BOOST_TEST(cluster.row().epoch == Epoch(2));
    BOOST_TEST(cluster.row().replicas.size() == 2U);
}

// Guards against a replica that stores records of an owner that has been replaced.
BOOST_AUTO_TEST_CASE(replicaRefusesOldEpochs)
{
    DaemonCluster cluster({"a", "b", "c"});
    SimulatedDaemon &owner = cluster.settle();
    SimulatedDaemon &replica = cluster.other(owner);
    BOOST_TEST(replica.ownership.acceptsReplication(SHARD, Epoch(1), owner.identity));
    Wire::PeerIdentity restarted = owner.identity;
    restarted.incarnation = restarted.incarnation.next();
    BOOST_TEST(!replica.ownership.acceptsReplication(SHARD, Epoch(1), restarted));
    BOOST_TEST(replica.ownership.acceptsReplication(SHARD, Epoch(3), owner.identity));
    BOOST_TEST(!replica.ownership.acceptsReplication(SHARD, Epoch(2), owner.identity));
}

// Guards against a lease that is used, or rows that are written, after stop().
BOOST_AUTO_TEST_CASE(stoppedDaemonGivesUpItsLeases)
{
    DaemonCluster cluster({"a", "b"});
    SimulatedDaemon &owner = cluster.settle();
    owner.ownership.stop();
    BOOST_TEST(!owner.holds());
    BOOST_TEST(owner.lostCount == 1);
    cluster.run(3s);
    BOOST_REQUIRE(cluster.holder());
    BOOST_TEST(cluster.holder() != &owner);
}
