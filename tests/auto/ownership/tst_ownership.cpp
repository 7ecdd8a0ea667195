// Tests of the hazards of shard ownership, (a) to (k). DaemonCluster::check() is applied
// throughout.
#include "daemoncluster.h"

#include <base/log.h>

using namespace OwnershipTest;
namespace Constants = Ownership::Constants;

namespace {

struct ErrorLogOnly
{
    ErrorLogOnly() { Base::setLogLevel(Base::LogLevel::Error); }
};

/// Outcomes of a write whose reply is lost.
const TableFault LOST_REPLIES[] = {TableFault::LostBefore, TableFault::LostAfter,
                                   TableFault::Delayed};
const auto IGNORE_STATUS = [](const absl::Status &) {};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(ErrorLogOnly);

// Guards against two daemons that both create a missing row, and against waiting for the preferred
// creator while it is down.
BOOST_AUTO_TEST_CASE(missingRowIsCreatedOnce)
{
    for (const char *missing : {"", "a", "b", "c"}) {
        DaemonCluster cluster({"a", "b", "c"});
        cluster.autoJoin = false;
        cluster.startAll();
        cluster.kill(DaemonId(missing));
        cluster.run(3s);
        BOOST_REQUIRE(cluster.leaseHolder());
        BOOST_TEST(cluster.row().epoch == Epoch(1));
        BOOST_TEST(cluster.row().replicas.size() == 1U);
        BOOST_TEST(cluster.leaseHolder()->ownership.hasAllRecords(SHARD));
    }
}

// (a) Guards against a takeover by a daemon without the records.
BOOST_AUTO_TEST_CASE(unlistedDaemonNeverTakesOver)
{
    DaemonCluster cluster({"a", "b", "c"});
    cluster.autoJoin = false;
    cluster.startAll();
    cluster.run(3s);
    BOOST_REQUIRE(cluster.leaseHolder());
    cluster.kill(cluster.leaseHolder()->identity.daemon);
    cluster.run(60s);
    BOOST_TEST(!cluster.leaseHolder());
    BOOST_TEST(cluster.row().epoch == Epoch(1));
}

// Guards against a takeover that takes longer than 3 s or loses records.
BOOST_AUTO_TEST_CASE(inSyncReplicaTakesOver)
{
    DaemonCluster cluster({"a", "b", "c"});
    SimulatedDaemon &owner = cluster.settle();
    cluster.commitRecord(SHARD);
    cluster.kill(owner.identity.daemon);
    cluster.run(3s);
    BOOST_REQUIRE(cluster.leaseHolder());
    BOOST_TEST(cluster.leaseHolder()->ownership.hasAllRecords(SHARD));
    BOOST_TEST(cluster.row().epoch == Epoch(2));
    BOOST_TEST(cluster.leaseHolder()->ownership.knownOwner(SHARD)->epoch == Epoch(2));
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
    cluster.network.setPartitioned(owner.identity.daemon, candidate.identity.daemon, true);
    cluster.run(2500ms);
    cluster.network.restoreAll();
    BOOST_TEST(!candidate.ownership.acceptsReplication(SHARD, Epoch(1), owner.identity));
    BOOST_TEST((candidate.ownership.highestKnownEpoch(SHARD) == Epoch(2)));
    for (int i = 0; i < 600 && cluster.row().epoch == Epoch(1); ++i) {
        cluster.run(10ms);
        BOOST_TEST(!owner.holdsLease());
    }
    BOOST_TEST(cluster.row().owner == candidate.identity.daemon);
    cluster.run(5s);
    BOOST_TEST(candidate.holdsLease());
}

// (c) Guards against an owner that acts on an expired lease after a pause.
BOOST_AUTO_TEST_CASE(pausedOwnerHoldsNoLease)
{
    DaemonCluster cluster({"a", "b", "c"});
    SimulatedDaemon &owner = cluster.settle();
    owner.timers.pause();
    cluster.run(5s);
    BOOST_TEST(!owner.holdsLease());
    BOOST_REQUIRE(cluster.leaseHolder());
    owner.timers.resume();
    BOOST_TEST(!owner.holdsLease());
    cluster.run(5s);
    BOOST_TEST(!owner.holdsLease());
    BOOST_TEST(owner.lostCount == 1);

    SimulatedDaemon &next = *cluster.leaseHolder();
    cluster.clock.jump(Constants::LEASE_MS);
    BOOST_TEST(!next.holdsLease());
    cluster.run(15s);
    BOOST_TEST(cluster.leaseHolder());
}

// (d) Guards against a takeover from a live owner by a replica that lost its promises in a restart.
BOOST_AUTO_TEST_CASE(restartedReplicaDelaysTakeover)
{
    DaemonCluster cluster({"a", "b"});
    SimulatedDaemon &owner = cluster.settle();
    const DaemonId replica = cluster.other(owner).identity.daemon;
    owner.table.down = true;
    cluster.network.setPartitioned(owner.identity.daemon, replica, true);
    cluster.start(replica);
    cluster.run(1s);
    BOOST_TEST(owner.holdsLease());
    cluster.run(Constants::RESTARTED_REPLICA_WAIT_MS - 1s);
    BOOST_TEST(cluster.row().owner == owner.identity.daemon);
    cluster.run(2s);
    BOOST_REQUIRE(cluster.leaseHolder());
    BOOST_TEST(cluster.leaseHolder()->identity.daemon == replica);
    BOOST_TEST(!cluster.leaseHolder()->ownership.hasAllRecords(SHARD));
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
    BOOST_TEST(!owner.holdsLease());
    owner.table.down = false;
    cluster.run(6s);
    BOOST_TEST(owner.holdsLease());
    BOOST_TEST(cluster.row().epoch == Epoch(1));
    BOOST_TEST(cluster.row().replicas.size() == 2U);
}

// (e) Guards against not requiring a replica whose removal may not have taken effect.
BOOST_AUTO_TEST_CASE(removedReplicaIsRequiredUntilConfirmed)
{
    for (const TableFault fault : LOST_REPLIES) {
        DaemonCluster cluster({"a", "b", "c"});
        SimulatedDaemon &owner = cluster.settle();
        const DaemonId dead = cluster.other(owner).identity.daemon;
        owner.table.scriptWrites({fault});
        cluster.kill(dead);
        const std::uint64_t writes = cluster.table.writeCount;
        while (cluster.table.writeCount < writes + 2) { // until the write is retried
            BOOST_TEST(owner.requiresReplica(dead));
            cluster.run(10ms);
        }
        cluster.run(6s);
        BOOST_TEST(!owner.requiresReplica(dead));
        BOOST_TEST(owner.holdsLease());
        BOOST_TEST(cluster.row().epoch == Epoch(1));
    }
}

// (f) Guards against a replica that could take over although the lease does not require its
// promise.
BOOST_AUTO_TEST_CASE(addedReplicaIsRequiredBeforeTheWrite)
{
    for (const TableFault fault : LOST_REPLIES) {
        DaemonCluster cluster({"a", "b"});
        cluster.autoJoin = false;
        cluster.startAll();
        cluster.run(3s);
        BOOST_REQUIRE(cluster.leaseHolder());
        SimulatedDaemon &owner = *cluster.leaseHolder();
        SimulatedDaemon &joining = cluster.other(owner);
        owner.table.scriptWrites({fault});
        absl::Status status = absl::UnknownError("no reply");
        owner.ownership.addReplica(SHARD, joining.identity.daemon, joining.identity.incarnation,
                                   [&](const absl::Status &it) { status = it; });
        while (!status.ok()) {
            BOOST_TEST(owner.requiresReplica(joining.identity.daemon));
            BOOST_TEST(owner.holdsLease());
            cluster.run(10ms);
        }
        BOOST_TEST(cluster.row().replicas.size() == 2U);
        cluster.run(2s);
        BOOST_TEST(owner.holdsLease());

        // The lease depends on the added replica, also while the owner can't see the table.
        owner.table.down = true;
        cluster.network.setPartitioned(DaemonId("a"), DaemonId("b"), true);
        cluster.run(3s);
        BOOST_TEST(!owner.holdsLease());
        BOOST_TEST(joining.holdsLease());
    }
}

// (f) Guards against a lease that ignores a replica whose addition has an unknown result.
BOOST_AUTO_TEST_CASE(leaseDependsOnUnresolvedAddition)
{
    DaemonCluster cluster({"a", "b"});
    cluster.autoJoin = false;
    cluster.startAll();
    cluster.run(3s);
    BOOST_REQUIRE(cluster.leaseHolder());
    SimulatedDaemon &owner = *cluster.leaseHolder();
    SimulatedDaemon &joining = cluster.other(owner);
    owner.table.scriptWrites({TableFault::LostAfter});
    owner.ownership.addReplica(SHARD, joining.identity.daemon, joining.identity.incarnation,
                               IGNORE_STATUS);
    while (cluster.row().replicas.size() < 2)
        cluster.run(10ms);
    owner.table.down = true;
    cluster.network.setPartitioned(DaemonId("a"), DaemonId("b"), true);
    cluster.run(6s);
    BOOST_TEST(joining.holdsLease());
    BOOST_TEST(!owner.holdsLease());
}

// (g) Guards against a lease whose renewal needs the platform.
BOOST_AUTO_TEST_CASE(leaseIsKeptDuringPlatformOutage)
{
    DaemonCluster cluster({"a", "b", "c"});
    SimulatedDaemon &owner = cluster.settle();
    cluster.table.down = true;
    for (int i = 0; i < 60; ++i) {
        cluster.run(1s);
        BOOST_TEST(owner.holdsLease());
    }
    const DaemonId dead = cluster.other(owner).identity.daemon;
    cluster.kill(dead);
    cluster.run(2s);
    BOOST_TEST(!cluster.leaseHolder());
    BOOST_TEST(owner.requiresReplica(dead));
    cluster.table.down = false;
    cluster.run(5s);
    BOOST_TEST(owner.holdsLease());
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

// Guards against a lease that returns after a lapse although the replica has taken over.
BOOST_AUTO_TEST_CASE(lapsedLeaseDoesNotReturnAfterTakeover)
{
    DaemonCluster cluster({"a", "b"});
    SimulatedDaemon &owner = cluster.settle();
    SimulatedDaemon &replica = cluster.other(owner);
    owner.table.down = true;
    cluster.network.setPartitioned(DaemonId("a"), DaemonId("b"), true);
    cluster.run(3s);
    BOOST_TEST(replica.holdsLease());
    replica.heartbeats = false; // the old owner can learn of the new one from the row only
    cluster.network.restoreAll();
    for (int i = 0; i < 20; ++i) {
        cluster.run(100ms);
        BOOST_TEST(!owner.holdsLease());
    }
    owner.table.down = false;
    cluster.run(5s);
    BOOST_TEST(replica.holdsLease());
}

// Guards against losing a shard for the whole platform outage because of one pause of its owner,
// in a domain that is partitioned from the platform.
BOOST_AUTO_TEST_CASE(lapsedLeaseReturnsDuringPlatformOutage)
{
    DaemonCluster cluster({"a", "b", "c"});
    SimulatedDaemon &owner = cluster.settle();
    cluster.table.down = true;
    cluster.network.setPartitioned(owner.identity.daemon, cluster.other(owner).identity.daemon,
                                   true);
    cluster.run(3s);
    BOOST_TEST(!cluster.leaseHolder());
    cluster.network.restoreAll();
    cluster.run(1s);
    BOOST_TEST(owner.holdsLease());
    owner.timers.pause();
    cluster.run(4s);
    BOOST_TEST(!cluster.leaseHolder());
    owner.timers.resume();
    cluster.run(1s);
    BOOST_TEST(owner.holdsLease());
    BOOST_TEST(cluster.row().epoch == Epoch(1));
}

// (h) Guards against two owners when all candidates write before any sees the other's write.
BOOST_AUTO_TEST_CASE(onlyOneCandidateTakesOver)
{
    DaemonCluster cluster({"a", "b", "c"});
    SimulatedDaemon &owner = cluster.settle();
    cluster.table.latency = 900ms;
    cluster.kill(owner.identity.daemon);
    const std::uint64_t writes = cluster.table.writeCount;
    cluster.run(4s);
    BOOST_TEST(cluster.table.writeCount >= writes + 2);
    cluster.run(4s);
    BOOST_TEST(cluster.leaseHolder());
    BOOST_TEST(cluster.row().epoch == Epoch(2));
}

// (i) Guards against an owner that continues to serve while its hand-over may have taken effect.
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
        BOOST_TEST(!owner.holdsLease());
        while (!done) {
            BOOST_TEST(!owner.holdsLease());
            cluster.run(10ms);
        }
        cluster.run(1s);
        BOOST_TEST(next.holdsLease());
        BOOST_TEST(next.ownership.hasAllRecords(SHARD));
        BOOST_TEST(cluster.row().epoch == Epoch(2));
        BOOST_TEST(cluster.row().replicas.size() == 3U);
    }
}

