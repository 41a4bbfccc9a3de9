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

bool ControlBudget::isInOwnZone(const TargetEntry &rank) const
{
    return rank.zone == m_zone;
}

std::vector<TargetEntry> ControlBudget::ranksToPoll(std::vector<TargetEntry> ranks, std::size_t counts,
                                                    milliseconds period) const
{
    if (m_bytesPerSecond <= 0) {
        return ranks;
    }
    const double bytesPerPeriod = m_bytesPerSecond * CountsLinkFraction * Seconds(period).count();
    const auto affordable =
        static_cast<std::size_t>(bytesPerPeriod / (CountsHeaderBytes + static_cast<double>(counts)));
    const auto limit = std::max(affordable, MinPolledRanks);
    std::stable_partition(ranks.begin(), ranks.end(), [this](const auto &rank) { return isInOwnZone(rank); });
    ranks.resize(std::min(ranks.size(), limit));
    return ranks;
}

milliseconds ControlBudget::remoteStatusPeriod(std::size_t remoteRanks, milliseconds period) const
{
    if (m_bytesPerSecond <= 0) {
        return period;
    }
    const Seconds neededPeriod(static_cast<double>(remoteRanks) * StatusBytes
                               / (m_bytesPerSecond * RemoteStatusLinkFraction));
    return std::clamp(std::chrono::duration_cast<milliseconds>(neededPeriod), period,
                      std::max(period, MaxRemoteStatusPeriod));
}

milliseconds ControlBudget::sharedStatusPeriod(double pollers)
{
    return std::chrono::duration_cast<milliseconds>(Seconds(pollers / MaxStatusesPerRank));
}

} // namespace Heatherridge
