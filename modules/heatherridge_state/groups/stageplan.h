#pragma once

#include "heatherridge_state/groups/placement.h"

namespace Heatherridge
{

/**
 * Returns the next stage of the transition from @p current to @p desired: some layers are changed to @p desired, the
 * others stay unchanged.
 *
 * Load pattern: the weight store is rate-limited and shared. A single large switch would load for minutes and take
 * effect all at once, when the load has already changed; until then each rank would have to hold both maps. A stage
 * loads at most @p byteBudget bytes, starting with the layers that save the most time per byte, so the first stage
 * already brings a gain and later ones can be abandoned. Layers that load nothing are always included.
 *
 * @param problem the loads used to measure the gain
 * @param byteBudget bytes that the stage may load; one layer is always included, even if it alone exceeds the budget
 */
std::vector<LayerPlacement> nextStage(const GroupProblem &problem, const std::vector<LayerPlacement> &current,
                                      const std::vector<LayerPlacement> &desired, std::uint64_t byteBudget);

/** Returns the bytes to load over all layers. */
std::uint64_t bytesToMove(const GroupShape &shape, const std::vector<LayerPlacement> &from,
                          const std::vector<LayerPlacement> &to);

} // namespace Heatherridge
