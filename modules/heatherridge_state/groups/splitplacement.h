#pragma once

#include "heatherridge_state/groups/layerbalance.h"

namespace Heatherridge
{

/**
 * Computes a placement in which all ranks finish at nearly the same time, close to @p current where possible.
 *
 * Fills the ranks one after the other up to their part of the load: whole experts in all slots but the last, then a
 * part of the heaviest remaining expert, whose rest goes to other ranks. With as many ranks as experts and two slots
 * per rank this is the alias method for sampling a discrete distribution, which always yields a balanced result: the
 * mean load of the remaining experts never falls below a rank's part, so there is always a light expert to place whole
 * and a heavy one to split. The method works with any light and any heavy expert; those that the rank holds in @p
 * current are preferred.
 *
 * @returns the placement with the shares from splitting; experts without a slot are missing, see
 * LayerAssignment::placeMissingExperts()
 */
LayerPlacement splitPlacement(const LayerProblem &problem, const LayerPlacement &current);

} // namespace Heatherridge
