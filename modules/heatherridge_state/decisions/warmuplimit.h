#pragma once

#include "heatherridge_state/base/clock.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

namespace Heatherridge
{

/**
 * Limits the requests that this entry sends to one target while the target warms up.
 *
 * Load pattern: the targets of a whole zone come back at the same time, cold and without load, while callers wait. They
 * look idle to every entry and would get all waiting requests at once. The limit counts requests in a sliding window,
 * including those that were sent before the entry learned that the target is cold. Single-threaded.
 */
class WarmUpLimit
{
public:
    /** Window in which requests are counted: a second, and the variation of the delay on the way to the target. */
    static constexpr std::chrono::milliseconds Window{1'100};
    /** Longer warm-ups are shortened to this, so that a wrong value does not limit a target for good. */
    static constexpr std::chrono::minutes MaxWarmUp{5};

    /** Records that the target is cold for @p remaining from @p now on. @returns whether that is news */
    bool begin(std::chrono::milliseconds remaining, SteadyTime now);

    /**
     * Records that the target may have ended and may return at any time: it counts as cold until it answers again, or
     * until its heartbeats prove that it has not ended.
     */
    void expectRestart();

    /**
     * Records a heartbeat of the run that was expected to have ended, read from the log with @p revision. The first one
     * read, and the next one, may have been written before the end; a later one proves that the run goes on.
     * @returns whether the target counts as cold no more
     */
    bool recordHeartbeat(std::uint64_t revision);

    /** Returns whether the target is expected to restart. */
    bool awaitsRestart() const;

    /** Called when the target answers. A target that was expected to restart is cold for @p duration from then on. */
    void recordAnswer(std::chrono::milliseconds duration, SteadyTime now);

    /** Returns whether the target is or may be cold. */
    bool isWarmingUp(SteadyTime now) const;

    /**
     * Returns the time until a request may be sent: 0 when it may be sent now.
     * @param maxRequests of this entry in Window
     */
    std::chrono::milliseconds timeUntilAllowed(int maxRequests, SteadyTime now) const;

    /** Records that a request is sent. */
    void recordSent(SteadyTime now);

private:
    SteadyTime m_endsAt{};
    bool m_awaitsRestart = false;
    std::optional<std::uint64_t> m_firstRevision; ///< of the heartbeats since then
    std::deque<SteadyTime> m_sendTimes; ///< of the last Window, oldest first
};

} // namespace Heatherridge
