// Expected worth of jobs, rejection in proportion and the times after which to try again.
#include "jobadmission.h"

#include "dispatchconstants.h"

#include <base/hash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>

namespace Dispatch {

using FloatSeconds = std::chrono::duration<double>;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Worth of an answer after the objective, relative to one on time.
static constexpr double LATE_WORTH = 0.2;
/// Geometric standard deviations, as logarithms, of the run times of the tasks of a job around
/// their common mean, and of that mean around the estimate.
static constexpr double RUN_TIME_SIGMA = 0.4;
static constexpr double ESTIMATE_SIGMA = 0.4;
/// Standard deviation of a normal distribution over its mean absolute deviation.
static constexpr double SIGMA_PER_DEVIATION = 1.25;
/// A job is rejected below this share of its worth on an idle system. Under overload the queue
/// stands at the wait that is just admitted, so this is the worth of every job that is admitted.
static constexpr double REQUIRED_SHARE = 0.75;
/// A job that was admitted is ended only below this, about the share of an answer that is
/// certainly late: ending it costs messages, and its tasks come before those that arrive now.
static constexpr double HOPELESS_SHARE = 0.25;
/// Time constant of the counts of jobs that were offered and had no chance. Bursts last 4 to 6 s,
/// so it has to act within a few seconds; a daemon gets about one job of priority 2 in a second.
static constexpr FloatSeconds PRESSURE_S{3};
static constexpr double MAX_PRESSURE = 0.5;
/// The highest priority gives up half of what the others do: it is preferred, not exempt.
static constexpr double HIGHEST_PRIORITY_WEIGHT = 0.5;
/// A kind that was not seen for this long makes no claim to room.
static constexpr seconds KIND_RETENTION_S{5};
/// Jobs beyond this multiple of the mean work of their kind are large: about the largest tenth and
/// the fifth below it. They are admitted more readily if they are served less than the others.
static constexpr double LARGE_WORK = 1.3;
/// Weight of the latest job in the means of its kind, and of the earlier ones in the counts.
static constexpr double MEAN_NEWEST_WEIGHT = 0.1;
static constexpr double COUNT_RETENTION = 0.98;
/// Jobs of a class that have to be counted before the class is given an advantage.
static constexpr double MIN_OFFERED = 4;
/// Iterations of the search for the longest wait with which a job is admitted: exact to 1 % of the
/// wait.
static constexpr int WAIT_SEARCH_STEPS = 8;
static constexpr seconds MIN_RETRY_SPREAD_S{1};

struct Node
{
    double x = 0;
    double weight = 0;
};
/// Gauss-Hermite quadrature of the standard normal distribution.
static constexpr std::array<Node, 5> FIVE_NODES = {{{-2.85697, 0.011257},
                                                    {-1.35563, 0.222076},
                                                    {0, 0.533334},
                                                    {1.35563, 0.222076},
                                                    {2.85697, 0.011257}}};
static constexpr std::array<Node, 3> THREE_NODES = {
    {{-1.73205, 1.0 / 6}, {0, 2.0 / 3}, {1.73205, 1.0 / 6}}};

static double inSeconds(Base::Duration duration)
{
    return FloatSeconds(duration).count();
}

static double normalDistribution(double x)
{
    return 0.5 * std::erfc(-x / std::numbers::sqrt2);
}

/// Probability that the last of the tasks ends within \a limit: each run time is the estimate
/// times a factor of the job and one of its own.
static double chanceToEndWithin(const JobProfile &job, const WaitEstimate &estimate, double limit)
{
    const double chain = std::max(inSeconds(job.chain), 1e-3);
    const double tasks = std::max<std::uint32_t>(job.tasks, 1);
    const double sigma = SIGMA_PER_DEVIATION * inSeconds(estimate.deviation);
    const double wait = inSeconds(estimate.wait);
    double chance = 0;
    for (const Node &it : THREE_NODES) {
        const double rest = limit - std::max(wait + it.x * sigma, 0.0);
        if (rest <= 0)
            continue;
        const double ratio = std::log(rest / chain);
        for (const Node &factor : FIVE_NODES) {
            const double one =
                normalDistribution((ratio - factor.x * ESTIMATE_SIGMA) / RUN_TIME_SIGMA);
            chance += it.weight * factor.weight * std::pow(one, tasks);
        }
    }
    return chance;
}

double JobAdmission::expectedWorth(const JobProfile &job, const WaitEstimate &estimate)
{
    const double useful = inSeconds(job.useful);
    const double onTime =
        chanceToEndWithin(job, estimate, std::min(inSeconds(job.objective), useful));
    const double atAll = chanceToEndWithin(job, estimate, useful);
    return onTime + LATE_WORTH * (atAll - onTime);
}

/// Worth with the expected wait relative to that on an idle system.
static double shareOfWorth(const JobProfile &job, const WaitEstimate &estimate)
{
    const double idle = JobAdmission::expectedWorth(job, {});
    return idle > 0 ? JobAdmission::expectedWorth(job, estimate) / idle : 1;
}

static bool isNegligible(const JobProfile &job, Base::Duration wait)
{
    return inSeconds(wait) <= inSeconds(job.useful) * Constants::NEGLIGIBLE_WAIT_SHARE;
}

bool JobAdmission::isLarge(const Kind &kind, const JobProfile &job)
{
    return job.work > LARGE_WORK * kind.typical.work;
}

/// Lower for large jobs if they have been served less than their kind as a whole.
double JobAdmission::requiredShare(const Kind &kind, const JobProfile &job)
{
    if (!isLarge(kind, job) || kind.large.offered < MIN_OFFERED)
        return REQUIRED_SHARE;
    const double served = kind.large.admitted / kind.large.offered;
    const double all = kind.all.admitted / std::max(kind.all.offered, 1.0);
    const double ratio = all > 0 ? std::min(served / all, 1.0) : 1;
    return REQUIRED_SHARE * ratio * ratio;
}

static double mean(double earlier, double latest)
{
    return earlier + MEAN_NEWEST_WEIGHT * (latest - earlier);
}

static Base::Duration mean(Base::Duration earlier, Base::Duration latest)
{
    return std::chrono::duration_cast<Base::Duration>(
        FloatSeconds(mean(inSeconds(earlier), inSeconds(latest))));
}

void JobAdmission::learn(Kind &kind, const JobProfile &job, Base::TimePoint now)
{
    const JobProfile before = kind.typical;
    const bool isNew = kind.lastSeen == Base::TimePoint();
    kind.typical = job;
    kind.lastSeen = now;
    if (isNew)
        return;
    kind.typical.work = mean(before.work, job.work);
    kind.typical.chain = mean(before.chain, job.chain);
    kind.typical.objective = mean(before.objective, job.objective);
    kind.typical.useful = mean(before.useful, job.useful);
    kind.typical.tasks = static_cast<std::uint32_t>(std::lround(mean(before.tasks, job.tasks)));
}

Admission JobAdmission::decide(const JobProfile &job, const WaitEstimate &estimate,
                               Base::TimePoint now)
{
    Kind &kind = m_kinds[{job.service, job.priority}];
    learn(kind, job, now);
    for (SizeClass *it : {&kind.all, &kind.large}) {
        it->offered *= COUNT_RETENTION;
        it->admitted *= COUNT_RETENTION;
    }
    const bool isLargeJob = isLarge(kind, job);
    kind.all.offered += 1;
    kind.recentOffered += 1;
    kind.large.offered += isLargeJob ? 1 : 0;
    if (!isNegligible(job, estimate.wait)
        && shareOfWorth(job, estimate) < requiredShare(kind, job)) {
        kind.recentWithoutChance += 1;
        return Admission::NoChance;
    }
    kind.credit += rejectedShare(job.service, job.priority);
    if (kind.credit >= 1) {
        kind.credit -= 1;
        return Admission::Proportion;
    }
    kind.all.admitted += 1;
    kind.large.admitted += isLargeJob ? 1 : 0;
    return Admission::Admitted;
}

bool JobAdmission::isHopeless(const JobProfile &job, const WaitEstimate &estimate,
                              Base::Duration atAdmission, Base::Duration elapsed)
{
    // In the order of arrival, the task has waited for a part of this.
    WaitEstimate total = estimate;
    total.wait = std::max(estimate.wait, elapsed);
    if (total.wait <= atAdmission || isNegligible(job, elapsed))
        return false;
    total.deviation = std::min(estimate.deviation, total.wait - elapsed);
    return shareOfWorth(job, total) < HOPELESS_SHARE;
}

Base::Duration JobAdmission::retryAfter(const JobProfile &job, const WaitEstimate &estimate) const
{
    WaitEstimate excessive = estimate;
    const auto kind = m_kinds.find({job.service, job.priority});
    const double required =
        kind == m_kinds.end() ? REQUIRED_SHARE : requiredShare(kind->second, job);
    JobProfile served = job;
    // For a job that is rejected for a lower priority, the time until that has room again.
    if (shareOfWorth(job, estimate) >= required) {
        if (const Kind *lower = shortestOfRoom(job.service, job.priority)) {
            served = lower->typical;
            excessive = lower->estimate;
        }
    }
    Base::Duration low{0};
    Base::Duration high = excessive.wait;
    for (int i = 0; i < WAIT_SEARCH_STEPS; ++i) {
        const Base::Duration middle = (low + high) / 2;
        const bool isServed = shareOfWorth(served, {middle, excessive.deviation}) >= required;
        (isServed ? low : high) = middle;
    }
    const Base::Duration wait = excessive.wait - low;
    // Callers that are rejected together return apart.
    constexpr std::uint64_t STEPS = 1024;
    const auto step = static_cast<double>(Base::stableHash(job.job.value()) % STEPS);
    const Base::Duration spread = std::max<Base::Duration>(wait, MIN_RETRY_SPREAD_S);
    const auto delay = wait + std::chrono::duration_cast<Base::Duration>(spread * (step / STEPS));
    return std::max<Base::Duration>(std::chrono::ceil<seconds>(delay), seconds(1));
}

void JobAdmission::updatePressure(const WaitFunction &waitOf, Base::TimePoint now)
{
    if (now - m_lastUpdate < Constants::PRESSURE_INTERVAL_MS)
        return;
    // After a pause, one interval counts.
    const double elapsed =
        std::min(inSeconds(now - m_lastUpdate), 2 * inSeconds(Constants::PRESSURE_INTERVAL_MS));
    m_lastUpdate = now;
    std::erase_if(m_kinds,
                  [now](const auto &it) { return now - it.second.lastSeen > KIND_RETENTION_S; });
    for (auto &[key, kind] : m_kinds) {
        const auto estimate = waitOf(kind.typical);
        kind.estimate = estimate.value_or(WaitEstimate());
        kind.isShortOfRoom = !isNegligible(kind.typical, kind.estimate.wait);
        const double retention = std::exp(-elapsed / PRESSURE_S.count());
        kind.recentOffered *= retention;
        kind.recentWithoutChance *= retention;
        // The added job keeps a single one from setting the share.
        kind.pressure = kind.recentWithoutChance / (kind.recentOffered + 1);
    }
}

/// The lower priority with the greatest pressure among those that are short of room at present;
/// null if there is none.
const JobAdmission::Kind *JobAdmission::shortestOfRoom(const ServiceId &service,
                                                       std::uint32_t priority) const
{
    const Kind *worst = nullptr;
    for (auto it = m_kinds.upper_bound({service, priority});
         it != m_kinds.end() && it->first.first == service; ++it) {
        if (it->second.isShortOfRoom && (!worst || it->second.pressure > worst->pressure))
            worst = &it->second;
    }
    return worst;
}

bool JobAdmission::isHighest(const ServiceId &service, std::uint32_t priority) const
{
    const auto it = m_kinds.lower_bound({service, 0});
    return it == m_kinds.end() || it->first.first != service || it->first.second >= priority;
}

double JobAdmission::rejectedShare(const ServiceId &service, std::uint32_t priority) const
{
    const Kind *lower = shortestOfRoom(service, priority);
    if (!lower)
        return 0;
    return std::min(lower->pressure, MAX_PRESSURE)
           * (isHighest(service, priority) ? HIGHEST_PRIORITY_WEIGHT : 1);
}

} // namespace Dispatch
