// Indices that are used inside the scheduler in place of textual ids.
#pragma once

#include <base/ids.h>

namespace Scheduling {

using TeamIndex = Base::Number<struct TeamIndexTag>;
using KindIndex = Base::Number<struct KindIndexTag>;
using UpstreamIndex = Base::Number<struct UpstreamIndexTag>;
/// Identifies the queued tasks of one kind that exclude the same upstreams.
using TaskGroupIndex = Base::Number<struct TaskGroupIndexTag>;

/// Priority classes, highest first: interactive single requests, then the tasks of jobs.
enum class TaskClass { Single, Job };

/// Returns the element of \a container at \a index, which may be any Base::Number.
template<class Container, class Index>
decltype(auto) at(Container &container, Index index)
{
    return container[static_cast<std::size_t>(index.value())];
}

} // namespace Scheduling
