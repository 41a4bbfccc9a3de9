#pragma once

#include "heatherridge_coordination/feed/workshare.h"
#include "heatherridge_state/base/ids.h"

#include <cstddef>
#include <functional>

namespace Heatherridge
{

/** A group that needs a rebalancer. */
struct GroupToAssign
{
    GroupName name{};
    ZoneName homeZone{}; ///< the availability zone of most of its ranks
    std::size_t serviceRanks = 0; ///< of all groups of its service
    bool isUnattended = false; ///< no rebalancer has read its demand for a while
};

/** Returns whether a group is assigned to this process. */
using GroupPredicate = std::function<bool(const GroupToAssign &group)>;

/** Ranks whose groups one process rebalances: polling them takes a quarter of a core. */
constexpr std::size_t MaxRanksPerRebalancer = 192;

/**
 * Returns whether the log has assigned @p group of @p service to this process, which is in @p ownZone.
 *
 * Load pattern: requests for the statuses and counts of ranks grow with the ranks, and those that cross zones are
 * charged. One process rebalances all groups of a service while it can poll all their ranks, since an average over more
 * ranks follows demand better. Beyond that the groups are divided among the processes of their home zones; a group that
 * none of these attends to is assigned to a process of any zone.
 */
bool isAssignedTo(const WorkShare &share, const ZoneName &ownZone, const ServiceName &service,
                  const GroupToAssign &group);

} // namespace Heatherridge
