#include "heatherridge_state/demand/demandsum.h"

#include <algorithm>
#include <tuple>

namespace Heatherridge
{

namespace
{

void addTo(double &sum, double value)
{
    sum = std::min(MaxDemandValue, sum + value);
}

bool isBusier(const WorkspaceDemand &a, const WorkspaceDemand &b)
{
    return std::tie(b.arrivalsPerSecond, b.inFlight, a.workspace)
        < std::tie(a.arrivalsPerSecond, a.inFlight, b.workspace);
}

/** Returns the @p maximum busiest of @p workspaces, busiest first. */
std::vector<WorkspaceDemand> busiestOf(const std::unordered_map<WorkspaceName, WorkspaceDemand> &workspaces,
                                       std::size_t maximum)
{
    std::vector<const WorkspaceDemand *> order;
    order.reserve(workspaces.size());
    for (const auto &[name, demand] : workspaces) {
        order.push_back(&demand);
    }
    const auto count = std::min(maximum, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end(),
                      [](const auto *a, const auto *b) { return isBusier(*a, *b); });
    std::vector<WorkspaceDemand> busiest;
    busiest.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        busiest.push_back(*order[index]);
    }
    return busiest;
}

} // namespace

void DemandSum::add(const std::vector<ServiceDemand> &services)
{
    for (const auto &service : services) {
        auto &sum = m_services[service.service];
        for (const auto &[priority, rank] : service.ranks) {
            auto &ofRank = sum.ranks[priority];
            addTo(ofRank.arrivalsPerSecond, rank.arrivalsPerSecond);
            addTo(ofRank.waiting, rank.waiting);
            addTo(ofRank.inProgress, rank.inProgress);
        }
        for (const auto &workspace : service.workspaces) {
            auto &ofWorkspace = sum.workspaces[workspace.workspace];
            ofWorkspace.workspace = workspace.workspace;
            addTo(ofWorkspace.arrivalsPerSecond, workspace.arrivalsPerSecond);
            addTo(ofWorkspace.inFlight, workspace.inFlight);
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
        const auto ranks = std::min(sum.ranks.size(), MaxDemandRanks);
        services.push_back(
            {.service = name,
             .ranks = {sum.ranks.begin(), std::next(sum.ranks.begin(), static_cast<std::ptrdiff_t>(ranks))},
             .workspaces = busiestOf(sum.workspaces, std::min(maxWorkspaces, MaxDemandWorkspaces))});
    }
    return services;
}

} // namespace Heatherridge
