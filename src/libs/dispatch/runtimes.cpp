// Bias, spread and longest run times by kind; rules for stragglers.
#include "runtimes.h"

#include "dispatchconstants.h"

#include <algorithm>
#include <cmath>

namespace Dispatch {

/// Weight of the latest run in the bias and the spread.
static constexpr double NEWEST_WEIGHT = 0.02;
/// Residuals are limited to this, so that single long runs do not move the bias.
static constexpr double MAX_BIAS_RESIDUAL = 1;
static constexpr double MAX_SPREAD_RESIDUAL = 1.5;
/// Run times and estimates each vary by e^0.4 at one standard deviation.
static constexpr double DEFAULT_VARIANCE = 2 * 0.4 * 0.4;
/// A run is examined when it is this many standard deviations behind.
static constexpr double EXAMINED_DEVIATIONS = 3;
/// Ratio from which a run counts as far behind when its executor is judged: two standard deviations
/// of the default spread.
static constexpr double BEHIND_RATIO = 3;
/// And this much later than expected: the owner's own lag alone must not make short runs late.
static constexpr std::chrono::milliseconds BEHIND_MIN_MS{100};
/// Number of runs that must have ended far behind, if none is active that is.
static constexpr int SLOW_ENDS = 2;
/// Assumed ratio of the longest runs until it is known: above the seven times of inherently long
/// tasks.
static constexpr double DEFAULT_LONGEST = 8;
/// Runs may exceed the longest known one by this factor.
static constexpr double LONGEST_MARGIN = 1.25;
/// Decay of the longest ratio with each run; it halves within 350 runs, in which ten inherently
/// long ones are expected where 3 % are.
static constexpr double LONGEST_DECAY = 0.998;
static constexpr double MAX_LONGEST = 30;
/// A profile from fewer runs is not published, and its longest ratio is not used.
static constexpr std::uint64_t MIN_PROFILE_RUNS = 50;
/// Limits of what is believed of a report.
static constexpr double MAX_REPORTED_BIAS = 20;
static constexpr double MAX_REPORTED_SPREAD = 5;
static constexpr std::size_t MAX_PROFILES = 64;

const char *toString(StragglerCause cause)
{
    switch (cause) {
    case StragglerCause::None:
        break;
    case StragglerCause::Estimate:
        return "estimate";
    case StragglerCause::Executor:
        return "executor";
    case StragglerCause::Longest:
        return "longest";
    }
    return "none";
}

static Base::Duration scaled(Base::Duration duration, double factor)
{
    return std::chrono::duration_cast<Base::Duration>(duration * factor);
}

static bool isBeyond(const Run &run, double ratio, Base::TimePoint now)
{
    return now - run.since
           >= std::max<Base::Duration>(Constants::STRAGGLER_MIN_MS, scaled(run.expected, ratio));
}

double EstimatedRunTimes::bias(const RunKind &kind) const
{
    const auto it = m_bias.find(kind.priority);
    return it == m_bias.end() ? 0 : it->second;
}

void EstimatedRunTimes::runEnded(const RunKind &kind, double residual, bool)
{
    m_bias[kind.priority] +=
        NEWEST_WEIGHT * std::clamp(residual, -MAX_BIAS_RESIDUAL, MAX_BIAS_RESIDUAL);
}

StragglerCause EstimatedRunTimes::check(const RunKind &, const TaskId &, const Run &run,
                                        const ExecutorState &, Base::TimePoint now) const
{
    return isBeyond(run, Constants::STRAGGLER_FACTOR, now) ? StragglerCause::Estimate
                                                           : StragglerCause::None;
}

static bool isFarBehind(const Run &run, Base::TimePoint now)
{
    if (run.state != RunState::Running || run.expected.count() == 0)
        return false;
    const Base::Duration elapsed = now - run.since;
    return elapsed >= scaled(run.expected, BEHIND_RATIO) && elapsed >= run.expected + BEHIND_MIN_MS;
}

bool isExecutorAtFault(const ExecutorState &executor, const JobId &job, Base::TimePoint since,
                       Base::TimePoint now)
{
    int slowEnds = 0;
    for (const EndedPace &it : executor.recentEnds()) {
        if (it.job == job || it.time < since)
            continue;
        if (it.ratio < BEHIND_RATIO)
            return false;
        ++slowEnds;
    }
    const bool isOtherBehind =
        std::any_of(executor.runs().begin(), executor.runs().end(), [&](const auto &it) {
            return it.first.job != job && isFarBehind(it.second, now);
        });
    return isOtherBehind || slowEnds >= SLOW_ENDS;
}

LearnedRunTimes::Profile LearnedRunTimes::defaultProfile()
{
    Profile profile;
    profile.variance = DEFAULT_VARIANCE;
    return profile;
}

LearnedRunTimes::Profile LearnedRunTimes::profileOf(const RunKind &kind) const
{
    const auto it = m_profiles.find(kind);
    return it == m_profiles.end() ? defaultProfile() : it->second;
}

double LearnedRunTimes::bias(const RunKind &kind) const
{
    return profileOf(kind).bias;
}

void LearnedRunTimes::runEnded(const RunKind &kind, double residual, bool isHealthy)
{
    Profile &profile = m_profiles.try_emplace(kind, defaultProfile()).first->second;
    const double ratio = std::exp(residual + profile.bias);
    profile.bias += NEWEST_WEIGHT * std::clamp(residual, -MAX_BIAS_RESIDUAL, MAX_BIAS_RESIDUAL);
    if (!isHealthy)
        return;
    const double deviation = std::clamp(residual, -MAX_SPREAD_RESIDUAL, MAX_SPREAD_RESIDUAL);
    profile.variance += NEWEST_WEIGHT * (deviation * deviation - profile.variance);
    profile.longest = std::min(std::max(profile.longest * LONGEST_DECAY, ratio), MAX_LONGEST);
    ++profile.runs;
}

StragglerCause LearnedRunTimes::check(const RunKind &kind, const TaskId &task, const Run &run,
                                      const ExecutorState &executor, Base::TimePoint now) const
{
    const Profile profile = profileOf(kind);
    const double examined = std::clamp(std::exp(EXAMINED_DEVIATIONS * std::sqrt(profile.variance)),
                                       BEHIND_RATIO, Constants::STRAGGLER_FACTOR);
    if (!isBeyond(run, examined, now))
        return StragglerCause::None;
    if (isExecutorAtFault(executor, task.job, run.since + run.expected, now))
        return StragglerCause::Executor;
    // The task is long by itself if an earlier run of it was as well.
    if (run.isRepeated)
        return StragglerCause::None;
    const bool isKnown =
        profile.longest > 0 && (profile.isRestored || profile.runs >= MIN_PROFILE_RUNS);
    const double longest = isKnown ? profile.longest : std::max(profile.longest, DEFAULT_LONGEST);
    // run.expected contains the bias, the longest ratio does not.
    const double limit =
        std::max(longest * LONGEST_MARGIN / std::exp(profile.bias), Constants::STRAGGLER_FACTOR);
    return isBeyond(run, limit, now) ? StragglerCause::Longest : StragglerCause::None;
}

static std::uint32_t toPercent(double value)
{
    return static_cast<std::uint32_t>(std::lround(value * 100));
}

std::vector<Wire::RunTimeProfile> LearnedRunTimes::profiles() const
{
    std::vector<Wire::RunTimeProfile> list;
    for (const auto &[kind, profile] : m_profiles) {
        if (!profile.isRestored && profile.runs < MIN_PROFILE_RUNS)
            continue;
        list.push_back({kind.service.value(), kind.priority, toPercent(std::exp(profile.bias)),
                        toPercent(std::exp(std::sqrt(profile.variance))),
                        toPercent(profile.longest)});
    }
    return list;
}

void LearnedRunTimes::restore(const std::vector<Wire::RunTimeProfile> &profiles)
{
    for (const Wire::RunTimeProfile &it : profiles) {
        if (m_profiles.size() >= MAX_PROFILES)
            break;
        Profile profile;
        profile.bias =
            std::log(std::clamp(it.biasPercent / 100.0, 1 / MAX_REPORTED_BIAS, MAX_REPORTED_BIAS));
        const double deviation =
            std::log(std::clamp(it.spreadPercent / 100.0, 1.0, MAX_REPORTED_SPREAD));
        profile.variance = deviation * deviation;
        profile.longest = std::min(it.longestPercent / 100.0, MAX_LONGEST);
        profile.isRestored = true;
        m_profiles[{ServiceId(it.service), it.priority}] = profile;
    }
}

std::unique_ptr<RunTimes> makeRunTimes(RunTimePolicy policy)
{
    switch (policy) {
    case RunTimePolicy::Estimated:
        break;
    case RunTimePolicy::Learned:
        return std::make_unique<LearnedRunTimes>();
    }
    return std::make_unique<EstimatedRunTimes>();
}

} // namespace Dispatch
