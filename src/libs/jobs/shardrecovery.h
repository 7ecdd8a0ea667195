// After a takeover: asks all workers of the failure domain what they have started for a shard.
#pragma once

#include "workerport.h"

#include <functional>
#include <map>
#include <vector>

namespace Jobs {

/// Fences one shard at every worker. Destroying it ends the recovery without a callback.
class ShardRecovery
{
public:
    /// Called for each task of the shard that a worker reports.
    using ReportCallback = std::function<void(const Base::UpstreamId &, const TaskReport &)>;
    /// Called once at the end with the upstreams that did not answer, or do not fence: a task that
    /// none has reported may still start there.
    using DoneCallback = std::function<void(const std::vector<Base::UpstreamId> &uncertain)>;

    ShardRecovery(Base::Timers &timers, WorkerPort &workers, Base::ShardId shard, Base::Epoch epoch,
                  const std::vector<Base::UpstreamId> &upstreams, ReportCallback reported,
                  DoneCallback done);
    ~ShardRecovery();

    /// Sends the first messages; callbacks may follow at any time after it.
    void start();

private:
    enum class Answer { None, Fenced, Unfenced };

    void fence(const Base::UpstreamId &upstream);
    void answered(const Base::UpstreamId &upstream, Answer answer);
    void finish();

    Base::Timers &m_timers;
    WorkerPort &m_workers;
    Base::ShardId m_shard;
    Base::Epoch m_epoch;
    std::map<Base::UpstreamId, Answer> m_answers;
    std::size_t m_missing = 0; // entries of m_answers that are None
    ReportCallback m_reported;
    DoneCallback m_done;
    Base::TimerId m_cutoffTimer;
    // Callbacks of messages under way check it, since they may outlive this object.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace Jobs
