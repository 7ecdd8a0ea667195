// Indices that the parts of the scheduler use in place of textual ids.
#pragma once

#include <base/ids.h>

namespace Scheduling {

using TeamIndex = Base::Number<struct TeamIndexTag>;
using KindIndex = Base::Number<struct KindIndexTag>;
using UpstreamIndex = Base::Number<struct UpstreamIndexTag>;
/// Tasks of one kind that exclude the same upstreams.
using GroupIndex = Base::Number<struct GroupIndexTag>;

/// Single requests, which a person waits for, come before the tasks of jobs.
enum class TaskClass { Single, Job };

/// The element of \a container at \a index, which may be any Base::Number.
template<class Container, class Index>
decltype(auto) at(Container &container, Index index)
{
    return container[static_cast<std::size_t>(index.value())];
}

} // namespace Scheduling
