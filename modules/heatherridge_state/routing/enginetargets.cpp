#include "heatherridge_state/routing/enginetargets.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace Heatherridge
{

std::vector<TargetEntry> engineTargets(const RoutingConfig &config, const std::vector<TargetEntry> &targets)
{
    std::set<ServiceName> services;
    for (const auto &service : config.services) {
        if (service.engine) {
            services.insert(service.name);
        }
    }
    std::vector<TargetEntry> engines;
    std::copy_if(targets.begin(), targets.end(), std::back_inserter(engines),
                 [&services](const auto &target) { return services.contains(target.service); });
    return engines;
}

} // namespace Heatherridge
