// Load of the groups and placement of tasks.
#include "groupdirectory.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Dispatch {

/// Relative speed of an executor in another failure domain: two link delays of 1.4 ms on a task of
/// 60 ms, and traffic between failure domains is expensive.
static constexpr double REMOTE_SPEED = 0.93;
/// Relative speed of an executor outside the preferred rack, same as in ExecutorGroup.
static constexpr double OTHER_RACK_SPEED = 0.5;
/// With this share of its processors free, a group is not busy.
static constexpr double IDLE_FREE_SHARE = 0.25;
/// Added to the wait in other failure domains, so that the own one is chosen if queues are equal.
static constexpr double REMOTE_WAIT_S = 1e-3;

static Resources freeResources(const Wire::ExecutorLoad &executor)
{
    return {executor.freeCpuMillis, executor.freeMemoryMb, executor.freeGpus};
}

static bool isEligible(const Wire::ExecutorLoad &executor, const PlacementRequest &request)
{
    return executor.service == request.service.value()
           && (request.requiredLabel.empty() || executor.kind == request.requiredLabel)
           && request.shape.fits(freeResources(executor));
}

static double speedFor(const Wire::ExecutorLoad &executor, const PlacementRequest &request)
{
    const double speed = executor.speedPercent / 100.0;
    const bool isOtherRack =
        !request.preferredRack.empty() && executor.rack != request.preferredRack;
    return isOtherRack ? speed * OTHER_RACK_SPEED : speed;
}

static void reserve(Wire::ExecutorLoad &executor, const Resources &shape)
{
    const Resources rest = freeResources(executor).minus(shape);
    executor.freeCpuMillis = rest.cpuMillis;
    executor.freeMemoryMb = rest.memoryMb;
    executor.freeGpus = rest.gpus;
}

/// Spreads consecutive numbers over the whole range (the finalizer of SplitMix64).
static std::uint64_t mixed(std::uint64_t n)
{
    n = (n ^ (n >> 30)) * 0xbf58476d1ce4e5b9ULL;
    n = (n ^ (n >> 27)) * 0x94d049bb133111ebULL;
    return n ^ (n >> 31);
}

static double workOf(const PlacementRequest &request)
{
    return request.shape.cpuMillis * std::chrono::duration<double>(request.estimate).count();
}

GroupDirectory::GroupDirectory(Base::FailureDomainId domain, const DispatchOptions &options)
    : m_domain(std::move(domain))
    , m_options(options)
{}

void GroupDirectory::setGroups(const std::map<GroupId, Base::FailureDomainId> &groups)
{
    for (const auto &[id, domain] : groups)
        m_groups[id].domain = domain;
}

void GroupDirectory::setExecutors(const std::map<GroupId, std::vector<ExecutorInfo>> &executors)
{
    ++m_executorsVersion;
    for (const auto &[id, list] : executors) {
        const auto group = m_groups.find(id);
        if (group == m_groups.end())
            continue;
        std::vector<ExecutorClass> &classes = group->second.classes.emplace();
        for (const ExecutorInfo &it : list) {
            ExecutorClass entry{it.service, it.kind, it.capacity};
            if (std::find(classes.begin(), classes.end(), entry) == classes.end())
                classes.push_back(std::move(entry));
        }
    }
}

/// Whether some executor of the group could run a task of \a request if nothing else ran there.
bool GroupDirectory::isCapable(const Group &group, const PlacementRequest &request)
{
    if (!group.classes)
        return true;
    bool hasClass = false; // of the service
    for (const ExecutorClass &it : *group.classes) {
        if (it.service != request.service)
            continue;
        hasClass = true;
        if ((request.requiredLabel.empty() || it.kind == request.requiredLabel)
            && request.shape.fits(it.capacity)) {
            return true;
        }
    }
    // An owner may have read registrations that this daemon has not read yet.
    return !hasClass
           && std::any_of(group.executors.begin(), group.executors.end(),
                          [&](const auto &it) { return isEligible(it, request); });
}

