// JSON encoding of shard rows.
#include "shardrow.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Storage {

const Replica *ShardRow::findReplica(const Base::DaemonId &daemon) const
{
    for (const Replica &it : replicas) {
        if (it.daemon == daemon)
            return &it;
    }
    return nullptr;
}

std::string shardRowKey(const Base::ShardId &shard)
{
    return fmt::format("shard/{}/{}", shard.domain.value(), shard.index.value());
}

std::string encodeShardRow(const ShardRow &row)
{
    nlohmann::json replicas = nlohmann::json::array();
    for (const Replica &it : row.replicas) {
        replicas.push_back(
            {{"daemon", it.daemon.value()}, {"incarnation", it.incarnation.value()}});
    }
    return nlohmann::json(
               {{"epoch", row.epoch.value()}, {"owner", row.owner.value()}, {"replicas", replicas}})
        .dump();
}

std::optional<ShardRow> decodeShardRow(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object())
        return {};
    try {
        ShardRow row;
        row.epoch = Base::Epoch(json.at("epoch").get<std::uint64_t>());
        row.owner = Base::DaemonId(json.at("owner").get<std::string>());
        for (const auto &it : json.at("replicas")) {
            row.replicas.push_back({Base::DaemonId(it.at("daemon").get<std::string>()),
                                    Base::Incarnation(it.at("incarnation").get<std::uint64_t>())});
        }
        return row;
    } catch (const nlohmann::json::exception &) {
        return {};
    }
}

} // namespace Storage
