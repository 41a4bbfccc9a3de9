#pragma once

#include "heatherridge_coordination/groups/rankmonitor.h"
#include "heatherridge_state/base/clock.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace Heatherridge
{

/**
 * When an inactive keeper of groups takes over though the log has not given it the share.
 *
 * Load pattern: demand for experts shifts every few seconds, and the host of the active keeper is stopped or lost while
 * the log is out, which can give its share to nobody before it is back. The processes beside ranks know whether any
 * keeper is at work, since it asks them for counts several times a second, and they tell so with each status. So a
 * keeper that the log does not answer takes over when none has asked for long, each after a time of its own. Should two
 * take over, each sees the other's maps and gives way as around any change of the share. One thread.
 */
class RebalancerTakeover
{
public:
    /** None has asked for counts for so long, and a draw of the width below: the active one asks several times a
     * second, and a restart of it, or the log's word on who has its share now, takes a second. */
    static constexpr std::chrono::milliseconds TakeoverTimeout{1'500};
    static constexpr std::chrono::milliseconds JitterWidth{1'500};

    /** What ranks say of that is worth nothing when it is older. */
    static constexpr std::chrono::milliseconds MaxReportAge{1'000};

    /** The log answers this keeper, or has ceased to; @p bits are drawn at random for the draw. */
    void setConfirmed(bool isConfirmed, std::uint64_t randomBits);

    /** Whether to take over now, by what the ranks of @p groups have told. Once true, isUnderWay() is until end(). */
    bool tryTakeOver(const std::map<GroupName, MonitoredGroup> &groups, SteadyTime now);

    /** The share is this keeper's, or the log answers: it says who keeps the groups. */
    void cancel();

    /** Whether this keeper has taken over. */
    bool hasTakenOver() const;

private:
    bool m_isConfirmed = true;
    bool m_hasTakenOver = false;
    std::chrono::milliseconds m_jitter{};
};

} // namespace Heatherridge
