#include "heatherridge_transport/direct/admissioncontrol.h"

#include <utility>

namespace Heatherridge
{

DemandMeter::Stream AdmissionControl::recordArrival(const DemandMeter::StreamClass &streamClass, SteadyTime now)
{
    return m_meter.recordArrival(streamClass, now);
}

std::vector<ServiceDemand> AdmissionControl::demand(SteadyTime now) const
{
    return m_meter.demand(now);
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
    return m_meter.demandOf(service, now);
}

} // namespace Heatherridge
