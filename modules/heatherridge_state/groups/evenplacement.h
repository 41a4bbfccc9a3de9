#pragma once

#include "heatherridge_state/groups/expertlayout.h"

#include <chrono>

namespace Heatherridge
{

/** Bounds of one improvement. */
struct EvenPlacementOptions
{
    std::size_t slotsPerRank = 0; ///< experts of a set that fit on a rank
    std::size_t maxCopiesPerRank = 0; ///< experts of a set that a rank may have to copy
    double skewThreshold = 1.04; ///< a set whose most loaded rank is this near the mean is left as it is
    /** What one copy must save, as a part of a rank's mean work: below it noise in the counts pays for copies. */
    double minGain = 0.01;
    RankSlowness slowness{}; ///< a slow rank gets less work, down to experts that are hardly chosen
    int maxMoves = 64; ///< copies and drops in one set: bounds the time, some 20 are usual
};

/** How even a map must be. */
struct BalanceThresholds
{
    double skewThreshold = 1.04; ///< @see EvenPlacementOptions
    double minGain = 0.01;
};

/** While passes are long: each part saved is seen by callers. */
constexpr BalanceThresholds TightBalance{};
/** While passes are short: half of the copies are enough to bring 2.5 times the mean down to 1.2, and callers notice no
 * more than that. A day with 11 jumps moves 200 GB instead of 410. */
constexpr BalanceThresholds LooseBalance{.skewThreshold = 1.25, .minGain = 0.03};

/**
 * Improves a layout whose experts are shared evenly by their holders, with few copies.
 *
 * Pattern of load: popularity jumps every few seconds; passes wait for the most loaded rank of every set. Copies delay
 * the switch, so a good layout now beats the best one later. Each move takes work off the most loaded rank: another
 * rank gets a copy of one of its experts (in place of one that is held elsewhere too, when it is full), or it drops a
 * copy of an expert that others hold. The move that lowers the sum of squared loads most is taken, as long as it pays.
 * Looking only at the heaviest rank and the four lightest keeps it at 0.3 ms a set of 64 experts on 8 ranks.
 */
SetLayout improveSetLayout(const SetLayout &current, const SetDemand &demand, const EvenPlacementOptions &options);

/** A layout that can be had, and what it takes. */
struct LayoutStage
{
    ExpertLayout layout{};
    std::size_t copies = 0; ///< experts that the rank with the most of them has to copy, over all sets
    double skew = 1; ///< @see layoutSkew()
};

/**
 * Layouts of all sets, each better than the one before and with one copy more for the ranks with the most.
 *
 * Pattern of load: ranks copy side by side, each one expert after the other, so a switch waits for the rank that has
 * the most to copy. Improved set by set, one rank is given copies of all sets while its neighbours wait; here the set
 * that delays passes most comes first and copies are spread over ranks.
 *
 * @param maxCopies of any rank; the list ends sooner when no more copies pay
 */
std::vector<LayoutStage> improveLayoutInStages(const ExpertLayout &current, const std::vector<SetDemand> &demand,
                                               const EvenPlacementOptions &options, std::size_t maxCopies);

/**
 * The stage that lowers the skew most for the time until it is in use, as an index of @p stages.
 *
 * Pattern of load: large experts take 0.15 s each to copy. With the whole way in one switch, passes took two to three
 * times as long for 0.9 to 1.3 s after each jump; a first switch with the copies that matter most ends the worst of it
 * in a third of that, and the rest follows.
 *
 * @param skew of the layout in use
 * @param timePerCopy what a rank takes to copy one expert
 * @param timePerSwitch what a switch takes beside copies
 */
std::size_t fastestGainStage(const std::vector<LayoutStage> &stages, double skew,
                             std::chrono::duration<double> timePerCopy, std::chrono::duration<double> timePerSwitch);

} // namespace Heatherridge
