#pragma once

#include "heatherridge_state/base/ids.h"
#include "heatherridge_state/routing/targetentry.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace Heatherridge
{

/** Numbers of processes that poll the same ranks. */
struct PollerCounts
{
    double all = 1;
    double inZone = 1; ///< in the same availability zone as this one
};

/**
 * Limits how often a process polls the statuses of ranks, and from how many ranks it polls expert selection counts.
 *
 * Load pattern: the polling traffic grows with the number of ranks, and that of the counts also with the number of
 * experts of the model, while the link of the polling process keeps its capacity and also carries callers' traffic.
 * Therefore both are limited to a fraction of the link. Ranks of the same availability zone come first, since traffic
 * to other zones is charged. All ranks process the same mix of requests, so a sample of ranks represents the demand of
 * all.
 */
class ControlBudget
{
public:
    /** Fraction of the link for counts: with a tenth, the counts of all ranks of the own zone fit into a period even
     * for the largest models. */
    static constexpr double CountsLinkFraction = 0.1;
    /** Fraction of the link for statuses of ranks in other zones. */
    static constexpr double RemoteStatusLinkFraction = 0.0025;
    /** Bytes of a status request and its response, headers included. */
    static constexpr double StatusBytes = 600;
    /** Bytes that headers add to the counts of one rank; each count takes one byte. */
    static constexpr double CountsHeaderBytes = 300;
    /** Minimum number of ranks polled for counts, however slow the link is; fewer would not represent the overall
     * demand. */
    static constexpr std::size_t MinPolledRanks = 8;
    /** Maximum polling period for ranks in other zones; with a longer one their status would be too old to be useful.
     */
    static constexpr std::chrono::milliseconds MaxRemoteStatusPeriod{3'000};

    /**
     * Statuses that all processes together request from one rank in a second, however many processes there are. Four
     * processes may use the usual period.
     */
    static constexpr double MaxStatusesPerRank = 10;

    /** @param bytesPerSecond capacity of the link; 0 for unlimited */
    ControlBudget(ZoneName zone, double bytesPerSecond);

    /** Returns whether @p rank is in the own availability zone, to which traffic is not charged. */
    bool isInOwnZone(const TargetEntry &rank) const;

    /**
     * Returns the subset of @p ranks to poll for counts in each @p period. The subset is stable while the ranks stay
     * the same, since a rank that is polled only occasionally reports outdated demand.
     * @param counts number of counts per rank
     */
    std::vector<TargetEntry> ranksToPoll(std::vector<TargetEntry> ranks, std::size_t counts,
                                         std::chrono::milliseconds period) const;

    /** Returns the polling period for the statuses of @p remoteRanks ranks in other zones, at least @p period. */
    std::chrono::milliseconds remoteStatusPeriod(std::size_t remoteRanks, std::chrono::milliseconds period) const;

    /** Returns the polling period with which @p pollers processes together keep MaxStatusesPerRank. */
    static std::chrono::milliseconds sharedStatusPeriod(double pollers);

private:
    ZoneName m_zone;
    double m_bytesPerSecond;
};

} // namespace Heatherridge
