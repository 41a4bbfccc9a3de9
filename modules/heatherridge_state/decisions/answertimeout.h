#pragma once

#include "heatherridge_state/decisions/runningestimate.h"

#include <chrono>

namespace Heatherridge
{

/**
 * Computes how long to wait for an answer before the request, which may be repeated, is sent again.
 *
 * Follows the measured round trips and their deviation, as TCP does: a fixed timeout amounts to many round trips where
 * engines are near, and each lost answer delays any work that waits for all answers. The timeout doubles with each
 * missing answer until one arrives. Single-threaded.
 */
class AnswerTimeout
{
public:
    struct Options
    {
        std::chrono::milliseconds minimum{25}; ///< a process that gets only a share of a core answers within this time
        std::chrono::milliseconds maximum{80}; ///< also the initial timeout, before any measurement
    };

    explicit AnswerTimeout(Options options);

    /** Returns the timeout for a request that is sent now. */
    std::chrono::milliseconds current() const;

    /** Records that an answer arrived @p roundTrip after its request was sent. */
    void recordAnswer(RunningEstimate::Milliseconds roundTrip);

    /** Records that no answer arrived in time. */
    void recordTimeout();

private:
    Options m_options;
    RunningEstimate m_roundTrip;
    double m_backoff = 1;
};

} // namespace Heatherridge
