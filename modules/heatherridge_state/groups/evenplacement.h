#pragma once

#include "heatherridge_state/groups/expertlayout.h"

#include <chrono>

namespace Heatherridge
{

/** Options and limits of one improvement. */
struct EvenPlacementOptions
{
    std::size_t slotsPerRank = 0; ///< experts of a set that fit on a rank
    std::size_t maxCopiesPerRank = 0; ///< maximum number of experts of a set that a rank has to copy
    double skewThreshold = 1.04; ///< a set whose slowest rank takes at most this multiple of the mean is not changed
    /** Minimum gain of a copy, relative to a rank's mean work: below it, noise in the counts would cause copies. */
    double minGain = 0.01;
    RankSlowness slowness{}; ///< a slow rank gets less work, down to experts that are rarely selected
    int maxMoves = 64; ///< maximum copies and drops in one set, which bounds the time; about 20 are usual
};

/** How well a map must be balanced. */
struct BalanceThresholds
{
    double skewThreshold = 1.04; ///< @see EvenPlacementOptions
    double minGain = 0.01;
};

/** For long passes: callers notice every reduction. */
constexpr BalanceThresholds TightBalance{};
/** For short passes: half of the copies suffice to reduce the skew from 2.5 to 1.2, and callers notice no further
 * improvement. A day with 11 jumps moves 200 GB instead of 410 GB. */
constexpr BalanceThresholds LooseBalance{.skewThreshold = 1.25, .minGain = 0.03};

/**
 * Improves a layout in which each expert's tokens are split evenly among its holders, with few copies.
 *
 * Load pattern: popularity jumps every few seconds; passes wait for the slowest rank of every set. Copies delay the
 * switch, so a good layout now is better than the optimal one later. Each move takes work off the slowest rank: another
 * rank gets a copy of one of its experts (if full, in place of an expert that is also held elsewhere), or the slowest
 * rank drops an expert that others hold. The move that reduces the sum of squared rank times most is made, as long as
 * the gain is sufficient. Considering only the slowest rank and the four fastest limits the time to 0.3 ms per set of
 * 64 experts on 8 ranks.
 */
SetLayout improveSetLayout(const SetLayout &current, const SetDemand &demand, const EvenPlacementOptions &options);

/** A reachable layout and its cost. */
struct LayoutStage
{
    ExpertLayout layout{};
    std::size_t copies = 0; ///< maximum over the ranks of the experts to copy, over all sets
    double skew = 1; ///< @see layoutSkew()
};

/**
 * Returns layouts of all sets, each better than the previous one and with one more copy for the ranks that copy the
 * most.
 *
 * Load pattern: ranks copy in parallel, each one expert at a time, so a switch waits for the rank with the most copies.
 * Improving set by set would assign copies of all sets to one rank while the others wait; instead, the set that delays
 * passes the most is improved first and the copies are spread over the ranks.
 *
 * @param maxCopies maximum number of copies of any rank; the list ends earlier when further copies bring too little
 * gain
 */
std::vector<LayoutStage> improveLayoutInStages(const ExpertLayout &current, const std::vector<SetDemand> &demand,
                                               const EvenPlacementOptions &options, std::size_t maxCopies);

/**
 * Returns the index in @p stages of the stage with the largest skew reduction per time until it is active.
 *
 * Load pattern: large experts take 0.15 s each to copy. With all copies in a single switch, passes took two to three
 * times as long for 0.9 to 1.3 s after each jump; a first switch with the most effective copies removes most of the
 * skew in a third of that time, and the rest follows.
 *
 * @param skew skew of the active layout
 * @param timePerCopy time that a rank takes to copy one expert
 * @param timePerSwitch time that a switch takes in addition to the copies
 */
std::size_t fastestGainStage(const std::vector<LayoutStage> &stages, double skew,
                             std::chrono::duration<double> timePerCopy, std::chrono::duration<double> timePerSwitch);

} // namespace Heatherridge
