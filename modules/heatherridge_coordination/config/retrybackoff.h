#pragma once

#include "heatherridge_state/decisions/backoff.h"

namespace Heatherridge
{

/** A Backoff that counts consecutive attempts. Single-threaded. */
class RetryBackoff
{
public:
    /** Delays of up to @p initial, growing to @p max. */
    RetryBackoff(std::chrono::milliseconds initial, std::chrono::milliseconds max)
        : m_backoff({.baseDelay = initial, .maxDelay = max})
    {
    }

    /** Returns the delay before the next attempt. */
    std::chrono::milliseconds nextDelay(RandomSource &random)
    {
        return m_backoff.delay(m_attempts++, std::nullopt, random);
    }

    /** Restarts from the initial delay after a success. */
    void reset()
    {
        m_attempts = 0;
    }

private:
    Backoff m_backoff;
    int m_attempts = 0;
};

} // namespace Heatherridge
