#include "heatherridge_state/demand/demandtable.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

std::chrono::milliseconds elapsedBetween(SteadyTime start, SteadyTime end)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(end - start);
}

/** Adds the gateway's processor share to the range of those in @p zone. */
void includeSize(ZoneDemand &zone, const HostSize &size)
{
    if (size.processorShare <= 0) {
        return;
    }
    zone.smallestProcessorShare = zone.smallestProcessorShare > 0
        ? std::min(zone.smallestProcessorShare, size.processorShare)
        : size.processorShare;
    zone.largestProcessorShare = std::max(zone.largestProcessorShare, size.processorShare);
}

} // namespace

DemandTable::DemandTable(ZoneName zone)
    : m_zone(std::move(zone))
{
}

void DemandTable::applyStatement(const GatewayStatement &statement, std::chrono::milliseconds lifetime, SteadyTime now)
{
    removeExpired(now);
    const auto known = m_statements.find(statement.gateway);
    if (known != m_statements.end() && known->second.statement.run == statement.run
        && known->second.statement.sequence > statement.sequence) {
        ++m_counts.outdatedStatements;
        return;
    }
    if (known != m_statements.end()) {
        remove(known);
    } else if (m_statements.size() >= MaxGateways) {
        remove(std::min_element(m_statements.begin(), m_statements.end(), [](const auto &a, const auto &b) {
            return a.second.receivedAt < b.second.receivedAt;
        }));
        ++m_counts.droppedGateways;
    }
    auto &entry = m_statements
                      .emplace(statement.gateway,
                               StatementEntry{.statement = statement, .receivedAt = now, .expiresAt = now + lifetime})
                      .first->second;
    if (statement.isLeaving) {
        entry.statement.services.clear();
    }
    m_sum.add(entry.statement.services);
}

void DemandTable::applyZone(const ZoneDemand &demand, SteadyTime now)
{
    const auto summedAt = now - demand.summedAgo;
    if (demand.zone == m_zone || demand.summedAgo > ZoneLifetime) {
        return;
    }
    const auto known = m_zones.find(demand.zone);
    if (known != m_zones.end() && known->second.summedAt >= summedAt) {
        return;
    }
    removeExpired(now);
    if (!m_zones.contains(demand.zone) && m_zones.size() >= MaxZones) {
        m_zones.erase(std::min_element(m_zones.begin(), m_zones.end(), [](const auto &a, const auto &b) {
            return a.second.summedAt < b.second.summedAt;
        }));
        ++m_counts.droppedZones;
    }
    m_zones.insert_or_assign(demand.zone,
                             ZoneEntry{.demand = demand, .oldestStatementAt = now - demand.age, .summedAt = summedAt});
}

ZoneDemand DemandTable::ownZone(const ProcessName &gateway, std::size_t maxWorkspaces, SteadyTime now)
{
    removeExpired(now);
    ZoneDemand zone{.zone = m_zone};
    for (const auto &[name, entry] : m_statements) {
        if (name == gateway || entry.statement.isLeaving) {
            continue;
        }
        ++zone.gateways;
        zone.age = std::max(zone.age, elapsedBetween(entry.receivedAt, now));
        includeSize(zone, entry.statement.size);
    }
    const auto asking = m_statements.find(gateway);
    if (asking == m_statements.end()) {
        zone.services = m_sum.services(maxWorkspaces);
        return zone;
    }
    m_sum.remove(asking->second.statement.services);
    zone.services = m_sum.services(maxWorkspaces);
    m_sum.add(asking->second.statement.services);
    return zone;
}

std::vector<ZoneDemand> DemandTable::otherZones(SteadyTime now)
{
    removeExpired(now);
    std::vector<ZoneDemand> zones;
    for (const auto &[name, entry] : m_zones) {
        auto &zone = zones.emplace_back(entry.demand);
        zone.age = elapsedBetween(entry.oldestStatementAt, now);
        zone.summedAgo = elapsedBetween(entry.summedAt, now);
    }
    return zones;
}

DemandTable::Counts DemandTable::counts() const
{
    return m_counts;
}

DemandTable::Statements::iterator DemandTable::remove(Statements::iterator entry)
{
    m_sum.remove(entry->second.statement.services);
    return m_statements.erase(entry);
}

void DemandTable::removeExpired(SteadyTime now)
{
    for (auto entry = m_statements.begin(); entry != m_statements.end();) {
        entry = entry->second.expiresAt <= now ? remove(entry) : std::next(entry);
    }
    std::erase_if(m_zones, [now](const auto &entry) { return now - entry.second.summedAt > ZoneLifetime; });
}

} // namespace Heatherridge
