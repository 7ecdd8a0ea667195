// Limits the memory that objects of many callers take together. Addresses callers whose jobs take
// much more memory than their requests: a request of 100 bytes can ask for 4,000 tasks.
#pragma once

#include "dispatchoptions.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace Dispatch {

/// The objects that are larger than smallBytes take at most half of the limit together, so that
/// they do not keep the others out. Performs no I/O.
class MemoryBudget
{
    struct State;

public:
    /// What one object takes, until it is destroyed. May outlive the budget.
    class Share
    {
    public:
        Share() = default;
        Share(Share &&other) noexcept = default;
        Share &operator=(Share &&other) noexcept;
        ~Share();

        /// Whether anything was granted.
        explicit operator bool() const { return m_state != nullptr; }

    private:
        friend class MemoryBudget;
        Share(std::shared_ptr<State> state, std::size_t bytes);

        std::shared_ptr<State> m_state;
        std::size_t m_bytes = 0;
    };

    MemoryBudget(std::size_t limitBytes, std::size_t smallBytes);

    /// Returns an empty share if the limit would be exceeded.
    Share tryTake(std::size_t bytes);
    /// For what can't be refused: it counts, and may exceed the limit.
    Share take(std::size_t bytes);

    std::size_t usedBytes() const;
    /// Calls of tryTake() without a grant.
    std::uint64_t refusals() const { return m_refusals; }

private:
    const std::size_t m_limit;
    const std::size_t m_small;
    const std::shared_ptr<State> m_state;
    std::uint64_t m_refusals = 0;
};

/// For the jobs that a daemon coordinates. Each caller's request may have a small one.
std::shared_ptr<MemoryBudget> makeJobBudget(const MemoryLimits &limits);
/// For the tasks at the groups that a daemon owns, of the jobs of all daemons.
std::shared_ptr<MemoryBudget> makeTaskBudget(const MemoryLimits &limits);

} // namespace Dispatch
