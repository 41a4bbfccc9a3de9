#pragma once

#include "heatherridge_state/routing/routingconfig.h"

#include <set>

namespace Heatherridge
{

/**
 * Returns the services whose streaming routes differ in their priority. A workspace that overrides the priority of a
 * route does not count: deployments that set nothing else are served as before.
 */
std::set<ServiceName> rankedServices(const RoutingConfig &config);

} // namespace Heatherridge
