#pragma once

#include "heatherridge_state/groups/replicatedplacement.h"

namespace Heatherridge
{

/**
 * Baseline: hierarchical by zone and host. The experts are distributed over the zones, heaviest first and in proportion
 * to the slots of each zone, and those of each zone likewise over its hosts; on each host the hot experts are
 * replicated and packed as in replicatedPlacement(). The replicas of an expert are thus on one host. Ignores the active
 * placement.
 *
 * @param locations location of each rank; if empty, the group counts as one host
 * @returns the placement, or nothing if the experts do not fit
 */
std::optional<LayerPlacement> hierarchicalPlacement(const LayerProblem &problem,
                                                    const std::vector<RankLocation> &locations);

} // namespace Heatherridge
