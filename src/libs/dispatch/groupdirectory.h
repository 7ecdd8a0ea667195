// What a daemon knows about the load of all groups, and where it sends the tasks of a job.
#pragma once

#include "dispatchtypes.h"

#include <wire/messages.h>

#include <map>
#include <optional>
#include <vector>

namespace Dispatch {

/// What a set of equal tasks needs.
struct PlacementRequest
{
    ServiceId service;
    std::uint32_t priority = 0;
    Resources shape;
    Base::Duration estimate{0};
    std::string requiredLabel;
    std::string preferredRack;
    std::uint32_t count = 0;
};

/// How many tasks go to one group.
struct PlacementShare
{
    GroupId group;
    std::uint32_t count = 0;
    std::uint32_t startable = 0; // of these, for how many there is free room as far as is known
};

/// Answers jobs of many parallel tasks under stale views: free room as last reported, less what
/// this daemon has sent since.
class GroupDirectory
{
public:
    explicit GroupDirectory(Base::FailureDomainId domain);

    void setGroups(const std::map<GroupId, Base::FailureDomainId> &groups);
    void loadReceived(const Wire::GroupLoad &load);
    /// Nothing is known about a group whose owner is lost.
    void forgetLoad(const GroupId &group);

    /// Divides the tasks among the groups: the fastest free executors first, nearer ones before
    /// equal ones; what finds no room goes where it waits the shortest. Empty if no group is known
    /// to have an executor of the service.
    std::vector<PlacementShare> place(const PlacementRequest &request) const;
    /// Remembers that a batch was sent, until a load report includes it.
    void batchSent(const GroupId &group, std::uint64_t sequence, const PlacementRequest &request);

    /// Time until a task of \a priority starts in the group where it waits the shortest. No value
    /// if no executor of the service is known.
    std::optional<Base::Duration> expectedWait(const ServiceId &service,
                                               std::uint32_t priority) const;

private:
    struct Pending
    {
        std::uint64_t sequence = 0;
        PlacementRequest request;
    };

    struct Group
    {
        Base::FailureDomainId domain;
        bool isKnown = false;
        Wire::GroupLoad load;                      // as reported
        std::vector<Wire::ExecutorLoad> executors; // load.executors less m_pending
        std::map<std::pair<ServiceId, std::uint32_t>, double> queued; // with m_pending
        std::vector<Pending> pending; // sent and not in load, in order
    };

    static void apply(Group &group, const PlacementRequest &request);
    static void rebuild(Group &group);
    /// \a added: more work in thousandths of a core times seconds.
    static Base::Duration waitIn(const Group &group, const ServiceId &service,
                                 std::uint32_t priority, double added);
    std::optional<GroupId> shortestQueue(const PlacementRequest &request,
                                         const std::map<GroupId, double> &added) const;

    class Candidates;

    const Base::FailureDomainId m_domain;
    std::map<GroupId, Group> m_groups;
};

} // namespace Dispatch
