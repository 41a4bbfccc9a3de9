#include "heatherridge_transport/direct/gatewayrules.h"

#include "heatherridge_state/routing/enginetargets.h"
#include "heatherridge_transport/app/logger.h"

namespace Heatherridge
{

namespace
{

constexpr auto CallsMetric = "heatherridge_rules_calls_total";

} // namespace

GatewayRules::GatewayRules(HttpClient &client, const Options &options, Events events, Metrics &metrics)
    : m_isOn(options.sidecarPort != 0)
    , m_answeredCalls(metrics.counter(CallsMetric, R"(result="ok")"))
    , m_failedCalls(metrics.counter(CallsMetric, R"(result="failed")"))
    , m_link(client, {.port = options.sidecarPort})
    , m_exchange(m_link, options.exchange,
                 {.received = [received = std::move(events.received)](const auto &record,
                                                                      const auto &from) { received(record, from.id); },
                  .drainsReceived = std::move(events.drainsReceived),
                  .callEnded = [this](const auto &target, const auto *error) { onCallEnded(target, error); }})
{
}

void GatewayRules::update(const RoutingConfig &config, const std::vector<TargetEntry> &targets)
{
    const auto engines = engineTargets(config, targets);
    std::set<TargetName> names;
    for (const auto &engine : engines) {
        names.insert(engine.id);
    }
    std::erase_if(m_failing, [&names](const auto &target) { return !names.contains(target); });
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

void GatewayRules::onCallEnded(const TargetEntry &target, const Error *error)
{
    if (error == nullptr) {
        m_answeredCalls.add();
        m_failing.erase(target.id);
        return;
    }
    m_failedCalls.add();
    // Only the first failure in a row is logged: a sidecar of an earlier version fails every few seconds.
    if (m_failing.insert(target.id).second) {
        logEvent(Severity::Warning, "rules-call-failed",
                 {{"target", target.id.text()},
                  {"zone", target.zone.text()},
                  {"kind", std::string(errorDescriptorFor(error->kind).name)},
                  {"reason", error->detail}});
    }
}

} // namespace Heatherridge
