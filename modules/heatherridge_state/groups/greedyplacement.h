#pragma once

#include "heatherridge_state/groups/layerbalance.h"

namespace Heatherridge
{

/**
 * Baseline: longest processing time first. Experts in order of decreasing load, one replica each, go to the rank that
 * would finish first. Ignores the active placement. Returns nothing if the experts do not fit.
 */
std::optional<LayerPlacement> greedyPlacement(const LayerProblem &problem);

/** One replica to be packed: an expert and the load of this replica. */
struct PackItem
{
    int expert = 0;
    double load = 0;
};

/**
 * Packs @p items, heaviest first, each on the rank of @p ranks that would finish first and does not hold the expert
 * yet. An item without such a rank is dropped if another replica of its expert has been placed. Appends (expert, rank)
 * pairs to
 * @p placed.
 * @returns false if an expert remains without a rank
 */
bool packLongestFirst(const LayerProblem &problem, const std::vector<int> &ranks, std::vector<PackItem> items,
                      std::vector<std::pair<int, int>> &placed);

/** Returns the placement for (expert, rank) pairs, with the tokens of each expert split evenly over its replicas. */
LayerPlacement withEvenShares(std::vector<std::pair<int, int>> placed);

} // namespace Heatherridge
