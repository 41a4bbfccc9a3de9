#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/routing/routingconfig.h"

#include <algorithm>
#include <chrono>

namespace Heatherridge
{

/** A target that does not take a request refuses it within this time: half of an engine pass. */
constexpr std::chrono::milliseconds DefaultRefusalTime{25};
/** Time for the gateway to read an answer that has arrived already. */
constexpr std::chrono::milliseconds ArrivedAnswerTime{2};

/** A request that is at a target when it is blocked from all targets. */
struct BlockedAttempt
{
    RequestKind kind = RequestKind::NonIdempotent;
    SteadyTime sentAt{};
    SteadyTime blockedAt{};
    std::chrono::milliseconds refusalTime = DefaultRefusalTime; ///< within which targets refuse what they do not take
};

/**
 * Returns until when the target may still answer before the attempt is cancelled.
 *
 * Load pattern: a request that targets refuse one after the other, while others like it crash targets. When it is
 * blocked, a refusal is often on its way. Cancelled at once, it counts as possibly executed, and its caller must not
 * repeat it although it has not run. A request that the target has had for longer than refusals take was accepted and
 * may crash the target when it begins, so it is cancelled as soon as what has arrived is read. Requests that may run
 * twice lose nothing by being cancelled at once.
 */
constexpr SteadyTime refusalDeadline(const BlockedAttempt &attempt)
{
    if (attempt.kind != RequestKind::NonIdempotent) {
        return attempt.blockedAt;
    }
    return std::max(attempt.sentAt + attempt.refusalTime, attempt.blockedAt + ArrivedAnswerTime);
}

} // namespace Heatherridge
