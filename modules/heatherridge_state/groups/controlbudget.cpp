#include "heatherridge_state/groups/controlbudget.h"

#include <algorithm>

namespace Heatherridge
{

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

ControlBudget::ControlBudget(ZoneName zone, double bytesPerSecond)
    : m_zone(std::move(zone))
    , m_bytesPerSecond(bytesPerSecond)
{
}

bool ControlBudget::isNear(const TargetEntry &rank) const
{
    return rank.zone == m_zone;
}

std::vector<TargetEntry> ControlBudget::surveyed(std::vector<TargetEntry> ranks, std::size_t counts,
                                                 milliseconds period) const
{
    if (m_bytesPerSecond <= 0) {
        return ranks;
    }
    const double perRound = m_bytesPerSecond * CountsPart * Seconds(period).count();
    const auto fitting = static_cast<std::size_t>(perRound / (CountsHeadBytes + static_cast<double>(counts)));
    const auto most = std::max(fitting, LeastSurveyed);
    std::stable_partition(ranks.begin(), ranks.end(), [this](const auto &rank) { return isNear(rank); });
    ranks.resize(std::min(ranks.size(), most));
    return ranks;
}

milliseconds ControlBudget::farPeriod(std::size_t farRanks, milliseconds period) const
{
    if (m_bytesPerSecond <= 0) {
        return period;
    }
    const Seconds needed(static_cast<double>(farRanks) * StatusBytes / (m_bytesPerSecond * FarStatusPart));
    return std::clamp(std::chrono::duration_cast<milliseconds>(needed), period, std::max(period, LongestFarPeriod));
}

} // namespace Heatherridge
