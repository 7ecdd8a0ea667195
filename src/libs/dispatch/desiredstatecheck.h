// Checks a desired state before it is sent to the daemons: routes that can never match, limits that
// contradict each other, and what changes from the version in force.
#pragma once

#include "queuetable.h"

#include <string>
#include <vector>

namespace Dispatch {

enum class FindingSeverity {
    Error,   ///< The daemons would refuse the state, or callers would not be served as stated.
    Warning, ///< Has no effect, or is unusual; the state can be used.
};

/// What a finding is about. Its name in the file is known to the adapter that reads the file.
enum class StateMember {
    Version,
    Routes,
    Route,
    RouteName,
    RouteHost,
    RoutePathPrefix,
    RouteService,
    RouteTargetCompletion,
    Service,
    MaxHeaderBytes,
    MaxBodyBytes,
    HeaderTimeout,
};

/// One finding about a desired state.
struct Finding
{
    FindingSeverity severity = FindingSeverity::Error;
    StateMember member = StateMember::Version;
    std::size_t index = 0; // of the route or service, if the member is one or belongs to one
    std::string message;   // what is wrong, with the value, and what is expected
};

/// Limits on callers' requests that a desired state may give; 0: not given.
struct CallerLimits
{
    std::uint64_t maxHeaderBytes = 0;
    std::uint64_t maxBodyBytes = 0;
    Base::Duration headerTimeout{0};
    Base::Duration idleTimeout{0};

    bool operator==(const CallerLimits &) const = default;
};

/// A desired state as it was written: routes in their order, and what the queue table does not
/// need.
struct WrittenState
{
    DesiredState state;
    std::vector<ServiceId> services;
    CallerLimits limits;
};

/// Findings in the order of the routes, then those about limits.
std::vector<Finding> checkDesiredState(const WrittenState &written);

/// Findings about \a next as the successor of \a current, which is in force.
std::vector<Finding> checkSuccessor(const WrittenState &current, const WrittenState &next);

/// One line for each difference from \a current to \a next. Routes are matched by their names.
std::vector<std::string> diffDesiredStates(const WrittenState &current, const WrittenState &next);

} // namespace Dispatch
