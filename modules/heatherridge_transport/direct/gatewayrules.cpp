#include "heatherridge_transport/direct/gatewayrules.h"

#include "heatherridge_state/routing/enginetargets.h"

namespace Heatherridge
{

GatewayRules::GatewayRules(HttpClient &client, const Options &options, Events events, Metrics &metrics)
    : m_isOn(options.sidecarPort != 0)
    , m_calls({.metric = "heatherridge_rules_calls_total", .failureEvent = "rules-call-failed"}, metrics)
    , m_link(client, {.port = options.sidecarPort})
    , m_exchange(m_link, options.exchange,
                 {.received = [received = std::move(events.received)](const auto &record,
                                                                      const auto &from) { received(record, from.id); },
                  .drainsReceived = std::move(events.drainsReceived),
                  .callEnded = [this](const auto &target, const auto *error) { m_calls.recordEnd(target, error); }})
{
}

void GatewayRules::update(const RoutingConfig &config, const std::vector<TargetEntry> &targets)
{
    const auto engines = engineTargets(config, targets);
    m_calls.setTargets(engines);
    m_exchange.setTargets(engines);
}

void GatewayRules::setRules(const RulesRecord &rules)
{
    m_exchange.setRules(rules);
}

void GatewayRules::setDrains(const ZoneDrains &drains)
{
    m_exchange.setDrains(drains);
}

void GatewayRules::tick(SteadyTime now, bool readsLog, const PollerCounts &gateways)
{
    if (!m_isOn) {
        return;
    }
    m_exchange.setReadsLog(readsLog);
    m_exchange.setKnownGateways(gateways);
    m_exchange.tick(now);
}

} // namespace Heatherridge
