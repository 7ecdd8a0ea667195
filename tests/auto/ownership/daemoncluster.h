// Simulates several daemons with fake network and table, and checks invariants after every step.
#pragma once

#include <base/failure.h>
#include <ownership/ownershipconstants.h>
#include <ownership/shardownership.h>
#include <storage/shardrow.h>
#include <support/fakepeernetwork.h>
#include <support/faketable.h>
#include <support/processtimers.h>

#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace OwnershipTest {

using namespace std::chrono_literals;
using Base::DaemonId;
using Base::Epoch;
using Base::ShardIndex;
using TestSupport::TableFault;

const Base::FailureDomainId DOMAIN_ID("center");
const ShardIndex SHARD(0);

class DaemonCluster;

/// One run of a daemon. Its records stand for those that the jobs library replicates.
class SimulatedDaemon : public Ownership::OwnershipObserver
{
public:
    SimulatedDaemon(DaemonCluster &cluster, Wire::PeerIdentity identity,
                    std::vector<DaemonId> peers);

    void shardAcquired(ShardIndex shard, Epoch epoch, bool complete) override;
    void shardLost(ShardIndex) override { ++lostCount; }
    void requiredReplicasChanged(ShardIndex) override {}
    void replicaJoinWanted(ShardIndex shard, const DaemonId &daemon,
                           Base::Incarnation incarnation) override;

    bool holdsLease(ShardIndex shard = SHARD) const { return ownership.holdsLease(shard); }
    bool requiresReplica(const DaemonId &daemon) const
    {
        return std::ranges::count(ownership.requiredReplicas(SHARD), daemon) > 0;
    }

    DaemonCluster &cluster;
    const Wire::PeerIdentity identity;
    TestSupport::ProcessTimers timers;
    TestSupport::FakeTableClient table;
    TestSupport::FakePeerPort port;
    std::map<ShardIndex, std::set<int>> records;
    int lostCount = 0;
    bool heartbeats = true;
    std::vector<bool> acquired; // for each acquisition, whether all records were there
    Ownership::ShardOwnership ownership;

private:
    void sendHeartbeats();
    std::vector<DaemonId> m_peers;
};

class DaemonCluster
{
public:
    explicit DaemonCluster(std::initializer_list<const char *> names, std::size_t shardCount = 1)
        : shards(shardCount)
        , ids(names.begin(), names.end())
    {
        table.rowChanged = [this](const std::string &key, const Storage::Row &before,
                                  const Storage::Row &after) { rowChanged(key, before, after); };
    }

    SimulatedDaemon &start(const DaemonId &id)
    {
        std::vector<DaemonId> peers = ids;
        std::erase(peers, id);
        daemons.erase(id);
        auto &daemon = daemons[id];
        daemon = std::make_unique<SimulatedDaemon>(
            *this, Wire::PeerIdentity{id, DOMAIN_ID, Base::Incarnation(++lastIncarnation)}, peers);
        daemon->ownership.start();
        return *daemon;
    }
    void startAll()
    {
        for (const DaemonId &it : ids)
            start(it);
    }
    void kill(const DaemonId &id) { daemons.erase(id); }

    SimulatedDaemon *leaseHolder(ShardIndex shard = SHARD) const
    {
        for (const auto &[id, daemon] : daemons) {
            if (daemon->holdsLease(shard))
                return daemon.get();
        }
        return nullptr;
    }
    /// Starts all daemons and waits until all others are replicas of the owner.
    SimulatedDaemon &settle()
    {
        startAll();
        run(5s);
        SimulatedDaemon *owner = leaseHolder();
        BOOST_REQUIRE(owner);
        BOOST_REQUIRE(row().replicas.size() == ids.size());
        return *owner;
    }
    /// Any daemon other than \a excluded.
    SimulatedDaemon &other(const SimulatedDaemon &excluded) const
    {
        for (const auto &[id, daemon] : daemons) {
            if (daemon.get() != &excluded)
                return *daemon;
        }
        throw std::logic_error("no other daemon");
    }

    void run(Base::Duration duration, Base::Duration step = 10ms)
    {
        for (Base::Duration elapsed{}; elapsed < duration; elapsed += step) {
            clock.advance(step);
            check();
        }
    }

    Storage::ShardRow row(ShardIndex shard = SHARD) const
    {
        const auto it = m_rows.find(shard);
        return it == m_rows.end() ? Storage::ShardRow() : it->second;
    }

    /// Writes a record at the owner, which commits it if all required replicas accept it.
    void commitRecord(ShardIndex shard)
    {
        SimulatedDaemon *owner = leaseHolder(shard);
        if (!owner || owner->timers.isPaused())
            return;
        const int record = ++lastRecord;
        const Epoch epoch = *owner->ownership.leasedEpoch(shard);
        owner->records[shard].insert(record);
        for (const DaemonId &it : owner->ownership.requiredReplicas(shard)) {
            if (!replicate(*owner, it, shard, epoch, {record}))
                return;
        }
        committed[shard].insert(record);
    }