// Guards against a shard that is not served any more after its hand-over certainly failed.
BOOST_AUTO_TEST_CASE(failedHandOverRestoresLease)
{
    DaemonCluster cluster({"a", "b"});
    SimulatedDaemon &owner = cluster.settle();
    cluster.table.down = true;
    Base::FailureCode code = Base::FailureCode::None;
    owner.ownership.handOver(SHARD, cluster.other(owner).identity.daemon,
                             [&](const absl::Status &it) { code = Base::failureCode(it); });
    cluster.run(100ms);
    BOOST_TEST((code == Base::FailureCode::PlatformUnavailable));
    BOOST_TEST(owner.holdsLease());
}

// (j) Guards against claiming to have all records after all replicas have lost them.
BOOST_AUTO_TEST_CASE(allReplicasRestarted)
{
    DaemonCluster cluster({"a", "b", "c"});
    cluster.settle();
    cluster.commitRecord(SHARD);
    cluster.daemons.clear();
    cluster.startAll();
    cluster.run(Constants::RESTARTED_REPLICA_WAIT_MS);
    BOOST_TEST(!cluster.leaseHolder());
    cluster.run(2s);
    BOOST_REQUIRE(cluster.leaseHolder());
    BOOST_TEST(!cluster.leaseHolder()->ownership.hasAllRecords(SHARD));
}