bool GroupDirectory::hasCapableExecutor(const PlacementRequest &request) const
{
    bool hasClass = false; // of the service
    for (const auto &[id, group] : m_groups) {
        if (isCapable(group, request))
            return true;
        hasClass |= std::any_of(group.classes->begin(), group.classes->end(),
                                [&](const auto &it) { return it.service == request.service; });
    }
    return !hasClass;
}

/// Reserves resources for \a request as the owner would: on the fastest free executors.
void GroupDirectory::apply(Group &group, const PlacementRequest &request)
{
    for (std::uint32_t i = 0; i < request.count; ++i) {
        Wire::ExecutorLoad *best = nullptr;
        for (Wire::ExecutorLoad &it : group.executors) {
            if (isEligible(it, request)
                && (!best || speedFor(it, request) > speedFor(*best, request))) {
                best = &it;
            }
        }
        if (best)
            reserve(*best, request.shape);
        else
            group.queued[{request.service, request.priority}] += workOf(request);
    }
}

void GroupDirectory::rebuild(Group &group)
{
    group.executors = group.load.executors;
    group.queued.clear();
    for (const Wire::QueueLoad &it : group.load.queues)
        group.queued[{ServiceId(it.service), it.priority}] +=
            static_cast<double>(it.cpuMillisSeconds);
    for (const Pending &it : group.pending)
        apply(group, it.request);
}

void GroupDirectory::loadReceived(const Wire::GroupLoad &load)
{
    const auto it = m_groups.find(GroupId(load.group));
    if (it == m_groups.end())
        return;
    Group &group = it->second;
    if (group.hasLoad && load.token < group.load.token)
        return;
    group.hasLoad = true;
    group.load = load;
    std::erase_if(group.pending,
                  [&load](const Pending &p) { return p.sequence <= load.batchesSeen; });
    rebuild(group);
}

void GroupDirectory::forgetLoad(const GroupId &id)
{
    const auto it = m_groups.find(id);
    if (it == m_groups.end())
        return;
    it->second.hasLoad = false;
    it->second.executors.clear();
    it->second.pending.clear();
    it->second.queued.clear();
    m_errors.forget(id);
}

static double capacityOf(const std::vector<Wire::ExecutorLoad> &executors, const ServiceId &service)
{
    double capacity = 0;
    for (const Wire::ExecutorLoad &it : executors) {
        if (it.service == service.value())
            capacity += it.cpuMillis * (it.speedPercent / 100.0);
    }
    return capacity;
}

Base::Duration GroupDirectory::waitIn(const Group &group, const ServiceId &service,
                                      std::uint32_t priority, double added)
{
    const double capacity = capacityOf(group.load.executors, service);
    if (capacity <= 0)
        return std::chrono::hours(1);
    double work = added;
    for (const auto &[key, queued] : group.queued) {
        if (key.first == service && key.second <= priority)
            work += queued;
    }
    return std::chrono::duration_cast<Base::Duration>(
        std::chrono::duration<double>(work / capacity));
}

static bool hasService(const std::vector<Wire::ExecutorLoad> &executors, const ServiceId &service)
{
    return std::any_of(executors.begin(), executors.end(),
                       [&service](const auto &it) { return it.service == service.value(); });
}

/// Free resources of the eligible executors, fastest first.
class GroupDirectory::Candidates
{
public:
    Candidates(const std::map<GroupId, Group> &groups, const Base::FailureDomainId &domain,
               const PlacementRequest &request)
        : m_shape(request.shape)
    {
        std::uint64_t groupNumber = request.seed;
        for (const auto &[id, group] : groups) {
            if (!group.hasLoad)
                continue;
            const std::uint64_t groupOrder = request.seed == 0 ? 0 : mixed(++groupNumber);
            const double localityFactor = group.domain == domain ? 1 : REMOTE_SPEED;
            for (const Wire::ExecutorLoad &it : group.executors) {
                if (isEligible(it, request))
                    m_heap.push_back({speedFor(it, request) * localityFactor, groupOrder,
                                      m_heap.size(), &id, freeResources(it)});
            }
        }
        std::make_heap(m_heap.begin(), m_heap.end());
    }

