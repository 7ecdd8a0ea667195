// Life cycle and metrics of the dispatcher.
#include "dispatchservice.h"

#include <base/failure.h>
#include <base/softassert.h>
#include <kernel/servicenames.h>
#include <kernel/serviceregistry.h>

#include <algorithm>

namespace DispatchService {

DispatchServiceImpl::DispatchServiceImpl(const Settings::Runtime &runtime,
                                         Dispatch::ExecutorPort &executors,
                                         const Dispatch::DispatchOptions &options)
    : m_runtime(runtime)
    , m_executors(executors)
    , m_options(options)
{}

absl::Status DispatchServiceImpl::start(const Kernel::ServiceRegistry &registry)
{
    auto *link = registry.find<PeerLink::PeerLinkService>(Kernel::ServiceNames::PEER_LINK);
    auto *telemetry = registry.find<Telemetry::TelemetryService>(Kernel::ServiceNames::TELEMETRY);
    EP_ASSERT(link && telemetry,
              return Base::makeFailure(Base::FailureCode::Internal, "dispatch: missing service"));
    m_node = std::make_unique<Dispatch::DispatchNode>(m_runtime.settings.daemon,
                                                      m_runtime.settings.domain, m_runtime.timers,
                                                      m_executors, *link, m_options);
    link->addListener(m_node.get());
    addGauges(telemetry->metrics());
    m_node->start();
    return absl::OkStatus();
}

void DispatchServiceImpl::addGauges(Metrics::MetricsRegistry &metrics)
{
    const auto add = [&metrics](const char *name, const char *help, auto value) {
        metrics.setGauge(name, help, [value] { return static_cast<double>(value()); });
    };
    add("endivepath_jobs_active", "Jobs in progress.",
        [this] { return m_node->jobs().jobCount(); });
    add("endivepath_jobs_completed", "Jobs answered as completed.",
        [this] { return m_node->jobs().counters().completed; });
    add("endivepath_jobs_failed", "Jobs answered as failed.",
        [this] { return m_node->jobs().counters().failed; });
    add("endivepath_jobs_rejected", "Jobs rejected before any task was started.",
        [this] { return m_node->jobs().counters().rejected; });
    add("endivepath_jobs_timed_out", "Jobs without a result at their deadline.",
        [this] { return m_node->jobs().counters().timedOut; });
    add("endivepath_jobs_abandoned", "Jobs cancelled by their caller or because it disconnected.",
        [this] { return m_node->jobs().counters().cancelled; });
    add("endivepath_cancelled_jobs", "Cancelled jobs that are remembered.",
        [this] { return m_node->cancellation().count(); });
    add("endivepath_cancels_unconfirmed",
        "Cancels that were not acknowledged, since some daemon could not be asked.",
        [this] { return m_node->cancellation().counters().unconfirmed; });
    add("endivepath_cancels_forgotten", "Cancelled jobs that were forgotten for lack of space.",
        [this] { return m_node->cancellation().counters().forgotten; });
    add("endivepath_jobs_rejected_no_chance",
        "Jobs rejected because the forecast wait left them no chance.",
        [this] { return m_node->jobs().counters().rejectedNoChance; });
    add("endivepath_jobs_rejected_in_proportion",
        "Jobs rejected in proportion, while a lower priority was short of room.",
        [this] { return m_node->jobs().counters().rejectedInProportion; });
    add("endivepath_jobs_withdrawn_no_chance",
        "Jobs ended early of which nothing had started, since their forecast became worse.",
        [this] { return m_node->jobs().counters().withdrawnNoChance; });
    add("endivepath_jobs_rejected_no_memory", "Jobs rejected for lack of memory for jobs.",
        [this] { return m_node->jobs().counters().rejectedNoMemory; });
    add("endivepath_jobs_rejected_no_executor",
        "Jobs rejected because no known executor can run them.",
        [this] { return m_node->jobs().counters().rejectedNoExecutor; });
    add("endivepath_job_bytes", "Memory for the jobs in progress, as estimated.",
        [this] { return m_node->jobs().jobBytes(); });
    add("endivepath_task_bytes", "Memory for the tasks at the owned groups, as estimated.",
        [this] { return m_node->taskBytes(); });
    add("endivepath_forecast_error_ms",
        "Mean learned error of the forecast waits; positive if tasks waited longer.",
        [this] { return Base::toMilliseconds(m_node->jobs().forecastError()); });
    add("endivepath_forecast_error_absolute_ms",
        "Mean absolute learned error of the forecast waits.",
        [this] { return Base::toMilliseconds(m_node->jobs().absoluteForecastError()); });
    add("endivepath_suspect_tasks", "Tasks under which executors were lost.",
        [this] { return m_node->losses().taskCount(); });
    add("endivepath_removed_losses",
        "Recorded losses of executors that answered again in the same lifetime.",
        [this] { return m_node->losses().removedCount(); });
    add("endivepath_lifetime_confirmations",
        "Listings requested to learn which lifetime of an executor an order would reach.",
        [this] { return m_node->lifetimeGuardCounters().confirmations; });
    add("endivepath_orders_withheld",
        "Orders not sent since the executor had restarted without its owner knowing.",
        [this] { return m_node->lifetimeGuardCounters().withheld; });
    const auto sum = [this](auto member) {
        return [this, member] {
            double n = 0;
            for (const auto &[id, group] : m_node->ownedGroups())
                n += static_cast<double>(member(*group));
            return n;
        };
    };
    add("endivepath_groups_owned", "Executor groups that this daemon owns.",
        [this] { return m_node->ownedGroups().size(); });
    add("endivepath_group_queued_tasks", "Tasks queued in the owned groups.",
        sum([](const auto &group) { return group.queuedCount(); }));
    add("endivepath_group_runs", "Runs on the executors of the owned groups.",
        sum([](const auto &group) { return group.runCount(); }));
    add("endivepath_group_starts", "Task starts sent by the owned groups.",
        sum([](const auto &group) { return group.counters().starts; }));
    add("endivepath_group_unresolved_starts", "Task starts whose outcome was unknown.",
        sum([](const auto &group) { return group.counters().unresolvedStarts; }));
    add("endivepath_group_runs_lost", "Runs that ended without a result.",
        sum([](const auto &group) { return group.counters().lost; }));
    add("endivepath_group_runs_lost_with_executor",
        "Runs that ended with the loss of their executor.",
        sum([](const auto &group) { return group.counters().lostWithExecutor; }));
    add("endivepath_group_runs_failed", "Runs that ended as failed.",
        sum([](const auto &group) { return group.counters().failed; }));
    add("endivepath_group_tasks_expired",
        "Queued tasks dropped since their job could not end before its caller stops waiting.",
        sum([](const auto &group) { return group.counters().expired; }));
    add("endivepath_group_tasks_refused_for_memory",
        "Tasks refused to their coordinators for lack of memory for tasks.",
        sum([](const auto &group) { return group.counters().refusedForMemory; }));
    add("endivepath_group_tasks_missed",
        "Queued tasks that could not meet their objective any more (queue order by job).",
        sum([](const auto &group) { return group.queueOrderCounters().missed; }));
    add("endivepath_group_shared_starts",
        "Tasks started before those of higher priorities, for the share of their priority.",
        sum([](const auto &group) { return group.queueOrderCounters().sharedStarts; }));
    add("endivepath_group_reservations", "Executors reserved for tasks that fit nowhere.",
        sum([](const auto &group) { return group.placementCounters().reservations; }));
    add("endivepath_group_tasks_bypassed", "Queued tasks that a later one was started before.",
        sum([](const auto &group) { return group.placementCounters().bypassed; }));
    add("endivepath_group_longest_bypass_seconds",
        "Longest time for which a queued task was bypassed, in any of the owned groups.", [this] {
            Base::Duration longest{0};
            for (const auto &[id, group] : m_node->ownedGroups())
                longest = std::max(longest, group->placementCounters().longestBypass);
            return std::chrono::duration<double>(longest).count();
        });
    add("endivepath_group_stragglers", "Runs stopped for taking too long.",
        sum([](const auto &group) { return group.counters().stragglers; }));
    add("endivepath_group_stragglers_executor", "Runs stopped since their executor was at fault.",
        sum([](const auto &group) { return group.counters().stragglersByExecutor; }));
    add("endivepath_group_stragglers_longest",
        "Runs stopped since they exceeded the longest ones of their kind.",
        sum([](const auto &group) { return group.counters().stragglersByLength; }));
    add("endivepath_group_overdue_starts", "Task starts whose answer was overdue.",
        sum([](const auto &group) { return group.overdueCounters().starts; }));
    add("endivepath_group_overdue_starts_listed", "Overdue starts that a listing showed.",
        sum([](const auto &group) { return group.overdueCounters().listed; }));
    add("endivepath_group_overdue_starts_answered", "Overdue starts that were answered late.",
        sum([](const auto &group) { return group.overdueCounters().answered; }));
    add("endivepath_group_overdue_starts_not_started",
        "Overdue starts that were proven not to have been carried out.",
        sum([](const auto &group) { return group.overdueCounters().notStarted; }));
}

void DispatchServiceImpl::stop()
{
    if (m_node)
        m_node->stop();
}

} // namespace DispatchService
