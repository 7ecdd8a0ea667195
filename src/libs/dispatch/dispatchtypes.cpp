// Resource arithmetic and formatting of task ids.
#include "dispatchtypes.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace Dispatch {

std::uint32_t Resources::places(const Resources &shape) const
{
    std::uint32_t n = std::numeric_limits<std::uint32_t>::max();
    const auto bound = [&n](std::uint32_t available, std::uint32_t need) {
        if (need > 0)
            n = std::min(n, available / need);
    };
    bound(cpuMillis, shape.cpuMillis);
    bound(memoryMb, shape.memoryMb);
    bound(gpus, shape.gpus);
    return n;
}

std::string toString(const TaskId &task)
{
    return fmt::format("{}.{}.{}.{}", task.job.value(), task.occurrence, task.step, task.index);
}

} // namespace Dispatch
