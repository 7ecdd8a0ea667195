// Versions of the desired state and route matching.
#include "queuetable.h"

#include <algorithm>
#include <utility>

namespace Dispatch {

bool QueueTable::apply(DesiredState state)
{
    if (state.version <= m_state.version)
        return false;
    std::stable_sort(state.routes.begin(), state.routes.end(),
                     [](const QueueRoute &a, const QueueRoute &b) {
                         if (a.host != b.host)
                             return a.host < b.host;
                         return a.pathPrefix.size() > b.pathPrefix.size();
                     });
    m_state = std::move(state);
    return true;
}

std::optional<QueueTable::Match> QueueTable::match(std::string_view host,
                                                   std::string_view path) const
{
    // Routes name hosts without a port.
    const std::size_t colon = host.rfind(':');
    if (colon != std::string_view::npos)
        host = host.substr(0, colon);
    auto it = std::lower_bound(
        m_state.routes.begin(), m_state.routes.end(), host,
        [](const QueueRoute &route, std::string_view name) { return route.host < name; });
    for (; it != m_state.routes.end() && it->host == host; ++it) {
        if (path.substr(0, it->pathPrefix.size()) == it->pathPrefix)
            return Match{&*it, path.substr(it->pathPrefix.size())};
    }
    return std::nullopt;
}

} // namespace Dispatch
