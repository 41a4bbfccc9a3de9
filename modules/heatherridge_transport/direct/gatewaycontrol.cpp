#include "heatherridge_transport/direct/gatewaycontrol.h"

#include "heatherridge_transport/app/logger.h"

namespace Heatherridge
{

namespace
{

std::chrono::milliseconds fractionOf(std::chrono::milliseconds time, double fraction)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time * fraction);
}

} // namespace

GatewayControl::GatewayControl(RegisterLog &log, Options options, Events events, Metrics &metrics)
    : m_log(log)
    , m_events(std::move(events))
    , m_rulesVersion(metrics.gauge("heatherridge_config_version"))
    , m_targetCount(metrics.gauge("heatherridge_targets"))
    , m_lapsedCount(metrics.gauge("heatherridge_targets_lapsed"))
    , m_drainedZoneCount(metrics.gauge("heatherridge_zones_drained"))
    , m_malformedRecords(metrics.counter("heatherridge_register_malformed_total"))
    , m_unknownZones(metrics.counter("heatherridge_zone_drains_unknown_total"))
    , m_registerOutages(metrics.counter("heatherridge_register_outages_total"))
    , m_staleRules(metrics.counter("heatherridge_config_stale_total"))
    , m_rulesCopyFailures(metrics.counter("heatherridge_rules_copy_failures_total"))
    , m_peerRules(metrics.counter("heatherridge_config_from_peers_total"))
    , m_rulesFollower(log, {.kind = RegisterKind::Rules, .pollTimeout = rulesWait(options)},
                      {.replaced = [this](const auto &changes) { replaceRules(changes); },
                       .changed = [this](const auto &changes) { changeRules(changes); },
                       .reachable =
                           [this](bool isReachable, std::string_view reason) {
                               if (isReachable != m_isRulesRegisterReachable) {
                                   m_isRulesRegisterReachable = isReachable;
                                   reportReachability("rules", isReachable, reason);
                               }
                           }})
    , m_targetsFollower(log,
                        {.kind = RegisterKind::Targets,
                         .pollInterval = fractionOf(options.withdrawalTime, TargetsReadPeriodFraction)},
                        {.replaced = [this](const auto &changes) { replaceTargets(changes); },
                         .changed = [this](const auto &changes) { changeTargets(changes); },
                         .reachable =
                             [this](bool isReachable, std::string_view reason) {
                                 if (isReachable != m_isTargetsRegisterReachable) {
                                     m_isTargetsRegisterReachable = isReachable;
                                     reportReachability("targets", isReachable, reason);
                                 }
                                 if (isReachable) {
                                     m_directory.noteRegisterReadable(m_now);
                                 } else {
                                     m_directory.noteRegisterUnreadable(m_now);
                                 }
                             }})
    , m_rulesCopies(log, {.count = options.rulesCopies},
                    {.drainsRestored = [this](const auto &zones) { applyCopiedDrains(zones); },
                     .restored = [this](const auto &changes) { applyRules(changes, Source::Copy); },
                     .failed =
                         [this](std::string_view what, const Error &error) {
                             m_rulesCopyFailures.add();
                             logEvent(Severity::Warning, "rules-copy-failed",
                                      {{"call", std::string(what)}, {"reason", error.detail}});
                         }})
    , m_zoneRegions(std::move(options.zoneRegions))
{
}

std::string_view GatewayControl::nameOf(Source source)
{
    switch (source) {
    case Source::Register:
        return "register";
    case Source::Copy:
        return "copy";
    case Source::Peer:
        return "peer";
    }
    return {};
}

std::chrono::milliseconds GatewayControl::rulesWait(const Options &options)
{
    return fractionOf(options.silenceTime, RulesWaitFraction);
}

void GatewayControl::tick(SteadyTime now, bool writesRulesCopies)
{
    m_now = now;
    m_rulesFollower.tick(now);
    m_targetsFollower.tick(now);
    m_rulesCopies.tick({.writes = writesRulesCopies, .reads = !m_rules && !m_isRulesRegisterReachable}, now);
    if (m_directory.expireLapsed(now)) {
        publishTargets();
    }
    if (m_drainedZones.tick(now)) {
        passOnDrains();
        publishDrainedZones(Source::Register);
    }
}

