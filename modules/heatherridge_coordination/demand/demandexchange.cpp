#include "heatherridge_coordination/demand/demandexchange.h"

#include "heatherridge_state/demand/demandsum.h"
#include "heatherridge_state/demand/demandtable.h"

#include <algorithm>
#include <cmath>
#include <memory>

namespace Heatherridge
{

namespace
{

using std::chrono::milliseconds;

milliseconds elapsedBetween(SteadyTime start, SteadyTime end)
{
    return std::chrono::duration_cast<milliseconds>(end - start);
}

/** Extends the range from @p smallest to @p largest by another one. A range that begins at 0 is empty. */
void extendRange(double &smallest, double &largest, double otherSmallest, double otherLargest)
{
    if (otherSmallest <= 0) {
        return;
    }
    smallest = smallest > 0 ? std::min(smallest, otherSmallest) : otherSmallest;
    largest = std::max(largest, otherLargest);
}

} // namespace

DemandExchange::DemandExchange(DemandLink &link, Options options, Events events)
    : m_link(link)
    , m_options(std::move(options))
    , m_points(m_options.zone)
    , m_events(std::move(events))
{
}

void DemandExchange::setTargets(const std::vector<TargetEntry> &targets)
{
    if (m_points.setTargets(targets)) {
        m_home.reset();
        m_others.erase(m_points.homeZone());
    }
}

void DemandExchange::setDifferentiated(bool isDifferentiated)
{
    m_isDifferentiated = isDifferentiated;
}

void DemandExchange::setKnownGateways(PollerCounts gateways)
{
    m_knownGateways = gateways;
}

void DemandExchange::setOwnDemand(std::vector<ServiceDemand> demand)
{
    m_ownDemand = std::move(demand);
    if (std::exchange(m_awaitsDemand, false) && !m_hasLeft) {
        sendStatement(m_now);
    }
}

void DemandExchange::tick(SteadyTime now)
{
    m_now = now;
    if (m_options.mode == DemandExchangeMode::Off || m_hasLeft) {
        return;
    }
    updateMode(now);
    if (m_wasKnown && !isKnown(now)) {
        publish(now);
    }
    if (now >= m_queryDueAt && !m_isAsking) {
        queryNextZone(now);
    }
    if (now < m_statementDueAt || m_isStating || m_awaitsDemand || m_points.find(m_points.homeZone(), now) == nullptr) {
        return;
    }
    if (m_events.demandNeeded) {
        m_awaitsDemand = true;
        m_events.demandNeeded();
    } else {
        sendStatement(now);
    }
}

void DemandExchange::leave(const std::function<void()> &left)
{
    std::vector<TargetEntry> targets;
    if (!std::exchange(m_hasLeft, true)) {
        forgetExpiredStatements(m_now);
        for (const auto &[name, stated] : m_stated) {
            targets.push_back(stated.target);
        }
    }
    if (targets.empty() && left) {
        left();
    }
    const auto unanswered = std::make_shared<std::size_t>(targets.size());
    for (const auto &target : targets) {
        m_link.send(target, {.statement = makeStatement(true), .lifetime = lifetime()},
                    [this, target, left, unanswered](const auto &result) {
                        recordEnd(target, result);
                        if (--*unanswered == 0 && left) {
                            left();
                        }
                    });
    }
}

FleetDemand DemandExchange::demand(SteadyTime now) const
{
    FleetDemand fleet{.isKnown = isKnown(now), .isShared = m_isOn};
    if (!fleet.isKnown) {
        return fleet;
    }
    DemandSum sum;
    const auto add = [&](const KnownZone &zone) {
        fleet.gateways += zone.demand.gateways;
        fleet.age = std::max(fleet.age, elapsedBetween(zone.oldestStatementAt, now));
        extendRange(fleet.smallestProcessorShare, fleet.largestProcessorShare, zone.demand.smallestProcessorShare,
                    zone.demand.largestProcessorShare);
        sum.add(zone.demand.services);
    };
    add(*m_home);
    for (const auto &[name, zone] : m_others) {
        if (now - zone.summedAt <= ZoneLifetime) {
            add(zone);
        }
    }
    fleet.services = sum.services(MaxDemandWorkspaces);
    return fleet;
}

DemandExchange::Status DemandExchange::status(SteadyTime now) const
{
    const auto fleet = demand(now);
    return {.isOn = m_isOn, .isKnown = fleet.isKnown, .gateways = fleet.gateways, .age = fleet.age, .period = period()};
}

void DemandExchange::updateMode(SteadyTime now)
{
    if (areSizesUnlike(now)) {
        m_unlikeSizesAt = now;
    }
    const bool isOn = m_isDifferentiated || (m_unlikeSizesAt && now - *m_unlikeSizesAt <= SizeMemory);
    if (isOn == m_isOn) {
        return;
    }
    m_isOn = isOn;
    if (isOn) {
        m_statementDueAt = std::min(m_statementDueAt, now);
        m_queryDueAt = std::min(m_queryDueAt, now);
    }
    publish(now);
}

bool DemandExchange::areSizesUnlike(SteadyTime now)
{
    std::erase_if(m_sizes, [now](const auto &entry) { return now - entry.second.seenAt > SizeMemory; });
    double smallest = m_options.size.processorShare;
    double largest = smallest;
    for (const auto &[zone, sizes] : m_sizes) {
        extendRange(smallest, largest, sizes.smallest, sizes.largest);
    }
    return smallest > 0 && largest >= UnlikeSizeRatio * smallest;
}

milliseconds DemandExchange::period() const
{
    if (!m_isOn) {
        return WatchPeriod;
    }
    const double stated = m_home ? m_home->demand.gateways + 1 : 1;
    const auto gateways =
        std::min(std::max(stated, m_knownGateways.inZone), static_cast<double>(DemandTable::MaxGateways));
    return std::max(MinPeriod, PeriodPerGateway * static_cast<int>(std::ceil(gateways)));
}

milliseconds DemandExchange::lifetime() const
{
    return m_isOn ? std::max(MinLifetime, LifetimePeriods * period()) : WatchLifetime;
}

void DemandExchange::sendStatement(SteadyTime now)
{
    const auto *target = m_points.find(m_points.homeZone(), now);
    if (target == nullptr) {
        return;
    }
    m_statementDueAt = now + period();
    m_isStating = true;
    DemandRequest request{.statement = makeStatement(false), .lifetime = lifetime(), .zones = zonesToRelay(now)};
    m_zoneToRelay = {};
    forgetExpiredStatements(now);
    auto &stated = m_stated[target->id];
    stated = {.target = *target, .until = std::max(stated.until, now + request.lifetime)};
    m_link.send(*target, request, [this, target = *target, sentAt = now](const auto &result) {
        onStatementAnswer(target, sentAt, result);
    });
}

void DemandExchange::forgetExpiredStatements(SteadyTime now)
{
    std::erase_if(m_stated, [now](const auto &stated) { return stated.second.until < now; });
}

void DemandExchange::queryNextZone(SteadyTime now)
{
    const auto zone = m_points.zoneAfter(m_lastQueried, m_options.run);
    if (zone.isEmpty()) {
        return;
    }
    m_queryDueAt = now + period();
    m_lastQueried = zone;
    const auto *target = m_points.find(zone, now);
    if (target == nullptr) {
        return;
    }
    m_isAsking = true;
    m_link.send(*target, {},
                [this, target = *target, sentAt = now](const auto &result) { onQueryAnswer(target, sentAt, result); });
}

void DemandExchange::onStatementAnswer(const TargetEntry &target, SteadyTime sentAt,
                                       const Result<DemandResponse> &result)
{
    m_isStating = false;
    const auto *response = recordEnd(target, result);
    if (response == nullptr) {
        if (m_isOn) {
            m_statementDueAt = std::min(m_statementDueAt, sentAt + MinPeriod);
        }
        return;
    }
    if (m_hasLeft || target.zone != m_points.homeZone()) {
        return;
    }
    const auto &own = response->ownZone;
    m_home = {.demand = own, .oldestStatementAt = sentAt - own.age, .summedAt = sentAt};
    learnSizes(own, sentAt);
    std::erase_if(m_others, [this](const auto &zone) { return m_now - zone.second.summedAt > ZoneLifetime; });
    for (const auto &zone : response->otherZones) {
        learnZone(zone, sentAt);
    }
    publish(m_now);
}

void DemandExchange::onQueryAnswer(const TargetEntry &target, SteadyTime sentAt, const Result<DemandResponse> &result)
{
    m_isAsking = false;
    const auto *response = recordEnd(target, result);
    if (response == nullptr || target.zone == m_points.homeZone()) {
        return;
    }
    learnZone(response->ownZone, sentAt);
    m_zoneToRelay = target.zone;
}

const DemandResponse *DemandExchange::recordEnd(const TargetEntry &target, const Result<DemandResponse> &result)
{
    std::optional<Error> error;
    const auto *response = std::get_if<DemandResponse>(&result);
    if (response == nullptr) {
        error = *errorIn(result);
    } else if (response->ownZone.zone != target.zone) {
        error = {.kind = ErrorKind::BackendFailed,
                 .detail = "the sidecar belongs to zone '" + response->ownZone.zone.text() + "'"};
        response = nullptr;
    }
    if (error) {
        m_points.recordFailure(target.id, m_now);
    } else {
        m_points.recordAnswer(target.id);
    }
    if (m_events.callEnded) {
        m_events.callEnded(target, error ? &*error : nullptr);
    }
    return response;
}

void DemandExchange::learnZone(const ZoneDemand &zone, SteadyTime asOf)
{
    const auto summedAt = asOf - zone.summedAgo;
    const auto known = m_others.find(zone.zone);
    if (zone.zone == m_points.homeZone() || (known != m_others.end() && known->second.summedAt > summedAt)) {
        return;
    }
    m_others.insert_or_assign(zone.zone,
                              KnownZone{.demand = zone, .oldestStatementAt = asOf - zone.age, .summedAt = summedAt});
    learnSizes(zone, summedAt);
}

void DemandExchange::learnSizes(const ZoneDemand &zone, SteadyTime asOf)
{
    m_sizes[zone.zone] = {
        .smallest = zone.smallestProcessorShare, .largest = zone.largestProcessorShare, .seenAt = asOf};
}

GatewayStatement DemandExchange::makeStatement(bool isLeaving)
{
    return {.gateway = m_options.gateway,
            .run = m_options.run,
            .sequence = ++m_sequence,
            .zone = m_options.zone,
            .size = m_options.size,
            .services = isLeaving ? std::vector<ServiceDemand>{} : m_ownDemand,
            .isLeaving = isLeaving};
}

std::vector<ZoneDemand> DemandExchange::zonesToRelay(SteadyTime now) const
{
    const auto zone = m_others.find(m_zoneToRelay);
    if (zone == m_others.end() || now - zone->second.summedAt > ZoneLifetime) {
        return {};
    }
    auto demand = zone->second.demand;
    demand.age = elapsedBetween(zone->second.oldestStatementAt, now);
    demand.summedAgo = elapsedBetween(zone->second.summedAt, now);
    return {std::move(demand)};
}

bool DemandExchange::isKnown(SteadyTime now) const
{
    return m_home && now - m_home->summedAt <= lifetime();
}

void DemandExchange::publish(SteadyTime now)
{
    const auto fleet = demand(now);
    m_wasKnown = fleet.isKnown;
    reportStatus(now);
    if (m_events.changed) {
        m_events.changed(fleet);
    }
}

void DemandExchange::reportStatus(SteadyTime now)
{
    const auto current = status(now);
    const bool hasChanged = current.isOn != m_reported.isOn || current.isKnown != m_reported.isKnown
        || current.gateways != m_reported.gateways;
    m_reported = current;
    if (hasChanged && m_events.statusChanged) {
        m_events.statusChanged(current);
    }
}

} // namespace Heatherridge
