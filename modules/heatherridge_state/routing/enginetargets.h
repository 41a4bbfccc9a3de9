#pragma once

#include "heatherridge_state/routing/routingconfig.h"
#include "heatherridge_state/routing/targetentry.h"

#include <vector>

namespace Heatherridge
{

/** Returns those of @p targets whose service has model engines by @p config: a sidecar runs beside each of them. */
std::vector<TargetEntry> engineTargets(const RoutingConfig &config, const std::vector<TargetEntry> &targets);

} // namespace Heatherridge
