// Routes requests to the queues of the current desired state.
#pragma once

#include "dispatchtypes.h"

#include <optional>
#include <string_view>

namespace Dispatch {

struct QueueRoute
{
    std::string host;
    std::string pathPrefix;
    QueuePolicy policy;
};

struct DesiredState
{
    Base::Revision version;
    std::vector<QueueRoute> routes;
    std::uint32_t maxBodyBytes = 0; // 0: unlimited
};

/// Holds the desired state with the highest version applied so far; never reverts to a lower one.
class QueueTable
{
public:
    struct Match
    {
        const QueueRoute *route = nullptr;
        std::string_view rest; // part of the path after the prefix
    };

    /// Returns false, and keeps the current state, if \a state is not newer.
    bool apply(DesiredState state);
    bool isEmpty() const { return m_state.version.value() == 0; }
    Base::Revision version() const { return m_state.version; }
    std::uint32_t maxBodyBytes() const { return m_state.maxBodyBytes; }

    /// The route of \a host whose prefix is the longest that matches \a path.
    std::optional<Match> match(std::string_view host, std::string_view path) const;

private:
    DesiredState m_state; // routes sorted by host, then by descending length of the prefix
};

} // namespace Dispatch
