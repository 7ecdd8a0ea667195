// The table row that names a shard's owner and the daemons that may take the shard over.
#pragma once

#include <base/ids.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Storage {

/// A daemon that held every record of the shard when the row was written.
struct Replica
{
    Base::DaemonId daemon;
    Base::Incarnation incarnation;

    bool operator==(const Replica &) const = default;
};

/// Content of the row `shard/<domain>/<index>`.
struct ShardRow
{
    Base::Epoch epoch;
    Base::DaemonId owner;
    std::vector<Replica> replicas; // contains the owner

    bool operator==(const ShardRow &) const = default;

    const Replica *findReplica(const Base::DaemonId &daemon) const;
};

std::string shardRowKey(const Base::ShardId &shard);
std::string encodeShardRow(const ShardRow &row);
/// Returns std::nullopt if \a text is not a valid shard row.
std::optional<ShardRow> decodeShardRow(std::string_view text);

} // namespace Storage