void GatewayControl::logRestored(RandomSource &random)
{
    const auto spread = RereadSpreadPerTarget * m_directory.targets().size();
    const auto randomDelay = [&] {
        return std::chrono::duration_cast<std::chrono::milliseconds>(spread * random.fraction());
    };
    m_directory.noteRegisterRestored(m_now);
    m_drainedZones.noteRegisterRestored(m_now);
    m_rulesFollower.restart(randomDelay());
    m_targetsFollower.restart(randomDelay());
    m_rulesCopies.logRestored();
}

void GatewayControl::applyPeerRules(const RulesRecord &record, const TargetName &target)
{
    const auto before = m_rules;
    applyRulesChange({.key = record.key, .value = record.value}, Source::Peer);
    if (m_rules == before || m_rules->config().version != record.version) {
        m_malformedRecords.add();
        logEvent(Severity::Warning, "peer-rules-unusable",
                 {{"version", std::to_string(record.version)}, {"sidecar", target.text()}});
        return;
    }
    m_peerRules.add();
}

void GatewayControl::applyPeerDrains(const ZoneDrains &drains)
{
    if (!m_isRulesRegisterReachable && m_drainedZones.replaceAll(drains.zones, m_now)) {
        publishDrainedZones(Source::Peer);
    }
}

bool GatewayControl::readsRules() const
{
    return m_isRulesRegisterReachable;
}

std::vector<TargetEntry> GatewayControl::targets() const
{
    return m_directory.targets();
}

std::shared_ptr<const RouteTable> GatewayControl::rules() const
{
    return m_rules;
}

void GatewayControl::replaceRules(const std::vector<RegisterChange> &changes)
{
    std::set<ZoneName> zones;
    for (const auto &change : changes) {
        const auto order = readZoneDrain(change);
        if (order && order->isInForce) {
            zones.insert(order->zone);
        }
    }
    // Before the configuration, so that a gateway that starts knows the orders when it begins to serve.
    m_hasReadRulesRegister = true;
    if (m_drainedZones.replaceAll(zones, m_now)) {
        publishDrainedZones(Source::Register);
    }
    passOnDrains();
    applyRules(changes, Source::Register);
}

void GatewayControl::changeRules(const std::vector<RegisterChange> &changes)
{
    bool hasChanged = false;
    for (const auto &change : changes) {
        if (const auto order = readZoneDrain(change)) {
            hasChanged = m_drainedZones.apply(*order) || hasChanged;
        }
    }
    if (hasChanged) {
        publishDrainedZones(Source::Register);
    }
    passOnDrains();
    applyRules(changes, Source::Register);
}

std::optional<ZoneDrain> GatewayControl::readZoneDrain(const RegisterChange &change)
{
    auto order = m_log.parseZoneDrain(change);
    if (!order) {
        return std::nullopt;
    }
    if (order->isMalformed) {
        m_malformedRecords.add();
        logEvent(Severity::Warning, "zone-drain-malformed", {{"zone", order->zone.text()}});
    }
    if (order->isInForce && !m_zoneRegions.empty() && !m_zoneRegions.contains(order->zone)) {
        m_unknownZones.add();
        logEvent(Severity::Warning, "zone-drain-unknown", {{"zone", order->zone.text()}});
    }
    return order;
}

void GatewayControl::applyCopiedDrains(const std::set<ZoneName> &zones)
{
    if (!m_hasReadRulesRegister && m_drainedZones.replaceAll(zones, m_now)) {
        publishDrainedZones(Source::Copy);
    }
}

void GatewayControl::publishDrainedZones(Source source)
{
    std::string names;
    for (const auto &zone : m_drainedZones.zones()) {
        names += (names.empty() ? "" : " ") + zone.text();
    }
    m_drainedZoneCount.set(static_cast<std::int64_t>(m_drainedZones.zones().size()));
    logEvent(Severity::Info, "zones-drained", {{"zones", names}, {"from", std::string(nameOf(source))}});
    m_events.drainedZonesChanged(m_drainedZones.zones());
}

void GatewayControl::passOnDrains()
{
    const ZoneDrains drains{.position = m_rulesFollower.position(), .zones = m_drainedZones.zones()};
    m_rulesCopies.setDrains(drains.zones, drains.position);
    if (m_events.drainsRead) {
        m_events.drainsRead(drains);
    }
}

void GatewayControl::applyRules(const std::vector<RegisterChange> &changes, Source source)
{
    for (const auto &change : changes) {
        applyRulesChange(change, source);
    }
}