    bool replicate(SimulatedDaemon &owner, const DaemonId &to, ShardIndex shard, Epoch epoch,
                   const std::set<int> &records)
    {
        const auto it = daemons.find(to);
        if (it == daemons.end() || it->second->timers.isPaused()
            || network.isPartitioned(to, owner.identity.daemon)) {
            return false;
        }
        SimulatedDaemon &replica = *it->second;
        if (!replica.ownership.acceptsReplication(shard, epoch, owner.identity)) {
            owner.ownership.ownershipRefused(shard, replica.ownership.highestKnownEpoch(shard));
            return false;
        }
        replica.records[shard].insert(records.begin(), records.end());
        return true;
    }

    void reportViolation(const std::string &text)
    {
        BOOST_ERROR(text << " (seed " << seed << ")");
        violated = true;
    }

    void check()
    {
        for (std::size_t i = 0; i < shards; ++i) {
            const ShardIndex shard(i);
            SimulatedDaemon *found = nullptr;
            for (const auto &[id, daemon] : daemons) {
                if (!daemon->holdsLease(shard))
                    continue;
                if (found)
                    reportViolation("two daemons hold the lease of one shard");
                found = daemon.get();
            }
            if (!found)
                continue;
            const auto required = found->ownership.requiredReplicas(shard);
            for (const Storage::Replica &it : m_rows[shard].replicas) {
                if (it.daemon != found->identity.daemon && !std::ranges::count(required, it.daemon))
                    reportViolation("a listed replica is not required");
            }
        }
    }

    TestSupport::ManualTimers clock;
    TestSupport::FakeTable table{clock};
    TestSupport::FakePeerNetwork network{clock};
    const std::size_t shards;
    const std::vector<DaemonId> ids;
    std::map<DaemonId, std::unique_ptr<SimulatedDaemon>> daemons;
    std::map<ShardIndex, std::set<int>> committed;
    /// For each epoch, the replicas in the row that it replaced.
    std::map<std::pair<ShardIndex, Epoch>, std::vector<Storage::Replica>> listedBefore;
    std::map<ShardIndex, std::pair<Epoch, Storage::Replica>> lastAcquired;
    bool autoJoin = true;
    bool violated = false;
    std::uint64_t seed = 0;
    std::uint64_t lastIncarnation = 0;
    int lastRecord = 0;

private:
    void rowChanged(const std::string &key, const Storage::Row &before, const Storage::Row &after)
    {
        const auto old = Storage::decodeShardRow(before.value).value_or(Storage::ShardRow());
        const auto row = Storage::decodeShardRow(after.value).value_or(Storage::ShardRow());
        const ShardIndex shard(std::stoull(key.substr(key.rfind('/') + 1)));
        m_rows[shard] = row;
        if (row.epoch > old.epoch)
            listedBefore[{shard, row.epoch}] = old.replicas;
        else if (row.epoch < old.epoch || row.owner != old.owner)
            reportViolation("the owner changed without a higher epoch");
    }

    std::map<ShardIndex, Storage::ShardRow> m_rows; // decoded rows of the table
};

inline SimulatedDaemon::SimulatedDaemon(DaemonCluster &owner, Wire::PeerIdentity self,
                                        std::vector<DaemonId> peers)
    : cluster(owner)
    , identity(std::move(self))
    , timers(cluster.clock)
    , table(cluster.table, timers)
    , port(cluster.network, identity, timers)
    , ownership({identity.daemon, identity.incarnation, DOMAIN_ID, cluster.shards, peers}, timers,
                table, port, *this)
    , m_peers(std::move(peers))
{
    port.setListener(&ownership);
    sendHeartbeats();
}

inline void SimulatedDaemon::sendHeartbeats()
{
    for (const DaemonId &it : heartbeats ? m_peers : std::vector<DaemonId>())
        port.send(it, Wire::Heartbeat{0, ownership.ownedShards(), false, 0});
    timers.schedule(500ms, [this] { sendHeartbeats(); });
}

inline void SimulatedDaemon::shardAcquired(ShardIndex shard, Epoch epoch, bool complete)
{
    acquired.push_back(complete);
    const Storage::Replica self{identity.daemon, identity.incarnation};
    const auto last = cluster.lastAcquired.find(shard);
    if (last != cluster.lastAcquired.end()
        && (epoch < last->second.first
            || (epoch == last->second.first && !(self == last->second.second)))) {
        cluster.reportViolation("a shard was acquired under an epoch that is too low");
    }
    cluster.lastAcquired[shard] = {epoch, self};
    const auto &listed = cluster.listedBefore[{shard, epoch}];
    if (complete && epoch > Epoch(1) && !std::ranges::count(listed, self))
        cluster.reportViolation("an incarnation that was not listed claims to have all records");
    std::set<int> &committed = cluster.committed[shard];
    if (!complete)
        committed = {};
    if (!std::ranges::includes(records[shard], committed))
        cluster.reportViolation("a committed record is missing after an acquisition");
}

inline void SimulatedDaemon::replicaJoinWanted(ShardIndex shard, const DaemonId &daemon,
                                               Base::Incarnation incarnation)
{
    const auto it = cluster.daemons.find(daemon);
    if (!cluster.autoJoin || it == cluster.daemons.end()
        || it->second->identity.incarnation != incarnation
        || !cluster.replicate(*this, daemon, shard, *ownership.leasedEpoch(shard),
                              records[shard])) {
        return;
    }
    ownership.addReplica(shard, daemon, incarnation, [](const absl::Status &) {});
}

} // namespace OwnershipTest
