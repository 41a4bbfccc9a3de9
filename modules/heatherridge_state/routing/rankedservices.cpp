#include "heatherridge_state/routing/rankedservices.h"

#include <map>

namespace Heatherridge
{

namespace
{

/** Returns the priorities that requests of @p route can have. */
std::set<int> prioritiesOf(const RouteRule &route, const RoutingConfig &config)
{
    std::set<int> priorities;
    if (route.isPublic || config.workspaces.empty()) {
        priorities.insert(route.priority);
    }
    for (const auto &workspace : config.workspaces) {
        priorities.insert(workspace.priority.value_or(route.priority));
    }
    return priorities;
}

} // namespace

std::set<ServiceName> rankedServices(const RoutingConfig &config)
{
    std::map<ServiceName, std::set<int>> priorities;
    for (const auto &route : config.routes) {
        if (route.kind != RequestKind::EventStream) {
            continue;
        }
        const auto ofRoute = prioritiesOf(route, config);
        for (const auto &service : route.services) {
            if (service.weight > 0) {
                priorities[service.service].insert(ofRoute.begin(), ofRoute.end());
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
