#pragma once

#include "heatherridge_coordination/feed/rulesexchange.h"
#include "heatherridge_state/routing/routingconfig.h"
#include "heatherridge_transport/app/metrics.h"
#include "heatherridge_transport/direct/sidecarcalls.h"
#include "heatherridge_transport/direct/sidecarruleslink.h"

#include <functional>

namespace Heatherridge
{

/**
 * The exchange of rules and drained zones between a gateway and all others, with its log lines and metrics. Used on the
 * control thread only.
 */
class GatewayRules
{
public:
    struct Options
    {
        RulesExchange::Options exchange{};
        int sidecarPort = 0; ///< 0 if there are no sidecars; rules are not exchanged then
    };

    struct Events
    {
        /** Called with rules newer than those set. */
        std::function<void(const RulesRecord &record, const TargetName &from)> received{};
        /** Called while the log cannot be read with the drained zones that another gateway has read from it. */
        std::function<void(const ZoneDrains &drains)> drainsReceived{};
    };

    /** @p client and @p metrics must outlive this object. */
    GatewayRules(HttpClient &client, const Options &options, Events events, Metrics &metrics);

    /** Applies the rules and targets in force. */
    void update(const RoutingConfig &config, const std::vector<TargetEntry> &targets);

    /** Sets the record of the rules that are now in force at this gateway. */
    void setRules(const RulesRecord &rules);

    /** Sets the drained zones that this gateway has read from the register. */
    void setDrains(const ZoneDrains &drains);

    /** Performs the work that is due. @param gateways as known from the log's division of work */
    void tick(SteadyTime now, bool readsLog, const PollerCounts &gateways);

private:
    bool m_isOn;
    SidecarCalls m_calls;
    SidecarRulesLink m_link;
    RulesExchange m_exchange;
};

} // namespace Heatherridge
