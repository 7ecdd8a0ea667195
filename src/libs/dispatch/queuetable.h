// The queues of the desired state in force, and the choice among them.
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
    std::uint32_t maxBodyBytes = 0; // 0: no bound stated
};

/// Holds the highest version that was ever applied; never goes back.
class QueueTable
{
public:
    struct Match
    {
        const QueueRoute *route = nullptr;
        std::string_view rest; // of the path, after the prefix
    };

    /// Returns false, and keeps what is in force, if \a state is not newer.
    bool apply(DesiredState state);
    bool isEmpty() const { return m_state.version.value() == 0; }
    Base::Revision version() const { return m_state.version; }
    std::uint32_t maxBodyBytes() const { return m_state.maxBodyBytes; }

    /// The route of \a host with the longest prefix of \a path.
    std::optional<Match> match(std::string_view host, std::string_view path) const;

private:
    DesiredState m_state; // routes sorted by host, then by falling length of the prefix
};

} // namespace Dispatch
