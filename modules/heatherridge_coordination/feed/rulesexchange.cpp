#include "heatherridge_coordination/feed/rulesexchange.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Heatherridge
{

using std::chrono::milliseconds;

RulesExchange::RulesExchange(RulesLink &link, Options options, Events events)
    : m_link(link)
    , m_options(std::move(options))
    , m_points(m_options.zone)
    , m_events(std::move(events))
{
}

void RulesExchange::setTargets(const std::vector<TargetEntry> &targets)
{
    m_points.setTargets(targets);
}

void RulesExchange::setRules(RulesRecord rules)
{
    m_rules = std::move(rules);
    m_statementDueAt = m_now;
    m_zonesToTell.clear();
    if (!m_isHomeAnswering) {
        tellOtherZones();
    }
}

void RulesExchange::setDrains(const ZoneDrains &drains)
{
    const auto &known = m_drains.value();
    if (!known || known->zones != drains.zones) {
        m_statementDueAt = m_now;
    }
    m_drains.replace(drains, m_now);
}

void RulesExchange::setReadsLog(bool readsLog)
{
    if (std::exchange(m_readsLog, readsLog) && !readsLog) {
        m_statementDueAt = m_now;
        m_drains.confirm(m_now);
    }
}

void RulesExchange::setKnownGateways(PollerCounts gateways)
{
    m_knownGateways = gateways;
}

void RulesExchange::tick(SteadyTime now)
{
    m_now = now;
    for (const auto &zone : std::set<ZoneName>(m_zonesToTell)) {
        if (!m_calling.contains(zone)) {
            m_zonesToTell.erase(zone);
            stateTo(zone, false);
        }
    }
    const auto &home = m_points.homeZone();
    if (now < m_statementDueAt || m_calling.contains(home)) {
        return;
    }
    m_statementDueAt = now + period();
    if (m_points.find(home, now) == nullptr) {
        m_isHomeAnswering = false;
    }
    stateTo(home, false);
    if (m_readsLog && m_isHomeAnswering) {
        return;
    }
    const auto other = m_points.zoneAfter(m_lastAsked, m_options.run);
    m_lastAsked = other;
    if (!m_calling.contains(other)) {
        stateTo(other, false);
    }
}

milliseconds RulesExchange::period() const
{
    const auto fraction = m_readsLog && m_isHomeAnswering ? StatementPeriodFraction : CatchUpPeriodFraction;
    const auto shortest = std::chrono::duration_cast<milliseconds>(m_options.configTime * fraction);
    return std::max(shortest, PeriodPerGateway * static_cast<int>(std::ceil(m_knownGateways.inZone)));
}

void RulesExchange::stateTo(const ZoneName &zone, bool withRecord)
{
    const auto *point = m_points.find(zone, m_now);
    if (point == nullptr) {
        return;
    }
    m_calling.insert(zone);
    RulesRequest request{.version = m_rules.version};
    if (withRecord) {
        request.record = m_rules;
    }
    const auto &drains = m_drains.value();
    if (m_readsLog && drains && drains->zones.size() <= MaxDrainedZones) {
        request.drains = drains;
    }
    m_link.send(*point, request, [this, target = *point, version = m_rules.version, withRecord](const auto &result) {
        onAnswer(target, version, withRecord, result);
    });
}

void RulesExchange::onAnswer(const TargetEntry &target, std::uint64_t statedVersion, bool hadRecord,
                             const Result<RulesResponse> &result)
{
    m_calling.erase(target.zone);
    const bool isHome = target.zone == m_points.homeZone();
    const auto *error = errorIn(result);
    if (m_events.callEnded) {
        m_events.callEnded(target, error);
    }
    if (error != nullptr) {
        m_points.recordFailure(target.id, m_now);
        // The next candidate of the zone is called instead.
        if (isHome) {
            m_statementDueAt = m_now;
            if (std::exchange(m_isHomeAnswering, false)) {
                tellOtherZones();
            }
        } else if (m_readsLog && statedVersion == m_rules.version) {
            m_zonesToTell.insert(target.zone);
        }
        return;
    }
    m_points.recordAnswer(target.id);
    m_isHomeAnswering = m_isHomeAnswering || isHome;
    const auto &response = std::get<RulesResponse>(result);
    if (response.drains && !m_readsLog && m_drains.take(*response.drains, m_now) && m_events.drainsReceived) {
        m_events.drainsReceived(*response.drains);
    }
    if (response.hasNewDrains && isHome) {
        tellOtherZones();
    }
    if (response.record && response.record->version > m_rules.version) {
        m_events.received(*response.record, target);
        return;
    }
    if (!response.wantsRecord || hadRecord || statedVersion != m_rules.version) {
        return;
    }
    stateTo(target.zone, true);
    if (isHome) {
        tellOtherZones();
    }
}

void RulesExchange::tellOtherZones()
{
    for (const auto &zone : m_points.otherZones()) {
        m_zonesToTell.insert(zone);
    }
}

} // namespace Heatherridge
