#include "heatherridge_coordination/groups/rebalancertakeover.h"

#include <optional>

namespace Heatherridge
{

namespace
{

/** Returns how long ago a rebalancer last requested counts of @p group; nothing when it has not reported recently. */
std::optional<std::chrono::milliseconds> timeSinceLastCountsRequest(const MonitoredGroup &group, SteadyTime now)
{
    const bool isRecent = now - group.countsRequestReportedAt <= RebalancerTakeover::MaxReportAge;
    return isRecent ? group.countsRequestedAgo : std::nullopt;
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

bool RebalancerTakeover::tryTakeOver(const MonitoredGroup &group, SteadyTime now)
{
    if (m_isConfirmed || m_hasTakenOver) {
        return false;
    }
    const auto elapsed = timeSinceLastCountsRequest(group, now);
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
