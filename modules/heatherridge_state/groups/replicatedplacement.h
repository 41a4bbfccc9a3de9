#pragma once

#include "heatherridge_state/groups/greedyplacement.h"

namespace Heatherridge
{

/**
 * Baseline: hot-expert replication. Every slot is filled: the expert with the most load a replica gets one more until
 * all slots are used; the replicas, each with an even part of its expert's load, are packed longest first. Ignores the
 * placement in force. Nothing when the experts don't fit.
 */
std::optional<LayerPlacement> replicatedPlacement(const LayerProblem &problem);

/** Replicas for @p experts of @p problem that fill @p slots, at most @p maxReplicas each; loads are per replica. */
std::vector<PackItem> replicateHottest(const LayerProblem &problem, const std::vector<int> &experts, int slots,
                                       int maxReplicas);

} // namespace Heatherridge
