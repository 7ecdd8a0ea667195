// The manifest: request kinds, upstreams and teams as declared by the operators.
#pragma once

#include <base/ids.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Manifest {

/// Resources required by one task, or provided by an upstream to all its tasks together.
struct Resources
{
    double processors = 0;   // cores
    double memoryMb = 0;     // mebibytes
    double accelerators = 0; // devices

    bool operator==(const Resources &) const = default;
};

/// A kind of request that callers may submit.
struct Kind
{
    Base::KindId id;
    bool job = false;        // several tasks that share one answer
    bool repeatable = false; // single requests only; never set for jobs
    std::chrono::milliseconds deadline{0};
    std::chrono::milliseconds declaredRunTime{0}; // of one task; a hint
    Resources resources;                          // of one task
    std::vector<Base::UpstreamGroupId> upstreamGroups;
    bool duplicateStragglers = false; // repeatable kinds only

    bool operator==(const Kind &) const = default;
};

/// An executor of tasks.
struct Upstream
{
    Base::UpstreamId id;
    Base::UpstreamGroupId group;
    Base::FailureDomainId domain;
    std::string url;  // http://address:port
    std::string host; // name in the membership list
    std::string rack;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    Resources resources;
    bool fencing = true; // refuses older epochs and supports revoke

    bool operator==(const Upstream &) const = default;
};

/// A group of callers with a scheduling weight and quotas.
struct Team
{
    Base::TeamId id;
    double weight = 1;
    std::uint32_t maxConcurrentJobs = 0;
    std::uint32_t maxQueuedTasks = 0;

    bool operator==(const Team &) const = default;
};

/// Trade-off between response time and wasted messages.
struct Objective
{
    double wastedMessageCostMs = 0; // response time equivalent to one wasted message

    bool operator==(const Objective &) const = default;
};

/// One revision of the manifest. Immutable once accepted.
struct Manifest
{
    Base::Revision revision; // starts at 1
    std::vector<Base::FailureDomainId> domains;
    std::uint32_t shardsPerDomain = 0;
    std::map<Base::KindId, Kind> kinds;
    std::map<Base::UpstreamId, Upstream> upstreams;
    std::map<Base::TeamId, Team> teams;
    Objective objective;

    bool operator==(const Manifest &) const = default;
};

/// The shard of a request: a pure function of its identity and of the manifest's domains and
/// shardsPerDomain, which never change between revisions.
Base::ShardId shardOf(const Manifest &manifest, const Base::RequestId &request);

} // namespace Manifest
