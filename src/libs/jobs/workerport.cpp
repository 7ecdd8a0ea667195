// Names of tasks and shards in orders to workers.
#include "workerport.h"

#include <fmt/format.h>

namespace Jobs {

TaskName taskName(const Base::RequestId &request, std::size_t index)
{
    return TaskName(fmt::format("{}/{}#{}", request.team.value(), request.key.value(), index));
}

std::string shardName(const Base::ShardId &shard)
{
    return fmt::format("{}/{}", shard.domain.value(), shard.index.value());
}

} // namespace Jobs
