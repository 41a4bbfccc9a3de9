#pragma once

#include "heatherridge_state/groups/layerbalance.h"

namespace Heatherridge
{

/**
 * Baseline: longest processing time first. Experts by falling load, each to the rank that would be done first, one
 * replica each; ignores the placement in force. Nothing when the experts don't fit.
 */
std::optional<LayerPlacement> greedyPlacement(const LayerProblem &problem);

/** One replica to be packed: an expert and the load that this replica carries. */
struct PackItem
{
    int expert = 0;
    double load = 0;
};

/**
 * Packs @p items, heaviest first, each to the rank of @p ranks that would be done first and doesn't hold the expert
 * yet. An item that only fits beside its sibling is left out when it has one placed. Appends to @p placed as (expert,
 * rank).
 * @returns false when an expert remained without a rank
 */
bool packLongestFirst(const LayerProblem &problem, const std::vector<int> &ranks, std::vector<PackItem> items,
                      std::vector<std::pair<int, int>> &placed);

/** The placement for (expert, rank) pairs, each expert's tokens split evenly over its replicas. */
LayerPlacement withEvenShares(std::vector<std::pair<int, int>> placed);

} // namespace Heatherridge
