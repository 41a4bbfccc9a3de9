#include "heatherridge_transport/direct/workspaceshares.h"

#include "heatherridge_state/demand/demandsum.h"
#include "heatherridge_transport/app/logger.h"

#include <algorithm>
#include <string>

namespace Heatherridge
{

namespace
{

/** Services without shares in force are forgotten below this rate of sent streams: 7 s after a single one. */
constexpr double MinPerSecond = 1e-3;

double arrivalsPerSecond(const ServiceDemand &demand)
{
    double sum = 0;
    for (const auto &[priority, rank] : demand.ranks) {
        sum += rank.arrivalsPerSecond;
    }
    return sum;
}

ServiceDemand sumOf(const ServiceDemand &own, const ServiceDemand &others)
{
    DemandSum sum;
    sum.add({own});
    sum.add({others});
    auto services = sum.services(MaxDemandWorkspaces);
    return services.empty() ? ServiceDemand{} : std::move(services.front());
}

} // namespace

WorkspaceShares::WorkspaceShares(Metrics &metrics)
    : m_overShare(metrics.gauge("heatherridge_workspaces_over_share"))
{
}

void WorkspaceShares::recordSent(const ServiceName &service, SteadyTime now)
{
    m_services[service].sent.record(now);
}

bool WorkspaceShares::isUpdateDue(const ServiceName &service, SteadyTime now) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() || now - found->second.updatedAt >= UpdatePeriod;
}

void WorkspaceShares::update(const ServiceName &service, const Demand &demand, SteadyTime now)
{
    auto &state = m_services[service];
    state.updatedAt = now;
    const auto fleet = demand.others != nullptr ? sumOf(demand.own, *demand.others) : demand.own;
    state.share.update(fleet, fleetRate(state.sent.perSecond(now), demand, fleet), now);
    reportChanges(service, state.share, demand.age);
}

double WorkspaceShares::fleetRate(double sentPerSecond, const Demand &demand, const ServiceDemand &fleet)
{
    if (demand.others == nullptr) {
        return sentPerSecond; // the demand is this gateway's too
    }
    // While streams wait here, this gateway uses its share of the capacity. Otherwise it sends what arrives, which may
    // be less than its share: all gateways then admit the same part of their arrivals, as far as is known here.
    const double byShare = demand.capacityShare > 0 ? sentPerSecond / demand.capacityShare : 0;
    const double ownArrivals = arrivalsPerSecond(demand.own);
    const double byArrivals = ownArrivals > 0 ? sentPerSecond * arrivalsPerSecond(fleet) / ownArrivals : 0;
    return std::max(byShare, byArrivals);
}

bool WorkspaceShares::isOverShare(const ServiceName &service, const WorkspaceName &workspace) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && found->second.share.isOverShare(workspace);
}

void WorkspaceShares::tick(SteadyTime now)
{
    for (auto &[service, state] : m_services) {
        state.share.tick(now);
        reportChanges(service, state.share, std::chrono::milliseconds(0));
    }
    std::erase_if(m_services, [now](const auto &entry) {
        const auto &state = entry.second;
        return now - state.updatedAt >= FairShare::Lifetime && state.sent.perSecond(now) < MinPerSecond;
    });
}

void WorkspaceShares::reportChanges(const ServiceName &service, FairShare &share, std::chrono::milliseconds age)
{
    for (const auto &change : share.takeChanges()) {
        m_overShare.add(change.isOver ? 1 : -1);
        logEvent(Severity::Info, "workspace-over-share",
                 {{"service", service.text()},
                  {"workspace", change.workspace.text()},
                  {"over-share", change.isOver ? "yes" : "no"},
                  {"demand", std::to_string(change.arrivalsPerSecond)},
                  {"level", change.level ? std::to_string(*change.level) : "none"},
                  {"age-ms", std::to_string(age.count())}});
    }
}

} // namespace Heatherridge
