#pragma once

#include "heatherridge_state/demand/fleetdemand.h"

#include <cstdint>
#include <unordered_map>

namespace Heatherridge
{

/**
 * Adds up the demand of several gateways or zones by service, rank and workspace.
 *
 * Values are kept as multiples of 1/65536, so that what was added can be removed again without a rounding error:
 * adding up 72 statements anew for each answer took 0.36 ms, and an exchange point gives 200 answers a second. The
 * result is within the limits of fleetdemand.h whatever is added: it keeps the highest ranks and the busiest
 * workspaces, and a sum above MaxDemandValue counts as MaxDemandValue. Not thread-safe.
 */
class DemandSum
{
public:
    /** Adds @p services. */
    void add(const std::vector<ServiceDemand> &services);

    /** Removes @p services, which must have been added. */
    void remove(const std::vector<ServiceDemand> &services);

    /** Returns the sum by service, with the @p maxWorkspaces busiest workspaces of each. */
    std::vector<ServiceDemand> services(std::size_t maxWorkspaces) const;

private:
    /** A sum of rates or counts in multiples of 1/65536. */
    using FixedPoint = std::int64_t;

    struct Rank
    {
        int parts = 0; ///< number of statements that the sum includes
        FixedPoint arrivalsPerSecond = 0;
        FixedPoint waiting = 0;
        FixedPoint inProgress = 0;
    };

    struct Workspace
    {
        int parts = 0;
        FixedPoint arrivalsPerSecond = 0;
        FixedPoint inFlight = 0;
    };

    using Workspaces = std::unordered_map<WorkspaceName, Workspace>;

    struct Service
    {
        int parts = 0;
        std::map<int, Rank> ranks{};
        Workspaces workspaces{};
    };

    static std::vector<WorkspaceDemand> busiest(const Workspaces &workspaces, std::size_t maximum);
    static void apply(Service &service, const ServiceDemand &demand, int sign);

    std::map<ServiceName, Service> m_services;
};

} // namespace Heatherridge
