#pragma once

#include "heatherridge_coordination/groups/expertrebalancer.h"

namespace Heatherridge
{

/** The assignment of a rebalancer that has all groups. */
inline bool everyGroup(const GroupToAssign &)
{
    return true;
}

/** The assignment of a rebalancer that has no groups. */
inline bool noGroup(const GroupToAssign &)
{
    return false;
}

} // namespace Heatherridge
