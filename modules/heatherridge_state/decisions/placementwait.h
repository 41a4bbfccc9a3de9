#pragma once

#include "heatherridge_state/routing/routingconfig.h"

#include <chrono>

namespace Heatherridge
{

/** Longest wait of a stream for an engine: callers leave after 2 s of silence, and the first event takes up to 0.5 s.
 */
constexpr std::chrono::milliseconds MaxStreamWait{1'500};
/** Part of the time left that a request may wait; the rest must do for the answer. */
constexpr int MaxWaitDivisor = 2;

/**
 * How long a request may wait at its entry for a target to take it, before it is refused.
 *
 * Load pattern: no target takes anything for a second or so, because an expert group forms anew or all engines are
 * full. A caller that is refused at once returns into the same moment, and has no retry left after it.
 *
 * @param timeLeft until the caller's deadline or the route's timeout
 * @param objective within which an answer is on time
 */
constexpr std::chrono::milliseconds placementWait(RequestKind kind, std::chrono::milliseconds remainingTime,
                                                  std::chrono::milliseconds objective)
{
    const auto shareOfRemaining = remainingTime / MaxWaitDivisor;
    const auto maxWait = kind == RequestKind::EventStream ? MaxStreamWait : objective / 2;
    return shareOfRemaining < maxWait ? shareOfRemaining : maxWait;
}

} // namespace Heatherridge
