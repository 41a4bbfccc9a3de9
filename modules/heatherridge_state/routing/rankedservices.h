#pragma once

#include "heatherridge_state/routing/routingconfig.h"

#include <set>

namespace Heatherridge
{

/**
 * Returns the services whose streams can have different priorities: several streaming routes to the service differ in
 * their priority, or a workspace overrides the priority of such a route.
 */
std::set<ServiceName> rankedServices(const RoutingConfig &config);

} // namespace Heatherridge
