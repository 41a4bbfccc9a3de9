#pragma once

#include "heatherridge_state/routing/routingconfig.h"

#include <chrono>

namespace Heatherridge
{

/** Longest wait of a stream for an engine: callers leave after 2 s of silence, and the first event takes up to 0.5 s.
 */
constexpr std::chrono::milliseconds LongestStreamWait{1'500};
/** Part of the time left that a request may wait; the rest must do for the answer. */
constexpr int WaitPartOfTimeLeft = 2;

/**
 * How long a request may wait at its entry for a target to take it, before it is refused.
 *
 * Load pattern: for a second or so no target takes anything, because an expert group forms anew or all engines are
 * full. A caller that is refused then comes back once, and is lost if it comes back as early; after a loss of power
 * that was one request in twenty of a whole day. One that waits while the cause goes away is served, if late. A wait
 * that takes more than a part of the time left would only hold up a refusal that the caller could act on.
 *
 * @param timeLeft until the caller's deadline or the route's timeout
 * @param objective within which an answer is on time
 */
constexpr std::chrono::milliseconds placementWait(RequestKind kind, std::chrono::milliseconds timeLeft,
                                                  std::chrono::milliseconds objective)
{
    const auto part = timeLeft / WaitPartOfTimeLeft;
    const auto longest = kind == RequestKind::EventStream ? LongestStreamWait : objective / 2;
    return part < longest ? part : longest;
}

} // namespace Heatherridge
