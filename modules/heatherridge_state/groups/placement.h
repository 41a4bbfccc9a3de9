#pragma once

#include "heatherridge_state/groups/layerbalance.h"

namespace Heatherridge
{

/** What a whole map is computed from. */
struct GroupProblem
{
    GroupShape shape{};
    std::vector<LayerProblem> layers{};
};

/** How much an improvement must bring. */
struct PlacementOptions
{
    /** A loaded expert must lower its layer's skew by this much. 0 asks for the least skew at any number of bytes. */
    double penaltyPerExpert = 0;
};

/**
 * Improves a placement step by step, so that what need not move stays.
 *
 * Pattern of load: popularity drifts, so a good placement is near the present one. Computing it from nothing would
 * reshuffle nearly all weights for the same skew. First the loads are divided anew among the replicas there are, which
 * loads nothing; then the slowest rank's experts get replicas (or places) on the ranks that are done first, as long as
 * that pays. A second try starts from cutPlacement(), which comes out even but moves more. Of all placements on both
 * ways the one with the best skew plus price is kept, so among near-equals the one with fewest loads. A slow rank
 * (slowness above 1) and one that left (no slots) need no case of their own: the former counts as slowest until enough
 * work is off it, the latter's sole experts are placed first.
 *
 * @param problem the loads, one entry a layer
 * @param current the placement in force; may be empty, or hold ranks that have left
 * @returns the layers, or an error of kind NoTarget when the experts don't fit on the ranks left
 */
Result<std::vector<LayerPlacement>> improvePlacement(const GroupProblem &problem,
                                                     const std::vector<LayerPlacement> &current,
                                                     const PlacementOptions &options);

/** Skew of a whole step: the sum over layers of the slowest rank's time over the sum of the means, since all ranks wait
 * for each other in every layer. */
double stepSkew(const GroupProblem &problem, const std::vector<LayerPlacement> &layers);

/** The part of a step's time by which @p layers is slower than with all work evenly spread over the ranks' speeds. */
double excessTimeRatio(const GroupProblem &problem, const std::vector<LayerPlacement> &layers);

/** The least step skew that any placement can have, by slowestTimeLowerBound(). */
double stepSkewLowerBound(const GroupProblem &problem);

} // namespace Heatherridge
