#pragma once

#include "heatherridge_state/groups/greedyplacement.h"

namespace Heatherridge
{

/**
 * Baseline: hot-expert replication. The expert with the highest load per replica gets another replica until all slots
 * are used; the replicas, each with an equal share of the expert's load, are packed heaviest first. Ignores the active
 * placement. Returns nothing if the experts do not fit.
 */
std::optional<LayerPlacement> replicatedPlacement(const LayerProblem &problem);

/** Returns replicas of @p experts of @p problem that fill @p slots, at most @p maxReplicas per expert; the loads are
 * per replica. */
std::vector<PackItem> replicateHottest(const LayerProblem &problem, const std::vector<int> &experts, int slots,
                                       int maxReplicas);

} // namespace Heatherridge
