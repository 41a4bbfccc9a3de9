#include "heatherridge_transport/direct/admissioncontrol.h"

#include "heatherridge_state/routing/rankedservices.h"
#include "heatherridge_transport/app/logger.h"

#include <algorithm>
#include <string>
#include <utility>

namespace Heatherridge
{

namespace
{

/** Returns the label of metrics; ranks beyond the limit are counted with the last one. */
std::string rankLabel(int priority)
{
    return "rank=\"" + std::to_string(std::clamp(priority, 0, static_cast<int>(MaxDemandRanks) - 1)) + '"';
}

} // namespace

AdmissionControl::AdmissionControl(Metrics &metrics, CapacityShareSource capacityShare)
    : m_metrics(metrics)
    , m_capacityShare(std::move(capacityShare))
    , m_workspaceShares(metrics)
{
}

void AdmissionControl::setConfig(const RoutingConfig &config)
{
    auto before = std::exchange(m_services, {});
    for (const auto &service : rankedServices(config)) {
        auto &admission = m_services[service];
        if (auto known = before.extract(service)) {
            admission = std::move(known.mapped());
        }
    }
    std::erase_if(m_returnSchedules, [this](const auto &schedule) { return !m_services.contains(schedule.first); });
    for (auto &[service, admission] : before) {
        admission.tick(SteadyTime::max());
        reportChanges(service, admission);
    }
}

DemandMeter::Stream AdmissionControl::recordArrival(const DemandMeter::StreamClass &streamClass, SteadyTime now)
{
    auto stream = m_meter.recordArrival(streamClass, now);
    updateShares(streamClass.service, now);
    return stream;
}

std::vector<ServiceDemand> AdmissionControl::demand(SteadyTime now) const
{
    return m_meter.demand(now);
}

ServiceDemand AdmissionControl::demandOf(const ServiceName &service, SteadyTime now) const
{
    return m_meter.demandOf(service, now);
}

void AdmissionControl::setFleetDemand(FleetDemand demand)
{
    m_fleetDemand = std::move(demand);
    updateOthers();
}

const FleetDemand &AdmissionControl::fleetDemand() const
{
    return m_fleetDemand;
}

void AdmissionControl::setKnownGateways(int gateways)
{
    m_knownGateways = gateways;
    updateOthers();
}

bool AdmissionControl::admitsByRank(const ServiceName &service) const
{
    return m_services.contains(service);
}

int AdmissionControl::queueRank(const ServiceName &service, int priority) const
{
    return admitsByRank(service) ? priority : 0;
}

std::optional<int> AdmissionControl::enginePriority(const ServiceName &service, const RouteMatch &match) const
{
    if (match.route->kind != RequestKind::EventStream) {
        return std::nullopt;
    }
    return admitsByRank(service) ? match.rank : match.priority;
}

bool AdmissionControl::mayAdmit(const ServiceName &service, int priority, const RankAdmission::Capacity &capacity,
                                SteadyTime now)
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return true;
    }
    const auto own = demandOf(service, now);
    auto &admission = found->second;
    const bool mayAdmit = admission.mayAdmit(priority, capacity, {.own = own, .others = othersDemand(service)}, now);
    reportChanges(service, admission);
    return mayAdmit;
}

void AdmissionControl::recordSent(const ServiceName &service, int priority, SteadyTime now)
{
    m_workspaceShares.recordSent(service, now);
    const auto found = m_services.find(service);
    if (found != m_services.end()) {
        found->second.recordAdmitted(priority, now);
        rankCounter("heatherridge_streams_sent_total", priority).add();
    }
}

void AdmissionControl::recordRefused(const ServiceName &service, int priority)
{
    if (admitsByRank(service)) {
        rankCounter("heatherridge_streams_refused_total", priority).add();
    }
}

bool AdmissionControl::isOverShare(const ServiceName &service, const WorkspaceName &workspace) const
{
    return hasFairShares(service) && m_workspaceShares.isOverShare(service, workspace);
}

Error AdmissionControl::refuse(Error error, const RefusedStream &stream, SteadyTime now, RandomSource &random)
{
    recordRefused(stream.service, stream.match.rank);
    const auto found = m_services.find(stream.service);
    if (found == m_services.end() || !stream.lacksCapacity) {
        return error;
    }
    const ReturnSchedule::ReturnClass returnClass{.priority = stream.match.rank,
                                                  .isOverShare = isOverShare(stream.service, stream.match.workspace)};
    const auto own = demandOf(stream.service, now);
    const auto ahead = found->second.backlog(stream.match.rank, {.own = own, .others = othersDemand(stream.service)});
    const auto result = m_returnSchedules[stream.service].refuse({.returnClass = returnClass,
                                                                  .streamsAhead = ahead.streams,
                                                                  .admittedPerSecond = ahead.admittedPerSecond,
                                                                  .remainingTime = stream.remainingTime},
                                                                 now, random);
    reportReturn(stream, result);
    error.retryAfter = result.delay;
    return error;
}

