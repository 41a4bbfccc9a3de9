#pragma once

#include "heatherridge_state/groups/layerbalance.h"

namespace Heatherridge
{

/** Input for computing a placement of all layers. */
struct GroupProblem
{
    GroupShape shape{};
    std::vector<LayerProblem> layers{};
};

/** Options of improvePlacement(). */
struct PlacementOptions
{
    /** Minimum reduction of a layer's skew for each expert that has to be loaded. 0 minimises the skew regardless of
     * the bytes to load. */
    double penaltyPerExpert = 0;
};

/**
 * Improves a placement incrementally, so that experts move only where necessary.
 *
 * Load pattern: popularity drifts, so a good placement is close to the current one. Computing it from scratch would
 * move nearly all weights for the same skew. First the load is redistributed among the existing replicas, which loads
 * no weights; then experts of the slowest rank get replicas on (or move to) the ranks that finish first, as long as the
 * gain exceeds the penalty. A second attempt starts from cutPlacement(), which is balanced but moves more weights. Of
 * all placements found by both attempts, the one with the lowest sum of skew and penalty is returned, so among nearly
 * equal ones the one with the fewest loads. A slow rank (slowness above 1) and one that has left (no slots) need no
 * special handling: the former remains the slowest until enough work is moved off it, and experts held only by the
 * latter are placed first.
 *
 * @param problem the loads, one entry per layer
 * @param current the active placement; may be empty or contain ranks that have left
 * @returns the layers, or an error of kind NoTarget if the experts do not fit on the remaining ranks
 */
Result<std::vector<LayerPlacement>> improvePlacement(const GroupProblem &problem,
                                                     const std::vector<LayerPlacement> &current,
                                                     const PlacementOptions &options);

/** Returns the skew of a whole step: the sum over the layers of the slowest rank's time, divided by the sum of the mean
 * times, since all ranks wait for each other in every layer. */
double stepSkew(const GroupProblem &problem, const std::vector<LayerPlacement> &layers);

/** Returns by which fraction a step with @p layers is slower than with all work distributed in proportion to the ranks'
 * speeds. */
double excessTimeRatio(const GroupProblem &problem, const std::vector<LayerPlacement> &layers);

/** Returns the lower bound of the step skew over all placements, from slowestTimeLowerBound(). */
double stepSkewLowerBound(const GroupProblem &problem);

} // namespace Heatherridge
