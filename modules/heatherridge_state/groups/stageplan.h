#pragma once

#include "heatherridge_state/groups/placement.h"

namespace Heatherridge
{

/**
 * The next stage on the way from @p current to @p desired: some layers as wanted, the rest as they are.
 *
 * Pattern of load: the store is rate-limited and shared. One big switch would load for minutes and then take effect
 * all at once, for a load that has moved on; and until then each rank would have to hold both maps. A stage loads at
 * most @p byteBudget bytes, layers with the most time saved a byte first, so the gain starts with the first stage and
 * each later one can be given up. Layers that load nothing are always in.
 *
 * @param problem the loads that the gain is measured by
 * @param byteBudget bytes the stage may load; one layer is taken even when it alone is over it
 */
std::vector<LayerPlacement> nextStage(const GroupProblem &problem, const std::vector<LayerPlacement> &current,
                                      const std::vector<LayerPlacement> &desired, std::uint64_t byteBudget);

/** Bytes to load for all layers. */
std::uint64_t bytesToMove(const GroupShape &shape, const std::vector<LayerPlacement> &from,
                          const std::vector<LayerPlacement> &to);

} // namespace Heatherridge
