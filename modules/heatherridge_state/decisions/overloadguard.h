#pragma once

#include "heatherridge_state/base/clock.h"

#include <chrono>
#include <optional>

namespace Heatherridge
{

/** Bounds of an OverloadGuard. */
struct OverloadGuardOptions
{
    /** A first event within this says that nothing waits before it: usual ones take 160 to 250 ms. */
    std::chrono::milliseconds goodDelay{300};
    /** Without a good one for so long the queue stands: longer than a pass that reads several prompts. */
    std::chrono::milliseconds interval{400};
    int fewestLate = 5; ///< that must have been seen since the last good one; fewer may all have met one slow prompt
    /** Without a late one for so long it is over. Shorter, the room that was won is filled in one go. */
    std::chrono::milliseconds calm{600};
};

/**
 * Whether streams of one service wait in a queue that does not drain.
 *
 * Load pattern: more streams come than engines can serve on time, for seconds, because half of the engines are gone or
 * all come back at once. A queue that forms then stands: each stream waits behind it, all are late, and it drains only
 * as fast as engines are faster than callers, which is little. A short queue is no reason to refuse anything; one that
 * no stream has escaped for a while is. As long as it stands engines are given what they serve on time, and what finds
 * no room is told at once when to come back.
 *
 * One entry's view, from its own streams. One thread.
 */
class OverloadGuard
{
public:
    explicit OverloadGuard(OverloadGuardOptions options = {});

    /** A stream's first event came @p delay after it was sent, or has not come after @p delay. */
    void record(std::chrono::milliseconds delay, SteadyTime now);

    /** Whether the queue stands. */
    bool isOverloaded(SteadyTime now);

private:
    OverloadGuardOptions m_options;
    std::optional<SteadyTime> m_lateSince; ///< the first late one since the last good one
    SteadyTime m_lastLate{};
    int m_late = 0; ///< since the last good one
    bool m_isOverloaded = false;
};

} // namespace Heatherridge
