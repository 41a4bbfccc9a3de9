#include "heatherridge_state/routing/rankedservices.h"

#include <map>

namespace Heatherridge
{

std::set<ServiceName> rankedServices(const RoutingConfig &config)
{
    std::map<ServiceName, std::set<int>> priorities;
    for (const auto &route : config.routes) {
        if (route.kind != RequestKind::EventStream) {
            continue;
        }
        for (const auto &service : route.services) {
            if (service.weight > 0) {
                priorities[service.service].insert(route.priority);
            }
        }
    }
    std::set<ServiceName> ranked;
    for (const auto &[service, ofService] : priorities) {
        if (ofService.size() > 1) {
            ranked.insert(service);
        }
    }
    return ranked;
}

} // namespace Heatherridge
