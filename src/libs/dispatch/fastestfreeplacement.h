// Baseline of the placement policies: the fastest executor that has room now.
#pragma once

#include "emptyexecutorchoice.h"

#include <optional>
#include <utility>
#include <vector>

namespace Dispatch {

/// Among executors of about the same speed the fullest one is chosen. A task that fits nowhere is
/// bypassed by all smaller tasks behind it.
class FastestFreePlacement : public Placement
{
public:
    explicit FastestFreePlacement(PlacementContext context);

    void beginPass(const PlacementPass &pass) override;
    ExecutorState *choose(const WaitingTask &task) override;

private:
    ExecutorState *fastestFree(const WaitingTask &task) const;

    EmptyExecutorChoice m_emptyExecutors;
    ExecutorMap *m_executors = nullptr; // of the current pass
    Base::TimePoint m_now;
    // Shapes that did not fit anywhere; a task that needs at least as much does not fit either.
    std::vector<std::pair<std::string, Resources>> m_tooBig; // by service
};

} // namespace Dispatch
