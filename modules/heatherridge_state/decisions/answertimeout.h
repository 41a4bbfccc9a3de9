#pragma once

#include "heatherridge_state/decisions/runningestimate.h"

#include <chrono>

namespace Heatherridge
{

/**
 * How long an answer is waited for before its request, which may be repeated, is sent again.
 *
 * Follows the round trips that were measured, with their deviation, as TCP does: a fixed time is many round trips where
 * engines are near, and each lost answer holds up whatever waits for all of them. Doubled with each answer that does
 * not come, until one does. One thread.
 */
class AnswerTimeout
{
public:
    struct Options
    {
        std::chrono::milliseconds minimum{25}; ///< a process that gets a part of a core answers within this
        std::chrono::milliseconds maximum{80}; ///< also the first, before anything was measured
    };

    explicit AnswerTimeout(Options options);

    /** For a request that is sent now. */
    std::chrono::milliseconds current() const;

    /** An answer came @p roundTrip its request was sent. */
    void recordAnswer(RunningEstimate::Milliseconds roundTrip);

    /** No answer came in time. */
    void recordTimeout();

private:
    Options m_options;
    RunningEstimate m_roundTrip;
    double m_backoff = 1;
};

} // namespace Heatherridge
