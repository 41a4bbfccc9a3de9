#pragma once

#include "heatherridge_state/demand/fleetdemand.h"

#include <unordered_map>

namespace Heatherridge
{

/**
 * Adds up the demand of several gateways or zones by service, rank and workspace.
 *
 * The result is within the limits of fleetdemand.h whatever is added: it keeps the highest ranks and the busiest
 * workspaces, and a sum above MaxDemandValue counts as MaxDemandValue. Not thread-safe.
 */
class DemandSum
{
public:
    /** Adds @p services. */
    void add(const std::vector<ServiceDemand> &services);

    /** Returns the sum by service, with the @p maxWorkspaces busiest workspaces of each. */
    std::vector<ServiceDemand> services(std::size_t maxWorkspaces) const;

private:
    struct Service
    {
        std::map<int, RankDemand> ranks{};
        std::unordered_map<WorkspaceName, WorkspaceDemand> workspaces{};
    };

    std::map<ServiceName, Service> m_services;
};

} // namespace Heatherridge
