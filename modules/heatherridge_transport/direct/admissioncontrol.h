#pragma once

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/demand/demandmeter.h"
#include "heatherridge_state/demand/fleetdemand.h"

#include <vector>

namespace Heatherridge
{

/**
 * Decides on the admission of streams by the demand of all gateways.
 *
 * Holds what the decisions of a gateway's traffic thread share: its own demand and the last known demand of the other
 * gateways. Used on the traffic thread only.
 */
class AdmissionControl
{
public:
    /** Records that a stream arrived at this gateway. */
    DemandMeter::Stream recordArrival(const DemandMeter::StreamClass &streamClass, SteadyTime now);

    /** Returns the demand of this gateway's streams by service. */
    std::vector<ServiceDemand> demand(SteadyTime now) const;

    /** Replaces the demand at all other gateways. */
    void setFleetDemand(FleetDemand demand);

    /** Returns the last demand at all other gateways; check `isKnown` before using it. */
    const FleetDemand &fleetDemand() const;

private:
    DemandMeter m_meter;
    FleetDemand m_fleetDemand;
};

} // namespace Heatherridge
