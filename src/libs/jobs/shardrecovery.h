// Recovery after a takeover: collects from all workers of the failure domain the tasks that they
// have started for a shard.
#pragma once

#include "workerport.h"

#include <functional>
#include <map>
#include <vector>

namespace Jobs {

/// Fences one shard at every worker. Destruction cancels the recovery without a callback.
class ShardRecovery
{
public:
    /// Called for each task of the shard that a worker reports.
    using ReportCallback = std::function<void(const Base::UpstreamId &, const TaskReport &)>;
    /// Called once at the end with the upstreams that did not answer or don't support fencing: a
    /// task that no worker has reported may still start there.
    using DoneCallback = std::function<void(const std::vector<Base::UpstreamId> &uncertain)>;

    ShardRecovery(Base::Timers &timers, WorkerPort &workers, Base::ShardId shard, Base::Epoch epoch,
                  const std::vector<Base::UpstreamId> &upstreams, ReportCallback reported,
                  DoneCallback done);
    ~ShardRecovery();

    /// Sends the first messages. Callbacks may run at any time afterwards.
    void start();

private:
    enum class FenceState { Pending, Fenced, Unfenced };

    void fence(const Base::UpstreamId &upstream);
    void fenceReplied(const Base::UpstreamId &upstream, FenceState state);
    void finish();

    Base::Timers &m_timers;
    WorkerPort &m_workers;
    Base::ShardId m_shard;
    Base::Epoch m_epoch;
    std::map<Base::UpstreamId, FenceState> m_fenceStates;
    std::size_t m_pendingCount = 0; // number of m_fenceStates that are Pending
    ReportCallback m_reported;
    DoneCallback m_done;
    Base::TimerId m_cutoffTimer;
    // Checked by callbacks of messages in flight, since they may outlive this object.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace Jobs
