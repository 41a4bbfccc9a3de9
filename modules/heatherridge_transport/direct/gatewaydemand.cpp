#include "heatherridge_transport/direct/gatewaydemand.h"

#include "heatherridge_state/routing/enginetargets.h"
#include "heatherridge_state/routing/rankedservices.h"
#include "heatherridge_transport/app/logger.h"

namespace Heatherridge
{

namespace
{

DemandExchange::Options exchangeOptions(const GatewayDemand::Options &options)
{
    auto exchange = options.exchange;
    if (options.sidecarPort == 0) {
        exchange.mode = DemandExchangeMode::Off;
    }
    return exchange;
}

} // namespace

GatewayDemand::GatewayDemand(HttpClient &client, const Options &options, Events events, Metrics &metrics)
    : m_calls({.metric = "heatherridge_demand_calls_total", .failureEvent = "demand-call-failed"}, metrics)
    , m_gatewayCount(metrics.gauge("heatherridge_demand_gateways"))
    , m_age(metrics.gauge("heatherridge_demand_age_ms"))
    , m_link(client, {.port = options.sidecarPort})
    , m_exchange(m_link, exchangeOptions(options), makeEvents(std::move(events)))
{
}

DemandExchange::Events GatewayDemand::makeEvents(Events events)
{
    return {.changed =
                [this, changed = std::move(events.changed)](FleetDemand demand) {
                    m_gatewayCount.set(demand.gateways);
                    m_age.set(demand.age.count());
                    changed(std::move(demand));
                },
            .demandNeeded = std::move(events.demandNeeded),
            .callEnded = [this](const auto &target, const auto *error) { m_calls.recordEnd(target, error); },
            .statusChanged = [this](const auto &status) { onStatusChanged(status); }};
}

void GatewayDemand::update(const RoutingConfig &config, const std::vector<TargetEntry> &targets)
{
    const auto engines = engineTargets(config, targets);
    m_calls.setTargets(engines);
    m_exchange.setTargets(engines);
    m_exchange.setDifferentiated(!rankedServices(config).empty());
}

void GatewayDemand::setOwnDemand(std::vector<ServiceDemand> demand)
{
    m_exchange.setOwnDemand(std::move(demand));
}

void GatewayDemand::tick(SteadyTime now, const PollerCounts &gateways)
{
    m_exchange.setKnownGateways(gateways);
    m_exchange.tick(now);
}

void GatewayDemand::leave(const std::function<void()> &left)
{
    m_exchange.leave(left);
}

void GatewayDemand::onStatusChanged(const DemandExchange::Status &status)
{
    logEvent(Severity::Info, "fleet-demand",
             {{"mode", status.isOn ? "on" : "watch"},
              {"known", status.isKnown ? "yes" : "no"},
              {"gateways", std::to_string(status.gateways)},
              {"age-ms", std::to_string(status.age.count())},
              {"period-ms", std::to_string(status.period.count())}});
}

} // namespace Heatherridge
