// Learns run times relative to their estimates, and decides which runs are stopped as stragglers.
// Load: on the board deployment 3 % of the tasks take seven times their time, and take it again
// when they are restarted; elsewhere single executors stall or slow down everything that they run.
#pragma once

#include "dispatchoptions.h"
#include "executorstate.h"

#include <wire/messages.h>

#include <map>
#include <memory>
#include <vector>

namespace Dispatch {

/// Tasks whose run times are learned together.
struct RunKind
{
    ServiceId service;
    std::uint32_t priority = 0;

    auto operator<=>(const RunKind &) const = default; // NOLINT(modernize-use-nullptr)
};

/// Why a run is stopped as a straggler.
enum class StragglerCause {
    None,     ///< It is not stopped.
    Estimate, ///< It exceeds a fixed multiple of its estimate.
    Executor, ///< Its executor is at fault.
    Longest,  ///< It exceeds the longest runs of its kind.
};
const char *toString(StragglerCause cause);

/// One per owned group. Ratios are run times over estimates, at the speed of the executor.
class RunTimes
{
public:
    virtual ~RunTimes() = default;

    /// Logarithm of the mean ratio.
    virtual double bias(const RunKind &kind) const = 0;
    /// A run has ended well. \a residual is the logarithm of its ratio, less the bias. \a isHealthy
    /// is false if its executor was at fault.
    virtual void runEnded(const RunKind &kind, double residual, bool isHealthy) = 0;
    /// Whether to stop \a run of \a task, which is on \a executor.
    virtual StragglerCause check(const RunKind &kind, const TaskId &task, const Run &run,
                                 const ExecutorState &executor, Base::TimePoint now) const = 0;
    /// What the next owner of the group and other daemons need to know.
    virtual std::vector<Wire::RunTimeProfile> profiles() const { return {}; }
    /// Starts from what a previous owner has learned.
    virtual void restore(const std::vector<Wire::RunTimeProfile> &) {}
};

/// Stops each run at a fixed multiple of its estimate. The bias is that of the priority.
class EstimatedRunTimes : public RunTimes
{
public:
    double bias(const RunKind &kind) const override;
    void runEnded(const RunKind &kind, double residual, bool isHealthy) override;
    StragglerCause check(const RunKind &kind, const TaskId &task, const Run &run,
                         const ExecutorState &executor, Base::TimePoint now) const override;

private:
    std::map<std::uint32_t, double> m_bias; // by priority
};

/// Stops a run if its executor is at fault, or once if it exceeds the longest runs of its kind.
class LearnedRunTimes : public RunTimes
{
public:
    double bias(const RunKind &kind) const override;
    void runEnded(const RunKind &kind, double residual, bool isHealthy) override;
    StragglerCause check(const RunKind &kind, const TaskId &task, const Run &run,
                         const ExecutorState &executor, Base::TimePoint now) const override;
    std::vector<Wire::RunTimeProfile> profiles() const override;
    void restore(const std::vector<Wire::RunTimeProfile> &profiles) override;

private:
    struct Profile
    {
        double bias = 0;     // mean logarithm of the ratio
        double variance = 0; // of that logarithm
        double longest = 0;  // ratio of the longest healthy run, with decay; 0: not known
        std::uint64_t runs = 0;
        bool isRestored = false;
    };

    Profile profileOf(const RunKind &kind) const;
    static Profile defaultProfile();

    std::map<RunKind, Profile> m_profiles;
};

/// Whether runs of jobs other than \a job show that \a executor is at fault: some are far behind,
/// or have ended so, and none has ended in an ordinary time since \a since.
bool isExecutorAtFault(const ExecutorState &executor, const JobId &job, Base::TimePoint since,
                       Base::TimePoint now);

std::unique_ptr<RunTimes> makeRunTimes(RunTimePolicy policy);

} // namespace Dispatch
