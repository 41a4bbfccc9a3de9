#pragma once

#include "heatherridge_coordination/demand/demandexchange.h"
#include "heatherridge_state/routing/routetable.h"
#include "heatherridge_transport/app/metrics.h"
#include "heatherridge_transport/direct/sidecarcalls.h"
#include "heatherridge_transport/direct/sidecardemandlink.h"

#include <functional>

namespace Heatherridge
{

/**
 * The exchange of demand between a gateway and all others, with its log lines and metrics. Used on the control thread
 * only.
 */
class GatewayDemand
{
public:
    struct Options
    {
        DemandExchange::Options exchange{};
        int sidecarPort = 0; ///< 0 if there are no sidecars; demand is never known then
    };

    struct Events
    {
        std::function<void(FleetDemand)> changed{}; ///< the demand at all other gateways
        std::function<void()> demandNeeded{}; ///< setOwnDemand() is to be called soon
    };

    /** @p client and @p metrics must outlive this object. */
    GatewayDemand(HttpClient &client, const Options &options, Events events, Metrics &metrics);

    /** Applies the rules and targets in force. */
    void update(const RoutingConfig &config, const std::vector<TargetEntry> &targets);

    /** Sets the demand at this gateway. */
    void setOwnDemand(std::vector<ServiceDemand> demand);

    /** Performs the work that is due. @param gateways as known from the log's division of work */
    void tick(SteadyTime now, const PollerCounts &gateways);

    /** Tells the others that this gateway stops. Calls @p left once all of them know or cannot be told. */
    void leave(const std::function<void()> &left = {});

private:
    DemandExchange::Events makeEvents(Events events);
    void onStatusChanged(const DemandExchange::Status &status);

    SidecarCalls m_calls;
    Gauge &m_gatewayCount;
    Gauge &m_age;
    SidecarDemandLink m_link;
    DemandExchange m_exchange;
};

} // namespace Heatherridge
