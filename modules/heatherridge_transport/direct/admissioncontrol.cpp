#include "heatherridge_transport/direct/admissioncontrol.h"

#include <utility>

namespace Heatherridge
{

std::vector<ServiceDemand> AdmissionControl::demand([[maybe_unused]] SteadyTime now) const
{
    return {};
}

void AdmissionControl::setFleetDemand(FleetDemand demand)
{
    m_fleetDemand = std::move(demand);
}

const FleetDemand &AdmissionControl::fleetDemand() const
{
    return m_fleetDemand;
}

ServiceDemand AdmissionControl::demandOf(const ServiceName &service, SteadyTime now) const
{
    for (auto &demand : demand(now)) {
        if (demand.service == service) {
            return demand;
        }
    }
    return {.service = service};
}

} // namespace Heatherridge
