// Tracks the load of all groups and decides to which groups the tasks of a job are sent.
#pragma once

#include "dispatchoptions.h"
#include "dispatchtypes.h"
#include "forecasterrors.h"
#include "jobadmission.h"
#include "queuechoice.h"

#include <wire/messages.h>

#include <map>
#include <optional>
#include <vector>

namespace Dispatch {

/// Requirements of a set of identical tasks.
struct PlacementRequest
{
    ServiceId service;
    std::uint32_t priority = 0;
    Resources shape;
    Base::Duration estimate{0};
    std::string requiredLabel;
    std::string preferredRack;
    std::uint32_t count = 0;
    Base::TimePoint time;   // now; used with forecasts only
    std::uint64_t seed = 0; // of the choice between similar groups; used with forecasts only
};

/// Number of tasks assigned to one group.
struct PlacementShare
{
    GroupId group;
    std::uint32_t count = 0;
    std::uint32_t startable = 0; // of these, can start at once according to the last known load
    /// Longest wait that is forecast for one of these tasks, not corrected by the learned error.
    Base::Duration forecast{0};
};

/// Places parallel tasks based on load reports that may be stale: uses the free resources as last
/// reported, minus those of the batches that this daemon has sent since.
class GroupDirectory
{
public:
    explicit GroupDirectory(Base::FailureDomainId domain, const DispatchOptions &options = {});

    void setGroups(const std::map<GroupId, Base::FailureDomainId> &groups);
    /// Sets the registered executors of all groups.
    void setExecutors(const std::map<GroupId, std::vector<ExecutorInfo>> &executors);
    /// Changes with each call of setExecutors().
    std::uint64_t executorsVersion() const { return m_executorsVersion; }
    /// Whether a known executor could run a task of \a request if nothing else ran there. True as
    /// long as the executors of some group are not known, and if there is none of the service: they
    /// may all be restarting.
    bool hasCapableExecutor(const PlacementRequest &request) const;
    void loadReceived(const Wire::GroupLoad &load);
    /// Discards the load of a group whose owner is lost or has changed, as it is no longer known.
    void forgetLoad(const GroupId &group);

    /// Distributes the tasks over the groups: the fastest free executors first, those of the own
    /// failure domain before equally fast ones elsewhere. Tasks that cannot start at once go to the
    /// group with the shortest wait among those that have an executor for them. Empty if no group
    /// is known to have one.
    std::vector<PlacementShare> place(const PlacementRequest &request) const;
    /// Accounts for a batch that was sent, until a load report includes it.
    void batchSent(const GroupId &group, std::uint64_t sequence, const PlacementRequest &request);

    /// Time until a task of \a priority starts in the group with the shortest wait. No value if no
    /// executor of the service is known.
    std::optional<Base::Duration> expectedWait(const ServiceId &service,
                                               std::uint32_t priority) const;
    /// Time until the last task of \a request starts if they are placed now, by the forecasts of
    /// the groups and their learned errors. No value if no executor of the service is known.
    std::optional<WaitEstimate> estimateWait(const PlacementRequest &request) const;
    /// The same for a task that is queued in group \a id; 0 if its load is not known.
    WaitEstimate estimateWaitIn(const GroupId &id, const PlacementRequest &request) const;
    /// Errors of the forecasts that place() gives.
    ForecastErrors &errors() { return m_errors; }
    const ForecastErrors &errors() const { return m_errors; }

private:
    struct Pending
    {
        std::uint64_t sequence = 0;
        PlacementRequest request;
    };

    /// Executors that can run the same tasks.
    struct ExecutorClass
    {
        ServiceId service;
        std::string kind;
        Resources capacity;

        bool operator==(const ExecutorClass &) const = default;
    };

    struct Group
    {
        Base::FailureDomainId domain;
        std::optional<std::vector<ExecutorClass>> classes; // of the registered executors; none yet
        bool hasLoad = false;
        Wire::GroupLoad load;                      // as reported
        std::vector<Wire::ExecutorLoad> executors; // load.executors minus pending
        std::map<std::pair<ServiceId, std::uint32_t>, double> queued; // including pending
        std::vector<Pending> pending; // sent but not yet in load, in the order of sending
    };

    static bool isCapable(const Group &group, const PlacementRequest &request);
    static void apply(Group &group, const PlacementRequest &request);
    static void rebuild(Group &group);
    /// Expected wait in \a group. \a added is additional work, in thousandths of a core times
    /// seconds.
    static Base::Duration waitIn(const Group &group, const ServiceId &service,
                                 std::uint32_t priority, double added);
    static Base::Duration forecastIn(const Group &group, const PlacementRequest &request);
    static double freeShare(const Group &group, const ServiceId &service);
    QueueChoice queueChoice(const PlacementRequest &request) const;
    std::optional<GroupId> shortestQueue(const PlacementRequest &request,
                                         const std::map<GroupId, double> &added) const;

    class Candidates;

    const Base::FailureDomainId m_domain;
    const DispatchOptions m_options;
    std::map<GroupId, Group> m_groups;
    ForecastErrors m_errors;
    std::uint64_t m_executorsVersion = 0;
};

} // namespace Dispatch