void GatewayControl::applyRulesChange(const RegisterChange &change, Source source)
{
    auto decoded = m_log.parseRules(change);
    if (!decoded) {
        return;
    }
    if (const auto *error = errorIn(*decoded)) {
        m_malformedRecords.add();
        logEvent(Severity::Warning, "rules-malformed", {{"reason", error->detail}});
        return;
    }
    auto &config = std::get<RoutingConfig>(*decoded);
    const auto currentVersion = m_rules ? m_rules->config().version : 0;
    if (source == Source::Register && config.version >= currentVersion) {
        m_rulesCopies.setRules(change, config.version);
    }
    if (m_rules && config.version <= currentVersion) {
        m_staleRules.add(config.version < currentVersion ? 1 : 0);
        return;
    }
    logEvent(Severity::Info, "rules-in-force",
             {{"version", std::to_string(config.version)},
              {"before", std::to_string(currentVersion)},
              {"from", std::string(nameOf(source))},
              {"routes", std::to_string(config.routes.size())},
              {"workspaces", std::to_string(config.workspaces.size())}});
    m_rulesVersion.set(static_cast<std::int64_t>(config.version));
    m_rules = std::make_shared<const RouteTable>(std::move(config));
    m_events.rulesChanged(m_rules);
    if (m_events.rulesRecordChanged) {
        m_events.rulesRecordChanged(
            {.version = m_rules->config().version, .key = change.key, .value = change.value.value_or(std::string())});
    }
}

void GatewayControl::replaceTargets(const std::vector<RegisterChange> &changes)
{
    std::vector<TargetRecord> records;
    for (const auto &change : changes) {
        const auto record = m_log.parseTarget(change);
        if (const auto *error = errorIn(record)) {
            m_malformedRecords.add();
            logEvent(Severity::Warning, "target-malformed", {{"target", change.key}, {"reason", error->detail}});
            continue;
        }
        records.push_back(std::get<TargetRecord>(record));
    }
    m_directory.replaceAll(records, m_now);
    publishTargets();
    reportHeartbeats(records);
}

void GatewayControl::changeTargets(const std::vector<RegisterChange> &changes)
{
    std::vector<TargetRecord> records;
    for (const auto &change : changes) {
        const auto record = m_log.parseTarget(change);
        if (const auto *error = errorIn(record)) {
            if (change.value) {
                m_malformedRecords.add();
                logEvent(Severity::Warning, "target-malformed", {{"target", change.key}, {"reason", error->detail}});
            }
            m_directory.remove(TargetName(change.key), m_now);
            continue;
        }
        records.push_back(std::get<TargetRecord>(record));
        m_directory.put(records.back(), m_now);
    }
    publishTargets();
    reportHeartbeats(records);
}

void GatewayControl::reportHeartbeats(const std::vector<TargetRecord> &records) const
{
    if (!m_events.heartbeatsRead) {
        return;
    }
    std::vector<TargetHeartbeat> heartbeats;
    heartbeats.reserve(records.size());
    std::transform(records.begin(), records.end(), std::back_inserter(heartbeats), [](const TargetRecord &record) {
        return TargetHeartbeat{.id = record.entry.id, .startedAt = record.entry.startedAt, .revision = record.revision};
    });
    m_events.heartbeatsRead(std::move(heartbeats));
}

void GatewayControl::publishTargets()
{
    auto targets = m_directory.targets();
    m_targetCount.set(static_cast<std::int64_t>(targets.size()));
    m_lapsedCount.set(static_cast<std::int64_t>(m_directory.lapsedCount()));
    if (targets == m_publishedTargets) {
        return;
    }
    m_publishedTargets = targets;
    logEvent(Severity::Info, "targets-in-force",
             {{"targets", std::to_string(targets.size())}, {"lapsed", std::to_string(m_directory.lapsedCount())}});
    m_events.targetsChanged(std::move(targets));
}

void GatewayControl::reportReachability(std::string_view registerName, bool isReachable, std::string_view reason)
{
    if (!isReachable) {
        m_registerOutages.add();
    }
    logEvent(isReachable ? Severity::Info : Severity::Warning, isReachable ? "register-regained" : "register-lost",
             {{"register", std::string(registerName)}, {"reason", std::string(reason)}});
    m_events.reachabilityChanged(isReachable);
}

} // namespace Heatherridge
