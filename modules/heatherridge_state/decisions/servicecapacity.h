#pragma once

#include "heatherridge_state/decisions/engineplacement.h"
#include "heatherridge_state/decisions/groupadmission.h"
#include "heatherridge_state/decisions/rankadmission.h"

#include <span>

namespace Heatherridge
{

/**
 * Returns the free capacity of the expert groups of one service for RankAdmission: the headroom of all open groups. A
 * group that cannot serve any stream on time offers its free slots to late streams only.
 *
 * @param engines of all groups
 * @param groups by the index that @p engines name
 * @param loads of @p groups, in the same order
 */
RankAdmission::Capacity freeCapacity(std::span<const EngineCandidate> engines, std::span<const EngineGroup> groups,
                                     std::span<const GroupLoad> loads, const PassTimeModel &passTimes,
                                     const PlacementRequest &request);

/** Returns whether any of @p engines is open and was not tried, even if all are full. */
bool hasOpenEngine(std::span<const EngineCandidate> engines);

} // namespace Heatherridge
