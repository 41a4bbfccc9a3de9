#pragma once

#include "heatherridge_state/base/ids.h"
#include "heatherridge_state/routing/targetentry.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace Heatherridge
{

/**
 * How often and of how many ranks a process may ask for statuses and counts.
 *
 * Load pattern: what is asked grows with the ranks, and counts also with the experts of the model, while the link of
 * who asks stays as it is and carries callers' traffic. So a part of the link bounds both. Ranks of the own
 * availability zone come first, since the ways to others are paid for; all ranks work on requests of one mix, so that
 * some tell the demand of all.
 */
class ControlBudget
{
public:
    /** Part of the link for counts: with a tenth a whole round of the largest models' near ranks fits a period. */
    static constexpr double CountsLinkFraction = 0.1;
    /** Part of the link for statuses of ranks in other zones. */
    static constexpr double RemoteStatusLinkFraction = 0.0025;
    /** One question for a status and its answer, with their headers. */
    static constexpr double StatusBytes = 600;
    /** What headers add to the counts of one rank, a byte a count. */
    static constexpr double CountsHeaderBytes = 300;
    /** As many are asked for counts however slow the link is, or the demand of all is told by the requests of few. */
    static constexpr std::size_t MinPolledRanks = 8;
    /** Far ranks are not asked less often: what is believed of them would be of no use. */
    static constexpr std::chrono::milliseconds MaxRemoteStatusPeriod{3'000};

    /** @param bytesPerSecond that the link carries; 0 for a link without bound */
    ControlBudget(ZoneName zone, double bytesPerSecond);

    /** Whether asking @p rank is not paid for. */
    bool isInOwnZone(const TargetEntry &rank) const;

    /**
     * Those of @p ranks that are asked for their counts each @p period, the same ones as long as the ranks are the
     * same: a rank that is asked now and then tells of demand that is long gone.
     * @param counts that each of them has
     */
    std::vector<TargetEntry> ranksToPoll(std::vector<TargetEntry> ranks, std::size_t counts,
                                         std::chrono::milliseconds period) const;

    /** How often to ask @p remoteRanks ranks of other zones for their status; @p period at the least. */
    std::chrono::milliseconds remoteStatusPeriod(std::size_t remoteRanks, std::chrono::milliseconds period) const;

private:
    ZoneName m_zone;
    double m_bytesPerSecond;
};

} // namespace Heatherridge
