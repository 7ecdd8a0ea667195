// Interface to the platform's membership list, which may be out of date.
#pragma once

#include <absl/status/status.h>

#include <functional>
#include <string>
#include <vector>

namespace Storage {

enum class HostState { Live, Leaving, Dead };

/// An entry of the list. Hosts are named as in the manifest's upstreams, or by daemon id.
struct HostEntry
{
    std::string host;
    HostState state = HostState::Live;
};

class MembershipSource
{
public:
    using Callback = std::function<void(const absl::Status &, const std::vector<HostEntry> &)>;

    virtual ~MembershipSource() = default;

    /// Errors: platformUnavailable.
    virtual void fetchHosts(Callback callback) = 0;
};

} // namespace Storage
