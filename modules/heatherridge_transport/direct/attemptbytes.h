#pragma once

#include "heatherridge_state/decisions/bufferbudget.h"

#include <cstddef>
#include <utility>

namespace Heatherridge
{

/**
 * The bytes of a target's response that one call buffers, as a part of those of all calls.
 *
 * A few responses without end must not take the memory that the others need: each call may always buffer a little, and
 * beyond that only while the budget of all calls is not exceeded. Single-threaded.
 */
class AttemptBytes
{
public:
    /** Largest response, or event of a stream, that is buffered. */
    static constexpr std::size_t Max = 8UL << 20U;
    /** Bytes that may be buffered whatever the other calls buffer. */
    static constexpr std::size_t Assured = 64UL << 10U;

    /** Uses @p budget, which must outlive it. */
    explicit AttemptBytes(BufferBudget &budget)
        : m_budget(budget)
    {
    }

    ~AttemptBytes()
    {
        release();
    }

    AttemptBytes(const AttemptBytes &) = delete;
    AttemptBytes &operator=(const AttemptBytes &) = delete;

    /** Sets the number of bytes held. Returns whether the call may hold them; otherwise it has to discard them. */
    [[nodiscard]] bool hold(std::size_t bytes)
    {
        m_budget.change(std::exchange(m_held, bytes), bytes);
        return bytes <= Assured || (bytes <= Max && !m_budget.isExceeded());
    }

    /** Returns the number of bytes held. */
    std::size_t held() const
    {
        return m_held;
    }

    void release()
    {
        m_budget.change(std::exchange(m_held, 0), 0);
    }

private:
    BufferBudget &m_budget;
    std::size_t m_held = 0;
};

} // namespace Heatherridge
