// Cancelling of jobs by their callers. The request may reach any daemon, while another one
// coordinates the job, and copies of its submission may arrive at any daemon until minutes later.
// Each daemon therefore remembers the cancelled jobs and starts nothing of them; the daemon that
// received the request acknowledges it only if every daemon that may start tasks has confirmed
// that.
#pragma once

#include "jobcoordinator.h"

#include <wire/messages.h>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Dispatch {

enum class CancelOutcome {
    Cancelled,   ///< The job was found. Its tasks are stopped, and none will start.
    Unknown,     ///< No daemon has the job, and none will start its tasks.
    Unconfirmed, ///< Some daemon that may have the job or start its tasks has not answered.
};

/// Access to the other daemons, and to the groups that this one owns.
class CancellationNetwork
{
public:
    /// The daemons, other than this one, that may have a job or start its tasks.
    struct Daemons
    {
        std::set<Base::DaemonId> ids;     // live peers, and owners of groups
        bool areAllGroupsOwned = true;    // each group with executors has a known owner
        std::set<Base::DaemonId> reached; // connected peers that understand the messages
    };

    virtual ~CancellationNetwork() = default;

    virtual Daemons cancellationDaemons() const = 0;
    /// Returns false, without sending, if the peer is not connected or of an older version.
    virtual bool sendCancellation(const Base::DaemonId &peer, const Wire::Message &message) = 0;
    /// Stops all tasks of the job in the groups that this daemon owns. Returns whether there were
    /// any.
    virtual bool stopTasksOf(const JobId &job) = 0;
};

struct CancellationCounters
{
    std::uint64_t found = 0;
    std::uint64_t unknown = 0;
    std::uint64_t unconfirmed = 0;
    std::uint64_t refusedBatches = 0; // batches of tasks of cancelled jobs
    std::uint64_t forgotten = 0;      // before the end of the retention, for lack of space
};

class JobCancellation
{
public:
    using Callback = std::function<void(CancelOutcome)>;

    JobCancellation(Base::Timers &timers, JobCoordinator &jobs, CancellationNetwork &network);

    /// Cancels \a job wherever it is and calls \a callback once, possibly before this function
    /// returns.
    void cancel(const JobId &job, Callback callback);
    /// Whether the job was cancelled within the last CANCEL_RETENTION_MS.
    bool isCancelled(const JobId &job) const { return m_cancelled.contains(job); }
    /// \a coordinator has sent tasks of a cancelled job, which are not started: it is told so.
    void batchRefused(const Base::DaemonId &coordinator, const JobId &job);

    void received(const Base::DaemonId &from, const Wire::CancelledJobs &message);
    void received(const Base::DaemonId &from, const Wire::CancelAnswer &answer);
    /// Messages can be sent on a new connection to \a peer; earlier ones may have been lost.
    void peerReady(const Base::DaemonId &peer, Base::Incarnation incarnation);
    void peerDisconnected(const Base::DaemonId &peer);
    /// Sends what peers lack, ends requests that are not confirmed in time, and prunes the record.
    void tick();

    std::size_t count() const { return m_cancelled.size(); }
    const CancellationCounters &counters() const { return m_counters; }

private:
    /// A request that was not for a job of this daemon.
    struct Request
    {
        JobId job;
        Callback callback;
        Base::TimePoint started;
        bool hadTasks = false; // some owner of a group has stopped tasks of the job
        bool isFound = false;  // its coordinator has stopped it
        std::set<Base::DaemonId> asked;
        std::set<Base::DaemonId> confirmed; // subset of asked
    };

    struct Entry
    {
        JobId job;
        Base::TimePoint added; // to this daemon's record
    };

    struct Peer
    {
        Base::Incarnation incarnation;
        /// It may lack the jobs that were added since then; no value: it lacks none.
        std::optional<Base::TimePoint> missingSince;
    };

    bool add(const JobId &job, Base::TimePoint cancelled);
    void prune();
    Wire::CancelledJob entryOf(const JobId &job) const;
    void broadcast(const JobId &job);
    void sendMissing();
    void ask(std::uint64_t correlation, Request &request,
             const CancellationNetwork::Daemons &daemons);
    std::optional<CancelOutcome> outcomeOf(const Request &request,
                                           const CancellationNetwork::Daemons &daemons) const;
    void checkRequests();
    void finish(std::uint64_t correlation, CancelOutcome outcome);

    Base::Timers &m_timers;
    JobCoordinator &m_jobs;
    CancellationNetwork &m_network;
    std::map<JobId, Base::TimePoint> m_cancelled; // when; at most MAX_CANCELLED_JOBS
    std::deque<Entry> m_order;                    // the same jobs, in the order of their addition
    std::map<Base::DaemonId, Peer> m_peers;
    std::map<std::uint64_t, Request> m_requests; // by correlation
    std::uint64_t m_lastCorrelation = 0;
    Base::TimePoint m_lastPrune;
    CancellationCounters m_counters;
};

} // namespace Dispatch
