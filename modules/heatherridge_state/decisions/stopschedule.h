#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/routing/routingconfig.h"

namespace Heatherridge
{

/**
 * The moments of a planned stop of an entry, and which attempts it still begins.
 *
 * Load pattern: several entries of an availability zone stop together, so that the balancer goes on sending them new
 * connections until their sockets close. What is passed on near the end is cut while its target runs it, and the caller
 * cannot know whether it ran. Most answers take far less than their timeout, so requests are begun as long as even the
 * latest answer arrives in time, and refused as not run afterwards.
 */
struct StopSchedule
{
    SteadyTime refusesFrom{}; ///< until then callers have no other entry: the balancer has not noticed the stop
    SteadyTime cutAt{}; ///< when the process closes its connections, whatever is in progress

    /**
     * Returns whether a request that no target has run, whether it reached one or not, may be passed on at @p now.
     * @param deadline by which the caller gets a final response
     */
    constexpr bool mayBegin(RequestKind kind, SteadyTime deadline, SteadyTime now) const
    {
        return now < refusesFrom || (kind != RequestKind::EventStream && deadline <= cutAt);
    }

    /**
     * Returns whether a request that a target may have run, or a stream that has begun, may be sent to another one at
     * @p now. It can't be refused as not run any more, so it is repeated while an answer that is on time still arrives.
     * @param objective of its route, time within which an answer is on time
     */
    constexpr bool mayRepeat(SteadyTime deadline, std::chrono::milliseconds objective, SteadyTime now) const
    {
        return deadline <= cutAt || now + objective <= cutAt;
    }
};

} // namespace Heatherridge
