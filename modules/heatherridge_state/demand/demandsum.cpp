#include "heatherridge_state/demand/demandsum.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Heatherridge
{

namespace
{

constexpr double UnitsPerOne = 65'536;

std::int64_t toFixedPoint(double value)
{
    return std::llround(value * UnitsPerOne);
}

double fromFixedPoint(std::int64_t value)
{
    return std::min(MaxDemandValue, static_cast<double>(value) / UnitsPerOne);
}

} // namespace

void DemandSum::add(const std::vector<ServiceDemand> &services)
{
    for (const auto &demand : services) {
        apply(m_services[demand.service], demand, 1);
    }
}

void DemandSum::remove(const std::vector<ServiceDemand> &services)
{
    for (const auto &demand : services) {
        const auto service = m_services.find(demand.service);
        if (service == m_services.end()) {
            continue;
        }
        apply(service->second, demand, -1);
        if (service->second.parts == 0) {
            m_services.erase(service);
        }
    }
}

void DemandSum::apply(Service &service, const ServiceDemand &demand, int sign)
{
    service.parts += sign;
    for (const auto &[priority, added] : demand.ranks) {
        auto &rank = service.ranks[priority];
        rank.parts += sign;
        rank.arrivalsPerSecond += sign * toFixedPoint(added.arrivalsPerSecond);
        rank.waiting += sign * toFixedPoint(added.waiting);
        rank.inProgress += sign * toFixedPoint(added.inProgress);
        if (rank.parts == 0) {
            service.ranks.erase(priority);
        }
    }
    for (const auto &added : demand.workspaces) {
        auto &workspace = service.workspaces[added.workspace];
        workspace.parts += sign;
        workspace.arrivalsPerSecond += sign * toFixedPoint(added.arrivalsPerSecond);
        workspace.inFlight += sign * toFixedPoint(added.inFlight);
        if (workspace.parts == 0) {
            service.workspaces.erase(added.workspace);
        }
    }
}

std::vector<ServiceDemand> DemandSum::services(std::size_t maxWorkspaces) const
{
    std::vector<ServiceDemand> services;
    for (const auto &[name, sum] : m_services) {
        if (services.size() == MaxDemandServices) {
            break;
        }
        auto &service = services.emplace_back(ServiceDemand{.service = name});
        for (const auto &[priority, rank] : sum.ranks) {
            if (service.ranks.size() == MaxDemandRanks) {
                break;
            }
            service.ranks.emplace(priority,
                                  RankDemand{.arrivalsPerSecond = fromFixedPoint(rank.arrivalsPerSecond),
                                             .waiting = fromFixedPoint(rank.waiting),
                                             .inProgress = fromFixedPoint(rank.inProgress)});
        }
        service.workspaces = busiest(sum.workspaces, std::min(maxWorkspaces, MaxDemandWorkspaces));
    }
    return services;
}

std::vector<WorkspaceDemand> DemandSum::busiest(const Workspaces &workspaces, std::size_t maximum)
{
    std::vector<const Workspaces::value_type *> order;
    order.reserve(workspaces.size());
    for (const auto &entry : workspaces) {
        order.push_back(&entry);
    }
    const auto count = std::min(maximum, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end(),
                      [](const auto *a, const auto *b) {
                          return std::tie(b->second.arrivalsPerSecond, b->second.inFlight, a->first)
                              < std::tie(a->second.arrivalsPerSecond, a->second.inFlight, b->first);
                      });
    std::vector<WorkspaceDemand> busiest;
    busiest.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        busiest.push_back({.workspace = order[index]->first,
                           .arrivalsPerSecond = fromFixedPoint(order[index]->second.arrivalsPerSecond),
                           .inFlight = fromFixedPoint(order[index]->second.inFlight)});
    }
    return busiest;
}

} // namespace Heatherridge
