#include "heatherridge_coordination/groups/rebalancertakeover.h"

#include <algorithm>
#include <optional>

namespace Heatherridge
{

namespace
{

/** How long ago a keeper last asked any rank for counts; nothing when no rank has told of late. */
std::optional<std::chrono::milliseconds> lastAskedAgo(const std::map<GroupName, MonitoredGroup> &groups, SteadyTime now)
{
    std::optional<std::chrono::milliseconds> least;
    for (const auto &[name, seen] : groups) {
        if (seen.countsRequestedAgo && now - seen.countsRequestReportedAt <= RebalancerTakeover::NewsAge) {
            least = least ? std::min(*least, *seen.countsRequestedAgo) : *seen.countsRequestedAgo;
        }
    }
    return least;
}

} // namespace

void RebalancerTakeover::setConfirmed(bool isConfirmed, std::uint64_t bits)
{
    if (m_isConfirmed && !isConfirmed) {
        m_draw = std::chrono::milliseconds(bits % DrawWidth.count());
    }
    m_isConfirmed = isConfirmed;
    m_isUnderWay = m_isUnderWay && !isConfirmed;
}

bool RebalancerTakeover::begins(const std::map<GroupName, MonitoredGroup> &groups, SteadyTime now)
{
    if (m_isConfirmed || m_isUnderWay) {
        return false;
    }
    const auto ago = lastAskedAgo(groups, now);
    m_isUnderWay = ago && *ago > Patience + m_draw;
    return m_isUnderWay;
}

void RebalancerTakeover::end()
{
    m_isUnderWay = false;
}

bool RebalancerTakeover::isUnderWay() const
{
    return m_isUnderWay;
}

} // namespace Heatherridge