std::optional<std::chrono::milliseconds> AdmissionControl::expectedWait(const ServiceName &service, int priority,
                                                                        SteadyTime now, double partBehind) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return std::nullopt;
    }
    auto own = demandOf(service, now);
    const auto *others = othersDemand(service);
    if (partBehind == 0) {
        return found->second.expectedWait(priority, {.own = own, .others = others}, now);
    }
    auto othersAhead = others != nullptr ? *others : ServiceDemand{};
    own.ranks[priority].waiting *= 1 - partBehind;
    othersAhead.ranks[priority].waiting *= 1 - partBehind;
    return found->second.expectedWait(priority, {.own = own, .others = others != nullptr ? &othersAhead : nullptr},
                                      now);
}

QueueClass AdmissionControl::queueClass(const WaitingStream &stream, SteadyTime now) const
{
    const auto found = m_services.find(stream.service);
    return found == m_services.end() ? QueueClass::InOrder : classifyByRank(stream, found->second, now);
}

bool AdmissionControl::waitsBehind(const StreamQueue &queue, const DemandMeter::StreamClass &stream,
                                   SteadyTime now) const
{
    const auto found = m_services.find(stream.service);
    int rank = 0;
    bool isBehindSameRank = isOverShare(stream.service, stream.workspace);
    if (found != m_services.end()) {
        // A stream of the assured part waits for the highest rank only.
        const auto &admission = found->second;
        rank = admission.hasAssuredStream(stream.priority) ? admission.highestRank() : stream.priority;
        isBehindSameRank = isBehindSameRank || rank != stream.priority;
    }
    return queue.hasOnTimeStream({.service = stream.service, .rank = rank, .isOverShare = isBehindSameRank}, now);
}

void AdmissionControl::tick(SteadyTime now)
{
    m_workspaceShares.tick(now);
    for (auto &[service, admission] : m_services) {
        admission.tick(now);
        reportChanges(service, admission);
    }
}

const ServiceDemand *AdmissionControl::othersDemand(const ServiceName &service) const
{
    static const ServiceDemand None;
    if (!m_fleetDemand.isKnown || !m_fleetDemand.isShared) {
        return nullptr;
    }
    const auto found = m_others.find(service);
    return found == m_others.end() ? &None : &found->second;
}

bool AdmissionControl::hasFairShares(const ServiceName &service) const
{
    return m_fleetDemand.isShared || admitsByRank(service);
}

void AdmissionControl::updateShares(const ServiceName &service, SteadyTime now)
{
    if (!hasFairShares(service) || !m_workspaceShares.isUpdateDue(service, now)) {
        return;
    }
    const auto own = demandOf(service, now);
    m_workspaceShares.update(service,
                             {.own = own,
                              .others = othersDemand(service),
                              .age = m_fleetDemand.age,
                              .capacityShare = m_capacityShare ? m_capacityShare(service, now) : 0},
                             now);
}

void AdmissionControl::updateOthers()
{
    const double factor =
        m_fleetDemand.gateways > 0 ? std::max(1.0, static_cast<double>(m_knownGateways) / m_fleetDemand.gateways) : 1;
    m_others.clear();
    for (const auto &demand : m_fleetDemand.services) {
        for (auto [priority, rank] : demand.ranks) {
            rank.arrivalsPerSecond *= factor;
            rank.waiting *= factor;
            m_others[demand.service].ranks[priority] = rank;
        }
        auto &others = m_others[demand.service];
        others.service = demand.service;
        for (auto workspace : demand.workspaces) {
            workspace.arrivalsPerSecond *= factor;
            others.workspaces.push_back(std::move(workspace));
        }
    }
}

void AdmissionControl::reportChanges(const ServiceName &service, RankAdmission &admission)
{
    for (const auto &change : admission.takeChanges()) {
        m_metrics.gauge("heatherridge_rank_held", rankLabel(change.priority)).add(change.isHeld ? 1 : -1);
        logEvent(Severity::Info, "rank-level",
                 {{"service", service.text()},
                  {"rank", std::to_string(change.priority)},
                  {"level", change.isHeld ? "held" : "admitted"},
                  {"room", std::to_string(change.room)},
                  {"reserved", std::to_string(change.reserved)},
                  {"known", m_fleetDemand.isKnown && m_fleetDemand.isShared ? "yes" : "no"},
                  {"age-ms", std::to_string(m_fleetDemand.age.count())},
                  {"gateways", std::to_string(m_fleetDemand.gateways)}});
    }
}

void AdmissionControl::reportReturn(const RefusedStream &stream, const ReturnSchedule::Return &result)
{
    const auto &input = result.input;
    m_metrics.histogram("heatherridge_return_delay_seconds").record(result.delay);
    logEvent(Severity::Info, "return-scheduled",
             {{"request", stream.request.text()},
              {"service", stream.service.text()},
              {"rank", std::to_string(stream.match.rank)},
              {"retry-after-ms", std::to_string(result.delay.count())},
              {"ahead", std::to_string(input.streamsAhead)},
              {"refused", std::to_string(input.refusedOfRank)},
              {"per-second", input.admittedPerSecond ? std::to_string(*input.admittedPerSecond) : "unknown"},
              {"remaining-ms", std::to_string(input.remainingTime.count())}});
}

Counter &AdmissionControl::rankCounter(const char *name, int priority)
{
    return m_metrics.counter(name, rankLabel(priority));
}

} // namespace Heatherridge