    /// Reserves the resources for one task and returns the group, or null if nothing is free.
    const GroupId *take()
    {
        if (m_heap.empty())
            return nullptr;
        std::pop_heap(m_heap.begin(), m_heap.end());
        Entry &best = m_heap.back();
        const GroupId *group = best.group;
        best.available = best.available.minus(m_shape);
        if (m_shape.fits(best.available))
            std::push_heap(m_heap.begin(), m_heap.end());
        else
            m_heap.pop_back();
        return group;
    }

private:
    struct Entry
    {
        double speed = 0;
        std::uint64_t groupOrder = 0; // of equally fast executors, those of one group are used
        std::size_t order = 0;        // of these the first
        const GroupId *group = nullptr;
        Resources available;

        bool operator<(const Entry &other) const
        {
            return std::tie(speed, other.groupOrder, other.order)
                   < std::tie(other.speed, groupOrder, order);
        }
    };

    const Resources m_shape;
    std::vector<Entry> m_heap;
};

/// Wait for a task of \a request in \a group: as the group's owner forecasts it, with the work that
/// this daemon has sent since. By the queued work if the owner states no forecast: it is of an
/// older version, or nothing waits there.
Base::Duration GroupDirectory::forecastIn(const Group &group, const PlacementRequest &request)
{
    const Wire::WaitForecast *best = nullptr;
    for (const Wire::WaitForecast &it : group.load.forecasts) {
        if (it.service != request.service.value() || it.priority != request.priority)
            continue;
        // The smallest size that is not smaller than the task, or else the largest.
        const bool isCloser =
            !best
            || (best->cpuMillis < request.shape.cpuMillis
                    ? it.cpuMillis > best->cpuMillis
                    : it.cpuMillis >= request.shape.cpuMillis && it.cpuMillis < best->cpuMillis);
        if (isCloser)
            best = &it;
    }
    if (!best)
        return waitIn(group, request.service, request.priority, 0);
    double reported = 0;
    for (const Wire::QueueLoad &it : group.load.queues) {
        if (it.service == request.service.value() && it.priority <= request.priority)
            reported += static_cast<double>(it.cpuMillisSeconds);
    }
    const Base::Duration sentSince = waitIn(group, request.service, request.priority, -reported);
    return std::chrono::milliseconds(best->waitMs) + std::max(sentSince, Base::Duration(0));
}

/// Free share of the group's processors.
double GroupDirectory::freeShare(const Group &group, const ServiceId &service)
{
    double total = 0;
    double available = 0;
    for (const Wire::ExecutorLoad &it : group.executors) {
        if (it.service != service.value())
            continue;
        total += it.cpuMillis;
        available += it.freeCpuMillis;
    }
    return total > 0 ? available / total : 0;
}

QueueChoice GroupDirectory::queueChoice(const PlacementRequest &request) const
{
    std::vector<QueueChoice::Option> options;
    for (const auto &[id, group] : m_groups) {
        if (!group.hasLoad || !hasService(group.load.executors, request.service)
            || !isCapable(group, request)) {
            continue;
        }
        options.push_back({id, group.domain != m_domain, forecastIn(group, request),
                           m_errors.at({id, request.priority, true}, request.time).offset,
                           capacityOf(group.load.executors, request.service)});
    }
    return {std::move(options), request.seed};
}

