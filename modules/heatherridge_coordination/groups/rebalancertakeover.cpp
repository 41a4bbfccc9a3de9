#include "heatherridge_coordination/groups/rebalancertakeover.h"

#include <algorithm>
#include <optional>

namespace Heatherridge
{

namespace
{

/**
 * Returns how long ago a rebalancer last requested counts from any rank; nothing when no rank has reported recently.
 */
std::optional<std::chrono::milliseconds> timeSinceLastCountsRequest(const std::map<GroupName, MonitoredGroup> &groups,
                                                                    SteadyTime now)
{
    std::optional<std::chrono::milliseconds> shortest;
    for (const auto &[name, monitored] : groups) {
        if (monitored.countsRequestedAgo
            && now - monitored.countsRequestReportedAt <= RebalancerTakeover::MaxReportAge) {
            shortest = shortest ? std::min(*shortest, *monitored.countsRequestedAgo) : *monitored.countsRequestedAgo;
        }
    }
    return shortest;
}

} // namespace

void RebalancerTakeover::setConfirmed(bool isConfirmed, std::uint64_t randomBits)
{
    if (m_isConfirmed && !isConfirmed) {
        m_jitter = std::chrono::milliseconds(randomBits % JitterWidth.count());
    }
    m_isConfirmed = isConfirmed;
    m_hasTakenOver = m_hasTakenOver && !isConfirmed;
}

bool RebalancerTakeover::tryTakeOver(const std::map<GroupName, MonitoredGroup> &groups, SteadyTime now)
{
    if (m_isConfirmed || m_hasTakenOver) {
        return false;
    }
    const auto elapsed = timeSinceLastCountsRequest(groups, now);
    m_hasTakenOver = elapsed && *elapsed > TakeoverTimeout + m_jitter;
    return m_hasTakenOver;
}

void RebalancerTakeover::cancel()
{
    m_hasTakenOver = false;
}

bool RebalancerTakeover::hasTakenOver() const
{
    return m_hasTakenOver;
}

} // namespace Heatherridge
