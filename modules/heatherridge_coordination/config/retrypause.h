#pragma once

#include "heatherridge_state/decisions/backoff.h"

namespace Heatherridge
{

/** A Backoff that counts the tries in a row. One thread. */
class RetryPause
{
public:
    /** Pauses of up to @p first, growing to @p longest. */
    RetryPause(std::chrono::milliseconds first, std::chrono::milliseconds longest)
        : m_backoff({.baseDelay = first, .maxDelay = longest})
    {
    }

    /** The time to wait before the next try. */
    std::chrono::milliseconds draw(RandomSource &random)
    {
        return m_backoff.delay(m_tries++, std::nullopt, random);
    }

    /** Begins again after a success. */
    void reset()
    {
        m_tries = 0;
    }

private:
    Backoff m_backoff;
    int m_tries = 0;
};

} // namespace Heatherridge