// (k) Guards against an operator who can't recover a shard whose listed replicas are all down, and
// against recovery by mistake while the owner is alive.
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
    BOOST_TEST(owner.holdsLease());

    cluster.daemons.clear();
    DaemonCluster lost({"a", "b", "c"});
    lost.autoJoin = false;
    lost.startAll();
    lost.run(3s);
    BOOST_REQUIRE(lost.leaseHolder());
    lost.kill(lost.leaseHolder()->identity.daemon);
    lost.run(1s);
    SimulatedDaemon &spare = *lost.daemons.begin()->second;
    spare.ownership.recoverShard(SHARD, store);
    lost.run(1s);
    BOOST_TEST((code == Base::FailureCode::None));
    BOOST_TEST(spare.holdsLease());
    BOOST_TEST(!spare.ownership.hasAllRecords(SHARD));
    BOOST_TEST(lost.row().epoch == Epoch(2));
}

// Guards against an owner that continues to serve although a replica knows a later epoch.
BOOST_AUTO_TEST_CASE(refusedOwnerStopsAndRenews)
{
    DaemonCluster cluster({"a", "b"});
    SimulatedDaemon &owner = cluster.settle();
    owner.ownership.ownershipRefused(SHARD, Epoch(0));
    BOOST_TEST(owner.holdsLease()); // a delayed refusal of an earlier epoch
    owner.ownership.ownershipRefused(SHARD, Epoch(2));
    BOOST_TEST(!owner.holdsLease());
    cluster.run(5s);
    BOOST_TEST(owner.holdsLease());
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
    BOOST_TEST(!owner.holdsLease());
    BOOST_TEST(owner.lostCount == 1);
    cluster.run(3s);
    BOOST_REQUIRE(cluster.leaseHolder());
    BOOST_TEST(cluster.leaseHolder() != &owner);
}
