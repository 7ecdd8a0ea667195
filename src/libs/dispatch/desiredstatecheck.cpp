// Rules for desired states, and their differences.
#include "desiredstatecheck.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace Dispatch {

/// The smallest job: an empty payload and one step, with their names.
static constexpr std::uint64_t SMALLEST_BODY_BYTES = 64;
/// The request line and a Host header with the longest name.
static constexpr std::uint64_t SMALLEST_HEADER_BYTES = 512;

static long milliseconds(Base::Duration duration)
{
    return static_cast<long>(
        std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

namespace {

/// Collects the findings about one desired state.
class StateCheck
{
public:
    explicit StateCheck(const WrittenState &written)
        : m_written(written)
    {}

    std::vector<Finding> run()
    {
        const std::vector<QueueRoute> &routes = m_written.state.routes;
        if (routes.empty())
            add(FindingSeverity::Error, StateMember::Routes, 0,
                "is empty: every request is refused");
        for (std::size_t i = 0; i < routes.size(); ++i) {
            checkAddress(i, routes[i]);
            checkPolicy(i, routes[i].policy);
        }
        checkNames();
        checkServices();
        checkLimits();
        return std::move(m_findings);
    }

private:
    void add(FindingSeverity severity, StateMember member, std::size_t index, std::string message)
    {
        m_findings.push_back({severity, member, index, std::move(message)});
    }

    void checkAddress(std::size_t index, const QueueRoute &route)
    {
        if (route.host.empty()) {
            add(FindingSeverity::Error, StateMember::RouteHost, index,
                "is missing: no request matches the route");
        } else if (route.host.find(':') != std::string::npos) {
            add(FindingSeverity::Error, StateMember::RouteHost, index,
                fmt::format("\"{}\" has a port: the port of a request is removed before hosts are "
                            "compared, so the route never matches",
                            route.host));
        }
        if (route.pathPrefix.empty() || route.pathPrefix.front() != '/') {
            add(FindingSeverity::Error, StateMember::RoutePathPrefix, index,
                fmt::format("\"{}\" must begin with \"/\": paths do, so the route never matches",
                            route.pathPrefix));
        } else if (route.pathPrefix.find_first_of("?#") != std::string::npos) {
            add(FindingSeverity::Error, StateMember::RoutePathPrefix, index,
                fmt::format("\"{}\" has a query or fragment, which is not part of the path that is "
                            "compared, so the route never matches",
                            route.pathPrefix));
        }
        const auto [it, isNew] =
            m_firstAtAddress.emplace(std::pair(route.host, route.pathPrefix), index);
        if (!isNew) {
            add(FindingSeverity::Error, StateMember::Route, index,
                fmt::format("never matches: route {} has the same host and path prefix \"{}{}\"",
                            it->second, route.host, route.pathPrefix));
        }
    }

    void checkPolicy(std::size_t index, const QueuePolicy &policy)
    {
        if (policy.service.isEmpty()) {
            add(FindingSeverity::Error, StateMember::RouteService, index,
                "is missing: no executor serves the route");
        }
        if (policy.timeout.count() > 0 && policy.targetCompletion > policy.timeout) {
            add(FindingSeverity::Error, StateMember::RouteTargetCompletion, index,
                fmt::format(
                    "{} ms exceed the time-out of {} ms: callers would stop waiting before the "
                    "objective",
                    milliseconds(policy.targetCompletion), milliseconds(policy.timeout)));
        }
    }

    void checkNames()
    {
        std::map<QueueId, std::size_t> known;
        const std::vector<QueueRoute> &routes = m_written.state.routes;
        for (std::size_t i = 0; i < routes.size(); ++i) {
            const QueueId &name = routes[i].policy.queue;
            if (name.isEmpty()) {
                add(FindingSeverity::Warning, StateMember::RouteName, i,
                    "is missing: logs and metrics can't name the queue");
                continue;
            }
            const auto [it, isNew] = known.emplace(name, i);
            if (!isNew) {
                add(FindingSeverity::Warning, StateMember::RouteName, i,
                    fmt::format("\"{}\" is also the name of route {}", name.value(), it->second));
            }
        }
    }

    void checkServices()
    {
        const std::vector<ServiceId> &services = m_written.services;
        const std::vector<QueueRoute> &routes = m_written.state.routes;
        for (std::size_t i = 0; i < routes.size() && !services.empty(); ++i) {
            const ServiceId &service = routes[i].policy.service;
            if (!service.isEmpty()
                && std::find(services.begin(), services.end(), service) == services.end()) {
                add(FindingSeverity::Error, StateMember::RouteService, i,
                    fmt::format("\"{}\" is not one of the services", service.value()));
            }
        }
        for (std::size_t i = 0; i < services.size(); ++i) {
            const bool isUsed = std::any_of(routes.begin(), routes.end(), [&](const auto &it) {
                return it.policy.service == services[i];
            });
            if (!isUsed) {
                add(FindingSeverity::Warning, StateMember::Service, i,
                    fmt::format("\"{}\" is used by no route", services[i].value()));
            }
        }
    }

    void checkLimits()
    {
        const CallerLimits &limits = m_written.limits;
        if (limits.maxBodyBytes > 0 && limits.maxBodyBytes < SMALLEST_BODY_BYTES) {
            add(FindingSeverity::Error, StateMember::MaxBodyBytes, 0,
                fmt::format("{} is less than the smallest job, {} bytes", limits.maxBodyBytes,
                            SMALLEST_BODY_BYTES));
        }
        if (limits.maxHeaderBytes > 0 && limits.maxHeaderBytes < SMALLEST_HEADER_BYTES) {
            add(FindingSeverity::Error, StateMember::MaxHeaderBytes, 0,
                fmt::format("{} is less than the header of any request, {} bytes",
                            limits.maxHeaderBytes, SMALLEST_HEADER_BYTES));
        }
        if (limits.headerTimeout.count() > 0 && limits.idleTimeout.count() > 0
            && limits.headerTimeout > limits.idleTimeout) {
            add(FindingSeverity::Error, StateMember::HeaderTimeout, 0,
                fmt::format("{} ms exceed the idle time-out of {} ms: connections are closed as "
                            "idle before",
                            milliseconds(limits.headerTimeout), milliseconds(limits.idleTimeout)));
        }
    }

    const WrittenState &m_written;
    std::vector<Finding> m_findings;
    std::map<std::pair<std::string, std::string>, std::size_t> m_firstAtAddress;
};

} // namespace

std::vector<Finding> checkDesiredState(const WrittenState &written)
{
    return StateCheck(written).run();
}

std::vector<Finding> checkSuccessor(const WrittenState &current, const WrittenState &next)
{
    if (next.state.version > current.state.version)
        return {};
    return {{FindingSeverity::Error, StateMember::Version, 0,
             fmt::format("{} is not higher than {}, which is in force: daemons would ignore it",
                         next.state.version.value(), current.state.version.value())}};
}

namespace {

/// Collects lines of the form "path: before -> after".
class Differences
{
public:
    template<class T>
    void compare(const std::string &path, const T &before, const T &after)
    {
        if (before != after)
            m_lines.push_back(fmt::format("{}: {} -> {}", path, before, after));
    }
    void add(std::string line) { m_lines.push_back(std::move(line)); }

    std::vector<std::string> take() { return std::move(m_lines); }

private:
    std::vector<std::string> m_lines;
};

} // namespace

static std::map<QueueId, const QueueRoute *> routesByName(const WrittenState &written)
{
    std::map<QueueId, const QueueRoute *> routes;
    for (const QueueRoute &it : written.state.routes)
        routes.emplace(it.policy.queue, &it);
    return routes;
}

static void compareRoutes(const QueueRoute &before, const QueueRoute &after,
                          Differences &differences)
{
    const std::string path = "route " + after.policy.queue.value();
    const QueuePolicy &a = before.policy;
    const QueuePolicy &b = after.policy;
    differences.compare(path + " host", before.host, after.host);
    differences.compare(path + " path prefix", before.pathPrefix, after.pathPrefix);
    differences.compare(path + " service", a.service.value(), b.service.value());
    differences.compare(path + " priority", a.priority, b.priority);
    differences.compare(path + " attempts", a.maxAttempts, b.maxAttempts);
    differences.compare(path + " stretch", a.stretch, b.stretch);
    differences.compare(path + " target completion, ms", milliseconds(a.targetCompletion),
                        milliseconds(b.targetCompletion));
    differences.compare(path + " time-out, ms", milliseconds(a.timeout), milliseconds(b.timeout));
}

std::vector<std::string> diffDesiredStates(const WrittenState &current, const WrittenState &next)
{
    Differences differences;
    differences.compare("version", current.state.version.value(), next.state.version.value());
    const auto before = routesByName(current);
    const auto after = routesByName(next);
    for (const auto &[name, route] : before) {
        if (!after.contains(name)) {
            differences.add(fmt::format("route {} removed: {}{}", name.value(), route->host,
                                        route->pathPrefix));
        }
    }
    for (const auto &[name, route] : after) {
        const auto known = before.find(name);
        if (known == before.end()) {
            differences.add(
                fmt::format("route {} added: {}{}", name.value(), route->host, route->pathPrefix));
        } else {
            compareRoutes(*known->second, *route, differences);
        }
    }
    const CallerLimits &a = current.limits;
    const CallerLimits &b = next.limits;
    differences.compare("limit of headers, bytes", a.maxHeaderBytes, b.maxHeaderBytes);
    differences.compare("limit of bodies, bytes", a.maxBodyBytes, b.maxBodyBytes);
    differences.compare("time-out of headers, ms", milliseconds(a.headerTimeout),
                        milliseconds(b.headerTimeout));
    differences.compare("idle time-out, ms", milliseconds(a.idleTimeout),
                        milliseconds(b.idleTimeout));
    return differences.take();
}

} // namespace Dispatch
