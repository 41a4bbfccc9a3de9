#pragma once

#include "heatherridge_state/routing/routingconfig.h"

#include <chrono>

namespace Heatherridge
{

/**
 * Longest wait of a stream for an engine: callers leave after 2 s without data, and the first event takes up to 0.5 s.
 */
constexpr std::chrono::milliseconds MaxStreamWait{1'500};
/** A request may wait for 1 / MaxWaitDivisor of its remaining time; the answer needs the rest. */
constexpr int MaxWaitDivisor = 2;

/**
 * Returns how long a request may wait at its entry for a target to accept it before it is refused.
 *
 * Load pattern: no target accepts work for about a second, because an expert group is being re-formed or all engines
 * are full. A caller that is refused at once retries within the same outage and then has no retry left.
 *
 * @param remainingTime until the caller's deadline or the route's timeout
 * @param objective time within which an answer is on time
 */
constexpr std::chrono::milliseconds placementWait(RequestKind kind, std::chrono::milliseconds remainingTime,
                                                  std::chrono::milliseconds objective)
{
    const auto shareOfRemaining = remainingTime / MaxWaitDivisor;
    const auto maxWait = kind == RequestKind::EventStream ? MaxStreamWait : objective / 2;
    return shareOfRemaining < maxWait ? shareOfRemaining : maxWait;
}

} // namespace Heatherridge
