#pragma once

#include "heatherridge_state/groups/layerbalance.h"

namespace Heatherridge
{

/**
 * Computes a placement in which all ranks are done at nearly the same time, staying near @p current where it can.
 *
 * Each rank in turn is filled up to its part of the load: whole experts into all slots but the last, then a piece cut
 * from the heaviest expert left, whose rest goes on to other ranks. With as many ranks as experts and two slots a rank
 * this is the alias method for drawing from a discrete distribution, which always comes out even: the mean expert left
 * never gets lighter than a rank's part, so there is always a light one to place whole and a heavy one to cut. Which
 * light and which heavy expert is free to choose, and a rank's own from @p current are taken first.
 *
 * @returns who holds what, with shares as cut; experts that found no slot are missing, see
 * LayerAssignment::placeMissingExperts()
 */
LayerPlacement splitPlacement(const LayerProblem &problem, const LayerPlacement &current);

} // namespace Heatherridge
