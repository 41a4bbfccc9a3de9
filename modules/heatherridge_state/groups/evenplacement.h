#pragma once

#include "heatherridge_state/groups/expertlayout.h"

namespace Heatherridge
{

/** Bounds of one improvement. */
struct EvenPlacementOptions
{
    std::size_t places = 0; ///< experts of a set that fit on a rank
    std::size_t newPerRank = 0; ///< experts of a set that a rank may have to copy
    double goodSkew = 1.04; ///< a set whose most loaded rank is this near the mean is left as it is
    /** What one copy must save, as a part of a rank's mean work: below it noise in the counts pays for copies. */
    double leastGain = 0.01;
    RankSlowness slowness{}; ///< a slow rank gets less work, down to experts that are hardly chosen
    int mostMoves = 64; ///< copies and drops in one set: bounds the time, some 20 are usual
};

/** How even a map must be. */
struct Evenness
{
    double goodSkew = 1.04; ///< @see EvenPlacementOptions
    double leastGain = 0.01;
};

/** While passes are long: each part saved is seen by callers. */
constexpr Evenness ThoroughEvenness{};
/** While passes are short: half of the copies are enough to bring 2.5 times the mean down to 1.2, and callers notice no
 * more than that. A day with 11 jumps moves 200 GB instead of 410. */
constexpr Evenness RoughEvenness{.goodSkew = 1.25, .leastGain = 0.03};

/**
 * Improves a layout whose experts are shared evenly by their holders, with few copies.
 *
 * Pattern of load: popularity jumps every few seconds; passes wait for the most loaded rank of every set. Copies delay
 * the switch, so a good layout now beats the best one later. Each move takes work off the most loaded rank: another
 * rank gets a copy of one of its experts (in place of one that is held elsewhere too, when it is full), or it drops a
 * copy of an expert that others hold. The move that lowers the sum of squared loads most is taken, as long as it pays.
 * Looking only at the heaviest rank and the four lightest keeps it at 0.3 ms a set of 64 experts on 8 ranks.
 */
SetLayout improveEvenly(const SetLayout &current, const SetDemand &demand, const EvenPlacementOptions &options);

/** improveEvenly() for all sets. */
ExpertLayout improveEvenly(const ExpertLayout &current, const std::vector<SetDemand> &demand,
                           const EvenPlacementOptions &options);

} // namespace Heatherridge
