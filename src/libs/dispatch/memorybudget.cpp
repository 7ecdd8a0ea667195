// Accounting of shares.
#include "memorybudget.h"

#include "dispatchconstants.h"

#include <algorithm>
#include <utility>

namespace Dispatch {

struct MemoryBudget::State
{
    std::size_t small = 0; // size up to which an object counts as small
    std::size_t used = 0;
    std::size_t usedByLarge = 0; // part of used

    void add(std::size_t bytes)
    {
        used += bytes;
        usedByLarge += bytes > small ? bytes : 0;
    }
    void remove(std::size_t bytes)
    {
        used -= bytes;
        usedByLarge -= bytes > small ? bytes : 0;
    }
};

MemoryBudget::Share::Share(std::shared_ptr<State> state, std::size_t bytes)
    : m_state(std::move(state))
    , m_bytes(bytes)
{
    m_state->add(m_bytes);
}

MemoryBudget::Share &MemoryBudget::Share::operator=(Share &&other) noexcept
{
    std::swap(m_state, other.m_state);
    std::swap(m_bytes, other.m_bytes);
    return *this;
}

MemoryBudget::Share::~Share()
{
    if (m_state)
        m_state->remove(m_bytes);
}

MemoryBudget::MemoryBudget(std::size_t limitBytes, std::size_t smallBytes)
    : m_limit(limitBytes)
    , m_small(smallBytes)
    , m_state(std::make_shared<State>())
{
    m_state->small = smallBytes;
}

MemoryBudget::Share MemoryBudget::tryTake(std::size_t bytes)
{
    const bool isTooMuch = m_state->used + bytes > m_limit
                           || (bytes > m_small && m_state->usedByLarge + bytes > m_limit / 2);
    if (isTooMuch) {
        ++m_refusals;
        return {};
    }
    return take(bytes);
}

MemoryBudget::Share MemoryBudget::take(std::size_t bytes)
{
    return {m_state, bytes};
}

std::size_t MemoryBudget::usedBytes() const
{
    return m_state->used;
}

std::shared_ptr<MemoryBudget> makeJobBudget(const MemoryLimits &limits)
{
    const std::size_t callers = std::max<std::size_t>(1, limits.maxOpenRequests);
    return std::make_shared<MemoryBudget>(limits.maxJobBytes, limits.maxJobBytes / callers / 2);
}

std::shared_ptr<MemoryBudget> makeTaskBudget(const MemoryLimits &limits)
{
    return std::make_shared<MemoryBudget>(limits.maxTaskBytes, Constants::SMALL_BATCH_BYTES);
}

} // namespace Dispatch
