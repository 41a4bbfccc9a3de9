#pragma once

#include "heatherridge_coordination/groups/rankmonitor.h"
#include "heatherridge_state/base/clock.h"

#include <chrono>
#include <cstdint>

namespace Heatherridge
{

/**
 * Decides when an inactive rebalancer takes over one group although the log has not given it the work share.
 *
 * Load pattern: demand for experts shifts every few seconds, and the host of the active rebalancer is stopped or lost
 * while the log is down, so the log cannot give the share to another process until it is back. The processes beside the
 * ranks know whether any rebalancer is active, because it requests counts from them several times a second, and they
 * report this with each status. A rebalancer that gets no answers from the log therefore takes over when none has
 * requested counts for a while, each after a random delay of its own. If two take over, each sees the other's maps and
 * yields as it does around any change of the share. One thread.
 */
class RebalancerTakeover
{
public:
    /**
     * Takes over when no rebalancer has requested counts for this time plus a random delay of the width below: the
     * active one requests them several times a second, and its restart, or a decision of the log on who has its share,
     * takes a second.
     */
    static constexpr std::chrono::milliseconds TakeoverTimeout{1'500};
    static constexpr std::chrono::milliseconds JitterWidth{1'500};

    /** Reports of ranks on the last request for counts are ignored when they are older. */
    static constexpr std::chrono::milliseconds MaxReportAge{1'000};

    /**
     * Sets whether the log answers this rebalancer; @p randomBits determine the random delay when it has stopped
     * answering.
     */
    void setConfirmed(bool isConfirmed, std::uint64_t randomBits);

    /**
     * Returns whether to take over @p group now, based on the reports of its ranks. Once it has returned true,
     * hasTakenOver() is true until cancel().
     */
    bool tryTakeOver(const MonitoredGroup &group, SteadyTime now);

    /** Ends the takeover: this rebalancer has the share, or the log answers and says who has it. */
    void cancel();

    /** Returns whether this rebalancer has taken over. */
    bool hasTakenOver() const;

private:
    bool m_isConfirmed = true;
    bool m_hasTakenOver = false;
    std::chrono::milliseconds m_jitter{};
};

} // namespace Heatherridge
