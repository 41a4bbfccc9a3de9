#pragma once

#include "heatherridge_state/groups/replicatedplacement.h"

namespace Heatherridge
{

/**
 * Baseline: hierarchical by zone and host. The experts are divided longest first over the zones, each zone's over its
 * hosts, in proportion to the slots there; on each host the hot ones are replicated and packed as in
 * replicatedPlacement(). An expert's replicas thus stay on one host. Ignores the placement in force.
 *
 * @param locations where each rank sits; without it the group counts as one host
 * @returns the placement, or nothing when the experts don't fit
 */
std::optional<LayerPlacement> hierarchicalPlacement(const LayerProblem &problem,
                                                    const std::vector<RankLocation> &locations);

} // namespace Heatherridge
