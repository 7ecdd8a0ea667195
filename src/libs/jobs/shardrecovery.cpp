// Fencing of a shard with retries up to a cutoff.
#include "shardrecovery.h"

#include "jobsconstants.h"

#include <utility>

namespace Jobs {

ShardRecovery::ShardRecovery(Base::Timers &timers, WorkerPort &workers, Base::ShardId shard,
                             Base::Epoch epoch, const std::vector<Base::UpstreamId> &upstreams,
                             ReportCallback reported, DoneCallback done)
    : m_timers(timers)
    , m_workers(workers)
    , m_shard(std::move(shard))
    , m_epoch(epoch)
    , m_pendingCount(upstreams.size())
    , m_reported(std::move(reported))
    , m_done(std::move(done))
{
    for (const Base::UpstreamId &it : upstreams)
        m_fenceStates.emplace(it, FenceState::Pending);
}

ShardRecovery::~ShardRecovery()
{
    *m_isAlive = false;
    m_timers.cancel(m_cutoffTimer);
}

void ShardRecovery::start()
{
    m_cutoffTimer =
        m_timers.schedule(m_pendingCount == 0 ? Base::Duration(0) : Constants::RECOVERY_CUTOFF_MS,
                          [this] { finish(); });
    for (const auto &[upstream, state] : m_fenceStates)
        fence(upstream);
}

void ShardRecovery::fence(const Base::UpstreamId &upstream)
{
    m_workers.fence(upstream, m_shard, m_epoch,
                    [this, alive = m_isAlive, upstream](const absl::Status &status, bool fences,
                                                        const std::vector<TaskReport> &reports) {
                        if (!*alive)
                            return;
                        if (!status.ok()) {
                            m_timers.schedule(Constants::RECOVERY_RETRY_MS,
                                              [this, alive, upstream] {
                                                  if (*alive)
                                                      fence(upstream);
                                              });
                            return;
                        }
                        for (const TaskReport &it : reports) {
                            m_reported(upstream, it);
                            if (!*alive)
                                return;
                        }
                        fenceReplied(upstream, fences ? FenceState::Fenced : FenceState::Unfenced);
                    });
}

void ShardRecovery::fenceReplied(const Base::UpstreamId &upstream, FenceState state)
{
    FenceState &current = m_fenceStates.at(upstream);
    if (current != FenceState::Pending)
        return;
    current = state;
    if (--m_pendingCount == 0)
        finish();
}

void ShardRecovery::finish()
{
    m_timers.cancel(m_cutoffTimer);
    std::vector<Base::UpstreamId> uncertain;
    for (const auto &[upstream, state] : m_fenceStates) {
        if (state != FenceState::Fenced)
            uncertain.push_back(upstream);
    }
    // The callback may destroy this object.
    const DoneCallback done = std::exchange(m_done, {});
    if (done)
        done(uncertain);
}

} // namespace Jobs
