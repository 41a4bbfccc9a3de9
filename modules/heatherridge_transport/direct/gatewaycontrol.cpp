#include "heatherridge_transport/direct/gatewaycontrol.h"

#include "heatherridge_transport/app/logger.h"

namespace Heatherridge
{

namespace
{

std::chrono::milliseconds partOf(std::chrono::milliseconds time, double part)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time * part);
}

} // namespace

GatewayControl::GatewayControl(RegisterLog &log, Options options, Events events, Metrics &metrics)
    : m_log(log)
    , m_events(std::move(events))
    , m_version(metrics.gauge("heatherridge_config_version"))
    , m_targetCount(metrics.gauge("heatherridge_targets"))
    , m_lapsedCount(metrics.gauge("heatherridge_targets_lapsed"))
    , m_malformed(metrics.counter("heatherridge_register_malformed_total"))
    , m_outages(metrics.counter("heatherridge_register_outages_total"))
    , m_stale(metrics.counter("heatherridge_config_stale_total"))
    , m_copyFailures(metrics.counter("heatherridge_rules_copy_failures_total"))
    , m_rulesFollower(log, {.kind = RegisterKind::Rules, .wait = rulesWait(options)},
                      {.replaced = [this](const auto &changes) { takeRules(changes, Source::Register); },
                       .changed = [this](const auto &changes) { takeRules(changes, Source::Register); },
                       .reachable =
                           [this](bool answers, std::string_view reason) {
                               if (answers != m_rulesAnswer) {
                                   m_rulesAnswer = answers;
                                   registerAnswers("rules", answers, reason);
                               }
                           }})
    , m_targetsFollower(log,
                        {.kind = RegisterKind::Targets, .period = partOf(options.withdrawalTime, TargetsPeriodPart)},
                        {.replaced = [this](const auto &changes) { replaceTargets(changes); },
                         .changed = [this](const auto &changes) { changeTargets(changes); },
                         .reachable =
                             [this](bool answers, std::string_view reason) {
                                 if (answers != m_targetsAnswer) {
                                     m_targetsAnswer = answers;
                                     registerAnswers("targets", answers, reason);
                                 }
                                 if (answers) {
                                     m_directory.readable(m_now);
                                 } else {
                                     m_directory.unreadable(m_now);
                                 }
                             }})
    , m_copies(log, {.count = options.rulesCopies},
               {.restored = [this](const auto &changes) { takeRules(changes, Source::Copy); },
                .failed =
                    [this](std::string_view what, const Error &error) {
                        m_copyFailures.add();
                        logEvent(Severity::Warning, "rules-copy-failed",
                                 {{"call", std::string(what)}, {"reason", error.detail}});
                    }})
{
}

std::chrono::milliseconds GatewayControl::rulesWait(const Options &options)
{
    return partOf(options.silenceTime, RulesWaitPart);
}

void GatewayControl::tick(SteadyTime now, bool keepsCopies)
{
    m_now = now;
    m_rulesFollower.tick(now);
    m_targetsFollower.tick(now);
    m_copies.tick({.writes = keepsCopies, .reads = !m_rules && !m_rulesAnswer}, now);
    if (m_directory.tick(now)) {
        publishTargets();
    }
}

void GatewayControl::logRestored(RandomSource &random)
{
    const auto spread = RereadSpreadPerTarget * m_directory.targets().size();
    const auto drawn = [&] {
        return std::chrono::duration_cast<std::chrono::milliseconds>(spread * random.fraction());
    };
    m_directory.restored(m_now);
    m_rulesFollower.restart(drawn());
    m_targetsFollower.restart(drawn());
    m_copies.logRestored();
}

std::vector<TargetEntry> GatewayControl::targets() const
{
    return m_directory.targets();
}

std::shared_ptr<const RouteTable> GatewayControl::rules() const
{
    return m_rules;
}

void GatewayControl::takeRules(const std::vector<RegisterChange> &changes, Source source)
{
    for (const auto &change : changes) {
        takeRulesFrom(change, source);
    }
}

void GatewayControl::takeRulesFrom(const RegisterChange &change, Source source)
{
    auto read = m_log.rulesIn(change);
    if (!read) {
        return;
    }
    if (const auto *error = errorIn(*read)) {
        m_malformed.add();
        logEvent(Severity::Warning, "rules-malformed", {{"reason", error->detail}});
        return;
    }
    auto &config = std::get<RoutingConfig>(*read);
    const auto current = m_rules ? m_rules->config().version : 0;
    if (source == Source::Register && config.version >= current) {
        m_copies.setRules(change, config.version);
    }
    if (m_rules && config.version <= current) {
        m_stale.add(config.version < current ? 1 : 0);
        return;
    }
    logEvent(Severity::Info, "rules-in-force",
             {{"version", std::to_string(config.version)},
              {"before", std::to_string(current)},
              {"from", source == Source::Register ? "register" : "copy"},
              {"routes", std::to_string(config.routes.size())},
              {"workspaces", std::to_string(config.workspaces.size())}});
    m_version.set(static_cast<std::int64_t>(config.version));
    m_rules = std::make_shared<const RouteTable>(std::move(config));
    m_events.rules(m_rules);
}

void GatewayControl::replaceTargets(const std::vector<RegisterChange> &changes)
{
    std::vector<TargetRecord> records;
    for (const auto &change : changes) {
        const auto record = m_log.targetIn(change);
        if (const auto *error = errorIn(record)) {
            m_malformed.add();
            logEvent(Severity::Warning, "target-malformed", {{"target", change.key}, {"reason", error->detail}});
            continue;
        }
        records.push_back(std::get<TargetRecord>(record));
    }
    m_directory.replace(records, m_now);
    publishTargets();
}

void GatewayControl::changeTargets(const std::vector<RegisterChange> &changes)
{
    for (const auto &change : changes) {
        const auto record = m_log.targetIn(change);
        if (const auto *error = errorIn(record)) {
            if (change.value) {
                m_malformed.add();
                logEvent(Severity::Warning, "target-malformed", {{"target", change.key}, {"reason", error->detail}});
            }
            m_directory.remove(TargetName(change.key), m_now);
            continue;
        }
        m_directory.put(std::get<TargetRecord>(record), m_now);
    }
    publishTargets();
}

void GatewayControl::publishTargets()
{
    auto targets = m_directory.targets();
    m_targetCount.set(static_cast<std::int64_t>(targets.size()));
    m_lapsedCount.set(static_cast<std::int64_t>(m_directory.lapsedCount()));
    if (targets == m_published) {
        return;
    }
    m_published = targets;
    logEvent(Severity::Info, "targets-in-force",
             {{"targets", std::to_string(targets.size())}, {"lapsed", std::to_string(m_directory.lapsedCount())}});
    m_events.targets(std::move(targets));
}

void GatewayControl::registerAnswers(std::string_view which, bool answers, std::string_view reason)
{
    if (!answers) {
        m_outages.add();
    }
    logEvent(answers ? Severity::Info : Severity::Warning, answers ? "register-regained" : "register-lost",
             {{"register", std::string(which)}, {"reason", std::string(reason)}});
    m_events.logAnswers(answers);
}

} // namespace Heatherridge