/// The group in which a task of \a request waits the shortest, given the queued work and \a added.
std::optional<GroupId> GroupDirectory::shortestQueue(const PlacementRequest &request,
                                                     const std::map<GroupId, double> &added) const
{
    std::optional<double> shortest;
    std::optional<GroupId> best;
    for (const auto &[id, group] : m_groups) {
        if (!group.hasLoad || !hasService(group.load.executors, request.service)
            || !isCapable(group, request)) {
            continue;
        }
        const auto extra = added.find(id);
        const double wait =
            std::chrono::duration<double>(waitIn(group, request.service, request.priority,
                                                 extra == added.end() ? 0 : extra->second))
                .count()
            + (group.domain == m_domain ? 0 : REMOTE_WAIT_S);
        if (!shortest || wait < *shortest) {
            shortest = wait;
            best = id;
        }
    }
    return best;
}

std::vector<PlacementShare> GroupDirectory::place(const PlacementRequest &request) const
{
    std::map<GroupId, PlacementShare> shares;
    Candidates candidates(m_groups, m_domain, request);
    std::map<GroupId, double> added; // work queued by this call
    std::optional<QueueChoice> choice;
    for (std::uint32_t i = 0; i < request.count; ++i) {
        if (const GroupId *group = candidates.take()) {
            PlacementShare &share = shares[*group];
            ++share.count;
            ++share.startable;
            continue;
        }
        if (m_options.admission == AdmissionPolicy::Forecast) {
            if (!choice)
                choice = queueChoice(request);
            const auto chosen = choice->next(workOf(request));
            if (!chosen)
                break;
            PlacementShare &share = shares[chosen->group];
            ++share.count;
            share.forecast = std::max(share.forecast, chosen->forecast);
            continue;
        }
        const auto group = shortestQueue(request, added);
        if (!group)
            break;
        added[*group] += workOf(request);
        ++shares[*group].count;
    }
    std::vector<PlacementShare> result;
    for (auto &[id, share] : shares) {
        share.group = id;
        result.push_back(share);
    }
    return result;
}

std::optional<WaitEstimate> GroupDirectory::estimateWait(const PlacementRequest &request) const
{
    std::optional<WaitEstimate> longest;
    for (const PlacementShare &it : place(request)) {
        const bool isQueued = it.startable < it.count;
        const auto error = m_errors.at({it.group, request.priority, isQueued}, request.time);
        // On a group that is clearly not busy, errors of the last burst don't count.
        const bool isIdle =
            !isQueued && freeShare(m_groups.at(it.group), request.service) >= IDLE_FREE_SHARE;
        WaitEstimate estimate;
        if (!isIdle)
            estimate = {std::max(it.forecast + error.offset, Base::Duration(0)), error.deviation};
        if (!longest || estimate.wait > longest->wait)
            longest = estimate;
    }
    return longest;
}

WaitEstimate GroupDirectory::estimateWaitIn(const GroupId &id,
                                            const PlacementRequest &request) const
{
    const auto it = m_groups.find(id);
    if (it == m_groups.end() || !it->second.hasLoad)
        return {};
    const auto error = m_errors.at({id, request.priority, true}, request.time);
    return {std::max(forecastIn(it->second, request) + error.offset, Base::Duration(0)),
            error.deviation};
}

void GroupDirectory::batchSent(const GroupId &id, std::uint64_t sequence,
                               const PlacementRequest &request)
{
    const auto it = m_groups.find(id);
    if (it == m_groups.end() || !it->second.hasLoad)
        return;
    it->second.pending.push_back({sequence, request});
    apply(it->second, request);
}

std::optional<Base::Duration> GroupDirectory::expectedWait(const ServiceId &service,
                                                           std::uint32_t priority) const
{
    std::optional<Base::Duration> shortest;
    for (const auto &[id, group] : m_groups) {
        if (!group.hasLoad || !hasService(group.load.executors, service))
            continue;
        const Base::Duration wait = waitIn(group, service, priority, 0);
        shortest = shortest ? std::min(*shortest, wait) : wait;
    }
    return shortest;
}

} // namespace Dispatch
